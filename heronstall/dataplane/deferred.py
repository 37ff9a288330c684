"""Deferrable work of a dispatcher: it waits by deadline and is released by the busy/idle switch."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Hashable
from dataclasses import dataclass

from heronstall.policy.lane import DeadlineLane
from heronstall.policy.switch import Switch

LOOK = 0.03  # seconds between looks while something waits
WATCH = 0.25  # seconds between updates of the switch
MICROSECONDS = 1_000_000


@dataclass
class Deferred:
    """Work that waits."""

    due: float  # steady time from which it is released though the workers are busy
    may_start: Callable[[], bool]
    alike: Hashable  # work for which `may_start` says the same within one look; None is alike to nothing
    released: asyncio.Future[None]


class DeferredLane:
    """Idle: the earliest deadline first, as long as there is room. Busy: only what is due."""

    def __init__(self, utilisation: Callable[[], float], clock: Callable[[], float] = time.monotonic) -> None:
        self.switch = Switch()
        self._utilisation, self._clock = utilisation, clock
        self._lane: DeadlineLane[Deferred] = DeadlineLane()
        self._news = asyncio.Event()
        self._watched_at = -WATCH

    def __len__(self) -> int:
        return len(self._lane)

    async def wait(
        self, rank: int, deadline: float, due: float, may_start: Callable[[], bool], alike: Hashable = None
    ) -> None:
        """Return when the work may start; cancelling gives the place up."""
        work = Deferred(due, may_start, alike, asyncio.get_running_loop().create_future())
        self._lane.push((rank, int(deadline * MICROSECONDS)), work)
        self._news.set()
        await work.released

    def look(self) -> None:
        """Update the switch and release what may start now."""
        now = self._clock()
        if now - self._watched_at >= WATCH:
            self._watched_at = now
            self.switch.update(int(now * MICROSECONDS), self._utilisation())
        passed: list[tuple[tuple[int, int], Deferred]] = []  # not due, or without room: others need not wait
        without_room: set[Hashable] = set()
        while self._lane:
            key, work = self._lane.first()
            self._lane.pop()
            if work.released.done():
                continue
            held = self.switch.busy and work.due > now
            if not held and work.alike not in without_room and work.may_start():
                work.released.set_result(None)
                continue
            if not held and work.alike is not None:
                without_room.add(work.alike)
            passed.append((key, work))
        for key, work in passed:
            self._lane.push(key, work)

    async def run(self) -> None:
        """Release until cancelled."""
        while True:
            self.look()
            self._news.clear()
            try:
                async with asyncio.timeout(LOOK if self._lane else WATCH):
                    await self._news.wait()
            except TimeoutError:
                continue
