"""Clients' first tries, all drawn ahead: when they come, what they are, where, and how much work they hold.

Arrivals do not wait for answers (open loop). Each cause has a stream of its own, so that another rate, say,
leaves the sizes of the n-th job as they were.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from heronstall.fleet.spec import SECOND, JobClass, Scenario, Work
from heronstall.fleet.streams import Streams

GRID = 10_000  # microseconds; the rate is taken as even within
BURST_S = 2.0  # seconds of its quota that a tenant may send at once and stay within its share
Floats = NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class Request:
    """One first try. Times and work are microseconds, work at speed 1."""

    number: int
    at: int
    zone: int
    cls: int
    tenant: int
    work: float
    hint: int
    key: str
    front: float  # between 0 and 1: where the front's draw falls
    within: bool  # its tenant's share
    worth: float
    aim_at: int
    deadline: int


def rate_at(scenario: Scenario, at: Floats) -> Floats:
    """Arrivals a second at these moments."""
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
    """The moments of all first tries, in order."""
    grid = np.arange(0, scenario.length + GRID, GRID, dtype=np.float64)
    mass = np.concatenate(([0.0], np.cumsum(rate_at(scenario, grid[:-1]) * GRID / SECOND)))
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


def _sizes(work: Work, mean: float, stream: np.random.Generator, size: int) -> Floats:
    if work.kind == "fixed":
        return np.full(size, mean)
    if work.kind == "lognormal":
        return np.asarray(mean * np.exp(work.sigma * stream.standard_normal(size) - work.sigma**2 / 2.0))
    # Pareto of this mean, cut off: what the cut takes from the mean is put back by scaling.
    low = 1.0 - stream.random(size)
    raw = np.minimum(low ** (-1.0 / work.alpha), work.most)
    expected = (work.alpha - work.most ** (1.0 - work.alpha)) / (work.alpha - 1.0)
    return np.asarray(mean * raw / expected)


def mean_work(scenario: Scenario, streams: Streams) -> list[float]:
    """The mean work of each class's jobs on this seed, in microseconds at speed 1."""
    return [streams.figure(c.work.mean, "class", c.name, "mean") for c in scenario.classes]


def _pick(weights: list[float], draws: Floats) -> NDArray[np.int64]:
    edges = np.cumsum(np.asarray(weights, dtype=np.float64))
    return np.asarray(np.searchsorted(edges / edges[-1], draws, side="right").clip(0, len(weights) - 1))


def quotas(scenario: Scenario, capacity: float, means: list[float]) -> list[float]:
    """Each tenant's requests a second within its share; the fleet does `capacity` work a microsecond."""
    shares = np.asarray([c.share for c in scenario.classes])
    mean = float((shares * np.asarray(means)).sum() / shares.sum())
    return [t.share * capacity * SECOND / mean for t in scenario.tenants]


def requests(scenario: Scenario, streams: Streams, quota: list[float]) -> list[Request]:
    """All first tries, in order of time; `quota` is each tenant's requests a second within its share."""
    moments = arrivals(scenario, streams)
    count = len(moments)
    classes, tenants = scenario.classes, scenario.tenants
    means = mean_work(scenario, streams)

    def draws(name: str) -> Floats:
        return streams.of("requests", name).random(count)

    zone = _pick([z.traffic for z in scenario.zones], draws("zone"))
    cls = _pick([c.share for c in classes], draws("class"))
    tenant = _pick([t.traffic for t in tenants] or [1.0], draws("tenant"))
    front, tail = draws("front"), draws("tail")
    work, hint = np.empty(count), np.empty(count)
    for n, c in enumerate(classes):
        mine = cls == n
        work[mine] = _sizes(c.work, means[n], streams.of("requests", "work", c.name), count)[mine]
        rough = streams.of("requests", "hint", c.name).standard_normal(count)[mine]
        hint[mine] = work[mine] * np.exp(c.hint * rough - c.hint**2 / 2.0)
    for trouble in scenario.troubles:
        if trouble.kind == "heavy-tail":
            struck = (moments >= trouble.at) & (moments < trouble.at + trouble.length) & (tail < trouble.part)
            struck &= cls == next(n for n, c in enumerate(classes) if c.name == trouble.cls)
            work[struck] *= trouble.size
    level = [BURST_S * q for q in quota]
    last = [0] * len(quota)
    rows: list[Request] = []
    for n in range(count):
        at, owner, c = int(moments[n]), int(tenant[n]), classes[int(cls[n])]
        within = True
        if quota:
            q = quota[owner]
            level[owner] = min(BURST_S * q, level[owner] + q * (at - last[owner]) / SECOND)
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
