"""Back-off of the discovery client: when to call the list service again. Free of I/O.

All times are microseconds.
"""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

# A change counts as told this long after discovery had it and could be reached, whatever call failed in
# between. The last call before may have hung for three seconds, and one after may fail: two pauses must fit.
NEWS_TERM = 6_000_000
FIRST_PAUSE, LONGEST_PAUSE = 100_000, 1_000_000
UNHEARD_PAUSE = 200_000  # the longest at an address that has yet to answer: news from there is overdue
LONGEST_FIRST_REFUSAL = 4_500_000  # the longest pause after a first refusal, so that the next call is in term
REFUSAL_SPREAD = 0.5  # part of it from which pauses that it cuts are drawn
SPREAD_PER_CLIENT = 100_000  # times the number of clients: the time over which those refused spread
EARLIEST, LATEST = 0.02, 1.5  # of that time: the list service does not stand idle meanwhile
WITHOUT_LIST = 0.2  # part of it for a client that has no list at all
LONGEST_RETRY_AFTER = 60_000_000


class CallEnd(enum.Enum):
    """How a call of the list service ended."""

    NEWS = "it brought something new"
    NO_NEWS = "it was answered at some time, and brought nothing new"
    NEVER_ANSWERED = "this address has yet to answer a call"


class Refusal(NamedTuple):
    """The list service answered that it cannot now."""

    retry_after: int | None = None  # from now on, where the service tells


class DiscoveryBackoff:
    """The pauses of one client among `clients` that call the same list service."""

    def __init__(self, clients: int, draw: random.Random) -> None:
        self.clients = clients
        self._draw = draw
        self._pause = FIRST_PAUSE
        self._refused_since: int | None = None  # since when each call has been refused

    def pause(self, end: CallEnd, refusal: Refusal | None = None, now: int = 0, has_list: bool = True) -> int:
        """The time to wait for the next call.

        `now` is the moment by any one clock; `has_list` tells whether there is one to serve with meanwhile.
        """
        if end is CallEnd.NEWS:
            self._pause = FIRST_PAUSE
        else:
            longest = LONGEST_PAUSE if end is CallEnd.NO_NEWS else UNHEARD_PAUSE
            self._pause = min(2 * self._pause, longest)
        if refusal is None:
            self._refused_since = None
            return self._pause
        first = self._refused_since is None
        if self._refused_since is None:
            self._refused_since = now
        pause = self._refused(refusal, now - self._refused_since, has_list)
        if first:
            # It may be one call's alone, and the term runs on. A list service that refuses the next call too
            # has more to do than it can, and is spared.
            pause = min(pause, LONGEST_FIRST_REFUSAL * self._draw.uniform(REFUSAL_SPREAD, 1.0))
        return max(self._pause, int(pause))

    def _refused(self, refusal: Refusal, refused_for: int, has_list: bool) -> float:
        """The pause that spares the list service.

        All clients lose their watches, or restart, at one moment: calling again at one pace they keep an
        overloaded service down for good. So they spread until together they are few a second, and the longer
        the more they are refused. A client without any list goes before the others.
        """
        if refusal.retry_after is not None:  # all clients may have been told the same
            return min(refusal.retry_after, LONGEST_RETRY_AFTER) * self._draw.uniform(1.0, LATEST)
        over = max(SPREAD_PER_CLIENT * self.clients, refused_for) * (1.0 if has_list else WITHOUT_LIST)
        return over * self._draw.uniform(EARLIEST, LATEST)
