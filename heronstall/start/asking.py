"""When to ask the list service again: pauses of one watch, from how the last ones ended. Free of I/O."""

from __future__ import annotations

import random

# A change counts as told TERM after discovery had it and could be reached, whatever call failed in between.
# The last call before may have hung for three seconds, and one after may fail: two pauses have to fit.
TERM = 6_000_000
PAUSE, LONGEST_PAUSE = 100_000, 1_000_000  # microseconds between attempts at a new watch
UNHEARD_PAUSE = 200_000  # the longest at an address that has yet to answer: news from there is overdue
TURNED_AWAY = 100_000  # times the number of dispatchers: the time over which those turned away spread
LONGEST_TOLD = 60_000_000  # of what `Retry-After` may say
SOONEST, LATEST = 0.02, 1.5  # of that time: the list service does not stand idle meanwhile
LONGEST_FIRST, SPREAD = (
    4_500_000,
    0.5,
)  # the longest pause after a first refusal, and over what part it is spread
FIRST = 0.2  # of it, for one that has no list at all


class Asking:
    """One watch's pace, of one dispatcher among `nodes` that ask."""

    def __init__(self, nodes: int, draw: random.Random) -> None:
        self.nodes = nodes
        self._draw = draw
        self._pause = PAUSE
        self._since: int | None = None  # since when each call has been turned away

    def ended(
        self,
        told: bool,
        heard: bool,
        turned_away: bool,
        retry_after: int | None = None,
        now: int = 0,
        empty: bool = False,
    ) -> int:
        """A watch has ended or could not be begun; microseconds to wait for the next attempt.

        `told`: it had told something new; `heard`: this list service has answered at some time;
        `turned_away`: it has answered that it cannot now; `retry_after`: when it says that it can, in
        microseconds from now; `now`: the moment, by any one clock; `empty`: there is no list to serve with
        meanwhile.
        """
        first = self._since is None
        since = self._since if turned_away and self._since is not None else now
        self._since = since if turned_away else None
        longest = LONGEST_PAUSE if heard else UNHEARD_PAUSE
        self._pause = PAUSE if told else min(2 * self._pause, longest)
        if not turned_away:
            return self._pause
        if retry_after is not None:  # it knows better than we do; it may have told all of us the same
            pause = min(retry_after, LONGEST_TOLD) * self._draw.uniform(1.0, LATEST)
            return self._in_term(pause, first)
        # It has more to do than it can. All dispatchers lose their watches, or restart, at one moment: asking
        # again at one pace they keep it down for good. So they ask so rarely that together they are few a
        # second, each at moments of its own. One that has been turned away for longer has learned that the
        # list service is slower than that, and who has nothing at all to serve with goes before the others.
        over = max(TURNED_AWAY * self.nodes, now - since) * (FIRST if empty else 1.0)
        return self._in_term(over * self._draw.uniform(SOONEST, LATEST), first)

    def _in_term(self, pause: float, first: bool) -> int:
        """A pause, cut after a first refusal: it may be one call's alone, and the term runs on.

        A list service that turns the next call away as well has more to do than it can, and is spared.
        """
        if first:
            pause = min(pause, LONGEST_FIRST * self._draw.uniform(SPREAD, 1.0))
        return max(self._pause, int(pause))
