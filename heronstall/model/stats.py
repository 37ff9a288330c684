"""Paired differences with intervals, a stopping rule that keeps its level, and verdicts in words. No I/O.

Every figure's interval is the wider of Student's t and the BCa bootstrap, at a level divided by the number of
figures looked at (Bonferroni): all of them hold together at the level asked for. The run stops on the width
of one figure's interval, never on what it says: for sums of runs, mean and spread are nearly independent, so
that stopping by spread leaves the level as it is, where stopping on significance would not.
"""

from __future__ import annotations

import warnings
from dataclasses import dataclass
from typing import Literal

import numpy as np
from numpy.typing import NDArray
from scipy import stats

Verdict = Literal["better", "worse", "no difference", "not enough runs"]
LEAST_RUNS = 12  # below it no interval is believed, and nothing stops
RESAMPLES = 2000
BIMODAL = 5 / 9  # of Sarle's coefficient: what an even distribution has
GROUP_GAP = 0.05  # two groups of outcomes closer than this are not worth telling
LOWER_IS_BETTER = ("waste", "crossings", "probes", "refused", "failed", "attempts", "late_fail", "p50", "p99")
Floats = NDArray[np.float64]


@dataclass(frozen=True)
class Interval:
    """A mean and the bounds that hold it at some level."""

    mean: float
    low: float
    high: float

    @property
    def half_width(self) -> float:
        """Half of what lies between the bounds."""
        return (self.high - self.low) / 2.0


@dataclass(frozen=True)
class Figure:
    """One figure of a comparison: B less A."""

    name: str
    a: float
    b: float
    difference: Interval
    runs: int
    verdict: Verdict
    pairing: float  # the variance of unpaired differences, as a multiple of the paired ones'
    groups: str  # said where the outcomes of A or B fall into two groups; else empty


def interval(values: Floats, level: float, seed: int = 0) -> Interval:
    """The mean of these values with bounds at `level`: the wider of t and BCa."""
    mean = float(values.mean())
    n = len(values)
    if n < 2 or float(values.std()) == 0.0:
        return Interval(mean, mean, mean)
    half = float(stats.t.ppf(0.5 + level / 2.0, n - 1) * values.std(ddof=1) / np.sqrt(n))
    low, high = mean - half, mean + half
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")  # degenerate resamples: the t bounds stand then
        boot = stats.bootstrap(
            (values,), np.mean, confidence_level=level, n_resamples=RESAMPLES, method="BCa", rng=seed
        ).confidence_interval
    if np.isfinite(boot.low) and np.isfinite(boot.high):
        low, high = min(low, float(boot.low)), max(high, float(boot.high))
    return Interval(mean, low, high)


def verdict(name: str, difference: Interval, runs: int, wanted: float) -> Verdict:
    """What an interval says, in words; `wanted` is the half-width that was asked for."""
    if runs < LEAST_RUNS:
        return "not enough runs"
    lower = any(part in name for part in LOWER_IS_BETTER)
    if difference.low > 0.0:
        return "worse" if lower else "better"
    if difference.high < 0.0:
        return "better" if lower else "worse"
    return "no difference" if difference.half_width <= wanted else "not enough runs"


def two_groups(values: Floats) -> str:
    """Says so where outcomes fall into two groups, so that their mean is none of them. Empty where not.

    Sarle's coefficient finds candidates; the widest gap then splits them, and each side must hold a tenth.
    """
    n = len(values)
    if n < LEAST_RUNS or float(values.std()) == 0.0:
        return ""
    skew, kurtosis = float(stats.skew(values, bias=False)), float(stats.kurtosis(values, bias=False))
    coefficient = (skew**2 + 1.0) / (kurtosis + 3.0 * (n - 1) ** 2 / ((n - 2) * (n - 3)))
    ordered = np.sort(values)
    edge = max(1, n // 10)
    gaps = np.diff(ordered)[edge - 1 : n - edge]
    if coefficient <= BIMODAL or not len(gaps):
        return ""
    at = int(gaps.argmax()) + edge
    left, right = ordered[:at], ordered[at:]
    if float(right.mean() - left.mean()) < GROUP_GAP or float(gaps.max()) < 0.2 * float(np.ptp(ordered)):
        return ""
    return (
        f"{len(left)} runs near {left.mean():.3f}, {len(right)} near {right.mean():.3f}: the mean is neither"
    )


def compare(
    rows_a: dict[str, Floats], rows_b: dict[str, Floats], level: float, wanted: float
) -> list[Figure]:
    """Every figure of two choices, run by run in the same order of seeds."""
    share = 1.0 - (1.0 - level) / max(1, len(rows_a))
    figures = []
    for name, a in rows_a.items():
        b = rows_b[name]
        both = np.isfinite(a) & np.isfinite(b)
        a, b = a[both], b[both]
        if not len(a):
            continue
        differences = b - a
        found = interval(differences, share)
        spread = float(differences.var(ddof=1)) if len(a) > 1 else 0.0
        apart = float(a.var(ddof=1) + b.var(ddof=1)) if len(a) > 1 else 0.0
        said = [f"{who}: {told}" for who, v in (("A", a), ("B", b)) if (told := two_groups(v))]
        figures.append(
            Figure(
                name,
                float(a.mean()),
                float(b.mean()),
                found,
                len(a),
                verdict(name, found, len(a), wanted),
                apart / spread if spread > 0.0 else float("inf") if apart > 0.0 else 1.0,
                "; ".join(said) if name in ("service", "score") else "",
            )
        )
    return figures


def enough(differences: Floats, level: float, figures: int, wanted: float) -> bool:
    """Whether the interval of the figure that stops the run is as narrow as asked for."""
    if len(differences) < LEAST_RUNS:
        return False
    share = 1.0 - (1.0 - level) / max(1, figures)
    return interval(differences, share).half_width <= wanted
