"""Randomness: one counter-based stream for each cause and entity, all from one seed.

A changed choice must leave every other draw alone (common random numbers), so nothing shares a stream with
anything else, and what is drawn per message is looked up by the message's own number, not by its turn.
"""

from __future__ import annotations

import hashlib

import numpy as np

from heronstall.fleet.spec import Figure

TABLE = 4096  # draws kept of a stream that is looked up by number


class Streams:
    """The streams of one seed. Names are joined by '/'; one name gives the same draws in any process."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def of(self, *names: object) -> np.random.Generator:
        """A fresh generator at the start of the named stream."""
        name = "/".join(str(n) for n in (self.seed, *names))
        key = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=16).digest(), "little")
        return np.random.Generator(np.random.Philox(key=key))

    def figure(self, figure: Figure, *names: object) -> float:
        """A figure, or one drawn evenly from its range."""
        low, high = figure
        return low if low == high else float(self.of(*names).uniform(low, high))


class Table:
    """Draws of one stream, looked up by number: the k-th draw is the same whoever asks, in whatever order."""

    def __init__(self, values: np.ndarray) -> None:
        self._values: list[float] = [float(v) for v in values]

    def __getitem__(self, number: int) -> float:
        return self._values[number % len(self._values)]


def exponentials(streams: Streams, *names: object) -> Table:
    """Exponential draws of mean 1."""
    return Table(streams.of(*names).exponential(size=TABLE))


def uniforms(streams: Streams, *names: object) -> Table:
    """Draws between 0 and 1."""
    return Table(streams.of(*names).random(size=TABLE))
