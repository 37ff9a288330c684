"""Real time as the fleet's timeline, on asyncio, and how late it runs."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from heronstall.model.kernel import Due

WATCH_EVERY = 0.02  # seconds between looks at the loop's own lateness


def monotonic() -> int:
    """Microseconds of the clock that all processes of a run share."""
    return time.monotonic_ns() // 1000


class RealTime:
    """Microseconds since the run's start, which `begin` names; until then it is 0 and calls wait."""

    def __init__(self) -> None:
        self.origin: int | None = None
        self._loop = asyncio.get_running_loop()
        self._heap: list[tuple[int, int, Due]] = []
        self._tie = 0
        self._handle: asyncio.TimerHandle | None = None
        self._armed = 0
        self.late = HdrHistogram(1, 60_000_000, 3)  # microseconds that calls came late

    @property
    def now(self) -> int:
        """The present; 0 before the start."""
        return 0 if self.origin is None else max(0, monotonic() - self.origin)

    def begin(self, origin: int) -> None:
        """The run starts when the shared clock reads `origin`."""
        self.origin = origin
        self._arm()

    def at(self, when: int, call: Callable[[], None]) -> Due:
        """Call at `when`, or as soon as possible after it."""
        self._tie += 1
        due = Due(call)
        heapq.heappush(self._heap, (when, self._tie, due))
        if self._heap[0][2] is due:
            self._arm()
        return due

    def _arm(self) -> None:
        if self.origin is None or not self._heap:
            return
        when = self._heap[0][0]
        if self._handle is not None:
            if self._armed <= when:
                return
            self._handle.cancel()
        self._armed = when
        wait = (self.origin + when - monotonic()) / 1e6
        self._handle = self._loop.call_later(max(0.0, wait), self._fire)

    def _fire(self) -> None:
        self._handle = None
        try:
            while self._heap and self._heap[0][0] <= self.now:
                when, _, due = heapq.heappop(self._heap)
                if due.call is not None:
                    self.late.record_value(max(1, self.now - when))
                    due.call()
        finally:  # a call that fails is told by the event loop, and is not to stop the clock for all others
            self._arm()


def lateness(histogram: HdrHistogram) -> dict[str, float]:
    """How late calls came, in milliseconds."""
    return {
        "calls": float(histogram.get_total_count()),
        "p99_ms": histogram.get_value_at_percentile(99.0) / 1000,
        "worst_ms": histogram.get_max_value() / 1000,
    }
