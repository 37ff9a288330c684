"""The host of the decision module: feeds it events, carries out its actions in order, knows no protocol.

It decides nothing about whom, when or whether to retry. A second protocol would bring its own frontend and
backend and pass through the same `Dispatcher`, and so through the same decisions and rules.
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
from heronstall.net.connection import OUTCOME, Ending
from heronstall.net.loop import Coroutine, Task
from heronstall.net.server_table import BackendServer
from heronstall.ops.counters import JobCounters, JobResult

REPORT_EVERY = 10_000_000
# What each kind of answer was to the client. One that has left counts as failed: nobody was served.
FATE: dict[str, JobResult] = {
    "served": "succeeded",
    "refused": "declined",
    "failed": "aborted",
    "unusable": "aborted",
    "gone": "aborted",
}
log = logging.getLogger("heronstall.dispatcher")


class Answer(NamedTuple):
    """The final answer to a session, in no protocol's words. Times are microseconds."""

    kind: Literal["served", "refused", "failed", "unusable"]
    body: bytes = b""
    retry_after: int = 0


class OpenDispatch(Protocol):
    """A dispatch under way, as its protocol's backend made it."""

    def start(self) -> None:
        """Begin. It ends with one call of `Dispatcher.dispatch_ended`."""

    def cancel(self) -> None:
        """Close it now, unless it has ended."""


class Backend(Protocol):
    """What a protocol's backend side offers."""

    def dispatch(self, session: Session, server: BackendServer, index: int, until: int) -> OpenDispatch:
        """Prepare one attempt."""

    def probe(self, server: BackendServer) -> None:
        """Ask for a report; one `ProbeResult` is posted for it."""


class Due(Protocol):
    """A call to come."""

    def cancel(self) -> None:
        """Have it not come."""


class Clock(Protocol):
    """What of a loop the dispatcher uses; `heronstall.model` brings one of virtual time."""

    now: int

    def soon(self, call: Callable[[], None]) -> None:
        """Make a call once the events in hand are seen to."""

    def at(self, when: int, call: Callable[[], None]) -> Due:
        """Make a call at a moment or just after it."""


class Table(Protocol):
    """What of the server table the dispatcher uses."""

    by_number: dict[int, BackendServer]


class Decisions(Protocol):
    """The decision module, as its host sees it."""

    def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
        """Take the events of one moment and say what to do."""

    def ejected_workers(self, now: int) -> list[int]:
        """The listed servers that are left out at this moment by the decisions' own choice."""


class Observer(Protocol):
    """Whoever wants to see what the decisions are told and what they say."""

    def observe(self, now: int, told: Sequence[i.Event], said: Sequence[i.Action]) -> None:
        """One turn of them."""


class Guard(Protocol):
    """Who keeps others informed of the jobs in hand, so that they survive this process."""

    def taken(self, session: Session) -> None:
        """A session was made."""

    def writing(self, session: Session, server: BackendServer, index: int) -> None:
        """An attempt is about to be made."""

    def may_write(self, session: Session, task: Task | None, until: int) -> Coroutine[None]:
        """Wait until its first byte may be written. Raises Ended where it may not."""

    def ended(self, session: Session, ending: Ending) -> None:
        """An attempt has ended."""

    def answers(self, session: Session, answer: Answer) -> bool:
        """A session's answer; whether it has to wait, and is given by `settle`."""

    def gone(self, session: Session) -> None:
        """A session's client has left."""


class Session:
    """One request of a client, from its last byte to its one final answer."""

    __slots__ = (
        "number",
        "cls",
        "deadline",
        "arrival",
        "job",
        "reply",
        "over",
        "attempts",
        "open",
        "lent",
        "client_left",
        "anchor",
        "anchor_at",
    )

    def __init__(
        self, number: int, arrival: i.Arrival, deadline: int, job: Any, reply: Callable[[Answer], None]
    ) -> None:
        self.number, self.cls, self.deadline, self.arrival = number, arrival.cls, deadline, arrival
        self.job = job  # what the protocol has to pass on; opaque here
        self.reply = reply
        self.over = False  # answered, or its client has left
        self.lent = False  # the decisions are done with it, and its answer comes from elsewhere
        self.attempts = 0
        self.open: OpenDispatch | None = None
        self.client_left: Callable[[], bool] = lambda: False  # asked of the client's connection itself
        self.anchor: int | None = None  # the first attempt written that is not proved never to have run
        self.anchor_at = 0  # when its first byte was written


class Dispatcher:
    """Sessions in, dispatches out."""

    def __init__(self, config: Config, loop: Clock, decisions: Decisions | None = None) -> None:
        self._loop = loop
        self._balancer: Decisions = decisions or Balancer(config.settings, config.seed)
        self._sessions: dict[int, Session] = {}
        self._events: list[i.Event] = []
        self._timer: Due | None = None
        self._next = 1
        self._counts: Counter[str] = Counter()
        self.figures = JobCounters(config.classes)
        self.table: Table
        self.backend: Backend
        self._windows = [c.repeat_window if c.effect == "keyed" else None for c in config.settings.classes]
        self._window_margin = 2 * config.settings.tick  # as the decisions keep
        self.guard: Guard | None = None
        self.observers: list[Observer] = []  # each sees every turn of the decisions, and changes nothing
        loop.at(loop.now + REPORT_EVERY, self._report)

    # ------------------------------------------------------------------ events

    def post(self, event: i.Event) -> None:
        """Tell the module. All events of one batch of the loop reach it together."""
        if not self._events:
            self._loop.soon(self._turn)
        self._events.append(event)

    def submit(
        self, arrival: i.Arrival, job: Any, reply: Callable[[Answer], None], guarded: bool = False
    ) -> Session:
        """A request has come whole; `arrival` lacks only its number. `guarded`: the guard knows of it."""
        session = Session(self._next, arrival, self._loop.now + arrival.time_left, job, reply)
        self._next += 1
        self.figures.record_accepted()
        self._sessions[session.number] = session
        self.post(arrival._replace(request=session.number))
        if self.guard is not None and not guarded:
            self.guard.taken(session)
        return session

    def lend(self, session: Session) -> None:
        """Somebody else has its job: the decisions are done with it, and its client waits for `settle`."""
        if not session.over:
            session.over = session.lent = True
            self.post(i.ClientGone(session.number))
            self._forget(session)

    def settle(self, session: Session, answer: Answer) -> None:
        """The answer to a session that was lent, or whose answer had to wait."""
        if session.lent or not session.over:
            session.lent = False
            self._over(session, answer.kind)
            session.reply(answer)
            self._forget(session)

    def client_gone(self, session: Session) -> None:
        """The client left, or its answer can't be given any more."""
        if self.guard is not None and (session.lent or not session.over):
            self.guard.gone(session)
        if session.lent:
            session.lent = False
            self._over(session, "gone")
        elif not session.over:
            self._over(session, "gone")
            self.post(i.ClientGone(session.number))
            self._forget(session)

    def may_begin(self, session: Session) -> bool:
        """Whether an attempt's first byte may be written now.

        It was decided on a while ago: since then its client may have left, and the time in which a keyed
        request may go again may have run out.
        """
        if not session.over and session.client_left():
            self.client_gone(session)
        return not session.over and self._loop.now < self.begin_by(session)

    def begin_by(self, session: Session) -> int:
        """The moment up to which a first byte may be written."""
        window = self._windows[session.cls]
        if session.anchor is None or window is None:
            return session.deadline
        return min(session.deadline, session.anchor_at + window - self._window_margin)

    def begins(self, session: Session, index: int) -> None:
        """An attempt's first byte is about to be written."""
        if session.anchor is None:
            session.anchor, session.anchor_at = index, self._loop.now

    def written(self) -> None:
        """An attempt's last byte has been written: from now on it may have run."""
        self.figures.record_forward()

    def note(self, session: Session, server: BackendServer, index: int, share: float | None) -> None:
        """The job has started (no share), or a share of it is done."""
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
        """The one end of a dispatch: it becomes one Outcome, and a result goes straight to the client."""
        self._counts[f"ending.{ending.name.lower()}"] += 1
        session.open = None
        if session.anchor == index and OUTCOME[ending] in i.PROVES_NOT_RUN:
            session.anchor = None
        if self.guard is not None:
            self.guard.ended(session, ending)
        if ending is Ending.SERVED:
            self._answer(session.number, Answer("served", result))
        elif ending is Ending.UNUSABLE:
            # Guards healthy servers: what the client sent is at fault, and no other server could use it.
            self._answer(session.number, Answer("unusable"))
        self.post(
            i.Outcome(session.number, server.number, index, session.over, OUTCOME[ending], latency, report)
        )
        self._forget(session)

    def avoided(self) -> list[int]:
        """The numbers of the servers that the decisions leave out now by their own choice."""
        return self._balancer.ejected_workers(self._loop.now)

    # ------------------------------------------------------------------ actions

    def _turn(self) -> None:
        batch, self._events = self._events, []
        self._counts["turns"] += 1
        actions = self._balancer.handle(self._loop.now, batch)
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:  # guards the actions behind it: each belongs to some other session
                log_event(log, events.UNEXPECTED, where=f"carrying out {action}")
        for observer in tuple(self.observers) if self.observers else ():
            try:
                observer.observe(self._loop.now, batch, actions)
            except Exception:  # guards serving against whoever only watches it
                log_event(log, events.UNEXPECTED, where="an observer: it is told no more")
                self.observers.remove(observer)

    def _carry_out(self, action: i.Action) -> None:
        if isinstance(action, i.Send):
            self._send(action)
        elif isinstance(action, i.Cancel):
            session = self._sessions.get(action.request)
            if session is not None and session.open is not None and action.attempt == session.attempts - 1:
                session.open.cancel()
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
        # Subscribe: the watch is always on.

    def _send(self, action: i.Send) -> None:
        session = self._sessions.get(action.request)
        server = self.table.by_number.get(action.worker)
        if session is None:
            log_event(log, events.DISPATCH_UNKNOWN_REQUEST, session=action.request)
            return
        index = session.attempts
        session.attempts += 1
        if session.over or server is None or session.open is not None:
            # Guards the rules against a wrong decision: no copy beside another, none after the final answer.
            log_event(log, events.DISPATCH_FAILED, dispatch=index, session=session.number)
            self.post(i.Outcome(session.number, action.worker, index, session.over, "not_sent"))
            return
        until = session.deadline
        if action.timeout:
            until = min(until, self._loop.now + action.timeout)
        session.open = dispatch = self.backend.dispatch(session, server, index, until)
        if self.guard is not None:
            self.guard.writing(session, server, index)
        dispatch.start()

    def _answer(self, number: int, answer: Answer) -> None:
        session = self._sessions.get(number)
        if session is not None and not session.over:
            if self.guard is not None and self.guard.answers(session, answer):
                return
            self._over(session, answer.kind)
            session.reply(answer)
            self._forget(session)

    def _over(self, session: Session, kind: str) -> None:
        """The one place where a session ends for its client, whatever ends it."""
        session.over = True
        self._counts[f"answer.{kind}"] += 1
        self.figures.record_result(session.cls, FATE[kind])

    def _forget(self, session: Session) -> None:
        if session.over and session.open is None:
            self._sessions.pop(session.number, None)

    def _report(self) -> None:
        if self._counts:
            told = " ".join(f"{name}={count}" for name, count in sorted(self._counts.items()))
            log_event(log, events.COUNTS, open=len(self._sessions), counts=told)
            self._counts.clear()
        self._loop.at(self._loop.now + REPORT_EVERY, self._report)
