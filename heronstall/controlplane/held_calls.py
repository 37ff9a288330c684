"""Calls that a shard owner holds until something changes for them.

Waking every held call at every commit would cost the product of calls and commits. Here a commit wakes only
the calls that it concerns.
"""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from heronstall.transport.event_waits import wait_at_most


@dataclass(eq=False)
class _NameWaiters:
    """The held calls that wait for a change of one name."""

    event: asyncio.Event = field(default_factory=asyncio.Event)
    calls: int = 0


class CallsByName:
    """Held calls, each waiting for a change of one name."""

    def __init__(self) -> None:
        self._waiters_by_name: dict[str, _NameWaiters] = {}

    def __len__(self) -> int:
        """Returns the number of names that calls wait for."""
        return len(self._waiters_by_name)

    async def wait(self, name: str, seconds: float) -> None:
        """Returns at the next change of a name, or after the given number of seconds."""
        waiters = self._waiters_by_name.setdefault(name, _NameWaiters())
        waiters.calls += 1
        try:
            await wait_at_most(waiters.event, seconds)
        finally:
            waiters.calls -= 1
            if not waiters.calls and self._waiters_by_name.get(name) is waiters:
                del self._waiters_by_name[name]

    def wake(self, name: str) -> None:
        """Wakes the calls that wait for a name."""
        waiters = self._waiters_by_name.pop(name, None)
        if waiters is not None:
            waiters.event.set()

    def wake_all(self) -> None:
        """Wakes all held calls."""
        for name in list(self._waiters_by_name):
            self.wake(name)


ANY_ROUTE = ""  # wanted by calls that take items of any route


@dataclass(eq=False)
class _HeldCall:
    """A call that waits for items of some routes, or for the end of one of `jobs`."""

    wanted: Mapping[str, int]  # numbers of items, by route
    jobs: Sequence[str]
    superseded: bool = False
    event: asyncio.Event = field(default_factory=asyncio.Event)
    offered_route: str | None = None  # for whose items it was woken

    def want(self, route: str) -> int:
        """Returns the number of items of a route that it wants."""
        return self.wanted.get(route) or self.wanted.get(ANY_ROUTE, 0)


class LeaseCalls:
    """Held calls for items. They are woken in order of arrival, and only as many as there are items for.

    A dispatcher waits only for the answer to its latest call, so a new call ends the one held before.
    """

    def __init__(self) -> None:
        self._held_calls: OrderedDict[_HeldCall, None] = OrderedDict()
        self._held_by_route: dict[str, OrderedDict[_HeldCall, None]] = {}  # those that want items of a route
        self._latest_by_holder: dict[str, _HeldCall] = {}  # the latest call of each holder
        # Items wanted by calls that were woken for a route's items and have not continued yet.
        self._offered: Counter[str] = Counter()

    async def wait_for_items(
        self, holder: str, wanted: Mapping[str, int], jobs: Sequence[str], seconds: float
    ) -> bool:
        """Waits until items are available, a job has ended, the holder calls again, or the time is over.

        `wanted` are the numbers of items by route. Returns True if the holder has called again, so that the
        answer to this call is not needed any more.
        """
        call = _HeldCall({route: want for route, want in wanted.items() if want}, jobs)
        self._hold(call)
        self._latest_by_holder[holder] = call
        try:
            await wait_at_most(call.event, seconds)
        finally:
            if self._latest_by_holder.get(holder) is call:
                del self._latest_by_holder[holder]
            if call in self._held_calls:
                self._release(call)
            self._end_offer(call)
        return call.superseded

    def supersede(self, holder: str) -> None:
        """Ends the call that is held for a dispatcher, since it has sent another one."""
        call = self._latest_by_holder.pop(holder, None)
        if call is None:
            return
        call.superseded = True
        if call in self._held_calls:
            self._wake(call)

    def offer(self, waiting: Mapping[str, int]) -> None:
        """Wakes calls for the waiting items, given by route, that no call was woken for yet."""
        for route, items in waiting.items():
            while self._offered[route] < items and (call := self._first_call_for(route)):
                call.offered_route = route
                self._offered[route] += call.want(route)
                self._wake(call)

    def wake_for_ended_jobs(self, jobs: set[str]) -> None:
        """Wakes the calls whose dispatchers hold items of ended jobs."""
        for call in list(self._held_calls):
            if not jobs.isdisjoint(call.jobs):
                self._wake(call)

    def wake_all(self) -> None:
        """Wakes all held calls."""
        for call in list(self._held_calls):
            self._wake(call)

    def _first_call_for(self, route: str) -> _HeldCall | None:
        calls = self._held_by_route.get(route) or self._held_by_route.get(ANY_ROUTE)
        return next(iter(calls)) if calls else None

    def _hold(self, call: _HeldCall) -> None:
        self._held_calls[call] = None
        for route in call.wanted:
            self._held_by_route.setdefault(route, OrderedDict())[call] = None

    def _release(self, call: _HeldCall) -> None:
        del self._held_calls[call]
        for route in call.wanted:
            calls = self._held_by_route[route]
            del calls[call]
            if not calls:
                del self._held_by_route[route]

    def _end_offer(self, call: _HeldCall) -> None:
        route = call.offered_route
        if route is None:
            return
        self._offered[route] -= call.want(route)
        if not self._offered[route]:
            del self._offered[route]

    def _wake(self, call: _HeldCall) -> None:
        self._release(call)
        call.event.set()
