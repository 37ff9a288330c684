"""Calls that an owner holds until there is something for them, and only then wakes.

Waking every held call for every commit costs the product of callers and commits; here a commit costs
what it changes.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from heronstall.transport.event_waits import wait_at_most


@dataclass(eq=False)
class _Named:
    """The calls that wait for news of one name."""

    event: asyncio.Event = field(default_factory=asyncio.Event)
    calls: int = 0


class NamedCalls:
    """Held calls, each for news of one name."""

    def __init__(self) -> None:
        self._named: dict[str, _Named] = {}

    def __len__(self) -> int:
        """Names for which calls wait."""
        return len(self._named)

    async def wait(self, name: str, seconds: float) -> None:
        """Return with the next news of a name, or after so many seconds."""
        named = self._named.setdefault(name, _Named())
        named.calls += 1
        try:
            await wait_at_most(named.event, seconds)
        finally:
            named.calls -= 1
            if not named.calls and self._named.get(name) is named:
                del self._named[name]

    def wake(self, name: str) -> None:
        """There is news of a name."""
        named = self._named.pop(name, None)
        if named is not None:
            named.event.set()

    def wake_all(self) -> None:
        """Anything may have changed."""
        for name in list(self._named):
            self.wake(name)


@dataclass(eq=False)
class _Held:
    """A call that wants so many items, and news of these jobs' ends."""

    want: int
    jobs: Sequence[str]
    replaced: bool = False
    event: asyncio.Event = field(default_factory=asyncio.Event)


class LeaseCalls:
    """Held calls for items: the longest-held is woken first, and no more of them than there are items for.

    A dispatcher waits for the answer to its latest call alone: one that is held for it ends with the next.
    """

    def __init__(self) -> None:
        self._held: OrderedDict[_Held, None] = OrderedDict()
        self._latest: dict[str, _Held] = {}  # by holder
        self._promised = 0  # items for which calls were woken that have not taken them yet

    async def replaced(self, holder: str, want: int, jobs: Sequence[str], seconds: float) -> bool:
        """Wait until items may be had, a job has ended, the holder calls again, or for so many seconds.

        True where the holder has called again: nobody waits for the answer to this call.
        """
        call = _Held(want, jobs)
        self._held[call] = None
        self._latest[holder] = call
        try:
            await wait_at_most(call.event, seconds)
        finally:
            if self._latest.get(holder) is call:
                del self._latest[holder]
            if call in self._held:
                del self._held[call]
            else:
                self._promised -= want
        return call.replaced

    def replace(self, holder: str) -> None:
        """End the call that is held for a dispatcher: it has sent another."""
        call = self._latest.pop(holder, None)
        if call is None:
            return
        call.replaced = True
        if call in self._held:
            self._wake(call)

    def offer(self, items: int) -> None:
        """So many items wait: wake calls for those that nobody was woken for."""
        for call in list(self._held):
            if self._promised >= items:
                return
            if call.want:
                self._wake(call)

    def ended(self, jobs: set[str]) -> None:
        """Wake the calls that hold items of ended jobs."""
        for call in list(self._held):
            if not jobs.isdisjoint(call.jobs):
                self._wake(call)

    def wake_all(self) -> None:
        """Anything may have changed."""
        for call in list(self._held):
            self._wake(call)

    def _wake(self, call: _Held) -> None:
        del self._held[call]
        self._promised += call.want
        call.event.set()
