"""Converts the detailed metrics of a dispatcher's admin endpoint into comparable points. Free of I/O.

A `Snapshot` holds counters since the start of a process. The difference of two snapshots of one process
gives a `Point` for each figure. A missing name gives no point, and its test stays undecided: rows of a later
version are never guessed at.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import Any, Literal, NamedTuple

import numpy as np
from hdrh.histogram import HdrHistogram

HISTOGRAM_STEP_US = 100  # the unit of the histograms of `ops.detail`
MEDIAN_PERCENTILE, TAIL_PERCENTILE = 50.0, 95.0
LOOP_DELAY_PERCENTILE = 99.0
HISTOGRAM_CACHE_SIZE = 1024  # decoded histograms; every look of a watch needs those of its start again
MIN_JOBS = 5  # jobs of a class below which a dispatcher gives no point for it
MIN_SERVED_JOBS = 10  # served jobs below which it gives no latency percentile
OUTCOMES = ("served", "refused", "failed", "gone")
Kind = Literal["share", "log", "level"]


class Figure(NamedTuple):
    """A measure that a release may worsen. A higher value is always worse."""

    name: str
    kind: Kind  # a share of jobs, the logarithm of a value, or the value itself
    tolerance: float  # in the figure's own unit: a logarithm for the kind "log"
    footprint: bool  # whether it measures load on other systems
    description: str


class Point(NamedTuple):
    """A dispatcher's value `y` of a figure over an interval, its weight `n`, and the count `x` of a share."""

    y: float
    n: float
    x: float = 0.0


class Snapshot(NamedTuple):
    """The metrics of an admin endpoint at a time (Unix time in microseconds)."""

    at: int
    rows: Mapping[str, str]

    @property
    def process(self) -> tuple[str, str]:
        """The process that gave the metrics: counters of two processes cannot be subtracted."""
        return self.rows.get("about.pid", ""), self.rows.get("about.born_us", "")


def classes(rows: Mapping[str, str]) -> list[str]:
    """Returns the request classes that a snapshot has metrics of."""
    return [name[len("taken.") :] for name in rows if name.startswith("taken.")]


def judged_figures(names: Iterable[str], tolerances: Mapping[str, float]) -> list[Figure]:
    """Returns every figure that is judged, with its tolerance from the plan."""

    def log_tolerance(key: str) -> float:
        return math.log1p(tolerances[key])

    rows = [
        Figure("worth", "share", tolerances["worth"], False, "worth not served in time"),
        Figure("attempts", "log", log_tolerance("attempts"), True, "attempts a job"),
        Figure("connects", "log", log_tolerance("connects"), True, "connections opened a job"),
        Figure("probes", "log", log_tolerance("probes"), True, "probes a job"),
        Figure("cpu", "log", log_tolerance("cpu"), False, "CPU a job"),
        Figure("memory", "log", log_tolerance("memory"), False, "memory"),
        Figure("loop", "log", log_tolerance("loop"), False, "delay of its loop, 99th percentile"),
        # Detects a dispatcher that reports ready but cannot be reached by clients.
        Figure(
            "traffic", "log", -math.log(max(1e-6, 1 - tolerances["traffic"])), False, "jobs that stay away"
        ),
    ]
    for name in names:
        rows += [
            Figure(f"refused.{name}", "share", tolerances["refused"], False, f"{name} refused"),
            Figure(
                f"failed.{name}",
                "share",
                tolerances["failed"],
                False,
                f"{name} failed or given up by clients",
            ),
            Figure(f"late.{name}", "share", tolerances["late"], False, f"{name} served late"),
            Figure(f"p50.{name}", "log", log_tolerance("latency"), False, f"{name}, median"),
            Figure(f"p95.{name}", "log", log_tolerance("tail"), False, f"{name}, 95th percentile"),
        ]
    return rows


def _parse_number(rows: Mapping[str, str], name: str) -> float | None:
    try:
        return float(rows[name])
    except (KeyError, ValueError):
        return None


@lru_cache(HISTOGRAM_CACHE_SIZE)
def _decode_counts(text: str) -> dict[int, int]:
    """Returns a histogram's values with their counts. Raises the library's errors for malformed text."""
    result = HdrHistogram.decode(text)
    counts = np.ctypeslib.as_array(result.counts)  # the library's iterators are a hundred times slower
    values = _bucket_values(
        result.lowest_trackable_value, result.highest_trackable_value, result.significant_figures
    )
    return {values[at]: int(counts[at]) for at in np.nonzero(counts)[0]}


@lru_cache(8)
def _bucket_values(lowest: int, highest: int, digits: int) -> list[int]:
    """Returns the value that each bucket of a histogram with these bounds stands for."""
    model = HdrHistogram(lowest, highest, digits)
    indexes = range(model.counts_len)
    return [model.get_highest_equivalent_value(model.get_value_from_index(index)) for index in indexes]


def _histogram_increase(
    before: Mapping[str, str], now: Mapping[str, str], name: str
) -> list[tuple[int, int]]:
    """Returns the values added to a histogram with their counts, in order; empty if undetermined."""
    try:
        counts, first = _decode_counts(now[name]), _decode_counts(before[name])
    except Exception:  # the library raises many types; an unreadable histogram gives no point
        return []
    increases = [(value, count - first.get(value, 0)) for value, count in sorted(counts.items())]
    return [] if any(count < 0 for _, count in increases) else [row for row in increases if row[1]]


def quantile(row: list[tuple[int, int]], percentile: float) -> int:
    """Returns the smallest value that at least `percentile` percent of the counted values do not exceed."""
    target = percentile / 100 * sum(count for _, count in row)
    seen = 0
    for value, count in row:
        seen += count
        if seen >= target:
            return value
    return row[-1][0]


def measure_points(before: Snapshot, now: Snapshot, worth_only: bool = False) -> dict[str, Point]:
    """Returns every figure of one process between two snapshots; none if the process differs.

    `worth_only` leaves out what the frequent degradation check does not need: decoding histograms is slow.
    """
    if before.process != now.process or now.at <= before.at:
        return {}
    earlier, later = before.rows, now.rows
    result: dict[str, Point] = {}

    def increase(name: str) -> float | None:
        first, last = _parse_number(earlier, name), _parse_number(later, name)
        return None if first is None or last is None else last - first

    names = classes(later)
    ended, total_worth, missed = 0.0, 0.0, 0.0
    for name in names:
        outcomes = {outcome: increase(f"{outcome}.{name}") for outcome in OUTCOMES}
        intime, worth = increase(f"intime.{name}"), _parse_number(later, f"worth.{name}")
        if any(x is None for x in outcomes.values()) or intime is None or worth is None:
            continue
        n = sum(x for x in outcomes.values() if x is not None)
        served = outcomes["served"] or 0.0
        ended += n
        total_worth += worth * n
        missed += worth * (n - intime)
        if n < MIN_JOBS or worth_only:
            continue
        failed = (outcomes["failed"] or 0.0) + (outcomes["gone"] or 0.0)
        for key, x in (
            ("refused", outcomes["refused"] or 0.0),
            ("failed", failed),
            ("late", served - intime),
        ):
            result[f"{key}.{name}"] = Point(x / n, n, x)
        histogram = _histogram_increase(earlier, later, f"latency.{name}")
        if served >= MIN_SERVED_JOBS and histogram:
            for key, percentile in (("p50", MEDIAN_PERCENTILE), ("p95", TAIL_PERCENTILE)):
                value = max(1, quantile(histogram, percentile)) * HISTOGRAM_STEP_US
                result[f"{key}.{name}"] = Point(math.log(value), served if key == "p50" else served / 4)
    if ended >= MIN_JOBS and total_worth > 0:
        result["worth"] = Point(missed / total_worth, ended, missed / total_worth * ended)
    if worth_only:
        return result
    if ended >= MIN_JOBS and total_worth > 0:
        for name in ("attempts", "connects", "probes"):
            count = increase(name)
            if count is not None:
                result[name] = Point(math.log((count + 1) / (ended + 1)), max(1.0, min(ended, count + 1)))
        cpu = increase("cpu_us")
        if cpu is not None:
            result["cpu"] = Point(math.log((cpu + 1) / ended), ended)
    seconds = (now.at - before.at) / 1e6
    result["traffic"] = Point(-math.log((ended + 1) / seconds), seconds)
    memory = _parse_number(later, "memory_kb")
    if memory:
        result["memory"] = Point(math.log(memory), seconds)
    loop = _histogram_increase(earlier, later, "loop")
    if sum(count for _, count in loop) >= MIN_JOBS:
        result["loop"] = Point(
            math.log(max(1, quantile(loop, LOOP_DELAY_PERCENTILE)) * HISTOGRAM_STEP_US), seconds
        )
    return result


def job_count(points: Mapping[str, Point], name: str) -> float:
    """Returns how many jobs of a class a dispatcher's points are based on."""
    point = points.get(f"failed.{name}")
    return 0.0 if point is None else point.n


def points_to_record(points: Mapping[str, Point]) -> dict[str, list[float]]:
    """Returns points in the form they have in a journal."""
    return {name: [round(p.y, 6), round(p.n, 3), round(p.x, 3)] for name, p in points.items()}


def points_from_record(row: Mapping[str, Any]) -> dict[str, Point]:
    """Returns points read from a journal."""
    return {name: Point(*values) for name, values in row.items()}
