"""What the dispatchers' starts in the course of a run asked of the list service and of the servers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from heronstall.fleet import boundary as b
from heronstall.fleet.desk import Asked
from heronstall.fleet.spec import SECOND


def starts(
    asked: Sequence[Asked], accepted: Sequence[tuple[int, int]], crossings: Iterable[b.Crossing]
) -> dict[str, Any]:
    """Counts and times from the first start after the run's beginning on; empty where there was none.

    `news_s` are the seconds from the first start to each dispatcher's first list after it, in order;
    `unheard` counts those that got none.
    """
    ups: dict[int, int] = {}
    for crossing in crossings:
        if isinstance(crossing, b.NodeUp) and crossing.at > 0:
            ups[crossing.node] = crossing.at
    if not ups:
        return {}
    first = min(ups.values())
    calls = [row for row in asked if row.at >= first]
    news: dict[int, int] = {}
    for row in calls:
        if row.answered is not None and row.answered >= ups.get(row.node, row.answered + 1):
            news.setdefault(row.node, row.answered)
    connects = [(at, server) for at, server in accepted if at >= first]
    return {
        "dispatchers": len(ups),
        "calls": len(calls),
        "turned_away": sum(row.answered is None for row in calls),
        "calls_worst_s": _worst(row.at for row in calls),
        "news_s": sorted(round((at - first) / SECOND, 3) for at in news.values()),
        "unheard": len(ups) - len(news),
        "connects": len(connects),
        "connects_worst_s": _worst(at for at, _ in connects),
        "connects_worst_s_one": max(
            (_worst(at for at, one in connects if one == server) for server in {s for _, s in connects}),
            default=0,
        ),
    }


def _worst(moments: Iterable[int]) -> int:
    """The most that any second of the clock had."""
    return max(Counter(at // SECOND for at in moments).values(), default=0)
