"""Which requests a tier's dispatchers served late or not at all, read from their logs and added up.

The log lines are those of `dataplane/misses.py`. A line may stand behind a time in seconds and a node's name.
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

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
SECONDS_BEFORE = re.compile(r"\s*(-?\d+(?:\.\d+)?)\s")
CALM = "calm"
WAITS = ("deferred_ms", "held_ms", "sent_ms", "first_ms", "gap_ms", "slack_ms", "waited_ms", "ran_ms")
COUNTS = (
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
REQUEST_MISSED, ITEM_MISSED, JOB_MISSED, TALLY = "request missed", "item missed", "job missed", "requests"


class LogError(ValueError):
    """Logs that cannot be used; the message names the file and line."""


@dataclass(frozen=True)
class Moment:
    """A named stretch of time; seconds by the logs' clock."""

    name: str
    begin: float
    end: float


@dataclass(frozen=True)
class LogEvent:
    """One line of a log."""

    at: float  # seconds
    name: str
    fields: dict[str, str]


@dataclass(frozen=True)
class Place:
    """Where a miss is counted."""

    route: str
    moment: str
    reason: str


@dataclass
class MissCount:
    """Misses of one place."""

    count: int = 0
    waits: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))


@dataclass
class RouteTotals:
    """What the tallies of a route add up to."""

    counts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(COUNTS, 0))


@dataclass
class MissTable:
    """All misses, by place, and the totals by route."""

    routes: dict[str, RouteTotals] = field(default_factory=dict)
    misses: dict[Place, MissCount] = field(default_factory=dict)

    def record(self) -> dict[str, Any]:
        """The table for JSON."""
        return {
            "routes": {name: totals.counts for name, totals in sorted(self.routes.items())},
            "misses": [
                {
                    "route": place.route,
                    "moment": place.moment,
                    "reason": place.reason,
                    "count": found.count,
                    **{f"mean_{name}": round(fmean(seen), 1) for name, seen in sorted(found.waits.items())},
                }
                for place, found in self._sorted()
            ],
        }

    def _sorted(self) -> list[tuple[Place, MissCount]]:
        return sorted(self.misses.items(), key=lambda pair: (pair[0].route, pair[0].moment, -pair[1].count))

    def lines(self) -> Iterator[str]:
        """The table for people."""
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
        for place, found in self._sorted():
            totals = self.routes.get(place.route, RouteTotals())
            share = found.count / max(1, totals.counts["requests"])
            waits = ", ".join(
                f"{name.removesuffix('_ms')} {fmean(seen):.0f}"
                for name, seen in found.waits.items()
                if any(seen)
            )
            yield (
                f"{place.route:<24} {place.moment:<14} {place.reason:<24} {found.count:>6} {share:>6.1%}"
                f"  {waits}"
            )


def read_event(line: str) -> LogEvent | None:
    """The event of a line; None where it is none of ours."""
    start = line.find("timestamp=")
    if start < 0:
        return None
    fields = {name: _unquoted(value) for name, value in FIELD.findall(line, start)}
    before = SECONDS_BEFORE.match(line[:start])
    try:
        at = float(before[1]) if before else datetime.fromisoformat(fields["timestamp"]).timestamp()
    except ValueError as error:
        raise LogError(f"timestamp: {error}") from None
    return LogEvent(at, fields.get("event", ""), fields)


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    return value[1:-1].replace('\\"', '"').replace("\\\\", "\\")


def read_events(paths: Iterable[Path]) -> Iterator[LogEvent]:
    """All events of some files, file by file. Raises LogError."""
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


def log_files(place: Path) -> list[Path]:
    """The log files of a folder, or a file itself. Raises LogError where there is none."""
    if place.is_dir():
        files = sorted(path for path in place.rglob("*.log") if path.is_file())
    else:
        files = [place] if place.exists() else []
    if not files:
        raise LogError(f"{place}: no log file is there")
    return files


def miss_table(events: Iterable[LogEvent], moments: Sequence[Moment] = ()) -> MissTable:
    """Add up the misses of some events. Raises LogError where a count cannot be read."""
    table = MissTable()
    for event in events:
        if event.name == TALLY:
            _add_tally(table, event)
        elif event.name in (REQUEST_MISSED, ITEM_MISSED, JOB_MISSED):
            _add_miss(table, event, moments)
    return table


def _add_tally(table: MissTable, event: LogEvent) -> None:
    totals = table.routes.setdefault(event.fields.get("route", ""), RouteTotals())
    for name in COUNTS:
        totals.counts[name] += int(_number(event, name))


def _add_miss(table: MissTable, event: LogEvent, moments: Sequence[Moment]) -> None:
    age = _number(event, "age_ms") / 1000
    moment = _moment(event.at - age, moments)
    place = Place(event.fields.get("route", ""), moment, _reason(event))
    found = table.misses.setdefault(place, MissCount())
    found.count += 1
    for name in WAITS:
        if event.fields.get(name):
            found.waits[name].append(_number(event, name))


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
        raise LogError(f"event {event.name!r}: {name}: {text!r} is no number") from None


def _moment(at: float, moments: Sequence[Moment]) -> str:
    return next((m.name for m in moments if m.begin <= at < m.end), CALM)
