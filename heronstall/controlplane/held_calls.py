"""Calls that a shard owner holds until something changes for them.

Waking every held call at every commit would cost the product of calls and commits. Here a commit wakes only
the calls that it concerns.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Sequence
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


@dataclass(eq=False)
class _HeldCall:
    """A call that waits for `want` items, or for the end of one of `jobs`."""

    want: int
    jobs: Sequence[str]
    superseded: bool = False
    event: asyncio.Event = field(default_factory=asyncio.Event)


class LeaseCalls:
    """Held calls for items. They are woken in order of arrival, and only as many as there are items for.

    A dispatcher waits only for the answer to its latest call, so a new call ends the one held before.
    """

    def __init__(self) -> None:
        self._held_calls: OrderedDict[_HeldCall, None] = OrderedDict()
        self._latest_by_holder: dict[str, _HeldCall] = {}  # the latest call of each holder
        self._offered = 0  # items wanted by calls that were woken and have not continued yet

    async def wait_for_items(self, holder: str, want: int, jobs: Sequence[str], seconds: float) -> bool:
        """Waits until items are available, a job has ended, the holder calls again, or the time is over.

        Returns True if the holder has called again, so that the answer to this call is not needed any more.
        """
        call = _HeldCall(want, jobs)
        self._held_calls[call] = None
        self._latest_by_holder[holder] = call
        try:
            await wait_at_most(call.event, seconds)
        finally:
            if self._latest_by_holder.get(holder) is call:
                del self._latest_by_holder[holder]
            if call in self._held_calls:
                del self._held_calls[call]
            else:
                self._offered -= want
        return call.superseded

    def supersede(self, holder: str) -> None:
        """Ends the call that is held for a dispatcher, since it has sent another one."""
        call = self._latest_by_holder.pop(holder, None)
        if call is None:
            return
        call.superseded = True
        if call in self._held_calls:
            self._wake(call)

    def offer(self, items: int) -> None:
        """Wakes calls for the waiting items that no call was woken for yet."""
        for call in list(self._held_calls):
            if self._offered >= items:
                return
            if call.want:
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

    def _wake(self, call: _HeldCall) -> None:
        del self._held_calls[call]
        self._offered += call.want
        call.event.set()
