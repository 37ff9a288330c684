"""Random number streams: one counter-based stream for each cause and entity, all derived from one seed.

A changed decision must leave every other draw unchanged (common random numbers). Streams are therefore never
shared, and a draw that belongs to a message is looked up by the message's number, not by the order of the
draws.
"""

from __future__ import annotations

import hashlib

import numpy as np

from heronstall.fleet.spec import Range

TABLE_SIZE = 4096  # draws stored for a stream that is looked up by number


class Streams:
    """The streams of one seed. Name parts are joined by '/'; a name gives the same draws in every process."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def of(self, *names: object) -> np.random.Generator:
        """Returns a new generator at the start of the named stream."""
        name = "/".join(str(n) for n in (self.seed, *names))
        key = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=16).digest(), "little")
        return np.random.Generator(np.random.Philox(key=key))

    def draw_from(self, value_range: Range, *names: object) -> float:
        """Returns the value of a range without width, or a uniform draw from the range."""
        low, high = value_range
        return low if low == high else float(self.of(*names).uniform(low, high))


class Table:
    """Draws of one stream, looked up by number: the k-th draw does not depend on the order of the lookups."""

    def __init__(self, values: np.ndarray) -> None:
        self._values: list[float] = [float(v) for v in values]

    def __getitem__(self, number: int) -> float:
        return self._values[number % len(self._values)]


def exponentials(streams: Streams, *names: object) -> Table:
    """Returns exponential draws with mean 1."""
    return Table(streams.of(*names).exponential(size=TABLE_SIZE))


def uniforms(streams: Streams, *names: object) -> Table:
    """Returns uniform draws between 0 and 1."""
    return Table(streams.of(*names).random(size=TABLE_SIZE))
