"""The network between zones: one-way message latencies and zones that are cut off."""

from __future__ import annotations

from collections.abc import Callable

from heronstall.fleet.spec import Scenario
from heronstall.fleet.streams import Streams, Table, exponentials
from heronstall.fleet.timeline import Timeline

HANDSHAKE_TRIPS = 2  # one-way trips to establish a connection, seen by its opener


class ZoneNetwork:
    """One-way latencies by pair of zones.

    Messages across a cut are delayed until the cut ends; new connections across it are not established.
    """

    def __init__(self, scenario: Scenario, streams: Streams, timeline: Timeline) -> None:
        self._timeline, self._jitter = timeline, scenario.jitter
        count = len(scenario.zones)
        self._base: list[list[float]] = [[0.0] * count for _ in range(count)]
        self._extra: list[list[Table]] = []
        for a in range(count):
            self._extra.append([])
            for b in range(count):
                low, high = min(a, b), max(a, b)
                latency = scenario.within if a == b else scenario.between
                self._base[a][b] = streams.draw_from(latency, "way", low, high)
                self._extra[a].append(exponentials(streams, "way", a, b, "jitter"))
        self._cut = [0] * count  # number of active troubles that cut the zone off
        self.on_heal: list[Callable[[int], None]] = []
        self.on_cut: list[Callable[[int], None]] = []

    def latency(self, a: int, b: int, message: int) -> int:
        """Returns the latency in microseconds from zone `a` to zone `b` for the message with this number."""
        base = self._base[a][b]
        return int(base * (1.0 + self._jitter * self._extra[a][b][message]))

    def reachable(self, a: int, b: int) -> bool:
        """Whether messages between the two zones currently get through."""
        return a == b or not (self._cut[a] or self._cut[b])

    def cut(self, zone: int, on: bool) -> None:
        """Cuts a zone off from the others, or ends one of its cuts."""
        before = self._cut[zone]
        self._cut[zone] = before + (1 if on else -1)
        if on and not before:
            for call in self.on_cut:
                call(zone)
        elif not on and not self._cut[zone]:
            for call in self.on_heal:
                call(zone)
