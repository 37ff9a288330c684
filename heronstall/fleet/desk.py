"""Discovery's desk: how many lists it can give a second, and how many askers it keeps waiting meanwhile.

One list after the other, in the order of asking. An asker that finds all places taken is turned away at
once. What is given is the caller's matter.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class Asked(NamedTuple):
    """A call for the list, and when it was answered (microseconds); None: turned away."""

    at: int
    node: int
    answered: int | None


class Desk:
    """`rate` lists a second, 0 for no bound; `places` askers waiting, the one being served among them."""

    def __init__(self, rate: float, places: int) -> None:
        self._each = 1_000_000 / rate if rate else 0.0
        self._places = places
        self._ends: deque[float] = deque()  # of those that wait, in order
        self.asked: list[Asked] = []

    def ask(self, now: int, node: int) -> int | None:
        """When this asker's list is ready; None where it is turned away."""
        while self._ends and self._ends[0] <= now:
            self._ends.popleft()
        ready: int | None = now
        if self._each and len(self._ends) >= self._places:
            ready = None
        elif self._each:
            self._ends.append(max(now, self._ends[-1] if self._ends else 0.0) + self._each)
            ready = round(self._ends[-1])
        self.asked.append(Asked(now, node, ready))
        return ready
