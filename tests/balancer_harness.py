"""A test harness for the Balancer: passes events to it and checks the four rules after every step."""

from __future__ import annotations

from dataclasses import dataclass, field

from heronstall.decide import Balancer
from heronstall.interface import (
    PROVES_NOT_RUN,
    Action,
    Arrival,
    Cancel,
    Event,
    Fail,
    JobNote,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    Report,
    RequestClass,
    Send,
    Settings,
    Status,
    Timer,
    WakeAt,
    WorkerEntry,
    WorkerList,
)

MS, S = 1_000, 1_000_000
SAFE = RequestClass(aim=150 * MS, deadline=5 * S, effect="safe", stretch=2.0, late_worth=0.25)
UNSAFE = RequestClass(
    aim=1 * S, deadline=15 * S, effect="unsafe", stretch=2.0, worth=5.0, late_worth=0.5, priority=1
)
ZONED = RequestClass(
    aim=150 * MS, deadline=5 * S, effect="keyed", group="zone", repeat_window=3 * S, stretch=2.5
)
CELLED = RequestClass(
    aim=150 * MS, deadline=5 * S, effect="keyed", group="cell", repeat_window=3 * S, stretch=2.0
)
ANYWHERE = RequestClass(
    aim=1 * S, deadline=15 * S, effect="keyed", group="all", repeat_window=9 * S, stretch=2.0
)
CLASSES = (SAFE, UNSAFE, ZONED, CELLED, ANYWHERE)


def make_settings(**changes: object) -> Settings:
    """Returns settings that allow everything, with reports by probe; `changes` replaces some of them."""
    base: dict[str, object] = {
        "classes": CLASSES,
        "nodes": 2,
        "tick": 4 * MS,
        "reports": "probe",
        "probes": True,
        "cancelling": True,
        "max_attempts": 4,
        "answer_grace": 16 * MS,
        "cold": 8 * S,
        "cold_from": 0.3,
        "fall": S,
        "fall_multiple": 3.0,
        "tells_start": True,
    }
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


@dataclass
class Attempt:
    """An attempt, as the actions and events describe it."""

    worker: int
    sent_at: int
    is_open: bool = True
    may_have_run: bool = True


@dataclass
class RequestState:
    """A request, as the actions and events describe it."""

    cls: int
    client_deadline: int
    attempts: list[Attempt] = field(default_factory=list)
    answer: str = ""


class BalancerHarness:
    """Drives one Balancer; every `step` checks its actions against the rules."""

    def __init__(self, settings: Settings | None = None, seed: int = 7) -> None:
        self.settings = settings or make_settings()
        self.balancer = Balancer(self.settings, seed)
        self.now = 1_000 * S
        self.requests: dict[int, RequestState] = {}
        self.entries: dict[int, WorkerEntry] = {}
        self.probed_workers: list[int] = []
        self.wake_times: list[int] = []
        self.last_actions: list[Action] = []

    def wait_for_probe(self, within: int = 20 * S) -> None:
        """Lets time pass without events until the Balancer sends a probe."""
        until = self.now + within
        while not self.probed_workers and self.now < until:
            self.step(after=200 * MS)

    def step(self, *events: Event, after: int = 0) -> list[Action]:
        """Lets time pass, passes the events (and a due timer) on, checks the actions and returns them."""
        self.now += after
        batch = list(events)
        if any(w <= self.now for w in self.wake_times):
            self.wake_times = [w for w in self.wake_times if w > self.now]
            batch.append(Timer())
        for event in batch:
            self._record(event)
        self.last_actions = self.balancer.handle(self.now, batch)
        for action in self.last_actions:
            self._check(action)
        for request in self.requests.values():
            assert request.answer or self.now <= request.client_deadline + self.settings.answer_grace, (
                "a request was lost"
            )
        return self.last_actions

    def run(self, duration: int, pace: int = 4 * MS) -> list[Action]:
        """Runs the Balancer's timers for a time, without other events; returns all actions."""
        actions: list[Action] = []
        end = self.now + duration
        while self.now < end:
            self.now += pace
            if any(w <= self.now for w in self.wake_times):
                actions += self.step()
        return actions

    def _record(self, event: Event) -> None:
        """Updates the state of requests and workers by an event."""
        if isinstance(event, Arrival):
            self.requests[event.request] = RequestState(event.cls, self.now + event.time_left)
        elif isinstance(event, Outcome):
            request = self.requests[event.request]
            attempt = request.attempts[event.attempt]
            attempt.is_open, attempt.may_have_run = False, event.status not in PROVES_NOT_RUN
            if event.ended and not request.answer:
                request.answer = "served" if event.status == "ok" else "ended"
        elif isinstance(event, WorkerList) and event.scope != "error":
            if event.scope != "changes":
                self.entries = {}
            self.entries.update({entry.worker: entry for entry in event.entries})

    def _check(self, action: Action) -> None:
        """Checks an action and updates the state of its request."""
        if isinstance(action, WakeAt):
            assert action.at > self.now
            self.wake_times.append(action.at)
        elif isinstance(action, Probe):
            self.probed_workers.append(action.worker)
        elif isinstance(action, Cancel):
            assert self.settings.cancelling
        elif isinstance(action, Send):
            self._check_send(action)
        elif isinstance(action, (Refuse, Fail)):
            request = self.requests[action.request]
            assert not request.answer, "answered twice"
            request.answer = "refused" if isinstance(action, Refuse) else "failed"
            cls = self.settings.classes[request.cls]
            if isinstance(action, Refuse) and (
                cls.effect == "unsafe" or (cls.effect == "keyed" and cls.group != "all")
            ):
                assert not any(attempt.may_have_run for attempt in request.attempts), (
                    "refused a job that may have run"
                )

    def _check_send(self, action: Send) -> None:
        """Checks a send and adds its attempt to the request."""
        request = self.requests[action.request]
        cls = self.settings.classes[request.cls]
        entry = self.entries.get(action.worker)
        assert entry is not None and entry.state == "active", "sent to a worker that is draining or gone"
        assert not request.answer, "sent after the final answer"
        assert len(request.attempts) < self.settings.max_attempts
        assert self.settings.second_copies or not any(attempt.is_open for attempt in request.attempts), (
            "two attempts at once"
        )
        possible_runs = [attempt for attempt in request.attempts if attempt.may_have_run]
        if possible_runs and cls.effect != "safe":
            assert cls.effect == "keyed", "an unsafe job was sent again"
            assert self.now <= possible_runs[0].sent_at + cls.repeat_window, "sent after the repeat window"
            first = self.entries.get(possible_runs[0].worker)
            if cls.group != "all" and first is not None:
                same = first.zone == entry.zone if cls.group == "zone" else first.cell == entry.cell
                assert same, "sent outside the group"
        request.attempts.append(Attempt(action.worker, self.now))

    # ------------------------------------------------------------- shortcuts

    def fleet(self, *entries: WorkerEntry, free: float = 4.0) -> None:
        """Sends a complete list, and a new report of every worker."""
        self.step(WorkerList("complete", entries))
        self.report(*(x.worker for x in entries), free=free)

    def report(self, *workers: int, free: float = 4.0, util: float = 0.2) -> None:
        """Sends new reports of these workers."""
        results = [
            ProbeResult(worker, True, 1000, Report(util=util, inflight=4.0 - free, free_slots=free))
            for worker in workers
        ]
        self.step(*results)

    def request(self, number: int, cls: int = 0, work: int = 200 * MS, **options: object) -> list[Action]:
        """Sends the arrival of a request."""
        time_left = options.pop("time_left", self.settings.classes[cls].deadline)
        return self.step(Arrival(number, cls, time_left, work=work, **options))  # type: ignore[arg-type]

    def started(self, number: int) -> list[Action]:
        """Sends the start of a request's latest attempt."""
        attempts = self.requests[number].attempts
        return self.step(JobNote(number, attempts[-1].worker, len(attempts) - 1))

    def outcome(self, number: int, status: Status, attempt: int = -1) -> list[Action]:
        """Sends the end of an attempt, by default the latest one."""
        attempts = self.requests[number].attempts
        index = attempt % len(attempts)
        return self.step(Outcome(number, attempts[index].worker, index, status == "ok", status, 1000))

    def serve(
        self, number: int, cls: int = 0, work: int = 200 * MS, delay: int = 0, **options: object
    ) -> int:
        """Serves a request after reports of all workers; returns its worker, 0 if it is refused."""
        self.report(*self.entries)
        self.request(number, cls, work, **options)
        if self.answer(number) == "refused":
            return 0
        (send,) = self.sends()
        self.now += delay
        self.started(number)
        self.outcome(number, "ok")
        return send.worker

    def sends(self) -> list[Send]:
        """Returns the sends of the last step."""
        return [a for a in self.last_actions if isinstance(a, Send)]

    def answer(self, number: int) -> str:
        """Returns the answer to a request; empty if there is none."""
        return self.requests[number].answer


def workers(count: int, **options: object) -> list[WorkerEntry]:
    """Returns workers 1 to `count`, distributed over two zones and three cells."""
    return [WorkerEntry(n, zone=n % 2, cell=n % 3, **options) for n in range(1, count + 1)]  # type: ignore[arg-type]
