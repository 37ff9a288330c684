"""The queue of deferrable work: its order and its release."""

from __future__ import annotations

import asyncio
import unittest

from heronstall.dataplane.deferred import DeferredQueue
from tests.tier.manual_clock import ManualClock


class DeferredQueueing(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock(50.0)
        self.utilisation = 0.2
        self.queue = DeferredQueue(lambda: self.utilisation, self.clock)
        self.order: list[str] = []
        self.room = 100

    async def add(
        self, name: str, rank: int, deadline: float, due: float, everywhere: bool = False
    ) -> asyncio.Task[None]:
        async def work() -> None:
            await self.queue.wait(rank, deadline, due, lambda: everywhere or self.room > 0)
            self.order.append(name)

        task = asyncio.create_task(work())
        await asyncio.sleep(0)
        return task

    async def release(self) -> list[str]:
        self.queue.release_ready()
        for _ in range(3):
            await asyncio.sleep(0)
        return self.order

    def become_busy(self) -> None:
        self.utilisation = 0.95
        for _ in range(130):
            self.clock.now += 0.25
            self.queue.release_ready()
        self.assertTrue(self.queue.switch.busy)

    async def test_idle_releases_all_by_deadline_and_late_ranks_last(self) -> None:
        await self.add("late", 1, 10.0, 0.0)
        await self.add("second", 0, 70.0, 69.0)
        await self.add("first", 0, 60.0, 59.0)
        self.assertEqual(await self.release(), ["first", "second", "late"])

    async def test_busy_releases_only_due_work(self) -> None:
        self.become_busy()
        await self.add("later", 0, self.clock.now + 20, self.clock.now + 10)
        await self.add("due", 0, self.clock.now + 1, self.clock.now)
        self.assertEqual(await self.release(), ["due"])
        self.clock.now += 10.1
        self.assertEqual(await self.release(), ["due", "later"])

    async def test_nothing_is_released_without_a_free_slot(self) -> None:
        self.room = 0
        await self.add("a", 0, 60.0, 59.0)
        self.assertEqual(await self.release(), [])
        self.room = 1
        self.assertEqual(await self.release(), ["a"])

    async def test_work_without_a_free_slot_does_not_block_work_that_needs_none(self) -> None:
        """Items without a worker must not delay a live request, whose delay is penalized."""
        self.room = 0
        for busy in (False, True):
            if busy:
                self.become_busy()
            now = self.clock.now
            item = await self.add("item", 0, now + 0.1, now)
            await self.add("request", 0, now + 0.3, now, everywhere=True)
            self.assertEqual((await self.release())[-1], "request")
            self.order.clear()
            item.cancel()
            await asyncio.sleep(0)

    async def test_free_slot_is_checked_once_per_group_until_there_is_one(self) -> None:
        checked: list[str] = []

        async def wait(name: str, route: str | None) -> None:
            def may_start() -> bool:
                checked.append(name)
                return self.room > 0

            await self.queue.wait(0, 60.0, 59.0, may_start, route)
            self.order.append(name)

        for name, route in (("a1", "a"), ("a2", "a"), ("b1", "b"), ("n1", None), ("n2", None)):
            asyncio.create_task(wait(name, route))
        await asyncio.sleep(0)
        self.room = 0
        self.assertEqual(await self.release(), [])
        self.assertEqual(checked, ["a1", "b1", "n1", "n2"])
        self.room = 1
        self.assertEqual(await self.release(), ["a1", "a2", "b1", "n1", "n2"])

    async def test_cancelled_work_blocks_no_other(self) -> None:
        first = await self.add("a", 0, 60.0, 59.0)
        await self.add("b", 0, 61.0, 60.0)
        first.cancel()
        await asyncio.sleep(0)
        self.assertEqual(await self.release(), ["b"])
        self.assertEqual(len(self.queue), 0)


if __name__ == "__main__":
    unittest.main()
