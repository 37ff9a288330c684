"""Whether new does worse than old, and whether the fleet does worse than before. Free of I/O.

Each watch has LOOKS looks at fixed parts of its time. What the whole rollout may err with, `alpha`, is
shared out over stages, watches, looks, figures and zones so that the sum of all shares is at most alpha: by
the union bound the chance of stopping a harmless change is at most alpha whatever depends on what. Looks
get shares after the Pocock-like spending function of Lan and DeMets (Biometrika 70, 1983), alpha ln(1 + (e
- 1) t), as increments and without their recursion, which would want the joint law of the looks.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import numpy as np
from scipy import special

from heronstall.rollout.effects import Row, effects
from heronstall.rollout.figures import Figure, Point, Snapshot, all_figures, classes, jobs, points
from heronstall.rollout.plan import Home, Plan

LOOKS = 12  # of a watch
BLOCKS = 6  # that the time before is cut into at the most
BLOCK_JOBS = 10  # of each class at a middling dispatcher, that a block is to have
WINDOW = 4_000_000  # microseconds that the fleet is looked at for trouble
TROUBLE_SD = 5.0  # usual swings beyond which the fleet is in trouble
CALM_SD = 3.0  # and below which it is over
FOOT_SHARE = 0.2  # of a stage's alpha, for looks at the footprint in a trouble
LEAK_SAMPLES, LEAK_TIME = 8, 8_000_000  # that a slope of memory wants at least
Points = Mapping[str, Mapping[str, Point]]  # of dispatchers


class Finding(NamedTuple):
    """One test of a look. Values are in the figure's own unit."""

    figure: str
    zone: str  # "" for all
    value: float
    least: float  # what it is above, at this test's share of alpha
    tolerable: float
    df: int
    bad: bool
    about: str

    def text(self) -> str:
        """For people."""
        where = f" in {self.zone}" if self.zone else ""
        figures = f"above {self.least:.3g}, tolerable {self.tolerable:.3g}"
        return f"{self.about}{where}: worse by {self.value:.3g} ({figures})"


class Look(NamedTuple):
    """What a look found."""

    findings: list[Finding]
    jobs: dict[str, float]  # of each class, at new dispatchers
    short: list[str]  # classes with too few, or that cannot be compared

    @property
    def bad(self) -> list[Finding]:
        """The harm that is shown and not tolerable."""
        return [f for f in self.findings if f.bad]


def spend(alpha: float, look: int, looks: int = LOOKS) -> float:
    """The share of the `look`-th of `looks` (from 1 on)."""

    def spent(part: float) -> float:
        return alpha * math.log(1 + (math.e - 1) * part)

    return float(spent(look / looks) - spent((look - 1) / looks))


def budget(plan: Plan, attempt: int) -> float:
    """The share of a stage's `attempt`-th watch (from 0 on): halved each time, however many follow."""
    return plan.alpha * (1 - FOOT_SHARE) / len(plan.stages) / 2.0 ** (attempt + 1)


def foot_budget(plan: Plan, nth: int) -> float:
    """The share of a stage's `nth` look at the footprint in troubles (from 0 on)."""
    return plan.alpha * FOOT_SHARE / len(plan.stages) / 2.0 ** (nth + 1)


class Judge:
    """Holds the time before; answers for a watch."""

    def __init__(
        self, plan: Plan, homes: Mapping[str, Home], blocks: Sequence[Points], names: Iterable[str]
    ) -> None:
        self._plan, self._homes, self._blocks = plan, homes, blocks
        self._classes = list(names)
        self.figures = all_figures(self._classes, plan.harm)

    def look(self, found: Points, new: Iterable[str], alpha: float) -> Look:
        """New against old over one time, `found`, at so much of alpha."""
        changed = set(new)
        zones = sorted({self._homes[name].zone for name in changed if name in found})
        findings: list[Finding] = []
        tests = len(self.figures)
        for figure in self.figures:
            findings += self._test(figure, found, changed, alpha / 2 / tests, False, 1.0)
            if len(zones) > 1:
                findings += self._test(figure, found, changed, alpha / 2 / tests / len(zones), True, 1.0)
        done = {c: sum(jobs(found.get(n, {}), c) for n in changed) for c in self._classes}
        told = {finding.figure for finding in findings}
        beside = any(name not in changed for name in found)  # in the last stage nobody is old
        short = [
            c
            for c in self._classes
            if done[c] < self._plan.least_jobs or (beside and f"failed.{c}" not in told)
        ]
        return Look(findings, done, short)

    def footprint(self, found: Points, new: Iterable[str], alpha: float) -> list[Finding]:
        """In a trouble: whether new sends more than old, beyond twice what is tolerable."""
        some = [figure for figure in self.figures if figure.footprint]
        made = []
        for figure in some:
            made += self._test(figure, found, set(new), alpha / len(some), False, 2.0)
        return [finding for finding in made if finding.bad]

    def _test(
        self, figure: Figure, found: Points, new: set[str], alpha: float, split: bool, times: float
    ) -> list[Finding]:
        rows = []
        for block, some in enumerate([*self._blocks, found]):
            last = block == len(self._blocks)
            for name, row in some.items():
                point = row.get(figure.name)
                if point is not None:
                    x = point.x if figure.kind == "share" else None
                    is_new = last and name in new
                    rows.append(Row(name, self._homes[name].zone, block, is_new, point.y, point.n, x))
        tolerable = figure.tolerable * times
        made = []
        for zone, effect in effects(rows, split).items():
            least = effect.least(alpha)
            bad = effect.p < alpha and effect.exact < alpha and effect.value > tolerable
            made.append(
                Finding(figure.name, zone, effect.value, least, tolerable, effect.df, bad, figure.about)
            )
        return made


def levels(figures: Sequence[Figure], found: Points, new: Iterable[str]) -> dict[str, list[float]]:
    """Each figure of the new and the old together, in its natural unit; for people."""
    changed = set(new)
    made = {}
    for figure in figures:
        pair = []
        for cohort in (True, False):
            some = [row for name, row in found.items() if (name in changed) is cohort]
            rows = [row[figure.name] for row in some if figure.name in row]
            n = sum(row.n for row in rows)
            if n:
                mean = sum(row.y * row.n for row in rows) / n
                sign = -1 if figure.name == "traffic" else 1  # jobs a second, not how few
                pair.append(round(mean if figure.kind == "share" else math.exp(sign * mean), 6))
        if len(pair) == 2:
            made[figure.name] = pair
    return made


# ---------------------------------------------------------------------- memory


def leak(
    series: Mapping[str, Sequence[tuple[int, float]]], new: set[str], alpha: float, tolerable: float
) -> list[str]:
    """The new dispatchers whose memory (KiB by time) climbs by more than is tolerable, KiB a second, and
    whose old ones' does not.

    A slope must be shown at alpha and be there in either half: what a start takes is not a leak.
    """
    slopes: dict[str, float] = {}
    sure = []
    for name, row in series.items():
        if len(row) < LEAK_SAMPLES or row[-1][0] - row[0][0] < LEAK_TIME:
            continue
        halves = (row[: len(row) // 2], row[len(row) // 2 :])
        slope, least = _slope(row, alpha)
        slopes[name] = slope
        if name in new and least > 0 and all(_slope(half, alpha)[0] > tolerable for half in halves):
            sure.append(name)
    old = [slope for name, slope in slopes.items() if name not in new]
    usual = float(np.median(old)) if old else 0.0
    return [name for name in sure if slopes[name] > usual + tolerable]


def _slope(row: Sequence[tuple[int, float]], alpha: float) -> tuple[float, float]:
    at = np.array([t for t, _ in row], dtype=float) / 1e6
    if at[-1] <= at[0]:
        return 0.0, 0.0
    at -= at.mean()
    y = np.array([value for _, value in row])
    spread = float(at @ at)
    slope = float(at @ y) / spread
    left = y - y.mean() - slope * at
    error = math.sqrt(float(left @ left) / max(1, len(row) - 2) / spread)
    return slope, slope + float(special.ndtri(alpha)) * error


# ---------------------------------------------------------------------- the fleet against its own time before


class Usual(NamedTuple):
    """What windows of the time before looked like: worth missed, as a part of what was asked for."""

    mean: float
    sd: float


def missed(found: Points, names: Iterable[str]) -> tuple[float, float]:
    """The part of the worth that some dispatchers missed together, and the jobs it rests on."""
    rows = [found[name]["worth"] for name in names if "worth" in found.get(name, {})]
    n = sum(row.n for row in rows)
    return (sum(row.x for row in rows) / n if n else 0.0), n


def usual(windows: Sequence[Points], names: Iterable[str]) -> Usual | None:
    """From windows of the time before; None where they tell too little."""
    some = list(names)
    values = [value for value, n in (missed(window, some) for window in windows) if n > 0]
    if len(values) < 3:
        return None
    return Usual(float(np.mean(values)), float(np.std(values, ddof=1)))


def strayed(now: tuple[float, float], before: Usual, sds: float, least: float) -> bool:
    """Whether a window misses more than usual by so many swings, chance of its few jobs included."""
    value, n = now
    if n < 10:
        return False
    part = min(0.99, max(before.mean, 0.01))
    chance = math.sqrt(part * (1 - part) / n)
    return value > before.mean + max(sds * math.hypot(before.sd, chance), least)


class Weather:
    """Watches the dispatchers that are still old, zone by zone and all together, for trouble."""

    def __init__(self, plan: Plan, homes: Mapping[str, Home], before: Mapping[str, Usual]) -> None:
        self._homes, self._before = homes, before
        self._least = plan.harm["worth"] * 1.5
        self._rows: dict[str, list[Snapshot]] = defaultdict(list)
        self._bad = 0

    def look(self, snapshots: Mapping[str, Snapshot], old: Iterable[str], troubled: bool) -> str | None:
        """Where the fleet strays now, in words; None in calm or where nothing can be told."""
        for name, snapshot in snapshots.items():
            row = self._rows[name]
            if row and row[-1].process != snapshot.process:
                row.clear()
            row.append(snapshot)
            while len(row) > 2 and row[1].at <= snapshot.at - WINDOW:
                row.pop(0)
        now = {
            name: points(row[0], row[-1], True)
            for name, row in self._rows.items()
            if name in snapshots and len(row) > 1 and row[-1].at - row[0].at >= WINDOW
        }
        sds = CALM_SD if troubled else TROUBLE_SD
        least = self._least / 2 if troubled else self._least
        some = list(old)
        for zone, before in self._before.items():
            names = [name for name in some if not zone or self._homes[name].zone == zone]
            told = missed(now, names)
            if strayed(told, before, sds, least):
                self._bad += 1
                if self._bad >= 2 or troubled:  # one window may be chance
                    where = f"in {zone}" if zone else "everywhere"
                    return (
                        f"old dispatchers {where} miss {told[0]:.1%} of their worth,"
                        f" {before.mean:.1%} before the rollout"
                    )
                return None
        self._bad = 0
        return None


def time_before(
    series: Sequence[Mapping[str, Snapshot]], homes: Mapping[str, Home]
) -> tuple[list[dict[str, dict[str, Point]]], dict[str, Usual], list[str]]:
    """The time before, from looks at the doors in order: its blocks, what is usual by zone, the classes."""
    first, last = series[0], series[-1]
    begin = min((s.at for s in first.values()), default=0)
    end = max((s.at for s in last.values()), default=0)

    def cut(pieces: int, worth_alone: bool) -> list[dict[str, dict[str, Point]]]:
        edges = [begin + (end - begin) * k // pieces for k in range(pieces + 1)]
        nearest = [min(series, key=lambda row: abs(_moment(row) - edge)) for edge in edges]
        made = []
        for a, b in zip(nearest, nearest[1:], strict=False):
            made.append({name: points(a[name], b[name], worth_alone) for name in a if name in b})
        return made

    windows = cut(max(3, (end - begin) // WINDOW), True)
    before: dict[str, Usual] = {}
    for zone in sorted({"", *(home.zone for home in homes.values())}):
        found = usual(windows, [name for name, home in homes.items() if not zone or home.zone == zone])
        if found is not None:
            before[zone] = found
    names = sorted({name for s in last.values() for name in classes(s.rows)})
    whole = cut(1, False)[0]
    few = [float(np.median([jobs(row, name) for row in whole.values()])) for name in names]
    pieces = int(min(few, default=0.0) / BLOCK_JOBS)
    return cut(min(BLOCKS, max(2, pieces)), False), before, names


def _moment(row: Mapping[str, Snapshot]) -> int:
    return min((s.at for s in row.values()), default=0)
