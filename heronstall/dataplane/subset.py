"""Which workers a dispatcher prefers: a part of them, so that its own streams tell most of their load.

Dispatchers hear of each other's load late. Were each to draw among all workers, a worker's load would vary
like that of any random draw. With every worker shared by a few dispatchers that each spread their own streams
evenly it varies less, nobody needs fresher news, and connections are fewer. Free of I/O.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

LEAST = 3  # workers that a dispatcher prefers, however little it has to do
IDLE = 2  # preferred workers beyond the streams that it has in flight


@dataclass(frozen=True)
class Seat:
    """A dispatcher's place among the live ones, from 1; 0 is not known."""

    number: int = 0
    dispatchers: int = 1


def ring(workers: Iterable[str]) -> list[str]:
    """Workers in an order that is the same at every dispatcher and mixes their zones."""
    return sorted(workers, key=lambda name: (zlib.crc32(name.encode()), name))


def preferred(workers: list[str], seat: Seat, inflight: int) -> frozenset[str]:
    """The workers of a ring that a dispatcher with so many streams in flight prefers; none: no preference.

    The dispatchers' parts begin at even distances round the ring: all workers are in about as many of them.
    """
    size = max(LEAST, inflight + IDLE)
    if not seat.number or size >= len(workers):
        return frozenset()
    start = (seat.number - 1) * len(workers) // max(seat.number, seat.dispatchers)
    return frozenset(workers[(start + step) % len(workers)] for step in range(size))


class Share(NamedTuple):
    """The part of a worker that is one dispatcher's, from 0 to 1."""

    begin: float
    end: float

    def of(self, places: float) -> int:
        """Whole places of this part: the dispatchers' parts of a worker add up to all of them."""
        return math.floor(self.end * places + 0.5) - math.floor(self.begin * places + 0.5)


def shares(workers: list[str], seat: Seat) -> dict[str, Share]:
    """A dispatcher's shares of the workers of a ring, cut into as many equal parts as dispatchers live.

    One without a known seat has none.
    """
    if not seat.number:
        return {}
    dispatchers = max(seat.number, seat.dispatchers)
    begin = (seat.number - 1) * len(workers) / dispatchers
    end = seat.number * len(workers) / dispatchers
    found = {}
    for place in range(int(begin), min(len(workers), math.ceil(end))):
        share = Share(max(0.0, begin - place), min(1.0, end - place))
        if share.end > share.begin:
            found[workers[place]] = share
    return found
