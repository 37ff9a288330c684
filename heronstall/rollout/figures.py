"""What a dispatcher's door tells (DETAIL), as points that can be compared. Free of I/O.

A `Snapshot` holds counts since a process's start; two of one process give what happened between them, and
that gives a `Point` for each figure. A name that is missing gives no point, and its test stays undecided:
rows of a later version are never guessed at.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import Any, Literal, NamedTuple

import numpy as np
from hdrh.histogram import HdrHistogram

STEP = 100  # microseconds that a histogram counts in (`ops.detail`)
MEDIAN, TAIL = 50.0, 95.0
LOOP = 99.0
KEPT = 1024  # histograms read of late: a watch's first ones are wanted at each of its looks
FEW = 5  # jobs below which a dispatcher tells nothing of a class
FEW_SERVED = 10  # and of how long they take
ENDS = ("served", "refused", "failed", "gone")
Kind = Literal["share", "log", "level"]


class Figure(NamedTuple):
    """Something that may be harmed. More is worse, always."""

    name: str
    kind: Kind  # a share of jobs; the logarithm of something; something as it is
    tolerable: float  # in the figure's own unit: a logarithm for `log`
    footprint: bool  # what others feel of it
    about: str


class Point(NamedTuple):
    """One dispatcher's value of a figure over a time: `n` is what it rests on, `x` the count of a share."""

    y: float
    n: float
    x: float = 0.0


class Snapshot(NamedTuple):
    """What a door told at a moment (Unix time in microseconds)."""

    at: int
    rows: Mapping[str, str]

    @property
    def process(self) -> tuple[str, str]:
        """Which process told it: counts of two do not go together."""
        return self.rows.get("about.pid", ""), self.rows.get("about.born_us", "")


def classes(rows: Mapping[str, str]) -> list[str]:
    """The classes that a snapshot speaks of."""
    return [name[len("taken.") :] for name in rows if name.startswith("taken.")]


def all_figures(names: Iterable[str], harm: Mapping[str, float]) -> list[Figure]:
    """Every figure that is judged, with what is tolerable of it (`harm` of the plan)."""

    def log(key: str) -> float:
        return math.log1p(harm[key])

    rows = [
        Figure("worth", "share", harm["worth"], False, "worth not served in time"),
        Figure("attempts", "log", log("attempts"), True, "attempts a job"),
        Figure("connects", "log", log("connects"), True, "connections opened a job"),
        Figure("probes", "log", log("probes"), True, "probes a job"),
        Figure("cpu", "log", log("cpu"), False, "CPU a job"),
        Figure("memory", "log", log("memory"), False, "memory"),
        Figure("loop", "log", log("loop"), False, "delay of its loop, 99th percentile"),
        # All but so much of its jobs may stay away: a dispatcher that says yes and is not reached.
        Figure("traffic", "log", -math.log(max(1e-6, 1 - harm["traffic"])), False, "jobs that stay away"),
    ]
    for name in names:
        rows += [
            Figure(f"refused.{name}", "share", harm["refused"], False, f"{name} refused"),
            Figure(f"failed.{name}", "share", harm["failed"], False, f"{name} failed or given up by clients"),
            Figure(f"late.{name}", "share", harm["late"], False, f"{name} served late"),
            Figure(f"p50.{name}", "log", log("latency"), False, f"{name}, median"),
            Figure(f"p95.{name}", "log", log("tail"), False, f"{name}, 95th percentile"),
        ]
    return rows


def _number(rows: Mapping[str, str], name: str) -> float | None:
    try:
        return float(rows[name])
    except (KeyError, ValueError):
        return None


@lru_cache(KEPT)
def _counts(text: str) -> dict[int, int]:
    """A histogram's values and how often each came. Raises whatever the library does for what is none."""
    made = HdrHistogram.decode(text)
    counts = np.ctypeslib.as_array(made.counts)  # its own iterators take a hundred times as long
    values = _values(made.lowest_trackable_value, made.highest_trackable_value, made.significant_figures)
    return {values[at]: int(counts[at]) for at in np.nonzero(counts)[0]}


@lru_cache(8)
def _values(lowest: int, highest: int, digits: int) -> list[int]:
    """The value that each place of a histogram of such bounds stands for."""
    model = HdrHistogram(lowest, highest, digits)
    places = range(model.counts_len)
    return [model.get_highest_equivalent_value(model.get_value_from_index(at)) for at in places]


def _gained(before: Mapping[str, str], now: Mapping[str, str], name: str) -> list[tuple[int, int]]:
    """The values that a histogram has gained, in order; empty where it cannot be told."""
    try:
        counts, first = _counts(now[name]), _counts(before[name])
    except Exception:  # the library says so in many ways; what cannot be read is not told
        return []
    left = [(value, count - first.get(value, 0)) for value, count in sorted(counts.items())]
    return [] if any(count < 0 for _, count in left) else [row for row in left if row[1]]


def quantile(row: list[tuple[int, int]], part: float) -> int:
    """The value that so many of a hundred do not go beyond."""
    want = part / 100 * sum(count for _, count in row)
    seen = 0
    for value, count in row:
        seen += count
        if seen >= want:
            return value
    return row[-1][0]


def points(before: Snapshot, now: Snapshot, worth_alone: bool = False) -> dict[str, Point]:
    """Every figure of one process between two moments; none where the two are not of one process.

    `worth_alone` leaves out what a look every second has no use for: histograms cost something to read.
    """
    if before.process != now.process or now.at <= before.at:
        return {}
    a, b = before.rows, now.rows
    made: dict[str, Point] = {}

    def gained(name: str) -> float | None:
        first, last = _number(a, name), _number(b, name)
        return None if first is None or last is None else last - first

    names = classes(b)
    taken, asked, missed = 0.0, 0.0, 0.0
    for name in names:
        ends = {end: gained(f"{end}.{name}") for end in ENDS}
        intime, worth = gained(f"intime.{name}"), _number(b, f"worth.{name}")
        if any(x is None for x in ends.values()) or intime is None or worth is None:
            continue
        n = sum(x for x in ends.values() if x is not None)
        served = ends["served"] or 0.0
        taken += n
        asked += worth * n
        missed += worth * (n - intime)
        if n < FEW or worth_alone:
            continue
        failed = (ends["failed"] or 0.0) + (ends["gone"] or 0.0)
        for key, x in (("refused", ends["refused"] or 0.0), ("failed", failed), ("late", served - intime)):
            made[f"{key}.{name}"] = Point(x / n, n, x)
        histogram = _gained(a, b, f"latency.{name}")
        if served >= FEW_SERVED and histogram:
            for key, part in (("p50", MEDIAN), ("p95", TAIL)):
                value = max(1, quantile(histogram, part)) * STEP
                made[f"{key}.{name}"] = Point(math.log(value), served if key == "p50" else served / 4)
    if taken >= FEW and asked > 0:
        made["worth"] = Point(missed / asked, taken, missed / asked * taken)
    if worth_alone:
        return made
    if taken >= FEW and asked > 0:
        for name in ("attempts", "connects", "probes"):
            count = gained(name)
            if count is not None:
                made[name] = Point(math.log((count + 1) / (taken + 1)), max(1.0, min(taken, count + 1)))
        cpu = gained("cpu_us")
        if cpu is not None:
            made["cpu"] = Point(math.log((cpu + 1) / taken), taken)
    seconds = (now.at - before.at) / 1e6
    made["traffic"] = Point(-math.log((taken + 1) / seconds), seconds)
    memory = _number(b, "memory_kb")
    if memory:
        made["memory"] = Point(math.log(memory), seconds)
    loop = _gained(a, b, "loop")
    if sum(count for _, count in loop) >= FEW:
        made["loop"] = Point(math.log(max(1, quantile(loop, LOOP)) * STEP), seconds)
    return made


def jobs(found: Mapping[str, Point], name: str) -> float:
    """How many jobs of a class a dispatcher's points rest on."""
    point = found.get(f"failed.{name}")
    return 0.0 if point is None else point.n


def keep(found: Mapping[str, Point]) -> dict[str, list[float]]:
    """Points for a journal."""
    return {name: [round(p.y, 6), round(p.n, 3), round(p.x, 3)] for name, p in found.items()}


def kept(row: Mapping[str, Any]) -> dict[str, Point]:
    """Points from a journal."""
    return {name: Point(*values) for name, values in row.items()}
