"""The audit: reports which rules were broken, where and on what evidence, from the boundary crossings alone.

It shares no code with the dispatcher and does not know its internal state. `slack` is the possible error of
times: 0 in virtual time; on sockets, the difference between two processes' readings of one clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Literal

from heronstall.fleet import boundary as b
from heronstall.fleet.server import NEVER_RAN
from heronstall.fleet.spec import Scenario

Rule = Literal["one-answer", "one-effect", "drain", "cold", "crash"]
MAX_EVIDENCE = 12  # crossings shown for one breach
RESTART_GRACE_US = 700_000  # a request that arrives later than this after SIGTERM may be lost to SIGKILL
# Part of the work that overloaded a server that must come from dispatchers informed of the server's start.
BLAME_SHARE = 2.0 / 3.0
REFUSAL_STATUSES = (429, 503)
# Number of crossings between prunings; microseconds for which a request is kept after its deadline.
PRUNE_INTERVAL, RETENTION_US = 50_000, 2_000_000


@dataclass(frozen=True)
class Breach:
    """A violation of a rule."""

    rule: Rule
    at: int
    node: int
    text: str
    evidence: tuple[str, ...] = ()

    def row(self) -> dict[str, object]:
        """Returns the breach as plain values."""
        return {
            "rule": self.rule,
            "at_s": round(self.at / 1e6, 6),
            "dispatcher": self.node,
            "text": self.text,
            "evidence": list(self.evidence),
        }


@dataclass
class _Attempt:
    server: int
    number: int
    written: int
    arrived: int | None = None
    over: int | None = None
    how: str | None = None
    concurrent: b.Written | None = None  # the first attempt written before this one had ended

    def may_have_executed(self) -> bool:
        return self.arrived is not None and self.how not in NEVER_RAN


@dataclass
class _Session:
    node: int
    cls: int
    taken: int
    time_left: int
    answered: int | None = None
    left: bool = False
    attempts: dict[int, _Attempt] = field(default_factory=dict)
    crossings: list[b.Crossing] = field(default_factory=list)


class Audit:
    """Checks crossings fed in order of time; `breaches` returns the result.

    `shared`: dispatchers share the lists that they receive from discovery. A dispatcher may then know that a
    server has restarted although its own agent, which it no longer queries, last reported the old process as
    draining.
    """

    def __init__(
        self, scenario: Scenario, zone_of_server: list[int], slack: int = 0, shared: bool = False
    ) -> None:
        self._scenario, self._server_zones, self._slack, self._shared = (
            scenario,
            zone_of_server,
            slack,
            shared,
        )
        self._sessions: dict[str, _Session] = {}
        # Requests recalled by their clients and apparently never read by a dispatcher.
        self._recalled_sessions: dict[str, tuple[_Session, b.Recalled]] = {}
        self._dispatcher_stops: dict[int, list[b.NodeDown]] = {}
        self._server_states: dict[tuple[int, int], tuple[str, int, int]] = {}
        # By server: the latest of its processes that any dispatcher was told is serving.
        self._latest_serving_boot: dict[int, int] = {}
        self._breaches: list[Breach] = []
        self._crossing_count = 0
        self._handlers: dict[type, Callable[[Any], None]] = {
            b.Taken: self._record_request,
            b.Answered: self._record_end,
            b.Unanswered: self._record_end,
            b.Left: self._record_end,
            b.Recalled: self._record_recall,
            b.Written: self._record_attempt,
            b.Arrived: self._record_attempt_event,
            b.Over: self._record_attempt_event,
            b.ToldOf: self._record_server_state,
            b.NodeDown: self._record_stop,
            b.Fell: self._check_cold_overload,
            b.Probed: self._record_probe,
        }
        self.attempts = 0
        self.probes = 0

    def run(self, crossings: Iterable[b.Crossing], end: int) -> list[Breach]:
        """Feeds all crossings and returns the breaches; `end` is the time at which the run ended."""
        for crossing in crossings:
            self.feed(crossing)
        return self.breaches(end)

    def feed(self, c: b.Crossing) -> None:
        """Processes one crossing."""
        self._crossing_count += 1
        if self._crossing_count % PRUNE_INTERVAL == 0:
            self._prune(c.at)
        handler = self._handlers.get(type(c))
        if handler is not None:
            handler(c)

    def _record_request(self, c: b.Taken) -> None:
        self._sessions[c.id] = _Session(c.node, c.cls, c.at, c.time_left, crossings=[c])

    def _record_recall(self, c: b.Recalled) -> None:
        session = self._sessions.get(c.id)
        if session is not None and not session.attempts:  # an attempt shows that the request was read
            del self._sessions[c.id]
            self._recalled_sessions[c.id] = session, c
        elif session is not None:
            self._record_end(b.Unanswered(c.at, c.node, c.id))

    def _record_server_state(self, c: b.ToldOf) -> None:
        state = self._server_states.get((c.node, c.server))
        if state is None or state[0] != c.state:
            self._server_states[c.node, c.server] = (c.state, c.at, c.boot_ms)
        if c.state == "SERVING":
            self._latest_serving_boot[c.server] = max(c.boot_ms, self._latest_serving_boot.get(c.server, 0))

    def _record_stop(self, c: b.NodeDown) -> None:
        self._dispatcher_stops.setdefault(c.node, []).append(c)
        if c.crashed:
            self._report_breach("crash", c.at, c.node, "the dispatcher ended without a stop request", None)

    def _record_probe(self, c: b.Probed) -> None:
        self.probes += 1

    def _prune(self, now: int) -> None:
        """Removes requests that ended long ago: a large run has hundreds of thousands.

        An attempt made even later is reported as sent without a request from a client.
        """
        old = [
            id
            for id, s in self._sessions.items()
            if now > s.taken + s.time_left + RETENTION_US
            and (s.answered is not None or s.left)
            and all(a.over is not None for a in s.attempts.values())
        ]
        for id in old:
            del self._sessions[id]
        self._recalled_sessions = {
            id: row for id, row in self._recalled_sessions.items() if row[1].at + RETENTION_US > now
        }

    def _report_breach(self, rule: Rule, at: int, node: int, text: str, session: _Session | None) -> None:
        crossings = session.crossings[-MAX_EVIDENCE:] if session is not None else []
        self._breaches.append(Breach(rule, at, node, text, tuple(_format_crossing(c) for c in crossings)))

    # ------------------------------------------------------------------ one final answer per request

    def _record_end(self, c: b.Answered | b.Unanswered | b.Left) -> None:
        session = self._sessions.get(c.id)
        if session is None:
            return
        session.crossings.append(c)
        limit = session.taken + session.time_left + self._scenario.answer_grace + self._slack
        if isinstance(c, b.Left):  # a client that waited until the limit did not leave early
            session.left = session.left or (session.answered is None and c.at < limit)
            return
        if isinstance(c, b.Unanswered):
            # A dispatcher stopped by SIGTERM may lose requests that came too late; a killed one loses all of
            # its requests.
            if session.answered is None and not session.left and not self._excused(session, c.at):
                self._report_breach(
                    "one-answer", c.at, c.node, f"{c.id} lost: closed without a complete answer", session
                )
            session.left = True
            return
        if session.answered is not None:
            self._report_breach("one-answer", c.at, c.node, f"{c.id} answered twice", session)
            return
        session.answered = c.at
        if c.at > limit and not session.left:
            delay_ms = (c.at - limit) / 1000
            self._report_breach(
                "one-answer", c.at, c.node, f"{c.id} answered {delay_ms:.1f} ms too late", session
            )
        if c.status == 200 and not c.own:
            self._report_breach(
                "one-answer", c.at, c.node, f"{c.id} served with a result that no server made for it", session
            )
        if c.status in REFUSAL_STATUSES:
            self._check_refusal(c, session)

    def _excused(self, session: _Session, at: int) -> bool:
        for down in self._dispatcher_stops.get(session.node, []):
            if down.gone_at + self._slack < session.taken:
                continue
            if down.asked_at is None:
                return True
            if session.taken > down.asked_at + RESTART_GRACE_US - self._slack:
                return True
        return False

    def breaches(self, end: int) -> list[Breach]:
        """Returns all breaches in order of time. To be called once, after the end of the run."""
        for id, session in self._sessions.items():
            for attempt in session.attempts.values():
                if attempt.over is None and attempt.concurrent is not None:
                    self._report_concurrent_attempts(attempt, attempt.concurrent, session)
            due = session.taken + session.time_left + self._scenario.answer_grace + self._slack
            if (
                session.answered is None
                and not session.left
                and due < end
                and not self._excused(session, end)
            ):
                self._report_breach("one-answer", due, session.node, f"{id} never answered", session)
        return sorted(self._breaches, key=lambda breach: (breach.at, breach.rule, breach.text))

    # ------------------------------------------------------------------ effects

    def _record_attempt(self, c: b.Written) -> None:
        self.attempts += 1
        session = self._sessions.get(c.id)
        if session is None and c.id in self._recalled_sessions:
            # Its bytes were in transit when its dispatcher died and arrive now, so the request had been read.
            session, recalled = self._recalled_sessions.pop(c.id)
            self._sessions[c.id] = session
            self._record_end(b.Unanswered(recalled.at, recalled.node, recalled.id))
        if session is None:
            self._report_breach("one-effect", c.at, c.node, f"{c.id} sent without a client request", None)
            return
        session.crossings.append(c)
        self._check_drain(c, session)
        for earlier in session.attempts.values():
            if earlier.over is None and earlier.concurrent is None:
                # The close of one attempt and the first byte of the other may be recorded in either order.
                # Whether they overlapped is checked once the end is known.
                earlier.concurrent = c
        self._check_repeat(c, session)
        session.attempts[c.attempt] = _Attempt(c.server, c.attempt, c.at)

    def _check_repeat(self, c: b.Written, session: _Session) -> None:
        cls = self._scenario.classes[session.cls]
        ran = [a for a in session.attempts.values() if a.may_have_executed()]
        if not ran or cls.effect == "safe":
            return
        first = ran[0]
        if cls.effect == "unsafe":
            text = f"{c.id} of {cls.name} sent to {c.server} although it may have run at {first.server}"
        elif cls.group != "all" and self._server_zones[first.server] != self._server_zones[c.server]:
            text = f"{c.id} of {cls.name} sent to a zone other than the one in which it may have run"
        elif c.at > first.written + cls.window + self._slack:
            text = f"{c.id} of {cls.name} repeated after its repeat window"
        else:
            return
        self._report_breach("one-effect", c.at, c.node, text, session)

    def _check_refusal(self, c: b.Answered, session: _Session) -> None:
        cls = self._scenario.classes[session.cls]
        if cls.effect == "safe" or (cls.effect == "keyed" and cls.group == "all"):
            return
        # An attempt still in progress counts. If its end crossed the refusal, its actual end decides.
        ran = [a for a in session.attempts.values() if a.may_have_executed()]
        if ran:
            text = f"{c.id} of {cls.name} refused although it may have run at {ran[0].server}"
            self._report_breach("one-effect", c.at, c.node, text, session)

    def _record_attempt_event(self, c: b.Arrived | b.Over) -> None:
        session = self._sessions.get(c.id)
        attempt = session.attempts.get(c.attempt) if session is not None else None
        if session is None or attempt is None:
            return
        session.crossings.append(c)
        if isinstance(c, b.Arrived):
            attempt.arrived = c.at
        elif attempt.over is None:
            attempt.over, attempt.how = c.at, c.how
            if attempt.concurrent is not None and c.at > attempt.concurrent.at + self._slack:
                self._report_concurrent_attempts(attempt, attempt.concurrent, session)

    def _report_concurrent_attempts(self, first: _Attempt, second: b.Written, session: _Session) -> None:
        text = f"{second.id} sent to {second.server} while its attempt at {first.server} is in progress"
        self._report_breach("one-effect", second.at, second.node, text, session)

    # ------------------------------------------------------------------ drains and cold starts

    def _check_drain(self, c: b.Written, session: _Session) -> None:
        reported = self._server_states.get((c.node, c.server))
        if reported is None or reported[0] == "SERVING":
            return
        if self._shared and self._latest_serving_boot.get(c.server, 0) > reported[2]:
            return  # a later process serves there
        delay_us = c.at - reported[1] - self._scenario.drain_grace - self._slack
        if delay_us > 0:
            text = f"{c.id} sent to {c.server} {delay_us / 1000:.1f} ms after the grace ({reported[0]})"
            self._report_breach("drain", c.at, c.node, text, session)

    def _check_cold_overload(self, c: b.Fell) -> None:
        total = sum(c.pushed.values())
        informed_work = 0.0
        for node, work in c.pushed.items():
            reported = self._server_states.get((node, c.server))
            informed_work += (
                work
                if reported is not None and reported[0] == "SERVING" and reported[1] >= c.started_at
                else 0.0
            )
        if total and informed_work >= BLAME_SHARE * total:
            parts = ", ".join(f"{node}: {work / 1000:.0f} ms" for node, work in sorted(c.pushed.items()))
            worst = max(c.pushed, key=lambda node: c.pushed[node])
            self._report_breach("cold", c.at, worst, f"cold server {c.server} overloaded by {parts}", None)


def _format_crossing(c: b.Crossing) -> str:
    values = c._asdict()
    at = values.pop("at")
    fields = " ".join(f"{name}={value}" for name, value in values.items())
    return f"{at / 1e6:.6f} {type(c).__name__} {fields}"
