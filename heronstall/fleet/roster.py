"""Discovery: knows whether processes run, tells each dispatcher seconds late, and is blind to silence.

A change is told to each dispatcher after a delay of its own. Revisions count changes of the whole roster, so
a dispatcher whose agent has changes r1 < r2 gets both, in order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from heronstall.fleet.server import Server
from heronstall.fleet.spec import Scenario
from heronstall.fleet.streams import Streams, uniforms
from heronstall.fleet.timeline import Timeline

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
Told = Callable[[int, dict[str, Any]], None]  # a dispatcher's number and an object in discovery's form
Endpoint = Callable[[int, Server], str]


class Roster:
    """The list of servers as discovery has it, and what each dispatcher's agent has been sent of it."""

    def __init__(
        self,
        scenario: Scenario,
        streams: Streams,
        timeline: Timeline,
        servers: list[Server],
        endpoint: Endpoint,
    ) -> None:
        self._s, self._time, self._servers, self._endpoint = scenario, timeline, servers, endpoint
        self._delay = [uniforms(streams, "roster", node) for node in range(scenario.dispatchers)]
        self._blind = uniforms(streams, "roster", "blind")
        self._silent = 0
        self.rev = 1
        self._states = {s.number: SERVING for s in servers}
        self._boots = {s.number: 0 for s in servers}
        self._waiting: list[list[tuple[int, int, str, int]]] = [[] for _ in range(scenario.dispatchers)]
        self.held: list[dict[int, tuple[str, int]]] = [
            {s.number: (SERVING, 0) for s in servers} for _ in range(scenario.dispatchers)
        ]
        self.held_rev = [1] * scenario.dispatchers
        self._last: list[int] = [0] * scenario.dispatchers  # news must not overtake older news
        self.on_told: list[Told] = []
        self.origin_ms = 0  # Unix time of the run's start; boot times are given in it
        for server in servers:
            server.on_change.append(self._changed)

    def _changed(self, server: Server, change: str) -> None:
        wait = 0
        if change == "drains":
            state = DRAINING
        elif change == "died":
            state = DELETED
        elif change in ("started", "returned"):
            state = SERVING
        elif change == "vanished":  # noticed late, by what keeps the roster, and not if it is back by then
            low, high = self._s.blind
            wait = int(low + (high - low) * self._blind[server.number])
            self._time.at(self._time.now + wait, lambda: self._noticed(server))
            return
        else:
            return
        self._publish(server, state)

    def _noticed(self, server: Server) -> None:
        if server.away:
            self._publish(server, DELETED)

    def _publish(self, server: Server, state: str) -> None:
        boot = self.origin_ms + server.started_at // 1000 if server.started_at > 0 else 0
        boot = max(boot, 1) if server.started_at > 0 else 0
        self.rev += 1
        self._states[server.number], self._boots[server.number] = state, boot
        low, high = self._s.discovery_delay
        for node in range(self._s.dispatchers):
            when = self._time.now + int(low + (high - low) * self._delay[node][self.rev])
            when = self._last[node] = max(when, self._last[node])
            change = (self.rev, server.number, state, boot)
            self._time.at(when, lambda node=node, change=change: self._arrives(node, change))  # type: ignore[misc]

    def _arrives(self, node: int, change: tuple[int, int, str, int]) -> None:
        self._waiting[node].append(change)
        if not self._silent:
            self._flush(node)

    def _flush(self, node: int) -> None:
        news, self._waiting[node] = self._waiting[node], []
        if not news:
            return
        latest: dict[int, tuple[str, int]] = {}
        for rev, number, state, boot in news:
            latest[number] = self.held[node][number] = (state, boot)
            self.held_rev[node] = rev
        told = {
            "rev": self.held_rev[node],
            "all": False,
            "targets": [self._entry(node, number, *latest[number]) for number in latest],
        }
        for call in self.on_told:
            call(node, told)

    def silence(self, on: bool) -> None:
        """Discovery tells nothing; what happened meanwhile comes when it ends."""
        self._silent += 1 if on else -1
        if not self._silent:
            for node in range(self._s.dispatchers):
                self._flush(node)

    @property
    def silent(self) -> bool:
        """Whether it tells nothing at present."""
        return self._silent > 0

    def _entry(self, node: int, number: int, state: str, boot: int) -> dict[str, Any]:
        server = self._servers[number]
        return {
            "uid": server.uid,
            "endpoint": self._endpoint(node, server),
            "az": self._s.zones[server.zone].name,
            "model": server.spec.name,
            "pod_group": server.zone,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot,
        }

    def whole(self, node: int) -> dict[str, Any]:
        """All that a dispatcher's agent holds, in discovery's form."""
        held = self.held[node]
        rows = [self._entry(node, n, state, boot) for n, (state, boot) in held.items() if state != DELETED]
        return {"rev": self.held_rev[node], "all": True, "targets": rows}
