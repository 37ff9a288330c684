"""Subsetting: each dispatcher prefers some of the workers, so that its own streams show most of their load.

Dispatchers learn of each other's load late. If each selected among all workers, the load of a worker would
vary like that of any random assignment. If every worker is shared by a few dispatchers that each spread their
own streams evenly, the load varies less, fresher load reports are not needed, and fewer connections are
opened. Performs no I/O.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

MIN_SUBSET_SIZE = 3  # workers that a dispatcher prefers, however few streams it has
SPARE_WORKERS = 2  # preferred workers beyond the streams in flight


@dataclass(frozen=True)
class DispatcherPosition:
    """The position of a dispatcher among the live ones, from 1; 0 if it is unknown."""

    number: int = 0
    dispatchers: int = 1


def hash_ring(workers: Iterable[str]) -> list[str]:
    """Returns the workers in an order that is the same at every dispatcher and mixes their zones."""
    return sorted(workers, key=lambda name: (zlib.crc32(name.encode()), name))


def preferred_subset(workers: list[str], position: DispatcherPosition, inflight: int) -> frozenset[str]:
    """Returns the workers of a ring that a dispatcher prefers; empty for no preference.

    The subset grows with the dispatcher's streams in flight. The subsets of all dispatchers begin at even
    distances around the ring, so every worker is in about as many of them.
    """
    size = max(MIN_SUBSET_SIZE, inflight + SPARE_WORKERS)
    if not position.number or size >= len(workers):
        return frozenset()
    start = (position.number - 1) * len(workers) // max(position.number, position.dispatchers)
    return frozenset(workers[(start + step) % len(workers)] for step in range(size))


class WorkerShare(NamedTuple):
    """The fraction of a worker that belongs to one dispatcher, as an interval within 0 to 1."""

    begin: float
    end: float

    def slots(self, total: float) -> int:
        """Returns the whole slots of this share; the shares of all dispatchers add up to the total."""
        return math.floor(self.end * total + 0.5) - math.floor(self.begin * total + 0.5)


def worker_shares(workers: list[str], position: DispatcherPosition) -> dict[str, WorkerShare]:
    """Returns a dispatcher's shares of a ring that is cut into as many equal parts as dispatchers are live.

    A dispatcher with an unknown position has no share.
    """
    if not position.number:
        return {}
    dispatchers = max(position.number, position.dispatchers)
    begin = (position.number - 1) * len(workers) / dispatchers
    end = position.number * len(workers) / dispatchers
    found = {}
    for index in range(int(begin), min(len(workers), math.ceil(end))):
        share = WorkerShare(max(0.0, begin - index), min(1.0, end - index))
        if share.end > share.begin:
            found[workers[index]] = share
    return found
