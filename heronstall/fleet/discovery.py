"""Simulates service discovery: it knows which processes run and informs each dispatcher with a delay.

It does not notice a server that runs but does not respond. Each dispatcher receives a change after a delay of
its own. Revisions count the changes of the whole server list; an agent receives all changes in order of
revision.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from heronstall.fleet.server import Server
from heronstall.fleet.spec import Scenario
from heronstall.fleet.streams import Streams, uniforms
from heronstall.fleet.timeline import Timeline

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
UpdateListener = Callable[[int, dict[str, Any]], None]  # dispatcher number and update in discovery's format
Endpoint = Callable[[int, Server], str]


class DiscoveryService:
    """The server list of discovery and the state that each dispatcher's agent has received."""

    def __init__(
        self,
        scenario: Scenario,
        streams: Streams,
        timeline: Timeline,
        servers: list[Server],
        endpoint: Endpoint,
    ) -> None:
        self._scenario, self._timeline, self._servers, self._endpoint = scenario, timeline, servers, endpoint
        self._delay_draws = [uniforms(streams, "roster", node) for node in range(scenario.dispatchers)]
        self._detection_draws = uniforms(streams, "roster", "blind")
        self._silence_count = 0
        self.rev = 1
        self._states = {s.number: SERVING for s in servers}
        self._boot_times = {s.number: 0 for s in servers}
        self._pending_changes: list[list[tuple[int, int, str, int]]] = [
            [] for _ in range(scenario.dispatchers)
        ]
        self.agent_states: list[dict[int, tuple[str, int]]] = [
            {s.number: (SERVING, 0) for s in servers} for _ in range(scenario.dispatchers)
        ]
        self.agent_revisions = [1] * scenario.dispatchers
        self._last_delivery: list[int] = [0] * scenario.dispatchers  # a change must not overtake an older one
        self.on_update: list[UpdateListener] = []
        self.origin_ms = 0  # Unix time of the start of the run; boot times are relative to it
        for server in servers:
            server.on_change.append(self._on_server_change)

    def _on_server_change(self, server: Server, change: str) -> None:
        wait = 0
        if change == "drains":
            state = DRAINING
        elif change == "died":
            state = DELETED
        elif change in ("started", "returned"):
            state = SERVING
        elif change == "vanished":  # detected with a delay, and not at all if it is back by then
            low, high = self._scenario.blind
            wait = int(low + (high - low) * self._detection_draws[server.number])
            self._timeline.at(self._timeline.now + wait, lambda: self._on_vanish_detected(server))
            return
        else:
            return
        self._publish(server, state)

    def _on_vanish_detected(self, server: Server) -> None:
        if server.vanished:
            self._publish(server, DELETED)

    def _publish(self, server: Server, state: str) -> None:
        boot = self.origin_ms + server.started_at // 1000 if server.started_at > 0 else 0
        boot = max(boot, 1) if server.started_at > 0 else 0
        self.rev += 1
        self._states[server.number], self._boot_times[server.number] = state, boot
        low, high = self._scenario.discovery_delay
        for node in range(self._scenario.dispatchers):
            when = self._timeline.now + int(low + (high - low) * self._delay_draws[node][self.rev])
            when = self._last_delivery[node] = max(when, self._last_delivery[node])
            change = (self.rev, server.number, state, boot)
            self._timeline.at(when, lambda node=node, change=change: self._on_change_arrived(node, change))  # type: ignore[misc]

    def _on_change_arrived(self, node: int, change: tuple[int, int, str, int]) -> None:
        self._pending_changes[node].append(change)
        if not self._silence_count:
            self._flush(node)

    def _flush(self, node: int) -> None:
        changes, self._pending_changes[node] = self._pending_changes[node], []
        if not changes:
            return
        latest: dict[int, tuple[str, int]] = {}
        for rev, number, state, boot in changes:
            latest[number] = self.agent_states[node][number] = (state, boot)
            self.agent_revisions[node] = rev
        update = {
            "rev": self.agent_revisions[node],
            "all": False,
            "targets": [self._entry(node, number, *latest[number]) for number in latest],
        }
        for call in self.on_update:
            call(node, update)

    def silence(self, on: bool) -> None:
        """Starts or ends a silence; changes made during a silence are delivered when the last one ends."""
        self._silence_count += 1 if on else -1
        if not self._silence_count:
            for node in range(self._scenario.dispatchers):
                self._flush(node)

    @property
    def silent(self) -> bool:
        """Whether discovery currently delivers no changes."""
        return self._silence_count > 0

    def _entry(self, node: int, number: int, state: str, boot: int) -> dict[str, Any]:
        server = self._servers[number]
        return {
            "uid": server.uid,
            "endpoint": self._endpoint(node, server),
            "az": self._scenario.zones[server.zone].name,
            "model": server.spec.name,
            "pod_group": server.zone,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot,
        }

    def full_state(self, node: int) -> dict[str, Any]:
        """Returns the full state of a dispatcher's agent in discovery's format."""
        states = self.agent_states[node]
        rows = [self._entry(node, n, state, boot) for n, (state, boot) in states.items() if state != DELETED]
        return {"rev": self.agent_revisions[node], "all": True, "targets": rows}
