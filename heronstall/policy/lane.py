"""The deferred lane: work by deadline."""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

Work = TypeVar("Work")


class DeadlineLane(Generic[Work]):
    """Waiting work, the least key first; equal keys in their order of arrival."""

    def __init__(self) -> None:
        self._heap: list[tuple[tuple[int, int], int, Work]] = []
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, key: tuple[int, int], work: Work) -> None:
        """Add work; the key is its rank, then its deadline."""
        self._arrivals += 1
        heapq.heappush(self._heap, (key, self._arrivals, work))

    def first(self) -> tuple[tuple[int, int], Work]:
        """The work that is next, and its key."""
        return self._heap[0][0], self._heap[0][2]

    def pop(self) -> Work:
        """Remove the work that is next."""
        return heapq.heappop(self._heap)[2]
