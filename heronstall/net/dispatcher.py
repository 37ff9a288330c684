"""The host of the decision module: passes events to it and executes its actions in order.

It makes no decision about servers, times or retries and depends on no protocol. A second protocol would have
its own frontend and backend and use the same `Dispatcher`, hence the same decisions and rules.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, Literal, NamedTuple, Protocol

from heronstall import events
from heronstall import interface as i
from heronstall.config import Config
from heronstall.decide import Balancer
from heronstall.events import log_event
from heronstall.net.connection import STATUS_BY_ENDING, Ending
from heronstall.net.loop import Coroutine, Task
from heronstall.net.server_table import BackendServer
from heronstall.ops.counters import JobCounters, JobResult

LOG_INTERVAL_US = 10_000_000  # between log lines with counts
# The result counted for each kind of answer. A client that has left counts as failed: it was not served.
RESULT_BY_ANSWER: dict[str, JobResult] = {
    "served": "succeeded",
    "refused": "declined",
    "failed": "aborted",
    "unusable": "aborted",
    "gone": "aborted",
}
log = logging.getLogger("heronstall.dispatcher")


class Answer(NamedTuple):
    """The final answer to a session, independent of the protocol. Times are in microseconds."""

    kind: Literal["served", "refused", "failed", "unusable"]
    body: bytes = b""
    retry_after: int = 0


class OpenDispatch(Protocol):
    """A dispatch in progress, created by the protocol's backend."""

    def start(self) -> None:
        """Starts the dispatch, which ends with one call of `Dispatcher.dispatch_ended`."""

    def cancel(self) -> None:
        """Cancels the dispatch unless it has ended."""


class Backend(Protocol):
    """The interface of a protocol's backend."""

    def dispatch(self, session: Session, server: BackendServer, index: int, until: int) -> OpenDispatch:
        """Creates the dispatch of one attempt."""

    def probe(self, server: BackendServer) -> None:
        """Requests a load report; posts one `ProbeResult`."""


class ScheduledCall(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None:
        """Cancels the callback."""


class Scheduler(Protocol):
    """The part of an event loop that the dispatcher uses; `heronstall.model` has one with virtual time."""

    now: int

    def soon(self, callback: Callable[[], None]) -> None:
        """Schedules a callback after the current events."""

    def at(self, when: int, callback: Callable[[], None]) -> ScheduledCall:
        """Schedules a callback for a time; it runs then or shortly after."""


class ServerLookup(Protocol):
    """The part of the server table that the dispatcher uses."""

    by_number: dict[int, BackendServer]


class Decisions(Protocol):
    """The interface of the decision module."""

    def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
        """Handles the events of one turn and returns the actions to execute."""

    def ejected_workers(self, now: int) -> list[int]:
        """Returns the listed servers that the decision module currently ejects."""


class Observer(Protocol):
    """Observes the events and actions of the decision module."""

    def observe(self, now: int, batch: Sequence[i.Event], actions: Sequence[i.Action]) -> None:
        """Observes one turn."""


class JobGuard(Protocol):
    """Replicates open jobs to other processes, so that they survive the loss of this one."""

    def session_created(self, session: Session) -> None:
        """Called when a session was created."""

    def attempt_starting(self, session: Session, server: BackendServer, index: int) -> None:
        """Called when an attempt is about to start."""

    def wait_until_writable(self, session: Session, task: Task | None, until: int) -> Coroutine[None]:
        """Waits until the attempt's first byte may be written. Raises ConnectionEnded if it may not be."""

    def attempt_ended(self, session: Session, ending: Ending) -> None:
        """Called when an attempt has ended."""

    def defers_answer(self, session: Session, answer: Answer) -> bool:
        """Returns whether a session's answer must wait; it is then given by `Dispatcher.deliver_answer`."""

    def client_gone(self, session: Session) -> None:
        """Called when a session's client has left."""


class Session:
    """A client's request, from its last byte until its final answer."""

    __slots__ = (
        "number",
        "cls",
        "deadline",
        "arrival",
        "job",
        "reply",
        "over",
        "attempts",
        "open_dispatch",
        "handed_off",
        "client_left",
        "first_possible_run",
        "first_possible_run_at",
    )

    def __init__(
        self, number: int, arrival: i.Arrival, deadline: int, job: Any, reply: Callable[[Answer], None]
    ) -> None:
        self.number, self.cls, self.deadline, self.arrival = number, arrival.cls, deadline, arrival
        self.job = job  # what the protocol forwards; opaque here
        self.reply = reply
        self.over = False  # answered, or its client has left
        self.handed_off = False  # the decision module is done with it; the guard supplies the answer
        self.attempts = 0
        self.open_dispatch: OpenDispatch | None = None
        self.client_left: Callable[[], bool] = lambda: False  # checks the client's connection itself
        # The first written attempt that is not proved not to have run, and when its first byte was written.
        self.first_possible_run: int | None = None
        self.first_possible_run_at = 0


class Dispatcher:
    """Turns sessions into dispatches, as the decision module decides."""

    def __init__(self, config: Config, loop: Scheduler, decisions: Decisions | None = None) -> None:
        self._loop = loop
        self._balancer: Decisions = decisions or Balancer(config.settings, config.seed)
        self._sessions: dict[int, Session] = {}
        self._pending_events: list[i.Event] = []
        self._timer: ScheduledCall | None = None
        self._next_number = 1
        self._counts: Counter[str] = Counter()
        self.figures = JobCounters(config.classes)
        self.table: ServerLookup
        self.backend: Backend
        self._repeat_windows = [
            c.repeat_window if c.effect == "keyed" else None for c in config.settings.classes
        ]
        self._window_margin = 2 * config.settings.tick  # the same margin as in the decision module
        self.guard: JobGuard | None = None
        self.observers: list[Observer] = []  # of every turn of the decision module
        loop.at(loop.now + LOG_INTERVAL_US, self._log_counts)

    # ------------------------------------------------------------------ events

    def post(self, event: i.Event) -> None:
        """Passes an event to the decision module, together with all others of one turn of the event loop."""
        if not self._pending_events:
            self._loop.soon(self._run_decisions)
        self._pending_events.append(event)

    def submit(
        self, arrival: i.Arrival, job: Any, reply: Callable[[Answer], None], guarded: bool = False
    ) -> Session:
        """Creates a session for a complete request; `guarded` if the guard has its job already.

        `arrival` has no request number yet.
        """
        session = Session(self._next_number, arrival, self._loop.now + arrival.time_left, job, reply)
        self._next_number += 1
        self.figures.record_accepted()
        self._sessions[session.number] = session
        self.post(arrival._replace(request=session.number))
        if self.guard is not None and not guarded:
            self.guard.session_created(session)
        return session

    def hand_off(self, session: Session) -> None:
        """Ends a session for the decision module: its job runs elsewhere. Its client waits for an answer."""
        if not session.over:
            session.over = session.handed_off = True
            self.post(i.ClientGone(session.number))
            self._forget(session)

    def deliver_answer(self, session: Session, answer: Answer) -> None:
        """Answers a session that was handed off, or whose answer was deferred."""
        if session.handed_off or not session.over:
            session.handed_off = False
            self._finish(session, answer.kind)
            session.reply(answer)
            self._forget(session)

    def client_gone(self, session: Session) -> None:
        """Ends a session whose client left, or can no longer be answered."""
        if self.guard is not None and (session.handed_off or not session.over):
            self.guard.client_gone(session)
        if session.handed_off:
            session.handed_off = False
            self._finish(session, "gone")
        elif not session.over:
            self._finish(session, "gone")
            self.post(i.ClientGone(session.number))
            self._forget(session)

    def was_never_run(self, session: Session) -> bool:
        """Returns whether the job of a session that has ended has not run and certainly never will.

        A process that stood still cannot tell if others have taken its jobs over, where a guard lets them.
        """
        return self.guard is None and session.over and session.first_possible_run is None

    def may_start(self, session: Session) -> bool:
        """Returns whether an attempt's first byte may be written now.

        Since the decision its client may have left, and the repeat window of a keyed request may have ended.
        """
        if not session.over and session.client_left():
            self.client_gone(session)
        return not session.over and self._loop.now < self.latest_start(session)

    def latest_start(self, session: Session) -> int:
        """Returns the time until which an attempt's first byte may be written."""
        window = self._repeat_windows[session.cls]
        if session.first_possible_run is None or window is None:
            return session.deadline
        return min(session.deadline, session.first_possible_run_at + window - self._window_margin)

    def record_start(self, session: Session, index: int) -> None:
        """Records that an attempt's first byte is about to be written."""
        if session.first_possible_run is None:
            session.first_possible_run, session.first_possible_run_at = index, self._loop.now

    def record_sent(self) -> None:
        """Counts an attempt whose last byte has been written: from now on it may have run."""
        self.figures.record_forward()

    def note(self, session: Session, server: BackendServer, index: int, share: float | None) -> None:
        """Reports that the job has started (`share` None), or which share of it is done."""
        self.post(i.JobNote(session.number, server.number, index, share))

    def dispatch_ended(
        self,
        session: Session,
        server: BackendServer,
        index: int,
        ending: Ending,
        latency: int,
        report: i.Report | None,
        result: bytes,
    ) -> None:
        """Ends a dispatch: posts one Outcome, and sends a result to the client at once."""
        self._counts[f"ending.{ending.name.lower()}"] += 1
        session.open_dispatch = None
        if session.first_possible_run == index and STATUS_BY_ENDING[ending] in i.PROVES_NOT_RUN:
            session.first_possible_run = None
        if self.guard is not None:
            self.guard.attempt_ended(session, ending)
        if ending is Ending.SERVED:
            self._answer(session.number, Answer("served", result))
        elif ending is Ending.UNUSABLE:
            # Guards healthy servers: the client's request is at fault, and no other server could use it.
            self._answer(session.number, Answer("unusable"))
        self.post(
            i.Outcome(
                session.number, server.number, index, session.over, STATUS_BY_ENDING[ending], latency, report
            )
        )
        self._forget(session)

    def avoided(self) -> list[int]:
        """Returns the numbers of the servers that the decision module currently ejects."""
        return self._balancer.ejected_workers(self._loop.now)

    # ------------------------------------------------------------------ actions

    def _run_decisions(self) -> None:
        """Passes the pending events to the decision module and executes its actions."""
        batch, self._pending_events = self._pending_events, []
        self._counts["turns"] += 1
        actions = self._balancer.handle(self._loop.now, batch)
        for action in actions:
            try:
                self._execute(action)
            except Exception:  # guards the other actions, which belong to other sessions
                log_event(log, events.UNEXPECTED, where=f"executing {action}")
        for observer in tuple(self.observers) if self.observers else ():
            try:
                observer.observe(self._loop.now, batch, actions)
            except Exception:  # guards the service against a failing observer
                log_event(log, events.UNEXPECTED, where="an observer, which is removed")
                self.observers.remove(observer)

    def _execute(self, action: i.Action) -> None:
        if isinstance(action, i.Send):
            self._send(action)
        elif isinstance(action, i.Cancel):
            session = self._sessions.get(action.request)
            if (
                session is not None
                and session.open_dispatch is not None
                and action.attempt == session.attempts - 1
            ):
                session.open_dispatch.cancel()
        elif isinstance(action, i.Refuse):
            self._answer(action.request, Answer("refused", retry_after=action.retry_after))
        elif isinstance(action, i.Fail):
            self._answer(action.request, Answer("failed"))
        elif isinstance(action, i.WakeAt):
            if self._timer is not None:
                self._timer.cancel()
            mark = action.mark
            self._timer = self._loop.at(action.at, lambda: self.post(i.Timer(mark)))
        elif isinstance(action, i.Probe):
            server = self.table.by_number.get(action.worker)
            if server is not None:
                self.backend.probe(server)
        elif isinstance(action, i.Log):
            log_event(log, events.DECISION_LOG, text=action.text)
        # Subscribe needs no action: the watch is always open.

    def _send(self, action: i.Send) -> None:
        session = self._sessions.get(action.request)
        server = self.table.by_number.get(action.worker)
        if session is None:
            log_event(log, events.DISPATCH_UNKNOWN_REQUEST, session=action.request)
            return
        index = session.attempts
        session.attempts += 1
        if session.over or server is None or session.open_dispatch is not None:
            # Guards against a wrong decision: no attempt beside an open one, none after the final answer.
            log_event(log, events.DISPATCH_FAILED, dispatch=index, session=session.number)
            self.post(i.Outcome(session.number, action.worker, index, session.over, "not_sent"))
            return
        until = session.deadline
        if action.timeout:
            until = min(until, self._loop.now + action.timeout)
        session.open_dispatch = dispatch = self.backend.dispatch(session, server, index, until)
        if self.guard is not None:
            self.guard.attempt_starting(session, server, index)
        dispatch.start()

    def _answer(self, number: int, answer: Answer) -> None:
        session = self._sessions.get(number)
        if session is not None and not session.over:
            if self.guard is not None and self.guard.defers_answer(session, answer):
                return
            self._finish(session, answer.kind)
            session.reply(answer)
            self._forget(session)

    def _finish(self, session: Session, kind: str) -> None:
        """Ends a session for its client and counts the result. Every session ends here."""
        session.over = True
        self._counts[f"answer.{kind}"] += 1
        self.figures.record_result(session.cls, RESULT_BY_ANSWER[kind])

    def _forget(self, session: Session) -> None:
        """Removes a session that has ended and has no open dispatch."""
        if session.over and session.open_dispatch is None:
            self._sessions.pop(session.number, None)

    def _log_counts(self) -> None:
        if self._counts:
            counts = " ".join(f"{name}={count}" for name, count in sorted(self._counts.items()))
            log_event(log, events.COUNTS, open=len(self._sessions), counts=counts)
            self._counts.clear()
        self._loop.at(self._loop.now + LOG_INTERVAL_US, self._log_counts)
