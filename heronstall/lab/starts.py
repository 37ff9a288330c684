"""What the dispatchers' starts in the course of a run asked of the list service and of the servers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Hashable, Iterable, Sequence
from typing import Any

from heronstall.fleet import boundary as b
from heronstall.fleet.list_service import ListRequest
from heronstall.fleet.spec import SECOND


def starts(
    asked: Sequence[ListRequest], accepted: Sequence[tuple[int, int]], crossings: Iterable[b.Crossing]
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
        "calls_worst_s": _most(row.at // SECOND for row in calls),
        "news_s": sorted(_whole_milliseconds(at - first) / 1000 for at in news.values()),
        "unheard": len(ups) - len(news),
        "connects": len(connects),
        "connects_worst_s": _most(at // SECOND for at, _ in connects),
        "connects_worst_s_one": _most((at // SECOND, server) for at, server in connects),
    }


def obeyed(crossings: Iterable[b.Crossing], but: Container[int] = ()) -> list[float]:
    """For each server that was told to drain or gone: seconds from the list service's first word on it, to
    whomever, to the last job that any dispatcher wrote there before it was told to serve again; 0 for none.

    `but`: dispatchers that do not count.
    """
    since: dict[int, int] = {}
    last: dict[int, int] = {}
    made = []
    for c in crossings:
        if isinstance(c, b.ToldOf):
            if c.state == "SERVING":
                if c.server in since:
                    made.append(last.pop(c.server, since[c.server]) - since.pop(c.server))
            else:
                since.setdefault(c.server, c.at)
        elif isinstance(c, b.Written) and c.server in since and c.node not in but:
            last[c.server] = c.at
    made += [last.get(server, at) - at for server, at in since.items()]
    return sorted(round(took / SECOND, 3) for took in made)


def _whole_milliseconds(microseconds: int) -> int:
    """Truncated, so that two times at least a second apart stay so."""
    return microseconds // 1000


def _most(seconds: Iterable[Hashable]) -> int:
    """How often the one that came most often came: seconds of the clock, or those of a server."""
    return max(Counter(seconds).values(), default=0)
