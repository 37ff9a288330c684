"""Applies the troubles (simulated failures) of a scenario at their start and reverts them at their end.

Troubles may overlap on one server. Each is counted separately, and its end reverts only its own effect.
"""

from __future__ import annotations

from typing import Protocol

from heronstall.fleet.discovery import DiscoveryService
from heronstall.fleet.server import Server
from heronstall.fleet.spec import Scenario, Trouble
from heronstall.fleet.streams import Streams
from heronstall.fleet.timeline import Timeline
from heronstall.fleet.zone_network import ZoneNetwork


class Dispatchers(Protocol):
    """The operations that a host offers to apply troubles to dispatchers and connections."""

    def crash(self, node: int, back: int) -> None:
        """Kills the dispatcher; it is started again at `back`."""

    def restart(self, node: int, back: int) -> None:
        """Stops the dispatcher by SIGTERM; it is started again after it has ended, not before `back`."""

    def set_resets(self, share: float) -> None:
        """Breaks the connection in this share of exchanges from now on; 0 ends it."""

    def set_stale(self, after: int | None) -> None:
        """Silently breaks connections that were idle for `after` microseconds; None ends it."""


def draw_targets(streams: Streams, what: str, nth: int, part: float, among: list[int]) -> list[int]:
    """Draws the given part of `among`, at least one element, for the nth trouble."""
    if not among:
        return []
    size = max(1, min(len(among), round(part * len(among))))
    picks = streams.of("trouble", nth, what).permutation(len(among))[:size]
    return sorted(among[int(n)] for n in picks)


def target_dispatchers(scenario: Scenario, streams: Streams, nth: int, trouble: Trouble) -> list[int]:
    """Returns the dispatchers that the nth trouble affects."""
    among = list(range(scenario.dispatchers))
    return draw_targets(streams, "dispatchers", nth, trouble.part, among)


class TroubleSchedule:
    """Schedules the troubles of a scenario on the timeline."""

    def __init__(
        self,
        scenario: Scenario,
        streams: Streams,
        timeline: Timeline,
        servers: list[Server],
        network: ZoneNetwork,
        discovery: DiscoveryService,
        dispatchers: Dispatchers | None,
    ) -> None:
        self._scenario, self._streams, self._timeline = scenario, streams, timeline
        self._servers, self._network, self._discovery, self._dispatchers = (
            servers,
            network,
            discovery,
            dispatchers,
        )
        self.log: list[tuple[int, str]] = []
        for nth, trouble in enumerate(scenario.troubles):
            timeline.at(trouble.at, lambda nth=nth, t=trouble: self._begin_trouble(nth, t))  # type: ignore[misc]

    def targets(self, nth: int, trouble: Trouble) -> list[Server]:
        """Returns the servers that the nth trouble affects."""
        names = [z.name for z in self._scenario.zones]
        zone = names.index(trouble.zone) if trouble.zone is not None else None
        among = [s.number for s in self._servers if zone is None or s.zone == zone]
        return [self._servers[n] for n in draw_targets(self._streams, "servers", nth, trouble.part, among)]

    def inject(self, trouble: Trouble) -> None:
        """Starts a trouble that is not part of the scenario immediately; its `at` is ignored."""
        self._begin_trouble(len(self._scenario.troubles) + len(self.log), trouble)

    def _begin_trouble(self, nth: int, t: Trouble) -> None:
        now = self._timeline.now
        end = now + t.length
        self.log.append((now, t.kind))

        def at_end(call: object) -> None:
            self._timeline.at(end, call)  # type: ignore[arg-type]

        if t.kind == "zone-cut":
            zone = [z.name for z in self._scenario.zones].index(t.zone or "")
            self._network.cut(zone, True)
            at_end(lambda: self._network.cut(zone, False))
        elif t.kind == "discovery-silent":
            self._discovery.silence(True)
            at_end(lambda: self._discovery.silence(False))
        elif t.kind in ("dispatcher-crash", "dispatcher-restart", "resets", "stale"):
            self._apply_to_dispatchers(nth, t, end)
        elif t.kind != "heavy-tail":  # heavy tails are already part of the traffic
            for server in self._servers if t.kind in ("cold-fleet", "late-reports") else self.targets(nth, t):
                self._apply_to_server(server, t, end)

    def _apply_to_dispatchers(self, nth: int, t: Trouble, end: int) -> None:
        dispatchers = self._dispatchers
        if dispatchers is None:
            return
        if t.kind == "resets":
            dispatchers.set_resets(t.part)
            self._timeline.at(end, lambda: dispatchers.set_resets(0.0))
        elif t.kind == "stale":
            dispatchers.set_stale(int(t.size * 1_000_000))
            self._timeline.at(end, lambda: dispatchers.set_stale(None))
        else:
            for node in target_dispatchers(self._scenario, self._streams, nth, t):
                (dispatchers.crash if t.kind == "dispatcher-crash" else dispatchers.restart)(node, end)

    def _apply_to_server(self, server: Server, t: Trouble, end: int) -> None:
        at = self._timeline.at
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
                self._timeline.at(end + t.back, server.start)

            at(end, replace)
