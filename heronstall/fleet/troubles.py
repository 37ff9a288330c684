"""Troubles on their way: at each one's moment it is done to its targets, at its end undone.

Two troubles may meet on one server; each counts for itself, and an end undoes its own beginning alone.
"""

from __future__ import annotations

from typing import Protocol

from heronstall.fleet.roster import Roster
from heronstall.fleet.server import Server
from heronstall.fleet.spec import Scenario, Trouble
from heronstall.fleet.streams import Streams
from heronstall.fleet.timeline import Timeline
from heronstall.fleet.ways import Ways


class Dispatchers(Protocol):
    """What a host lets troubles do to dispatchers and connections."""

    def crash(self, node: int, back: int) -> None:
        """Kill it outright; it is started again at `back`."""

    def restart(self, node: int, back: int) -> None:
        """Ask it to end (SIGTERM); it is started again once it has, not before `back`."""

    def set_resets(self, share: float) -> None:
        """From now on so large a share of exchanges meets a broken connection; 0 ends it."""

    def set_stale(self, after: int | None) -> None:
        """From now on connections idle for so long are dead without a word; None ends it."""


def chosen(streams: Streams, what: str, nth: int, part: float, among: list[int]) -> list[int]:
    """A part of `among`, at least one, drawn for the nth trouble."""
    if not among:
        return []
    size = max(1, min(len(among), round(part * len(among))))
    picks = streams.of("trouble", nth, what).permutation(len(among))[:size]
    return sorted(among[int(n)] for n in picks)


def nodes_of(scenario: Scenario, streams: Streams, nth: int, trouble: Trouble) -> list[int]:
    """The dispatchers that the nth trouble strikes."""
    among = list(range(scenario.dispatchers))
    return chosen(streams, "dispatchers", nth, trouble.part, among)


class Troubles:
    """Puts a scenario's troubles on the timeline."""

    def __init__(
        self,
        scenario: Scenario,
        streams: Streams,
        timeline: Timeline,
        servers: list[Server],
        ways: Ways,
        roster: Roster,
        dispatchers: Dispatchers | None,
    ) -> None:
        self._s, self._streams, self._time = scenario, streams, timeline
        self._servers, self._ways, self._roster, self._hosts = servers, ways, roster, dispatchers
        self.log: list[tuple[int, str]] = []
        for nth, trouble in enumerate(scenario.troubles):
            timeline.at(trouble.at, lambda nth=nth, t=trouble: self._begin(nth, t))  # type: ignore[misc]

    def targets(self, nth: int, trouble: Trouble) -> list[Server]:
        """The servers that the nth trouble strikes."""
        names = [z.name for z in self._s.zones]
        zone = names.index(trouble.zone) if trouble.zone is not None else None
        among = [s.number for s in self._servers if zone is None or s.zone == zone]
        return [self._servers[n] for n in chosen(self._streams, "servers", nth, trouble.part, among)]

    def strike(self, trouble: Trouble) -> None:
        """Begin one now that the scenario does not have; its `at` says nothing."""
        self._begin(len(self._s.troubles) + len(self.log), trouble)

    def _begin(self, nth: int, t: Trouble) -> None:
        now = self._time.now
        end = now + t.length
        self.log.append((now, t.kind))

        def later(call: object) -> None:
            self._time.at(end, call)  # type: ignore[arg-type]

        if t.kind == "zone-cut":
            zone = [z.name for z in self._s.zones].index(t.zone or "")
            self._ways.cut(zone, True)
            later(lambda: self._ways.cut(zone, False))
        elif t.kind == "discovery-silent":
            self._roster.silence(True)
            later(lambda: self._roster.silence(False))
        elif t.kind in ("dispatcher-crash", "dispatcher-restart", "resets", "stale"):
            self._to_dispatchers(nth, t, end)
        elif t.kind != "heavy-tail":  # that one is in the traffic already
            for server in self._servers if t.kind in ("cold-fleet", "late-reports") else self.targets(nth, t):
                self._to_server(server, t, end)

    def _to_dispatchers(self, nth: int, t: Trouble, end: int) -> None:
        hosts = self._hosts
        if hosts is None:
            return
        if t.kind == "resets":
            hosts.set_resets(t.part)
            self._time.at(end, lambda: hosts.set_resets(0.0))
        elif t.kind == "stale":
            hosts.set_stale(int(t.size * 1_000_000))
            self._time.at(end, lambda: hosts.set_stale(None))
        else:
            for node in nodes_of(self._s, self._streams, nth, t):
                (hosts.crash if t.kind == "dispatcher-crash" else hosts.restart)(node, end)

    def _to_server(self, server: Server, t: Trouble, end: int) -> None:
        at = self._time.at
        if t.kind == "silent":
            server.silence(True, t.stands)
            at(end, lambda: server.silence(False, t.stands))
        elif t.kind == "slow":
            server.slow(t.size, True)
            at(end, lambda: server.slow(t.size, False))
        elif t.kind == "late-reports":
            by = int(t.size * 1_000_000)
            server.late_reports(by, True)
            at(end, lambda: server.late_reports(by, False))
        elif t.kind == "vanish":
            server.vanish()
            at(end, server.start)
        elif t.kind == "kill":
            server.kill()
            at(end, server.start)
        elif t.kind == "cold-fleet":
            server.kill()
            server.start()
        elif t.kind == "release":
            server.drain()

            def replace() -> None:
                server.kill()
                self._time.at(end + t.back, server.start)

            at(end, replace)
