"""Counts the requests that a tier's dispatchers served late or not at all, from their logs.

`dataplane/misses.py` writes the log lines. A line may be prefixed with a time in seconds and a node's name.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from statistics import fmean
from typing import Any

FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
SECONDS_PREFIX = re.compile(r"\s*(-?\d+(?:\.\d+)?)\s")
NO_INTERVAL = "calm"
TIME_FIELDS = ("deferred_ms", "held_ms", "sent_ms", "first_ms", "gap_ms", "slack_ms", "waited_ms", "ran_ms")
TALLY_FIELDS = (
    "requests",
    "missed",
    "size",
    "missed_size",
    "first_home",
    "second_home",
    "elsewhere",
    "planned",
    "connections",
)
REQUEST_MISSED, ITEM_MISSED, JOB_MISSED, TALLY_EVENT = (
    "request missed",
    "item missed",
    "job missed",
    "requests",
)


class LogError(ValueError):
    """The logs are missing or invalid; the message names the file and line if known."""


@dataclass(frozen=True)
class TimeInterval:
    """A named time interval, in seconds on the logs' clock."""

    name: str
    begin: float
    end: float


@dataclass(frozen=True)
class LogEvent:
    """One event of a log."""

    at: float  # seconds
    name: str
    fields: dict[str, str]


@dataclass(frozen=True)
class MissGroup:
    """The group in which a miss is counted."""

    route: str
    interval: str
    reason: str


@dataclass
class MissCount:
    """The misses of one group and the times that explain them, in milliseconds."""

    count: int = 0
    times: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))


@dataclass
class RouteTotals:
    """The sums of a route's tallies."""

    counts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(TALLY_FIELDS, 0))


@dataclass
class MissTable:
    """All misses by group, and the totals by route."""

    routes: dict[str, RouteTotals] = field(default_factory=dict)
    misses: dict[MissGroup, MissCount] = field(default_factory=dict)

    def record(self) -> dict[str, Any]:
        """Returns the table as a record for JSON."""
        return {
            "routes": {name: totals.counts for name, totals in sorted(self.routes.items())},
            "misses": [
                {
                    "route": group.route,
                    "moment": group.interval,
                    "reason": group.reason,
                    "count": miss_count.count,
                    **{
                        f"mean_{name}": round(fmean(values), 1)
                        for name, values in sorted(miss_count.times.items())
                    },
                }
                for group, miss_count in self._sorted_groups()
            ],
        }

    def _sorted_groups(self) -> list[tuple[MissGroup, MissCount]]:
        return sorted(self.misses.items(), key=lambda pair: (pair[0].route, pair[0].interval, -pair[1].count))

    def lines(self) -> Iterator[str]:
        """Yields the table as lines of text."""
        yield (
            f"{'route':<24} {'ended':>7} {'missed':>7} {'share':>6} {'new conn.':>9}"
            "  large prompts planned; at home, second, elsewhere"
        )
        for name, totals in sorted(self.routes.items()):
            c = totals.counts
            ended = max(1, c["requests"])
            homes = f"{c['planned']}; {c['first_home']}, {c['second_home']}, {c['elsewhere']}"
            yield (
                f"{name:<24} {c['requests']:>7} {c['missed']:>7} {c['missed'] / ended:>6.1%}"
                f" {c['connections'] / ended:>9.3f}  {homes}"
            )
        yield ""
        yield f"{'route':<24} {'moment':<14} {'reason':<24} {'count':>6} {'share':>6}  mean milliseconds"
        for group, miss_count in self._sorted_groups():
            totals = self.routes.get(group.route, RouteTotals())
            share = miss_count.count / max(1, totals.counts["requests"])
            times = ", ".join(
                f"{name.removesuffix('_ms')} {fmean(values):.0f}"
                for name, values in miss_count.times.items()
                if any(values)
            )
            yield (
                f"{group.route:<24} {group.interval:<14} {group.reason:<24} {miss_count.count:>6}"
                f" {share:>6.1%}  {times}"
            )


def read_event(line: str) -> LogEvent | None:
    """Returns the event of a line; None if the line is not an event of the tier."""
    start = line.find("timestamp=")
    if start < 0:
        return None
    fields = {name: _unquoted(value) for name, value in FIELD_PATTERN.findall(line, start)}
    seconds_prefix = SECONDS_PREFIX.match(line[:start])
    try:
        at = (
            float(seconds_prefix[1])
            if seconds_prefix
            else datetime.fromisoformat(fields["timestamp"]).timestamp()
        )
    except ValueError as error:
        raise LogError(f"timestamp: {error}") from None
    return LogEvent(at, fields.get("event", ""), fields)


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    return value[1:-1].replace('\\"', '"').replace("\\\\", "\\")


def read_events(paths: Iterable[Path]) -> Iterator[LogEvent]:
    """Yields the events of the files, file by file. Raises LogError."""
    for path in paths:
        try:
            with path.open(errors="replace") as lines:
                for number, line in enumerate(lines, 1):
                    try:
                        event = read_event(line)
                    except LogError as error:
                        raise LogError(f"{path}:{number}: {error}") from None
                    if event is not None:
                        yield event
        except OSError as error:
            raise LogError(f"{path}: {error.strerror}") from None


def log_files(path_or_folder: Path) -> list[Path]:
    """Returns the log files below a folder, or the file itself. Raises LogError if there are none."""
    if path_or_folder.is_dir():
        files = sorted(path for path in path_or_folder.rglob("*.log") if path.is_file())
    else:
        files = [path_or_folder] if path_or_folder.exists() else []
    if not files:
        raise LogError(f"{path_or_folder}: no log file found")
    return files


def count_misses(events: Iterable[LogEvent], intervals: Sequence[TimeInterval] = ()) -> MissTable:
    """Counts the misses of the events. Raises LogError if a number is invalid."""
    table = MissTable()
    for event in events:
        if event.name == TALLY_EVENT:
            _add_tally(table, event)
        elif event.name in (REQUEST_MISSED, ITEM_MISSED, JOB_MISSED):
            _add_miss(table, event, intervals)
    return table


def _add_tally(table: MissTable, event: LogEvent) -> None:
    totals = table.routes.setdefault(event.fields.get("route", ""), RouteTotals())
    for name in TALLY_FIELDS:
        totals.counts[name] += int(_number(event, name))


def _add_miss(table: MissTable, event: LogEvent, intervals: Sequence[TimeInterval]) -> None:
    age = _number(event, "age_ms") / 1000
    interval = _interval_name(event.at - age, intervals)
    group = MissGroup(event.fields.get("route", ""), interval, _reason(event))
    miss_count = table.misses.setdefault(group, MissCount())
    miss_count.count += 1
    for name in TIME_FIELDS:
        if event.fields.get(name):
            miss_count.times[name].append(_number(event, name))


def _reason(event: LogEvent) -> str:
    if event.name == JOB_MISSED:
        return f"job answered {event.fields.get('status', '')}"
    if event.name == ITEM_MISSED:
        return f"item {event.fields.get('outcome', '')}"
    return event.fields.get("reason", "")


def _number(event: LogEvent, name: str) -> float:
    text = event.fields.get(name) or "0"
    try:
        return float(text)
    except ValueError:
        raise LogError(f"event {event.name!r}: {name}: {text!r} is not a number") from None


def _interval_name(at: float, intervals: Sequence[TimeInterval]) -> str:
    return next((m.name for m in intervals if m.begin <= at < m.end), NO_INTERVAL)
