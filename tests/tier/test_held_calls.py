"""Held calls are woken by what concerns them, and by no more."""

from __future__ import annotations

import asyncio
import unittest

from heronstall.controlplane.held_calls import CallsByName, LeaseCalls

LONG = 60.0  # seconds that no test waits


async def turn() -> None:
    """Let all tasks go on that can."""
    for _ in range(5):
        await asyncio.sleep(0)


class Named(unittest.IsolatedAsyncioTestCase):
    async def test_news_of_one_name_wakes_its_calls_alone(self) -> None:
        calls = CallsByName()
        tasks = {name: asyncio.create_task(calls.wait(name, LONG)) for name in ("a", "b")}
        await turn()
        calls.wake("a")
        await turn()
        self.assertTrue(tasks["a"].done())
        self.assertFalse(tasks["b"].done())
        calls.wake_all()
        await turn()
        self.assertTrue(tasks["b"].done())

    async def test_a_call_returns_when_its_time_is_over(self) -> None:
        await CallsByName().wait("a", 0.0)

    async def test_names_are_kept_as_long_as_calls_wait(self) -> None:
        calls = CallsByName()
        await calls.wait("a", 0.0)
        self.assertEqual(len(calls), 0)
        tasks = [asyncio.create_task(calls.wait("b", LONG)) for _ in range(2)]
        await turn()
        tasks[0].cancel()
        await turn()
        self.assertEqual(len(calls), 1)
        calls.wake("b")
        await turn()
        self.assertTrue(tasks[1].done())
        self.assertEqual(len(calls), 0)


class Leasing(unittest.IsolatedAsyncioTestCase):
    async def held(
        self, calls: LeaseCalls, wants: list[int], jobs: tuple[str, ...] = ()
    ) -> list[asyncio.Task[bool]]:
        tasks = [
            asyncio.create_task(calls.wait_for_items(f"edge-{nth}", want, jobs, LONG))
            for nth, want in enumerate(wants)
        ]
        await turn()
        return tasks

    async def test_a_call_that_is_held_ends_with_the_next_of_its_dispatcher(self) -> None:
        calls = LeaseCalls()
        first, other = await self.held(calls, [2, 2])
        calls.supersede("edge-0")
        await turn()
        self.assertTrue(await first)
        second = asyncio.create_task(calls.wait_for_items("edge-0", 2, (), LONG))
        await turn()
        calls.supersede("unknown")
        calls.offer(2)
        await turn()
        self.assertFalse(await other)
        self.assertFalse(second.done())
        calls.wake_all()
        self.assertFalse(await second)

    async def test_a_call_that_was_woken_already_is_replaced_too(self) -> None:
        calls = LeaseCalls()
        (first,) = await self.held(calls, [2])
        calls.offer(2)
        calls.supersede("edge-0")
        self.assertTrue(await first)

    async def test_as_many_are_woken_as_there_are_items_for_the_longest_held_first(self) -> None:
        calls = LeaseCalls()
        tasks = await self.held(calls, [2, 2, 2, 2])
        calls.offer(3)
        await turn()
        self.assertEqual([t.done() for t in tasks], [True, True, False, False])
        calls.wake_all()

    async def test_items_promised_to_a_call_wake_no_second_one(self) -> None:
        calls = LeaseCalls()
        tasks = await self.held(calls, [3, 3])
        calls.offer(3)
        calls.offer(3)  # the first has not taken them yet
        await turn()
        self.assertEqual([t.done() for t in tasks], [True, False])
        calls.offer(1)  # it has gone on since, and something is left
        await turn()
        self.assertTrue(tasks[1].done())

    async def test_who_wants_nothing_is_woken_by_an_end_alone(self) -> None:
        calls = LeaseCalls()
        (idle,) = await self.held(calls, [0], ("job",))
        calls.offer(5)
        calls.wake_for_ended_jobs({"other"})
        await turn()
        self.assertFalse(idle.done())
        calls.wake_for_ended_jobs({"job"})
        await turn()
        self.assertTrue(idle.done())

    async def test_a_cancelled_call_leaves_nothing_behind(self) -> None:
        calls = LeaseCalls()
        first, second = await self.held(calls, [2, 2])
        calls.offer(2)
        first.cancel()  # woken, and gone before it takes anything
        await turn()
        calls.offer(2)
        await turn()
        self.assertTrue(second.done())
