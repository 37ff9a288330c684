"""The queue of a dispatcher's deferrable work, released by deadline and by the busy/idle switch."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Hashable
from dataclasses import dataclass

from heronstall.policy.lane import DeadlineLane
from heronstall.policy.switch import Switch

RELEASE_INTERVAL_S = 0.03  # between release attempts while work is queued
SWITCH_INTERVAL_S = 0.25  # between updates of the switch
MICROSECONDS = 1_000_000


@dataclass
class DeferredWork:
    """Queued work."""

    due: float  # monotonic time from which it is released even if the workers are busy
    can_start: Callable[[], bool]
    group: Hashable  # work of one group gets the same answer from `can_start` in one pass; None for no group
    released: asyncio.Future[None]


QueuedWork = tuple[tuple[int, int], DeferredWork]  # with its rank and its deadline in microseconds


def _can_start(work: DeferredWork) -> bool:
    """Returns whether work leaves the queue. If that cannot be told, it does so with the exception."""
    try:
        return work.can_start()
    except Exception as error:
        work.released.set_exception(error)
        return True


class DeferredQueue:
    """Releases work in order of deadline while workers have capacity; when busy, only work that is due."""

    def __init__(self, utilisation: Callable[[], float], clock: Callable[[], float] = time.monotonic) -> None:
        self.switch = Switch()
        self._utilisation, self._clock = utilisation, clock
        self._queue: DeadlineLane[DeferredWork] = DeadlineLane()
        self._work_added = asyncio.Event()
        self._switch_updated_at = -SWITCH_INTERVAL_S

    def __len__(self) -> int:
        return len(self._queue)

    async def wait(
        self, rank: int, deadline: float, due: float, can_start: Callable[[], bool], group: Hashable = None
    ) -> None:
        """Returns when the work may start; cancelling the call removes the work from the queue."""
        work = DeferredWork(due, can_start, group, asyncio.get_running_loop().create_future())
        self._queue.push((rank, int(deadline * MICROSECONDS)), work)
        self._work_added.set()
        await work.released

    def release_ready(self) -> None:
        """Updates the switch and releases the work that may start now."""
        now = self._clock()
        if now - self._switch_updated_at >= SWITCH_INTERVAL_S:
            self._switch_updated_at = now
            self.switch.update(int(now * MICROSECONDS), self._utilisation())
        # Work that is not due, or finds no capacity, does not block work behind it.
        still_queued: list[QueuedWork] = []
        blocked_groups: set[Hashable] = set()
        while self._queue:
            key, work = self._queue.first()
            self._queue.pop()
            if work.released.done():
                continue
            if self.switch.busy and work.due > now:
                still_queued.append((key, work))
            elif work.group not in blocked_groups and _can_start(work):
                if not work.released.done():
                    work.released.set_result(None)
            else:
                still_queued.append((key, work))
                if work.group is not None:
                    blocked_groups.add(work.group)
        for key, work in still_queued:
            self._queue.push(key, work)

    async def run(self) -> None:
        """Releases work until cancelled."""
        while True:
            self.release_ready()
            self._work_added.clear()
            try:
                async with asyncio.timeout(RELEASE_INTERVAL_S if self._queue else SWITCH_INTERVAL_S):
                    await self._work_added.wait()
            except TimeoutError:
                continue
