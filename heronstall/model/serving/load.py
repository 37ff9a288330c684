"""Kinds of requests of a serving deployment, and the random streams that they are drawn from."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import numpy as np

from heronstall.model.serving.engine import EngineSpec, PromptPart


@dataclass(frozen=True)
class Amount:
    """A log-normal count by its mean, the deviation of its logarithm, and its greatest value."""

    mean: float
    spread: float
    most: float

    def draw(self, rng: np.random.Generator) -> int:
        """One count, at least 1."""
        middle = math.log(self.mean) - self.spread**2 / 2
        return max(1, int(min(self.most, rng.lognormal(middle, self.spread))))


@dataclass(frozen=True)
class PartKind:
    """A shared part of the prompts of a kind: its size, and how many different ones there are."""

    tokens: Amount
    things: int


@dataclass(frozen=True)
class RequestKind:
    """A kind of request; seconds."""

    name: str
    per_second: float
    chain: tuple[PartKind, ...]
    own: Amount
    events: Amount
    aim: float
    gap_aim: float
    worth: float
    late_worth: float
    job_items: Amount | None = None  # of batch jobs, which `per_second` counts
    job_aim: float = 10.0
    most_waiting: int = 0  # tokens of its jobs' open items; 0: no limit


@dataclass(frozen=True)
class Burst:
    """Times the traffic, of one kind or of all."""

    at: float
    seconds: float
    times: float
    kind: str = ""


@dataclass(frozen=True)
class Deployment:
    """A deployment and its load."""

    name: str
    workers: int
    zones: int
    dispatchers: int
    engine: EngineSpec
    kinds: tuple[RequestKind, ...]
    seconds: float = 20.0
    bursts: tuple[Burst, ...] = ()
    swing: float = 0.35  # of the rates
    period: float = 11.0  # seconds
    lost: tuple[float, float, float] | None = None  # from, to, part of the workers that are dark meanwhile

    def rate(self, kind: RequestKind, at: float) -> float:
        """Requests or jobs of a kind a second, at a moment."""
        rate = kind.per_second * (1 + self.swing * math.sin(2 * math.pi * at / self.period))
        for burst in self.bursts:
            if burst.at <= at < burst.at + burst.seconds and burst.kind in ("", kind.name):
                rate *= burst.times
        return rate


@dataclass
class Draws:
    """Random streams of one run, one for each cause, so that one choice leaves the others' draws alone."""

    seed: int
    arrivals: np.random.Generator = field(init=False)
    sizes: np.random.Generator = field(init=False)
    fleet: np.random.Generator = field(init=False)
    parts: dict[tuple[str, int], list[PromptPart]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        streams = np.random.SeedSequence(self.seed).spawn(3)
        self.arrivals, self.sizes, self.fleet = map(np.random.default_rng, streams)

    def things(self, kind: RequestKind) -> None:
        """Draw the shared parts of a kind."""
        for level, part in enumerate(kind.chain):
            self.parts[kind.name, level] = [
                PromptPart(f"{kind.name}-{level}-{n}", part.tokens.draw(self.sizes))
                for n in range(part.things)
            ]

    def prompt(self, kind: RequestKind, number: int) -> tuple[PromptPart, ...]:
        """The parts of one prompt; a thing of the last level always has the same parents."""
        chain: list[PromptPart] = []
        if kind.chain:
            deepest = self.parts[kind.name, len(kind.chain) - 1]
            thing = int(self.sizes.integers(len(deepest)))
            for level in range(len(kind.chain)):
                known = self.parts[kind.name, level]
                chain.append(known[thing % len(known)])
        return (*chain, PromptPart(f"{kind.name}-own-{number}", kind.own.draw(self.sizes)))


def trading_desk(scale: float = 1.6, seconds: float = 20.0, bursts: tuple[Burst, ...] = ()) -> Deployment:
    """Many small dispatchers before workers of few places; long documents beside short notes."""
    rates = {"note": 126.0 * scale, "review": 28.0 * scale, "check": 0.95 * scale}
    kinds = (
        RequestKind(
            "note",
            rates["note"],
            (PartKind(Amount(103, 0.4, 257), 80), PartKind(Amount(68.6, 0.7, 206), 2339)),
            Amount(543, 0.89, 2310),
            Amount(13.3, 0.7, 45.3),
            0.353,
            0.4,
            2.0,
            0.6,
        ),
        RequestKind(
            "review",
            rates["review"],
            (PartKind(Amount(13300, 0.7, 39900), 778),),
            Amount(3720, 1.1, 53200),
            Amount(5.7, 1.4, 22.8),
            0.566,
            0.4,
            3.0,
            0.9,
        ),
        RequestKind(
            "check",
            rates["check"],
            (PartKind(Amount(432, 0.4, 1080), 30),),
            Amount(768, 0.6, 4370),
            Amount(32, 0.6, 70.4),
            0.757,
            0.4,
            2.4,
            0.66,
            Amount(80, 0.6, 200),
            10.0,
            4_000_000,
        ),
    )
    return Deployment("trading-desk", 45, 4, 68, EngineSpec(), kinds, seconds, bursts)
