"""The lane of deferred work, ordered by deadline."""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

Work = TypeVar("Work")


class DeadlineLane(Generic[Work]):
    """A queue of waiting work, lowest key first; equal keys keep their order of arrival."""

    def __init__(self) -> None:
        self._heap: list[tuple[tuple[int, int], int, Work]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, key: tuple[int, int], work: Work) -> None:
        """Adds work; the key is its rank, then its deadline."""
        self._sequence += 1
        heapq.heappush(self._heap, (key, self._sequence, work))

    def first(self) -> tuple[tuple[int, int], Work]:
        """Returns the key of the next work, and the work."""
        return self._heap[0][0], self._heap[0][2]

    def pop(self) -> Work:
        """Removes and returns the next work."""
        return heapq.heappop(self._heap)[2]
