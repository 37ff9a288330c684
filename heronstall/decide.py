"""Dispatch decisions of one node; its settings, events and actions are in `heronstall/interface.py`.

After ProFaaStinate: docs/design.md. The only clock is `now` of `Balancer.handle`, in whole microseconds."""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Sequence

from heronstall import interface as i
from heronstall.policy.lane import DeadlineLane
from heronstall.policy.switch import Switch

MS, SECOND = 1_000, 1_000_000
NEVER = -(10**15)  # earlier than any clock reading
HOUSEKEEPING_PERIOD = 200 * MS  # of the switch, the suspicions and the background probes
PROBE_TIMEOUT = 2 * SECOND  # after which an unanswered probe is sent again
START_TIMEOUT = 40 * MS  # an attempt not started by then found no free slot, whatever a report said
MIN_WEIGHT_PER_SLOT = 0.5  # least weight per requested slot at which a worker counts as having room
UNREPORTED_SENDS_S = 1.05  # seconds of other nodes' sends that run, unreported, when a job arrives
SPEED_EXPONENT, SPEED_PRIOR_JOBS = 1.6, 5.0  # of a kind's speed; jobs at mean speed that damp its estimate
SUBSET_LOADS, SUBSET_SHARES, SUBSET_FLOOR = 1.2, 2.0, 0.03  # size in own loads, in even shares; weight floor
UNREPORTED_LOADS, UNREPORTED_FLOOR = 2.4, 0.003  # the same without reports, when only own jobs are known
REACH_HALF_LIFE, MIN_REACH = 2 * SECOND, 0.02  # of a zone's lost reachability; its least reachability
NO_CONNECTION_FACTOR, PROBE_LOST_FACTOR, RESPONSE_FACTOR = 0.4, 0.7, 1.3  # applied to reachability
SLOW_START_DELAY = 300 * MS  # an attempt that waits longer for its start found its worker congested
ADMISSION_DECREASE, ADMISSION_INCREASE, MIN_ADMISSION = 0.12, 0.04, 0.2  # per slow, quick start; floor
REPROBE_INTERVAL = 400 * MS  # since a worker's last report, until a background probe; longer when distant
PROBES_PER_ARRIVAL, MAX_PROBE_CREDIT = 2.0, 10.0  # credit earned by an arrival (and one a second); its cap
INITIAL_PROBE_CREDIT = 4.0  # less from 40 nodes on, since all may start at the same moment
FULL_RATE_PROBE_PRICE = 0.004  # price of one probe per job up to which credit is earned at the full rate
ADMISSION_RECOVERY_PER_S = 0.1  # a node that admits few jobs sees few starts to learn from
RECHECK_DELAY = 30 * MS  # until a job without a worker is checked again, whichever events arrive
SHORTAGE_DURATION = 3 * SECOND  # how long tenants over their share yield after a job found no room in time
TENANT_BURST = 3.0  # simultaneous requests of a tenant that count as within its share, however small
SAMPLE_SIZE = 24  # workers considered in one draw, whatever the fleet's size
REPORT_HALF_LIFE = 4 * SECOND  # of a report's weight; the mean of the reported free slots has the rest
FULL_HALF_LIFE = 300 * MS  # the same for a worker observed full, where no report tells of free slots
WEIGHT_EXPONENT = 4.0  # where starts are not signalled: a wrong send is neither noticed nor taken back
DEFAULT_SLOTS = 5.0  # assumed slots of a worker where none are reported
REPORT_LAG = 900 * MS  # typical age of the state that a report describes
OWN_ZONE_WEIGHT = 2.0  # factor for workers in the node's zone: the path is shorter and often cheaper
MOVE_DELAY = SECOND  # until an unstarted attempt is moved: its work may run on after cancellation
NEGLECT_TIMEOUT = SECOND  # an attempt not started by then, at a worker that reports room, is neglected
UNPROVEN_WEIGHT, SUSPICION_DURATION = 0.05, 15 * SECOND  # factor for workers not proven since the suspicion
PROGRESS_PERIODS = 1.5  # without a progress note, after which an attempt counts as dead and its slot as free
TOLERATED_RESETS = 1.0  # connection resets that a worker is allowed; each job it serves halves the count
MAX_EJECTED_SHARE, MAX_EJECTION_S = 0.4, 16.0  # of workers, for failures; longest ejection
RETRIES_PER_ARRIVAL, RETRY_BURST = 0.2, 20.0  # retry budget earned by an arrival; its cap
MOVES_PER_ARRIVAL = 1.0  # move budget earned by an arrival: limits the jobs that may run twice
COLD_BUDGET_SHARE = 0.35  # used share of a mean worker's cold budget; up to half more with many nodes
MAX_COLD_JOB_SHARE = 0.3  # share of the used cold budget that a single job may take


class _Worker:
    """What this node knows of one worker, and its own share of the load there."""

    def __init__(self, entry: i.WorkerEntry) -> None:
        self.entry = entry
        self.started_at = entry.started_at or NEVER  # from the list, or inferred from a refused connection
        self.listed = True
        self.ring_distance, self.subset_weight = 0.0, 1.0  # from this node's position; the weight it gives
        self.cold_share = 1.0  # of what all nodes may send it while cold, times the number of nodes
        self.slots = 0.0  # averaged over reports
        self.own_slots = 0.0  # slots of own attempts in flight
        self.unstarted: dict[tuple[int, int], _Attempt] = {}  # own attempts not known to have started
        self.running: dict[tuple[int, int], _Attempt] = {}  # own attempts that have started
        self.changes: deque[tuple[int, float, float]] = deque()  # own slots, memory taken (<0) or returned
        self.cold_sends: deque[tuple[int, float]] = deque()  # time and work of jobs sent while cold
        self.reset()

    def reset(self) -> None:
        """Forgets what was learned, since a new process runs under the same id."""
        self.free_slots, self.free_memory, self.util = DEFAULT_SLOTS, -1.0, -1.0
        self.reported_at = self.probed_at = self.probe_deadline = self.last_seen = self.ejected_until = NEVER
        self.cold_draw, self.redraw_at = 1.0, NEVER
        self.on_trial = self.unreachable = False
        self.response_timeout = SECOND
        self.recent_resets = 0.0  # of connections; served jobs reduce it
        self.failures = self.max_slots = 0.0  # max_slots: the most slots it may have, as far as reported


class _Attempt:
    """One send of a job to a worker."""

    def __init__(self, job: _Job, index: int, worker: _Worker, now: int) -> None:
        self.job, self.index, self.worker = job, index, worker
        self.sent_at = self.last_seen = now
        self.started_at: int | None = None
        self.in_flight = self.may_have_run = True
        self.cancelled = self.start_counted = False  # start_counted: in the admitted share, as slow or quick


class _Job:
    """A request in hand and its attempts."""

    def __init__(self, event: i.Arrival, give_up_at: int) -> None:
        self.id, self.cls, self.slots, self.memory = event.request, event.cls, event.slots, event.memory
        self.give_up_at = self.aim_at = self.due_at = give_up_at
        self.queue_key = (0, give_up_at)
        self.work = self.cold_work = 0.0
        self.has_work_hint = event.work is not None
        self.attempts: list[_Attempt] = []
        self.queued = self.done = self.streaming = self.late = False
        self.rank = 0  # in the queue: 1 when late, 2 when its tenant is over its share during a shortage

    def in_flight(self) -> bool:
        return any(a.in_flight for a in self.attempts)

    def first_possible_run(self) -> _Attempt | None:
        """Returns the first attempt that may have run; repeat groups and windows count from it."""
        return next((a for a in self.attempts if a.may_have_run), None)


class _TokenBucket:
    """Tokens that accrue with time and by `add`, up to a capacity, and that `take` consumes."""

    def __init__(self, capacity: float, tokens: float, refill_per_s: float = 0.0) -> None:
        self.capacity, self.tokens, self.refill_per_s = capacity, tokens, refill_per_s
        self.refilled_at: int | None = None

    def add(self, amount: float) -> None:
        self.tokens = min(self.capacity, self.tokens + amount)

    def take(self, now: int) -> bool:
        if self.refilled_at is not None:
            self.add(self.refill_per_s * (now - self.refilled_at) / SECOND)
        self.refilled_at = now
        available = self.tokens >= 1.0
        self.tokens -= float(available)
        return available


class Balancer:
    """Decides for one node: takes every event, and returns the actions to carry out in order."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self._settings = settings
        self._random = random.Random(seed)
        self._workers: dict[int, _Worker] = {}
        self._active: list[_Worker] = []  # those that the list names as active
        self._rings: dict[int, list[_Worker]] = {}  # the active ones by zone, in an order all nodes share
        self._jobs: dict[int, _Job] = {}
        self._queue: DeadlineLane[_Job] = DeadlineLane()  # by rank, then by deadline
        self._timers: list[tuple[int, int, _Job, _Attempt | None]] = []  # attempt checks, final answers
        self._actions: list[i.Action] = []
        self._admission = 1.0  # of the arrivals
        self._mean_own, self._mean_running = 6.0, 0.0  # own slots in flight; those started
        self._mean_slots = 1.0  # of a worker, over those whose slots are known
        self._reach: dict[int, tuple[int, float]] = {}  # by zone: when last tried, and the result
        self._kind_speeds: dict[int, tuple[float, float]] = {}  # by kind: sum of observed speeds, weight
        self._mean_free: float | None = None  # reported by the workers
        self._started_at: int | None = None
        self._housekeeping_at = self._wake_at = self._recheck_at = self._timer_number = 0
        self._switch = Switch()
        self._longest_wait = [0] * len(settings.classes)  # time that clients leave a request, by class
        self._mean_work = [c.aim * 1.0 for c in settings.classes]  # learned running time at speed 1
        self._mean_run = 1.0 * SECOND  # running time of a job at the workers' speeds
        self._hinted_work, self._hinted_run_time = 1.0, 1.0  # their ratio is the mean speed
        self._proven: dict[tuple[int, int], list[_Worker]] = {}  # by suspected class, zone: who started one
        self._suspected_at: dict[tuple[int, int], int] = {}
        self._retry_budget, self._move_budget = (_TokenBucket(RETRY_BURST, RETRY_BURST / 2) for _ in range(2))
        self._probe_budget = _TokenBucket(
            MAX_PROBE_CREDIT, INITIAL_PROBE_CREDIT - min(14.0, max(0.0, 0.2 * (settings.nodes - 40)))
        )
        self._probe_rate = FULL_RATE_PROBE_PRICE / max(FULL_RATE_PROBE_PRICE, settings.probe_price)
        self._next_probe = self._random.randrange(2**20)  # random, so that nodes probe different workers
        self._blocked_job: _Job | None = None  # no worker had room for it, and nothing has changed since
        self._subscribe_at, self._subscribe_delay = 0, SECOND
        self._subscribed = not settings.discovery_on_request
        quotas = [t.quota_per_s / settings.nodes for t in settings.tenants]
        self._tenant_budgets = [_TokenBucket(max(TENANT_BURST, 2 * q), TENANT_BURST, q) for q in quotas]
        self._shortage_until = NEVER
        top_priority = max(c.priority for c in settings.classes)
        shortest_aim = min(c.aim for c in settings.classes)
        can_move = settings.cancelling and settings.tells_start
        self._weight_exponent = 1.0 if settings.tells_start else WEIGHT_EXPONENT
        self._first_note_delay = 0 if settings.tells_start else settings.progress  # since the start of a job
        self._movable = [c.effect != "unsafe" and can_move for c in settings.classes]
        self._deferrable = [c.priority < top_priority or c.aim >= 2 * shortest_aim for c in settings.classes]

    def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
        """Processes the events of one moment and returns the actions. Ignores events of unknown requests."""
        self._actions = []
        self._started_at = now if self._started_at is None else self._started_at
        for e in events:
            if isinstance(e, i.Arrival):
                self._handle_arrival(now, e)
            elif isinstance(e, i.Outcome):
                self._handle_outcome(now, e)
            elif isinstance(e, i.JobNote):
                self._record_start(now, e.request, e.attempt)
            elif isinstance(e, i.ProbeResult):
                self._handle_probe_result(now, e)
            elif isinstance(e, i.Hearsay):
                self._handle_hearsay(now, e)
            elif isinstance(e, i.WorkerList):
                self._handle_worker_list(now, e)
            elif isinstance(e, (i.ClientGone, i.StreamStarted)) and e.request in self._jobs:
                job = self._jobs[e.request]
                if isinstance(e, i.StreamStarted):
                    job.streaming = True
                    self._record_start(now, e.request, e.attempt)
                elif not job.done:
                    self._end(job)
        if now >= self._recheck_at or any(not isinstance(e, (i.Arrival, i.JobNote)) for e in events):
            self._blocked_job = None
        while self._timers and self._timers[0][0] <= now:
            _, _, job, attempt = heapq.heappop(self._timers)
            if job.done or job.streaming:
                continue
            if attempt is None:
                self._refuse_or_fail(now, job)
            else:
                self._check_attempt(now, attempt)
        if now >= self._housekeeping_at:
            self._housekeeping_at = now + HOUSEKEEPING_PERIOD
            self._switch.update(now, self._mean_utilisation(now))
            self._run_housekeeping(now)
        self._dispatch_queued(now)
        wake = min(self._housekeeping_at, self._timers[0][0]) if self._timers else self._housekeeping_at
        if self._blocked_job is not None:
            wake = min(wake, max(self._recheck_at, now + self._settings.tick))
        if not now < self._wake_at <= wake:
            self._wake_at = max(wake, now + 1)
            self._actions.append(i.WakeAt(self._wake_at))
        return self._actions

    def ejected_workers(self, now: int) -> list[int]:
        """Returns the workers that the list names as active but that this node currently ejects."""
        return [w.entry.worker for w in self._active if w.ejected_until > now]

    def _handle_arrival(self, now: int, e: i.Arrival) -> None:
        if e.request in self._jobs or not 0 <= e.cls < len(self._settings.classes):
            return
        c = self._settings.classes[e.cls]
        job = self._jobs[e.request] = _Job(e, now + e.time_left)
        self._longest_wait[e.cls] = longest_wait = max(self._longest_wait[e.cls], e.time_left)
        is_retry = e.retry if self._settings.marks_retry else e.time_left > c.aim
        job.work = float(e.work) if e.work else self._mean_work[e.cls]
        job.cold_work = max(job.work, 0.5 * self._mean_work[e.cls])
        run_time = job.work / self._mean_speed()
        first_try_at = now - (longest_wait - e.time_left) * int(is_retry)  # a retry has less time left
        job.aim_at = min(first_try_at + c.aim + int(c.stretch * job.work), first_try_at + c.deadline)
        slack = c.stretch * job.work - run_time  # half of it is used, since the work is only expected
        job.due_at = first_try_at + c.aim // 2 + int(slack * 0.5 if slack > 0 else slack)
        self._retry_budget.add(RETRIES_PER_ARRIVAL)
        self._move_budget.add(MOVES_PER_ARRIVAL)
        self._probe_budget.add(PROBES_PER_ARRIVAL * self._probe_rate)
        if 0 <= e.tenant < len(self._tenant_budgets):
            job.rank = 2 * int(not self._tenant_budgets[e.tenant].take(now) and now < self._shortage_until)
        job.queue_key = (job.rank, job.aim_at)
        answer_at = job.give_up_at - 2 * self._settings.tick
        self._set_timer(answer_at, job, None)
        if answer_at <= now:
            return
        fits = (c.kind in (-1, w.entry.kind) and not 0 < w.max_slots < job.slots for w in self._active)
        if self._active and not any(fits):
            self._refuse_or_fail(now, job)  # waiting cannot help
            return
        share = self._admission if job.rank < 2 else 2.0 * self._admission - 1.0
        if share < 1.0 and self._settings.tells_start and self._random.random() > share:
            self._shortage_until = now + SHORTAGE_DURATION
            self._refuse_or_fail(now, job)
            return
        urgent = not self._deferrable[e.cls] and not job.rank
        worker = self._choose_worker(now, job) if urgent else None
        if worker is None:
            self._enqueue(job)
        else:
            self._send(now, job, worker)

    def _record_start(self, now: int, request: int, index: int) -> None:
        job = self._jobs.get(request)
        if job is not None and 0 <= index < len(job.attempts):
            attempt = job.attempts[index]
            attempt.last_seen = attempt.worker.last_seen = now
            if attempt.started_at is None:
                attempt.started_at = max(attempt.sent_at, now - self._first_note_delay)
                self._adapt_admission(attempt, attempt.started_at - attempt.sent_at > SLOW_START_DELAY)
                attempt.worker.unstarted.pop((job.id, index), None)
                if attempt.in_flight:
                    attempt.worker.running[job.id, index] = attempt
                proven = self._proven.get((job.cls, attempt.worker.entry.zone))
                if proven is not None and attempt.worker not in proven:
                    proven.append(attempt.worker)

    def _adapt_admission(self, attempt: _Attempt, slow: bool) -> None:
        """Admits fewer jobs while those sent wait long for their start, and more while they start at once."""
        if not attempt.start_counted:
            attempt.start_counted = True
            reduced = max(MIN_ADMISSION, self._admission * (1.0 - ADMISSION_DECREASE))
            self._admission = reduced if slow else min(1.0, self._admission + ADMISSION_INCREASE)

    def _handle_outcome(self, now: int, e: i.Outcome) -> None:
        job = self._jobs.get(e.request)
        if job is None or not 0 <= e.attempt < len(job.attempts):
            return
        attempt = job.attempts[e.attempt]
        worker = attempt.worker
        self._apply_report(now, worker, e.report)
        if not attempt.in_flight:
            return
        attempt.in_flight = False
        attempt.may_have_run = e.status not in i.PROVES_NOT_RUN
        worker.unstarted.pop((job.id, e.attempt), None)
        worker.running.pop((job.id, e.attempt), None)
        self._account_for(now, worker, job, -1.0, not self._misses_progress(now, attempt))
        self._update_health(now, attempt, e)
        if e.ended and not job.done:
            self._end(job)
        elif not job.done and not job.in_flight():
            self._retry_or_answer(now, job, e.status)
        if job.done and not job.in_flight():
            self._jobs.pop(job.id, None)

    def _handle_worker_list(self, now: int, e: i.WorkerList) -> None:
        if e.scope == "error":
            self._subscribed = not self._settings.discovery_on_request
            return
        if e.scope != "persisted":
            self._subscribed = True
            self._subscribe_delay = SECOND
        if e.scope != "changes":
            for worker in self._workers.values():
                worker.listed = False
        for entry in e.entries:
            known = self._workers.get(entry.worker)
            if known is None:
                known = self._workers[entry.worker] = _Worker(entry)
            elif entry.started_at and entry.started_at != known.entry.started_at:
                known.reset()
                known.started_at = entry.started_at
            known.entry = entry
            known.listed = entry.state == "active"
        for worker in list(self._workers.values()):
            if not worker.listed and not worker.own_slots:
                del self._workers[worker.entry.worker]
        self._active = [w for w in self._workers.values() if w.listed]
        self._build_rings()

    def _build_rings(self) -> None:
        """Places each zone's workers on a ring, in an order that all nodes share, relative to this node."""
        position = self._settings.me * 0.6180339887 % 1.0  # golden ratio: spaces all or a zone's nodes evenly
        self._rings = {}
        for w in sorted(self._active, key=lambda w: w.entry.mark * 2654435761 % 2**32):
            self._rings.setdefault(w.entry.zone, []).append(w)
        for ring in self._rings.values():
            for index, w in enumerate(ring):
                w.ring_distance = ((index + 0.5) / len(ring) - position) % 1.0
        self._update_weights()

    def _update_weights(self) -> None:
        """Prefers a subset of the workers, sized by this node's own load; with few nodes it holds all."""
        own_slots = sum(w.own_slots for w in self._active) + len(self._queue)
        self._mean_own += 0.05 * (own_slots - self._mean_own)
        zone_size = len(self._rings.get(self._settings.zone, ())) or 1
        loads, floor = (
            (UNREPORTED_LOADS, UNREPORTED_FLOOR)
            if self._settings.reports == "none"
            else (SUBSET_LOADS, SUBSET_FLOOR)
        )
        span = max(SUBSET_SHARES / self._settings.nodes, loads * self._mean_own / (zone_size * DEFAULT_SLOTS))
        if self._settings.me >= 0:
            for w in self._active:
                w.subset_weight = max(floor, min(1.0, math.pow(0.5, w.ring_distance / span - 1.0)))
        for ring in self._rings.values():
            mean_weight = sum(w.subset_weight for w in ring) / len(ring)
            for w in ring:
                w.cold_share = w.subset_weight / mean_weight
        known_slots = [w.slots for w in self._active if w.slots > 0]
        running = sum(a.job.slots for w in self._workers.values() for a in w.running.values())
        self._mean_running += 0.05 * (running - self._mean_running)
        estimate = self._mean_running * self._settings.nodes / (len(self._active) or 1)
        self._mean_slots = sum(known_slots) / len(known_slots) if known_slots else max(1.0, estimate)

    def _handle_probe_result(self, now: int, e: i.ProbeResult) -> None:
        worker = self._workers.get(e.worker)
        if worker is not None:
            worker.probe_deadline = now
            self._update_reach(now, worker, RESPONSE_FACTOR if e.ok else PROBE_LOST_FACTOR)
            if worker.unreachable and e.ok:  # needs no trial job; a lost probe may only have been slow
                worker.on_trial = worker.unreachable = False
                worker.ejected_until = now
            if e.ok:
                self._apply_report(now, worker, e.report)

    def _handle_hearsay(self, now: int, e: i.Hearsay) -> None:
        """Applies other nodes' observations if nothing newer is known; they defer sends, prove nothing."""
        worker = self._workers.get(e.worker)
        if worker is not None and now - e.age > max(worker.reported_at, worker.last_seen):
            worker.ejected_until = max(worker.ejected_until, now + e.shun)
            self._apply_report(now - e.age, worker, e.report)

    def _apply_report(self, now: int, w: _Worker, r: i.Report | None) -> None:
        if r is None or (r.free_slots == 0 and r.inflight == 0 and r.util == 0):
            return  # nothing in flight yet nothing free: a worker that has not measured yet is not full
        w.reported_at = now
        if r.util is not None:
            w.util = min(r.util, 1.0)
        if r.free_slots is None:
            return
        newer = [change for change in w.changes if change[0] >= now - REPORT_LAG]  # not yet reported
        mean = r.free_slots if self._mean_free is None else self._mean_free
        self._mean_free = mean + 0.05 * (r.free_slots - mean)
        if r.free_slots > 0:  # nothing is queued there: free and occupied slots add up to all slots
            slots = r.free_slots + (w.own_slots if r.inflight is None else r.inflight)
            w.slots += (slots - w.slots) * (0.1 if w.slots else 1.0)
        w.max_slots = max(w.max_slots, r.free_slots + (1e9 if r.inflight is None else r.inflight))
        for a in w.unstarted.values():
            if now - a.sent_at > NEGLECT_TIMEOUT and r.free_slots >= a.job.slots:
                self._suspect(now, a)
        # Own attempts limit what a late report shows as free, except those whose connections are dead.
        own = w.own_slots - sum(a.job.slots for a in w.running.values() if self._misses_progress(now, a))
        free_slots = r.free_slots
        if free_slots <= 0 and r.inflight is not None and w.slots:  # negative by the excess
            free_slots = min(0.0, w.slots - r.inflight)
        w.free_slots = min(free_slots + sum(change[1] for change in newer), w.slots - own)
        if r.free_memory is not None:
            w.free_memory = max(0.0, r.free_memory + sum(change[2] for change in newer))

    def _misses_progress(self, now: int, a: _Attempt) -> bool:
        timeout = int(PROGRESS_PERIODS * self._settings.progress)
        return a.started_at is not None and 0 < timeout < now - a.last_seen

    def _account_for(self, now: int, worker: _Worker, job: _Job, sign: float, held: bool = True) -> None:
        """Counts a job's slots and memory as taken (sign 1) or, if held until its end, as returned (-1)."""
        worker.own_slots = max(0.0, worker.own_slots + sign * job.slots)
        if not held:
            return
        worker.free_slots -= sign * job.slots
        worker.free_memory -= sign * job.memory
        while worker.changes and worker.changes[0][0] < now - REPORT_LAG:
            worker.changes.popleft()
        worker.changes.append((now, -sign * job.slots, -sign * job.memory))

    def _kind_preference(self, kind: int) -> float:
        """Returns a kind's factor: more than in proportion to its speed, because late jobs are lost."""
        total, weight = self._kind_speeds[kind]
        return math.pow((total + SPEED_PRIOR_JOBS) / (weight + SPEED_PRIOR_JOBS), SPEED_EXPONENT)

    def _mean_speed(self) -> float:
        return min(4.0, max(0.25, self._hinted_work / self._hinted_run_time))

    def _enqueue(self, job: _Job) -> None:
        job.queued = True
        self._queue.push(job.queue_key, job)

    def _dispatch_queued(self, now: int) -> None:
        queue = self._queue
        while queue:
            key, job = queue.first()
            valid = job.queued and key == job.queue_key
            closed = bool(job.attempts) and not self._may_send(now, job)  # its repeat window may have ended
            worker = None
            if valid and not closed:
                due = job.due_at <= now
                if self._switch.busy and not due:
                    break
                worker = self._choose_worker(now, job) if job is not self._blocked_job else None
                if worker is None and not (due and (job.late or now >= self._latest_start(job))):
                    self._blocked_job, self._recheck_at = job, now + RECHECK_DELAY
                    break
            queue.pop()
            if not valid:
                continue
            job.queued = False
            if worker is not None:
                self._send(now, job, worker)
            elif closed or job.late:
                self._refuse_or_fail(now, job)
            else:
                self._miss_aim(now, job)

    def _miss_aim(self, now: int, job: _Job) -> None:
        """Refuses a job that found no room in time, or queues it as late if it is still worth something."""
        if not job.rank:
            self._shortage_until = now + SHORTAGE_DURATION
        if self._settings.classes[job.cls].late_worth <= 0 and self._may_refuse(job):
            self._refuse_or_fail(now, job)
            return
        job.late = True
        job.rank = max(1, job.rank)
        job.queue_key = (job.rank, job.give_up_at)
        job.due_at = job.give_up_at - int(1.5 * job.work / self._mean_speed()) - 2 * self._settings.tick
        self._enqueue(job)

    def _latest_start(self, job: _Job) -> int:
        """Returns the latest start that still meets the aim if the expected work is right."""
        return job.aim_at - int(job.work / self._mean_speed())

    def _mean_utilisation(self, now: int) -> float:
        recent = [w.util for w in self._active if w.util >= 0 and now - w.reported_at < 5 * SECOND]
        return sum(recent) / len(recent) if recent else -1.0

    def _choose_worker(self, now: int, job: _Job) -> _Worker | None:
        """Draws by weight among the workers with room: reported free slots, less the changes since."""
        others = (1.0 - 1.0 / self._settings.nodes) * UNREPORTED_SENDS_S * SECOND / self._mean_run
        others *= float(self._settings.tells_start and self._mean_free is not None)
        first_run = job.first_possible_run() if self._settings.classes[job.cls].group != "all" else None
        pool = self._active
        if len(pool) > SAMPLE_SIZE and first_run is None:  # a repeat group may be too small for a sample
            first = self._random.randrange(len(pool))
            pool = pool[first : first + SAMPLE_SIZE]
            pool += self._active[: SAMPLE_SIZE - len(pool)]
        candidates: list[_Worker] = []
        weights: list[float] = []
        reachability = {zone: self._current_reach(now, zone) for zone in self._reach}
        preference = {kind: self._kind_preference(kind) for kind in self._kind_speeds}
        known = self._mean_free is not None
        mean, decay = (self._mean_free or 0.0, REPORT_HALF_LIFE) if known else (DEFAULT_SLOTS, FULL_HALF_LIFE)
        for w in pool:
            factor = preference.get(w.entry.kind, 1.0)
            usual = mean if known and w.reported_at != NEVER else max(1.0, mean - w.own_slots)
            recency = math.pow(0.5, (now - w.reported_at) / decay)
            weight = usual + recency * (w.free_slots - usual) + others * (w.slots or DEFAULT_SLOTS) * factor
            if weight < MIN_WEIGHT_PER_SLOT * job.slots or 0 <= w.free_memory < job.memory:
                continue
            if not self._is_allowed(now, job, w, first_run) or not self._is_healthy(now, job, w):
                continue
            proven = self._proven.get((job.cls, w.entry.zone))
            if proven is not None and w not in proven:
                weight *= UNPROVEN_WEIGHT
            zone_weight = OWN_ZONE_WEIGHT if w.entry.zone == self._settings.zone else 1.0
            weight *= reachability.get(w.entry.zone, 1.0) * w.subset_weight * zone_weight
            candidates.append(w)
            weights.append(math.pow(weight, self._weight_exponent))
        return self._random.choices(candidates, weights)[0] if candidates else None

    def _send(self, now: int, job: _Job, worker: _Worker) -> None:
        attempt = _Attempt(job, len(job.attempts), worker, now)
        job.attempts.append(attempt)
        worker.unstarted[job.id, attempt.index] = attempt
        self._account_for(now, worker, job, 1.0)
        if now < worker.started_at + self._settings.cold:
            worker.cold_sends.append((now, job.cold_work))
        repeatable, movable = self._settings.classes[job.cls].effect != "unsafe", self._movable[job.cls]
        worker.response_timeout = self._settings.classes[job.cls].aim + int(3 * job.work / self._mean_speed())
        timeout = 0 if movable or not repeatable else (job.give_up_at - now) // 2  # in place of a move
        self._actions.append(i.Send(job.id, worker.entry.worker, timeout))
        if movable or self._settings.tells_start:
            self._set_timer(now + (START_TIMEOUT if movable else SLOW_START_DELAY + MS), job, attempt)

    def _is_allowed(self, now: int, job: _Job, w: _Worker, first_run: _Attempt | None) -> bool:
        """Returns whether drains, kinds, repeat groups and cold budgets allow this job on this worker."""
        c, entry = self._settings.classes[job.cls], w.entry
        if not w.listed or (c.kind >= 0 and entry.kind != c.kind):
            return False
        if job.attempts and w is job.attempts[-1].worker and len(self._active) > 1:
            return False
        if first_run is not None:
            first = first_run.worker.entry
            if first.zone != entry.zone if c.group == "zone" else first.cell != entry.cell:
                return False
        return self._fits_cold_budget(now, w, job)

    def _fits_cold_budget(self, now: int, w: _Worker, job: _Job) -> bool:
        """Checks this node's even share of the cold budget; a share below one job is granted at random."""
        s = self._settings
        if now >= w.started_at + s.cold:
            return True
        if now < (self._started_at or 0) + s.fall:  # sends before this node's own restart are unknown
            return False
        while w.cold_sends and w.cold_sends[0][0] < now - s.fall:
            w.cold_sends.popleft()
        if now >= w.redraw_at:  # at a random moment, so that the nodes do not draw together
            w.redraw_at = now + int(s.fall * (self._random.random() if w.redraw_at == NEVER else 1.0))
            w.cold_draw = self._random.random() if s.nodes > 1 else 1.0
        capacity = (w.slots or self._mean_slots) * self._mean_speed() * self._warm_share(now, w)
        budget = COLD_BUDGET_SHARE * (1.5 - 0.5 / s.nodes) * s.fall_multiple * capacity * s.fall
        work = job.cold_work
        if work > MAX_COLD_JOB_SHARE * budget:
            return False
        return sum(sent for _, sent in w.cold_sends) + w.cold_draw * work <= budget * w.cold_share / s.nodes

    def _warm_share(self, now: int, w: _Worker) -> float:
        """Returns the least share of its capacity that a worker has at some time after its start."""
        s = self._settings
        age = now - w.started_at
        return 1.0 if age >= s.cold else s.cold_from + (1.0 - s.cold_from) * max(0, age) / s.cold

    def _cancel(self, a: _Attempt) -> None:
        a.cancelled = True
        self._actions.append(i.Cancel(a.job.id, a.index))

    def _may_refuse(self, job: _Job) -> bool:
        c = self._settings.classes[job.cls]
        harmless = c.effect == "safe" or (c.effect == "keyed" and c.group == "all")
        return harmless or job.first_possible_run() is None

    def _may_send(self, now: int, job: _Job) -> bool:
        c = self._settings.classes[job.cls]
        if len(job.attempts) >= self._settings.max_attempts or job.in_flight():
            return False
        first_run = job.first_possible_run()
        if first_run is None or c.effect == "safe":
            return True
        return c.effect == "keyed" and now < first_run.sent_at + c.repeat_window - 2 * self._settings.tick

    def _refuse_or_fail(self, now: int, job: _Job) -> None:
        """Gives the final answer: a refusal if the job may be refused, else a failure."""
        refuse = self._may_refuse(job)
        self._actions.append(i.Refuse(job.id, self._retry_after(now)) if refuse else i.Fail(job.id))
        self._end(job)

    def _end(self, job: _Job) -> None:
        job.done = True
        job.queued = False
        if not job.in_flight():
            self._jobs.pop(job.id, None)
        elif self._settings.cancelling:
            for a in job.attempts:
                if a.in_flight and not a.cancelled:
                    self._cancel(a)

    def _retry_after(self, now: int) -> int:
        """Returns how long a refused client should wait: until the queued jobs have had their turn."""
        up = [w for w in self._active if w.ejected_until <= now]
        slots = sum(w.slots or 1.0 for w in up) / self._settings.nodes
        wait = int(self._mean_run * (1 + len(self._queue)) / slots) if up else self._settings.max_retry_after
        return min(wait, self._settings.max_retry_after)

    def _retry_or_answer(self, now: int, job: _Job, status: str) -> None:
        """Retries a job with no attempt in flight and none served, if that is allowed; else answers it."""
        budget = self._move_budget if status == "cancelled" else self._retry_budget
        if not self._may_send(now, job) or (status != "no_connection" and not budget.take(now)):
            self._refuse_or_fail(now, job)
        elif status in ("cancelled", "timeout") and not job.late and now > self._latest_start(job):
            self._miss_aim(now, job)
        else:
            self._enqueue(job)

    def _set_timer(self, when: int, job: _Job, attempt: _Attempt | None) -> None:
        self._timer_number += 1
        heapq.heappush(self._timers, (when, self._timer_number, job, attempt))

    def _is_healthy(self, now: int, job: _Job, w: _Worker) -> bool:
        """Returns whether nothing observed of this worker speaks against sending it this job."""
        if w.ejected_until > now:
            return False
        if w.on_trial and (
            w.own_slots > 0 or (self._settings.classes[job.cls].effect == "unsafe" and not w.unreachable)
        ):
            return False
        wait = START_TIMEOUT if self._settings.tells_start else w.response_timeout
        return not any(
            now - a.sent_at > wait and (a.job.cls == job.cls or w.last_seen < a.sent_at)
            for a in w.unstarted.values()
        )

    def _current_reach(self, now: int, zone: int) -> float:
        """Returns a zone's reachability, 1 without failures; the effect of a failure decays with time."""
        at, reach = self._reach.get(zone, (now, 1.0))
        return 1.0 - (1.0 - reach) * math.pow(0.5, (now - at) / REACH_HALF_LIFE)

    def _update_reach(self, now: int, w: _Worker, factor: float) -> None:
        """Applies one worker's result to its zone; never down to zero, since a recovery is not announced."""
        zone = w.entry.zone
        self._reach[zone] = (now, min(1.0, max(MIN_REACH, self._current_reach(now, zone) * factor)))

    def _suspect(self, now: int, a: _Attempt) -> None:
        """After a worker hung or neglected a class, sends that class mostly to workers proven since."""
        suspected = (a.job.cls, a.worker.entry.zone)
        proven = self._proven.setdefault(suspected, [])
        if a.worker in proven:
            proven.remove(a.worker)
        self._suspected_at[suspected] = now

    def _update_health(self, now: int, a: _Attempt, e: i.Outcome) -> None:
        w = a.worker
        unstarted = self._settings.tells_start and a.started_at is None and w.last_seen < a.sent_at
        silent = e.status == "timeout" and unstarted
        if e.status == "no_connection" and not w.running:
            w.started_at = now  # likely a restart that is not listed yet; not so while own attempts run there
        if e.status == "ok":
            self._update_reach(now, w, RESPONSE_FACTOR)
            w.last_seen = now
            w.on_trial = w.unreachable = False
            w.failures = max(0.0, w.failures - 0.1)
            w.recent_resets *= 0.5
            self._retry_budget.add(float(a.index > 0))  # a retry that is served was worth it
            if a.started_at is not None or not self._settings.tells_start:
                self._record_run_time(a.job, float(max(1, now - (a.started_at or a.sent_at))), w)
        elif e.status == "no_connection":
            self._update_reach(now, w, NO_CONNECTION_FACTOR)
            w.failures = min(w.failures + 1.0, 4.0)
            w.ejected_until = max(w.ejected_until, now + int(125 * MS * 2.0**w.failures))
            w.on_trial = w.unreachable = True  # dead, cut off or full; nothing ran, so no cap and no budget
        elif e.status == "reset" and w.recent_resets < TOLERATED_RESETS and not a.cancelled:
            w.recent_resets += 1.0
        elif (e.status in ("error", "reset") or silent) and not a.cancelled:
            w.unreachable = False  # fails fast or starts nothing: out 1, 2 .. 16 s, then one repeatable trial
            w.failures += 1.0
            ejected = sum(1 for x in self._active if x.on_trial and not x.unreachable)
            if ejected < MAX_EJECTED_SHARE * len(self._active):
                w.ejected_until = now + int(SECOND * min(MAX_EJECTION_S, 2.0 ** (w.failures - 1)))
                w.on_trial = True
        elif e.status == "rejected":
            self._mark_full(now, w)

    def _mark_full(self, now: int, w: _Worker) -> None:
        """Records an observation, rather than a report, that no slot is free there now."""
        w.free_slots, w.reported_at = min(w.free_slots, 0.0), now

    def _record_run_time(self, job: _Job, run_time: float, w: _Worker) -> None:
        self._mean_run += 0.05 * (run_time - self._mean_run)
        if job.has_work_hint:
            self._hinted_work = 0.99 * self._hinted_work + job.work
            self._hinted_run_time = 0.99 * self._hinted_run_time + run_time
            total, weight = self._kind_speeds.get(w.entry.kind, (0.0, 0.0))
            speed = min(3.0, max(0.3, job.work / run_time * self._hinted_run_time / self._hinted_work))
            self._kind_speeds[w.entry.kind] = 0.99 * total + speed, 0.99 * weight + 1.0
            run_time = job.work
        self._mean_work[job.cls] += 0.05 * (run_time - self._mean_work[job.cls])

    def _check_attempt(self, now: int, a: _Attempt) -> None:
        """Moves a repeatable attempt that has not started while other workers have room."""
        job = a.job
        if not a.in_flight or a.cancelled:
            return
        if a.started_at is None and now - a.sent_at > SLOW_START_DELAY:
            self._adapt_admission(a, True)
        if not self._movable[job.cls]:
            if a.started_at is None and now - a.sent_at < NEGLECT_TIMEOUT:
                self._set_timer(a.sent_at + NEGLECT_TIMEOUT, job, a)
            return
        silent_at = a.last_seen + 3 * self._settings.progress if self._settings.progress else job.give_up_at
        if a.started_at is not None and now < silent_at:
            self._set_timer(silent_at, job, a)
            return
        if not job.late and now > self._latest_start(job) and self._may_refuse(job):
            self._cancel(a)
            return
        c = self._settings.classes[job.cls]
        in_time = c.effect == "safe" or now < a.sent_at + c.repeat_window - 4 * self._settings.tick
        may_move = (
            self._move_budget.tokens >= 1.0 and len(job.attempts) < self._settings.max_attempts and in_time
        )
        if a.started_at is None:
            self._mark_full(now, a.worker)
            if now - a.sent_at < MOVE_DELAY:
                self._set_timer(a.sent_at + MOVE_DELAY, job, a)
                return
        if may_move and (c.group == "all" or self._choose_worker(now, job) is not None):
            self._cancel(a)
            return
        self._set_timer(now + START_TIMEOUT, job, a)

    def _run_housekeeping(self, now: int) -> None:
        """Subscribes to the worker list where needed, and probes in turn workers not heard from lately."""
        s = self._settings
        if not self._subscribed and now >= self._subscribe_at:
            self._subscribe_at = now + int(self._subscribe_delay * (0.75 + 0.5 * self._random.random()))
            self._subscribe_delay = min(2 * self._subscribe_delay, max(SECOND, s.ask_within // 2))
            self._actions.append(i.Subscribe())
        self._update_weights()
        self._admission = min(1.0, self._admission + ADMISSION_RECOVERY_PER_S * HOUSEKEEPING_PERIOD / SECOND)
        for key in [key for key, at in self._suspected_at.items() if now - at > SUSPICION_DURATION]:
            del self._suspected_at[key], self._proven[key]
        self._probe_budget.add(self._probe_rate * HOUSEKEEPING_PERIOD / SECOND)
        if not s.probes or s.reports == "none":
            return
        for _ in range(len(self._active)):
            w = self._active[self._next_probe % len(self._active)]
            last_report = max(w.probed_at, w.reported_at if s.reports == "answers" else 0)
            if w.probe_deadline <= now and now - last_report >= REPROBE_INTERVAL / w.subset_weight:
                if not self._probe_budget.take(now):
                    break
                self._send_probe(now, w)
            self._next_probe += 1

    def _send_probe(self, now: int, w: _Worker) -> None:
        w.probed_at = now
        w.probe_deadline = now + PROBE_TIMEOUT
        self._actions.append(i.Probe(w.entry.worker))
