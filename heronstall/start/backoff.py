"""Backoff of the discovery client: when to call the list service again. Free of I/O.

All times are microseconds.
"""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

# Time in which a change must arrive after discovery has it and is reachable, whichever calls fail. The call
# before may have hung for three seconds and the next one may fail, so two pauses must fit.
PROPAGATION_DEADLINE = 6_000_000
MIN_PAUSE, MAX_PAUSE = 100_000, 1_000_000
MAX_UNANSWERED_PAUSE = 200_000  # at an address that has never answered: its first list is overdue
MAX_FIRST_REFUSAL_PAUSE = 4_500_000  # keeps the next call within the propagation deadline
FIRST_REFUSAL_JITTER = 0.5  # a pause cut to that maximum is drawn from this share of it up to all of it
SPREAD_PER_CLIENT = 100_000  # times the number of clients: the period over which refused clients spread
# The pause in shares of that period. The least is near 0, so that the list service is not idle at first.
MIN_SPREAD, MAX_SPREAD = 0.02, 1.5
NO_LIST_FACTOR = 0.2  # factor on that period for a client that has no list at all
MAX_RETRY_AFTER = 60_000_000


class CallEnd(enum.Enum):
    """How a call of the list service ended."""

    UPDATED = "the call brought a change"
    UNCHANGED = "the address has answered before, and the call brought no change"
    NEVER_ANSWERED = "the address has never answered a call"


class Refusal(NamedTuple):
    """The list service refused a call because it is overloaded."""

    retry_after: int | None = None  # from now on, if the service gives it


class DiscoveryBackoff:
    """Computes the pauses of one client among `clients` that call the same list service."""

    def __init__(self, clients: int, rng: random.Random) -> None:
        self.clients = clients
        self._rng = rng
        self._pause = MIN_PAUSE
        self._refused_since: int | None = None  # time since which every call has been refused

    def pause(self, end: CallEnd, refusal: Refusal | None = None, now: int = 0, has_list: bool = True) -> int:
        """Returns the time until the next call.

        `now` is read from any one clock. `has_list` says whether the client can serve with a list meanwhile.
        """
        if end is CallEnd.UPDATED:
            self._pause = MIN_PAUSE
        else:
            max_pause = MAX_PAUSE if end is CallEnd.UNCHANGED else MAX_UNANSWERED_PAUSE
            self._pause = min(2 * self._pause, max_pause)
        if refusal is None:
            self._refused_since = None
            return self._pause
        first_refusal = self._refused_since is None
        if self._refused_since is None:
            self._refused_since = now
        pause = self._pause_when_refused(refusal, now - self._refused_since, has_list)
        if first_refusal:
            # A single refusal may be accidental, and the propagation deadline still holds. If the service
            # refuses the next call too, it is overloaded, and the pauses grow.
            pause = min(pause, MAX_FIRST_REFUSAL_PAUSE * self._rng.uniform(FIRST_REFUSAL_JITTER, 1.0))
        return max(self._pause, int(pause))

    def _pause_when_refused(self, refusal: Refusal, refused_for: int, has_list: bool) -> float:
        """Returns a pause that relieves an overloaded list service.

        All clients may lose their watches or restart at the same moment. If all called again at a fixed pace,
        an overloaded service would never recover. So they spread out until few call per second, and further
        the longer they are refused. A client without any list calls earlier than the others.
        """
        if refusal.retry_after is not None:  # all clients may have received the same value
            return min(refusal.retry_after, MAX_RETRY_AFTER) * self._rng.uniform(1.0, MAX_SPREAD)
        period = max(SPREAD_PER_CLIENT * self.clients, refused_for) * (1.0 if has_list else NO_LIST_FACTOR)
        return period * self._rng.uniform(MIN_SPREAD, MAX_SPREAD)
