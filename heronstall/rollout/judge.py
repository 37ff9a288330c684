"""Decides whether the new release is worse than the old one, and whether the fleet is degraded. Free of I/O.

A watch has LOOKS interim looks at fixed fractions of its time. The error probability of the whole rollout,
`alpha`, is divided over stages, watches, looks, figures and zones so that all shares add up to at most alpha:
by the union bound, a harmless change is stopped with a probability of at most alpha, whatever the dependence
between tests. Looks get their shares from the Pocock-like spending function of Lan and DeMets (Biometrika 70,
1983), alpha ln(1 + (e - 1) t), as increments and without their recursion, which needs the joint distribution
of the looks.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import numpy as np
from scipy import special

from heronstall.rollout.effects import BlockValue, estimate_effects
from heronstall.rollout.figures import (
    Figure,
    Point,
    Snapshot,
    classes,
    job_count,
    judged_figures,
    measure_points,
)
from heronstall.rollout.plan import Placement, Plan

LOOKS = 12  # interim looks per watch
MAX_BLOCKS = 6  # of the baseline, at most
MIN_BLOCK_JOBS = 10  # jobs of each class that a block of the median dispatcher should have
DEGRADATION_WINDOW_US = 4_000_000  # interval over which degradation is measured
DEGRADED_SD = 5.0  # standard deviations above the baseline that count as degraded
RECOVERED_SD = 3.0  # standard deviations below which the degradation has ended
FOOTPRINT_ALPHA_SHARE = 0.2  # share of a stage's alpha for footprint looks during a degradation
MIN_LEAK_SAMPLES, MIN_LEAK_TIME_US = 8, 8_000_000  # required to estimate a memory slope
Points = Mapping[str, Mapping[str, Point]]  # by dispatcher and figure


class Finding(NamedTuple):
    """The result of one test of a look. Values are in the figure's own unit."""

    figure: str
    zone: str  # "" for all zones
    value: float
    lower_bound: float  # of the value, at this test's share of alpha
    tolerance: float
    df: int
    harmful: bool
    description: str

    def text(self) -> str:
        """Returns a description for operators."""
        where = f" in {self.zone}" if self.zone else ""
        limits = f"above {self.lower_bound:.3g}, tolerable {self.tolerance:.3g}"
        return f"{self.description}{where}: worse by {self.value:.3g} ({limits})"


class Look(NamedTuple):
    """The result of an interim look."""

    findings: list[Finding]
    jobs: dict[str, float]  # by class, at dispatchers with the new release
    short: list[str]  # classes with too few jobs or without a comparison

    @property
    def harmful(self) -> list[Finding]:
        """The findings of harm beyond the tolerance."""
        return [f for f in self.findings if f.harmful]


def look_alpha(alpha: float, look: int, looks: int = LOOKS) -> float:
    """Returns the alpha of look number `look` (from 1) of `looks`."""

    def spent_alpha(part: float) -> float:
        return alpha * math.log(1 + (math.e - 1) * part)

    return float(spent_alpha(look / looks) - spent_alpha((look - 1) / looks))


def watch_alpha(plan: Plan, attempt: int) -> float:
    """Returns the alpha of a stage's watch number `attempt` (from 0).

    It is halved for each attempt, so that the sum stays bounded for any number of attempts.
    """
    return plan.alpha * (1 - FOOTPRINT_ALPHA_SHARE) / len(plan.stages) / 2.0 ** (attempt + 1)


def footprint_alpha(plan: Plan, number: int) -> float:
    """Returns the alpha of a stage's footprint look `number` (from 0) during degradations."""
    return plan.alpha * FOOTPRINT_ALPHA_SHARE / len(plan.stages) / 2.0 ** (number + 1)


class Judge:
    """Holds the baseline and evaluates the looks of a watch."""

    def __init__(
        self, plan: Plan, placements: Mapping[str, Placement], blocks: Sequence[Points], names: Iterable[str]
    ) -> None:
        self._plan, self._placements, self._blocks = plan, placements, blocks
        self._classes = list(names)
        self.figures = judged_figures(self._classes, plan.tolerances)

    def look(self, points: Points, new_dispatchers: Iterable[str], alpha: float) -> Look:
        """Compares new and old dispatchers over one interval, at the given alpha."""
        changed = set(new_dispatchers)
        zones = sorted({self._placements[name].zone for name in changed if name in points})
        findings: list[Finding] = []
        tests = len(self.figures)
        for figure in self.figures:
            findings += self._test_figure(figure, points, changed, alpha / 2 / tests, False, 1.0)
            if len(zones) > 1:
                findings += self._test_figure(
                    figure, points, changed, alpha / 2 / tests / len(zones), True, 1.0
                )
        job_counts = {c: sum(job_count(points.get(n, {}), c) for n in changed) for c in self._classes}
        tested = {finding.figure for finding in findings}
        has_control = any(name not in changed for name in points)  # the last stage may have no old dispatcher
        short = [
            c
            for c in self._classes
            if job_counts[c] < self._plan.min_jobs or (has_control and f"failed.{c}" not in tested)
        ]
        return Look(findings, job_counts, short)

    def footprint(self, points: Points, new_dispatchers: Iterable[str], alpha: float) -> list[Finding]:
        """Returns where new dispatchers add load on others beyond twice the tolerance; for degradations."""
        figures = [figure for figure in self.figures if figure.footprint]
        results = []
        for figure in figures:
            results += self._test_figure(
                figure, points, set(new_dispatchers), alpha / len(figures), False, 2.0
            )
        return [finding for finding in results if finding.harmful]

    def _test_figure(
        self,
        figure: Figure,
        points: Points,
        new_dispatchers: set[str],
        alpha: float,
        split: bool,
        factor: float,
    ) -> list[Finding]:
        rows = []
        for block, block_points in enumerate([*self._blocks, points]):
            last = block == len(self._blocks)
            for name, row in block_points.items():
                point = row.get(figure.name)
                if point is not None:
                    x = point.x if figure.kind == "share" else None
                    is_new = last and name in new_dispatchers
                    rows.append(
                        BlockValue(name, self._placements[name].zone, block, is_new, point.y, point.n, x)
                    )
        tolerance = figure.tolerance * factor
        findings = []
        for zone, effect in estimate_effects(rows, split).items():
            lower_bound = effect.lower_bound(alpha)
            harmful = effect.p < alpha and effect.exact_p < alpha and effect.value > tolerance
            findings.append(
                Finding(
                    figure.name,
                    zone,
                    effect.value,
                    lower_bound,
                    tolerance,
                    effect.df,
                    harmful,
                    figure.description,
                )
            )
        return findings


def cohort_levels(
    figures: Sequence[Figure], points: Points, new_dispatchers: Iterable[str]
) -> dict[str, list[float]]:
    """Returns each figure's mean over new and over old dispatchers, in its natural unit, for operators."""
    changed = set(new_dispatchers)
    results = {}
    for figure in figures:
        pair = []
        for cohort in (True, False):
            cohort_points = [row for name, row in points.items() if (name in changed) is cohort]
            rows = [row[figure.name] for row in cohort_points if figure.name in row]
            n = sum(row.n for row in rows)
            if n:
                mean = sum(row.y * row.n for row in rows) / n
                sign = -1 if figure.name == "traffic" else 1  # traffic is shown as jobs per second
                pair.append(round(mean if figure.kind == "share" else math.exp(sign * mean), 6))
        if len(pair) == 2:
            results[figure.name] = pair
    return results


# ---------------------------------------------------------------------- memory


def find_leaks(
    series: Mapping[str, Sequence[tuple[int, float]]],
    new_dispatchers: set[str],
    alpha: float,
    tolerance: float,
) -> list[str]:
    """Returns the new dispatchers whose memory (KiB over time) grows faster than tolerated.

    `tolerance` is in KiB per second. The slope must be significant at alpha, exceed the tolerance in both
    halves of the series (the growth of a starting process is not a leak), and exceed the median slope of the
    old dispatchers by more than the tolerance.
    """
    slopes: dict[str, float] = {}
    leaking = []
    for name, row in series.items():
        if len(row) < MIN_LEAK_SAMPLES or row[-1][0] - row[0][0] < MIN_LEAK_TIME_US:
            continue
        halves = (row[: len(row) // 2], row[len(row) // 2 :])
        slope, lower_bound = _slope(row, alpha)
        slopes[name] = slope
        if (
            name in new_dispatchers
            and lower_bound > 0
            and all(_slope(half, alpha)[0] > tolerance for half in halves)
        ):
            leaking.append(name)
    control_slopes = [slope for name, slope in slopes.items() if name not in new_dispatchers]
    control_median = float(np.median(control_slopes)) if control_slopes else 0.0
    return [name for name in leaking if slopes[name] > control_median + tolerance]


def _slope(row: Sequence[tuple[int, float]], alpha: float) -> tuple[float, float]:
    at = np.array([t for t, _ in row], dtype=float) / 1e6
    if at[-1] <= at[0]:
        return 0.0, 0.0
    at -= at.mean()
    y = np.array([value for _, value in row])
    sum_of_squares = float(at @ at)
    slope = float(at @ y) / sum_of_squares
    residuals = y - y.mean() - slope * at
    standard_error = math.sqrt(float(residuals @ residuals) / max(1, len(row) - 2) / sum_of_squares)
    return slope, slope + float(special.ndtri(alpha)) * standard_error


# ---------------------------------------------------------------------- the fleet against its baseline


class WorthBaseline(NamedTuple):
    """The share of requested worth that baseline windows missed: its mean and standard deviation."""

    mean: float
    sd: float


def missed_worth(points: Points, names: Iterable[str]) -> tuple[float, float]:
    """Returns the share of the worth that the named dispatchers missed together, and the number of jobs."""
    rows = [points[name]["worth"] for name in names if "worth" in points.get(name, {})]
    n = sum(row.n for row in rows)
    return (sum(row.x for row in rows) / n if n else 0.0), n


def estimate_worth_baseline(windows: Sequence[Points], names: Iterable[str]) -> WorthBaseline | None:
    """Estimates the baseline from its windows; returns None for fewer than three usable windows."""
    dispatchers = list(names)
    values = [value for value, n in (missed_worth(window, dispatchers) for window in windows) if n > 0]
    if len(values) < 3:
        return None
    return WorthBaseline(float(np.mean(values)), float(np.std(values, ddof=1)))


def is_degraded(
    current: tuple[float, float], baseline: WorthBaseline, sd_limit: float, min_excess: float
) -> bool:
    """Returns whether a window misses more worth than the baseline.

    The limit is `sd_limit` standard deviations, including the sampling error of few jobs, but at least
    `min_excess`.
    """
    value, n = current
    if n < 10:
        return False
    share = min(0.99, max(baseline.mean, 0.01))
    sampling_error = math.sqrt(share * (1 - share) / n)
    return value > baseline.mean + max(sd_limit * math.hypot(baseline.sd, sampling_error), min_excess)


class DegradationMonitor:
    """Watches the dispatchers that are still unchanged for degradation, by zone and all together."""

    def __init__(
        self, plan: Plan, placements: Mapping[str, Placement], baseline: Mapping[str, WorthBaseline]
    ) -> None:
        self._placements, self._baselines = placements, baseline
        self._min_excess = plan.tolerances["worth"] * 1.5
        self._snapshots: dict[str, list[Snapshot]] = defaultdict(list)
        self._degraded_windows = 0

    def look(self, snapshots: Mapping[str, Snapshot], control: Iterable[str], degraded: bool) -> str | None:
        """Returns a description of the degradation; None where there is none or too little data."""
        for name, snapshot in snapshots.items():
            row = self._snapshots[name]
            if row and row[-1].process != snapshot.process:
                row.clear()
            row.append(snapshot)
            while len(row) > 2 and row[1].at <= snapshot.at - DEGRADATION_WINDOW_US:
                row.pop(0)
        current = {
            name: measure_points(row[0], row[-1], True)
            for name, row in self._snapshots.items()
            if name in snapshots and len(row) > 1 and row[-1].at - row[0].at >= DEGRADATION_WINDOW_US
        }
        sd_limit = RECOVERED_SD if degraded else DEGRADED_SD
        min_excess = self._min_excess / 2 if degraded else self._min_excess
        selected = list(control)
        for zone, baseline in self._baselines.items():
            names = [name for name in selected if not zone or self._placements[name].zone == zone]
            shortfall = missed_worth(current, names)
            if is_degraded(shortfall, baseline, sd_limit, min_excess):
                self._degraded_windows += 1
                if self._degraded_windows >= 2 or degraded:  # a single window may be a random fluctuation
                    where = f"in {zone}" if zone else "everywhere"
                    return (
                        f"old dispatchers {where} miss {shortfall[0]:.1%} of their worth,"
                        f" {baseline.mean:.1%} before the rollout"
                    )
                return None
        self._degraded_windows = 0
        return None


def measure_baseline(
    series: Sequence[Mapping[str, Snapshot]], placements: Mapping[str, Placement]
) -> tuple[list[dict[str, dict[str, Point]]], dict[str, WorthBaseline], list[str]]:
    """Returns, from snapshots in order of time, the baseline's blocks, its worth by zone, and the classes."""
    first, last = series[0], series[-1]
    begin = min((s.at for s in first.values()), default=0)
    end = max((s.at for s in last.values()), default=0)

    def split_series(pieces: int, worth_only: bool) -> list[dict[str, dict[str, Point]]]:
        edges = [begin + (end - begin) * k // pieces for k in range(pieces + 1)]
        nearest = [min(series, key=lambda row: abs(_earliest_time(row) - edge)) for edge in edges]
        piece_points = []
        for a, b in zip(nearest, nearest[1:], strict=False):
            piece_points.append(
                {name: measure_points(a[name], b[name], worth_only) for name in a if name in b}
            )
        return piece_points

    windows = split_series(max(3, (end - begin) // DEGRADATION_WINDOW_US), True)
    baselines: dict[str, WorthBaseline] = {}
    for zone in sorted({"", *(placement.zone for placement in placements.values())}):
        baseline = estimate_worth_baseline(
            windows, [name for name, placement in placements.items() if not zone or placement.zone == zone]
        )
        if baseline is not None:
            baselines[zone] = baseline
    class_names = sorted({name for s in last.values() for name in classes(s.rows)})
    overall = split_series(1, False)[0]
    median_jobs = [
        float(np.median([job_count(row, name) for row in overall.values()])) for name in class_names
    ]
    pieces = int(min(median_jobs, default=0.0) / MIN_BLOCK_JOBS)
    return split_series(min(MAX_BLOCKS, max(2, pieces)), False), baselines, class_names


def _earliest_time(row: Mapping[str, Snapshot]) -> int:
    return min((s.at for s in row.values()), default=0)
