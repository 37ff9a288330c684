"""A simulated backend server: cores, slots, a FIFO queue, cold starts, load reports and failures.

The host (`model` or `lab`) passes in attempts whose last byte has arrived and delivers the server's updates.
Of the network, the server only knows the number of its connections and the work that each of them costs.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import prod
from typing import Literal, NamedTuple

from heronstall.fleet.spec import SECOND, Scenario, ServerKind
from heronstall.fleet.streams import Streams, Table, uniforms
from heronstall.fleet.timeline import Moment, Timeline

AttemptEvent = Literal["started", "running", "done", "failed", "returned", "rejected", "lost"]
NEVER_RAN: frozenset[str] = frozenset(("returned", "rejected"))
FINAL_EVENTS: frozenset[str] = frozenset(("done", "failed", "returned", "rejected", "lost"))
WARMUP_STEP_US = 100_000  # microseconds between updates of running work while the server warms up
FALL_SLACK = 1.15  # a server fails from overload above this multiple of the budget, to tolerate chance
DONE_TOLERANCE = 0.5  # microseconds of work: a job with no more left is done


class Report(NamedTuple):
    """A load report: errors per second, jobs held, share of the cores in use, free slots."""

    eps: float
    inflight: float
    util: float
    free: float


class AttemptUpdate(NamedTuple):
    """A server's update on an attempt; `share` is the progress of `running`, final events carry a report."""

    event: AttemptEvent
    share: float = 0.0
    report: Report | None = None


class Job:
    """An attempt at a server. `on_update` is called with each update."""

    __slots__ = (
        "id",
        "number",
        "key",
        "work",
        "slots",
        "node",
        "on_update",
        "left",
        "started",
        "last_progress_at",
        "over",
        "gone",
    )

    def __init__(
        self,
        id: str,
        number: int,
        key: str | None,
        work: float,
        node: int,
        on_update: Callable[[AttemptUpdate], None],
    ) -> None:
        self.id, self.number, self.key, self.work, self.node, self.on_update = (
            id,
            number,
            key,
            work,
            node,
            on_update,
        )
        self.slots = 1
        self.left = work
        self.started = self.last_progress_at = -1
        self.over = self.gone = False


class RepeatFilter:
    """The keyed jobs that the servers of one group have completed: a repeat has no second effect."""

    def __init__(self) -> None:
        self._seen: dict[str, int] = {}
        self.dropped = 0

    def record_completion(self, key: str, now: int, window: int) -> bool:
        """Records a finished job and returns whether it has an effect of its own."""
        first = self._seen.get(key)
        if first is not None and now - first < window:
            self.dropped += 1
            return False
        self._seen[key] = now
        return True


@dataclass
class ServerCounters:
    """Counters of a server. Work is in microseconds at speed 1."""

    work: float = 0.0  # of jobs, whatever their outcome
    overhead: float = 0.0  # of handshakes and probes
    jobs: int = 0
    rejected: int = 0
    handshakes: int = 0
    turned_down: int = 0  # connections beyond the rate limit
    probes: int = 0


class Server:
    """One backend server."""

    def __init__(
        self,
        scenario: Scenario,
        streams: Streams,
        timeline: Timeline,
        number: int,
        zone: int,
        kind: int,
        repeats: RepeatFilter,
    ) -> None:
        self.number, self.zone, self.kind = number, zone, kind
        self.uid = f"s-{number:04x}"
        self.spec: ServerKind = scenario.kinds[kind]
        self._scenario, self._timeline, self._repeats = scenario, timeline, repeats
        k, me = self.spec, ("server", number)
        self.speed = streams.draw_from(k.speed, *me, "speed")
        self._full_capacity = k.cores * self.speed  # when warm, with slowdowns applied
        self._handshake = streams.draw_from(k.handshake, *me, "handshake")
        self._recent_connects: deque[int] = deque()  # accepted in the last second
        self._probe = streams.draw_from(k.probe, *me, "probe")
        self._report_interval = max(1, round(streams.draw_from(scenario.report_every, *me, "report")))
        noise = streams.of(*me, "noise").standard_normal(size=512)
        self._noise = Table(noise * scenario.report_noise)
        self._errors = uniforms(streams, *me, "errors") if k.errors else None
        self._phase = int(streams.of(*me, "phase").integers(self._report_interval))
        self.running: list[Job] = []
        self.queue: deque[Job] = deque()
        self.connections = 0
        self.up = True  # the process runs
        self.vanished = False  # the machine vanished; connections stay open
        self.fallen = False  # failed from overload; it stays down
        self.draining = False
        self.started_at = -k.cold  # warm from the start of the run
        self._silent = 0  # number of active silences; _stalled counts those in which work stops
        self._stalled = 0
        self._slowdowns: list[float] = []
        self._report_delays: list[int] = []
        self._withheld: list[tuple[Job, AttemptUpdate]] = []
        self._pending_overhead = 0.0  # microseconds of work
        self._advanced_to = 0
        self._busy_core_time = 0.0  # core-microseconds since the last report
        self._failed_jobs = 0
        self._snapshots: deque[tuple[int, Report]] = deque(maxlen=64)
        self._snapshot_count = 0  # index into the noise
        self._recent_work: deque[tuple[int, float, int]] = deque()
        self._scheduled_wake: Moment | None = None
        self.tally = ServerCounters()
        self.on_change: list[Callable[[Server, str], None]] = []  # died, vanished, started, drains, fell
        timeline.at(self._phase, self._snapshot)

    # ------------------------------------------------------------------ capacity

    @property
    def answers(self) -> bool:
        """Whether the server currently responds."""
        return self.up and not self.vanished and not self._silent

    def warm_share(self, now: int) -> float:
        """Returns the available share of the full capacity."""
        k, age = self.spec, now - self.started_at
        return 1.0 if age >= k.cold else k.cold_from + (1.0 - k.cold_from) * max(0, age) / k.cold

    def core_rate(self, now: int) -> float:
        """Returns the work that a core does per microsecond, before crowding."""
        return 0.0 if self._stalled or not self.up or self.vanished else self.capacity(now) / self.spec.cores

    def capacity(self, now: int) -> float:
        """Returns the work that all cores can do per microsecond, even while work is stopped."""
        return (
            self._full_capacity
            if now >= self.started_at + self.spec.cold
            else self._full_capacity * self.warm_share(now)
        )

    def _rate(self, now: int) -> float:
        """Returns the work done on each running job per microsecond."""
        k, n = self.spec, len(self.running)
        shared = n + (self._pending_overhead > 0.0)
        core_rate = self.core_rate(now)
        if shared > k.cores:
            core_rate *= k.cores / shared
        return core_rate / (1.0 + k.crowding * (n - k.cores)) if n > k.cores else core_rate

    def _advance(self, now: int) -> None:
        span, self._advanced_to = now - self._advanced_to, now
        if span <= 0:
            return
        rate = self._rate(now)
        self._busy_core_time += span * min(
            len(self.running) + (self._pending_overhead > 0.0), self.spec.cores
        )
        if rate <= 0.0:
            return
        if self._pending_overhead > 0.0:
            worked = min(self._pending_overhead, rate * span)
            self._pending_overhead -= worked
            self.tally.overhead += worked
        for job in self.running:
            worked = min(job.left, rate * span)
            job.left -= worked
            self.tally.work += worked

    # ------------------------------------------------------------------ incoming work

    def connect(self) -> bool:
        """Returns whether a new connection is accepted. It costs work and counts until `disconnect`."""
        if not self.up or self.connections >= self.spec.connections or self._connect_limit_reached():
            return False
        self.connections += 1
        self.tally.handshakes += 1
        self._advance(self._timeline.now)
        self._pending_overhead += self._handshake
        self._schedule_wake()
        return True

    def _connect_limit_reached(self) -> bool:
        """Returns whether the limit of connections per second is reached; counts the connection if not."""
        most, now, lately = self.spec.connects_per_s, self._timeline.now, self._recent_connects
        while lately and lately[0] <= now - 1_000_000:
            lately.popleft()
        if most and len(lately) >= most:
            self.tally.turned_down += 1
            return True
        if most:
            lately.append(now)
        return False

    def disconnect(self) -> None:
        """Removes a connection that has ended."""
        self.connections = max(0, self.connections - 1)

    def probe(self) -> Report | None:
        """Returns the load report, or None if there is none yet. Costs work."""
        self.tally.probes += 1
        self._advance(self._timeline.now)
        self._pending_overhead += self._probe
        self._schedule_wake()
        return self.report()

    def offer(self, job: Job) -> None:
        """Accepts or rejects an attempt whose last byte has arrived."""
        now = self._timeline.now
        self.tally.jobs += 1
        if now < self.started_at + self.spec.cold and self._record_overload(now, job):
            return
        self._advance(now)
        full = len(self.running) >= self.spec.slots and len(self.queue) >= self.spec.queue
        if self.draining or full:
            self.tally.rejected += 1
            self._send_update(job, "rejected")
            return
        self.queue.append(job)
        self._start(now)
        self._schedule_wake()

    def drop(self, job: Job) -> None:
        """Handles the loss of a job's sender.

        A waiting job is dropped if the server's kind does so; a running job continues.
        """
        job.gone = True
        if not job.over and job.started < 0 and self.spec.drops and job in self.queue:
            now = self._timeline.now
            self._advance(now)
            job.over = True
            self.queue.remove(job)
            self._start(now)
            self._schedule_wake()

    def _record_overload(self, now: int, job: Job) -> bool:
        """Returns whether this work overloads a cold server. Rejected work counts too."""
        s, pushed = self._scenario, self._recent_work
        pushed.append((now, job.work, job.node))
        while pushed and pushed[0][0] <= now - s.fall:
            pushed.popleft()
        budget = FALL_SLACK * s.fall_multiple * max(self.capacity(now), 1e-9) * s.fall
        # A single job never counts as an overload, however large it is.
        if len(pushed) < 2 or sum(work for _, work, _ in pushed) <= budget:
            return False
        self.fallen = True
        self._notify_change("fell")
        self.kill()
        return True

    def overload_by_dispatcher(self) -> dict[int, float]:
        """Returns the work of each dispatcher in the window that caused the overload."""
        by: dict[int, float] = {}
        for _, work, node in self._recent_work:
            by[node] = by.get(node, 0.0) + work
        return by

    # ------------------------------------------------------------------ work

    def _start(self, now: int) -> None:
        """Starts queued jobs in order; a job that does not fit blocks those behind it."""
        if not self.up or self.vanished or self._stalled:
            return
        used = sum(job.slots for job in self.running)
        while self.queue and used + self.queue[0].slots <= self.spec.slots:
            job = self.queue.popleft()
            used += job.slots
            job.started = job.last_progress_at = now
            self.running.append(job)
            if self._scenario.notes:
                self._send_update(job, "started")

    def _schedule_wake(self) -> None:
        """Schedules `_on_wake` for the next internal event."""
        if self._scheduled_wake is not None:
            self._scheduled_wake.cancel()
            self._scheduled_wake = None
        if not self.running and self._pending_overhead <= 0.0:
            return
        now = self._timeline.now
        rate = self._rate(now)
        if rate <= 0.0:
            return
        wait = float("inf")
        for job in self.running:
            wait = min(
                wait,
                job.left / rate,
                job.last_progress_at + self._scenario.progress - now if self._scenario.notes else wait,
            )
        if self._pending_overhead > 0.0:
            wait = min(wait, self._pending_overhead / rate)
        if now < self.started_at + self.spec.cold:
            wait = min(wait, WARMUP_STEP_US)
        self._scheduled_wake = self._timeline.at(now + max(1, int(wait + 0.999)), self._on_wake)

    def _on_wake(self) -> None:
        now = self._timeline.now
        self._scheduled_wake = None
        self._advance(now)
        done = [job for job in self.running if job.left <= DONE_TOLERANCE]
        if done:
            self.running = [job for job in self.running if job.left > DONE_TOLERANCE]
            for job in done:
                self._finish(now, job)
            self._start(now)
        if self._scenario.notes:
            for job in self.running:
                if now - job.last_progress_at >= self._scenario.progress:
                    job.last_progress_at = now
                    self._send_update(job, "running", 1.0 - job.left / job.work)
        self._schedule_wake()

    def _finish(self, now: int, job: Job) -> None:
        if self._errors is not None and self._errors[stable_number(job.id)] < self.spec.errors:
            self._failed_jobs += 1
            self._send_update(job, "failed")
            return
        if job.key is not None:
            self._repeats.record_completion(job.key, now, max(c.window for c in self._scenario.classes))
        self._send_update(job, "done")

    def _send_update(self, job: Job, event: AttemptEvent, share: float = 0.0) -> None:
        if event in FINAL_EVENTS:
            job.over = True
        update = AttemptUpdate(event, share, self.report() if event in FINAL_EVENTS else None)
        if self._silent:
            self._withheld.append((job, update))
        else:
            job.on_update(update)

    # ------------------------------------------------------------------ reports

    def _snapshot(self) -> None:
        now = self._timeline.now
        self._timeline.at(now + self._report_interval, self._snapshot)
        if not self.up or self.vanished:
            return
        self._advance(now)
        span, k = self._report_interval / SECOND, self.spec
        self._snapshot_count += 1
        noise = [max(0.0, 1.0 + self._noise[4 * self._snapshot_count + n]) for n in range(4)]
        used = sum(job.slots for job in self.running)
        report = Report(
            round(self._failed_jobs / span * noise[0], 3),
            round((len(self.running) + len(self.queue)) * noise[1], 1),
            round(min(1.0, self._busy_core_time / (self._report_interval * k.cores) * noise[2]), 3),
            round(max(0.0, min(float(k.slots), (k.slots - used) * noise[3])), 2),
        )
        self._busy_core_time, self._failed_jobs = 0.0, 0
        self._snapshots.append((now, report))

    def report(self) -> Report | None:
        """Returns the current load report: the last one, or an older one while reports are delayed."""
        if self._scenario.reports == "none":
            return None
        until = self._timeline.now - sum(self._report_delays)
        return next((r for at, r in reversed(self._snapshots) if at <= until), None)

    # ------------------------------------------------------------------ troubles

    def _notify_change(self, change: str) -> None:
        for call in self.on_change:
            call(self, change)

    def silence(self, on: bool, stands: bool) -> None:
        """Starts or ends a silence, in which the server accepts work but sends nothing.

        With `stands`, work stops too. Withheld updates are sent when the last silence ends.
        """
        now = self._timeline.now
        self._advance(now)
        step = 1 if on else -1
        self._silent += step
        self._stalled += step if stands else 0
        if not self._silent:
            held, self._withheld = self._withheld, []
            for job, update in held:
                if self.up:
                    job.on_update(update)
            self._start(now)
        self._schedule_wake()

    def slow(self, times: float, on: bool) -> None:
        """Starts or ends a slowdown of every core by the factor `times`."""
        self._advance(self._timeline.now)
        self._slowdowns.append(times) if on else self._slowdowns.remove(times)
        self._full_capacity = self.spec.cores * self.speed / prod(self._slowdowns)
        self._schedule_wake()

    def late_reports(self, by: int, on: bool) -> None:
        """Starts or ends a delay of load reports by `by` microseconds."""
        self._report_delays.append(by) if on else self._report_delays.remove(by)

    def kill(self) -> None:
        """Kills the process: its connections are reset and unfinished work is lost."""
        if self.up:
            self._discard_work()
            self.up = False
            self._notify_change("died")

    def vanish(self) -> None:
        """Makes the machine disappear: connections stay open and silent."""
        if self.up and not self.vanished:
            self._discard_work()
            self.vanished = True
            self._notify_change("vanished")

    def _discard_work(self) -> None:
        self._advance(self._timeline.now)
        for job in [*self.running, *self.queue]:
            job.over = True
        self.running.clear()
        self.queue.clear()
        self._withheld.clear()
        self._pending_overhead = 0.0
        if self._scheduled_wake is not None:
            self._scheduled_wake.cancel()
            self._scheduled_wake = None

    def start(self) -> None:
        """Starts a new, cold process under the same id. A server that failed from overload stays down."""
        if self.fallen or (self.up and not self.vanished):
            return
        now = self._timeline.now
        returned = self.vanished
        self.up, self.vanished, self.draining = True, False, False
        self.started_at = self._advanced_to = now
        self.connections = 0
        self._busy_core_time, self._failed_jobs = 0.0, 0
        self._recent_work.clear()
        self._snapshots.clear()
        self._notify_change("returned" if returned else "started")

    def drain(self) -> None:
        """Starts draining: running jobs complete, new ones are rejected, and waiting ones may be returned."""
        if not self.up or self.draining:
            return
        now = self._timeline.now
        self._advance(now)
        self.draining = True
        if self.spec.hands_back:
            waiting = [*self.queue]
            self.queue.clear()
            for job in waiting:
                self._send_update(job, "returned")
        self._notify_change("drains")
        self._schedule_wake()


def stable_number(text: str) -> int:
    """Returns a number for a text that is the same in every process."""
    return int.from_bytes(text.encode()[-8:], "little")
