"""Clients' first tries, all drawn in advance: their times, classes, tenants, zones and work.

Arrivals do not wait for answers (open loop). Each cause has a random stream of its own, so that a different
rate, for example, does not change the work of the n-th job.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from heronstall.fleet.spec import SECOND, JobClass, Scenario, WorkDistribution
from heronstall.fleet.streams import Streams

RATE_GRID_US = 10_000  # microseconds; the rate is treated as constant within an interval
BURST_SECONDS = 2.0  # seconds of its quota that a tenant may send in a burst within its share
Floats = NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class Request:
    """A request's first try. Times and work are in microseconds, work at speed 1."""

    number: int
    at: int
    zone: int
    cls: int
    tenant: int
    work: float
    hint: int
    key: str
    front: float  # between 0 and 1: the draw that selects the dispatcher
    within: bool  # whether it is within its tenant's share
    worth: float
    aim_at: int
    deadline: int


def rate_at(scenario: Scenario, at: Floats) -> Floats:
    """Returns the arrivals per second at the given times."""
    rate = np.full(at.shape, float(scenario.rate))
    for shape in scenario.shapes:
        if shape.kind == "wave":
            rate *= 1.0 + shape.size * np.sin(2.0 * np.pi * at / shape.length)
        else:
            ramp = max(shape.ramp, 1)
            up = np.clip((at - shape.at) / ramp, 0.0, 1.0)
            down = np.clip((shape.at + shape.length + ramp - at) / ramp, 0.0, 1.0)
            rate *= 1.0 + (shape.size - 1.0) * np.minimum(up, down)
    return rate


def arrivals(scenario: Scenario, streams: Streams) -> NDArray[np.int64]:
    """Returns the times of all first tries, in order."""
    grid = np.arange(0, scenario.length + RATE_GRID_US, RATE_GRID_US, dtype=np.float64)
    mass = np.concatenate(([0.0], np.cumsum(rate_at(scenario, grid[:-1]) * RATE_GRID_US / SECOND)))
    expected = float(mass[-1])
    stream = streams.of("arrivals")
    cv = scenario.bursts
    moments: list[Floats] = []
    reached = 0.0
    while reached < expected:
        size = int(max(64, 1.2 * (expected - reached)))
        shape = 1.0 / cv**2
        gaps = stream.exponential(size=size) if cv == 1.0 else stream.gamma(shape, 1.0 / shape, size=size)
        moments.append(reached + np.cumsum(gaps))
        reached = float(moments[-1][-1])
    unit = np.concatenate(moments)
    unit = unit[unit < expected]
    return np.asarray(np.interp(unit, mass, grid), dtype=np.int64)


def _draw_work(work: WorkDistribution, mean: float, stream: np.random.Generator, size: int) -> Floats:
    if work.kind == "fixed":
        return np.full(size, mean)
    if work.kind == "lognormal":
        return np.asarray(mean * np.exp(work.sigma * stream.standard_normal(size) - work.sigma**2 / 2.0))
    # Truncated Pareto, scaled so that the truncation does not change the mean.
    low = 1.0 - stream.random(size)
    raw = np.minimum(low ** (-1.0 / work.alpha), work.most)
    expected = (work.alpha - work.most ** (1.0 - work.alpha)) / (work.alpha - 1.0)
    return np.asarray(mean * raw / expected)


def mean_work(scenario: Scenario, streams: Streams) -> list[float]:
    """Returns the mean work of each class's jobs for this seed, in microseconds at speed 1."""
    return [streams.draw_from(c.work.mean, "class", c.name, "mean") for c in scenario.classes]


def _weighted_choice(weights: list[float], draws: Floats) -> NDArray[np.int64]:
    edges = np.cumsum(np.asarray(weights, dtype=np.float64))
    return np.asarray(np.searchsorted(edges / edges[-1], draws, side="right").clip(0, len(weights) - 1))


def quotas(scenario: Scenario, capacity: float, means: list[float]) -> list[float]:
    """Returns each tenant's requests per second within its share.

    `capacity` is the work that the fleet can do per microsecond.
    """
    shares = np.asarray([c.share for c in scenario.classes])
    mean = float((shares * np.asarray(means)).sum() / shares.sum())
    return [t.share * capacity * SECOND / mean for t in scenario.tenants]


def requests(scenario: Scenario, streams: Streams, quota: list[float]) -> list[Request]:
    """Returns all first tries in order of time.

    `quota` holds each tenant's requests per second within its share.
    """
    moments = arrivals(scenario, streams)
    count = len(moments)
    classes, tenants = scenario.classes, scenario.tenants
    means = mean_work(scenario, streams)

    def draws(name: str) -> Floats:
        return streams.of("requests", name).random(count)

    zone = _weighted_choice([z.traffic for z in scenario.zones], draws("zone"))
    cls = _weighted_choice([c.share for c in classes], draws("class"))
    tenant = _weighted_choice([t.traffic for t in tenants] or [1.0], draws("tenant"))
    front, tail = draws("front"), draws("tail")
    work, hint = np.empty(count), np.empty(count)
    for n, c in enumerate(classes):
        mine = cls == n
        work[mine] = _draw_work(c.work, means[n], streams.of("requests", "work", c.name), count)[mine]
        rough = streams.of("requests", "hint", c.name).standard_normal(count)[mine]
        hint[mine] = work[mine] * np.exp(c.hint * rough - c.hint**2 / 2.0)
    for trouble in scenario.troubles:
        if trouble.kind == "heavy-tail":
            struck = (moments >= trouble.at) & (moments < trouble.at + trouble.length) & (tail < trouble.part)
            struck &= cls == next(n for n, c in enumerate(classes) if c.name == trouble.cls)
            work[struck] *= trouble.size
    level = [BURST_SECONDS * q for q in quota]
    last = [0] * len(quota)
    rows: list[Request] = []
    for n in range(count):
        at, owner, c = int(moments[n]), int(tenant[n]), classes[int(cls[n])]
        within = True
        if quota:
            q = quota[owner]
            level[owner] = min(BURST_SECONDS * q, level[owner] + q * (at - last[owner]) / SECOND)
            last[owner] = at
            within = level[owner] >= 1.0
            level[owner] -= float(within)
        rows.append(
            _request(scenario, n, at, int(zone[n]), int(cls[n]), c, owner, work[n], hint[n], front[n], within)
        )
    return rows


def _request(
    scenario: Scenario,
    number: int,
    at: int,
    zone: int,
    cls: int,
    c: JobClass,
    tenant: int,
    work: float,
    hint: float,
    front: float,
    within: bool,
) -> Request:
    worth = c.worth * float(work) * (1.0 if within else scenario.overshare)
    aim = min(c.aim + int(c.stretch * work), c.deadline)
    return Request(
        number,
        at,
        zone,
        cls,
        tenant,
        max(1.0, float(work)),
        max(1, int(hint)),
        f"k{number:012x}",
        float(front),
        within,
        worth,
        at + aim,
        at + c.deadline,
    )
