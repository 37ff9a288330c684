"""Tests of held calls: each is woken only by changes that concern it."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable

from heronstall.controlplane.held_calls import ANY_ROUTE, CallsByName, LeaseCalls

LONG_TIMEOUT = 60.0  # seconds, longer than any test runs
ROUTE, OTHER_ROUTE = "lots", "labels"


async def run_ready_tasks() -> None:
    """Runs the event loop until no task can proceed."""
    for _ in range(5):
        await asyncio.sleep(0)


class CallsByNameTest(unittest.IsolatedAsyncioTestCase):
    async def test_change_of_a_name_wakes_only_calls_for_that_name(self) -> None:
        calls = CallsByName()
        tasks = {name: asyncio.create_task(calls.wait(name, LONG_TIMEOUT)) for name in ("a", "b")}
        await run_ready_tasks()
        calls.wake("a")
        await run_ready_tasks()
        self.assertTrue(tasks["a"].done())
        self.assertFalse(tasks["b"].done())
        calls.wake_all()
        await run_ready_tasks()
        self.assertTrue(tasks["b"].done())

    async def test_call_returns_after_its_timeout(self) -> None:
        await CallsByName().wait("a", 0.0)

    async def test_names_are_stored_only_while_calls_wait(self) -> None:
        calls = CallsByName()
        await calls.wait("a", 0.0)
        self.assertEqual(len(calls), 0)
        tasks = [asyncio.create_task(calls.wait("b", LONG_TIMEOUT)) for _ in range(2)]
        await run_ready_tasks()
        tasks[0].cancel()
        await run_ready_tasks()
        self.assertEqual(len(calls), 1)
        calls.wake("b")
        await run_ready_tasks()
        self.assertTrue(tasks[1].done())
        self.assertEqual(len(calls), 0)


class LeaseCallsTest(unittest.IsolatedAsyncioTestCase):
    async def held_tasks(
        self, calls: LeaseCalls, wants: list[int], jobs: tuple[str, ...] = (), route: str = ROUTE
    ) -> list[asyncio.Task[bool]]:
        tasks = [
            asyncio.create_task(calls.wait_for_items(f"edge-{nth}", {route: want}, jobs, LONG_TIMEOUT))
            for nth, want in enumerate(wants)
        ]
        await run_ready_tasks()
        return tasks

    async def test_held_call_ends_with_the_next_call_of_its_dispatcher(self) -> None:
        calls = LeaseCalls()
        first, other = await self.held_tasks(calls, [2, 2])
        calls.supersede("edge-0")
        await run_ready_tasks()
        self.assertTrue(await first)
        second = asyncio.create_task(calls.wait_for_items("edge-0", {ROUTE: 2}, (), LONG_TIMEOUT))
        await run_ready_tasks()
        calls.supersede("unknown")
        calls.offer({ROUTE: 2})
        await run_ready_tasks()
        self.assertFalse(await other)
        self.assertFalse(second.done())
        calls.wake_all()
        self.assertFalse(await second)

    async def test_call_that_was_already_woken_is_superseded_too(self) -> None:
        calls = LeaseCalls()
        (first,) = await self.held_tasks(calls, [2])
        calls.offer({ROUTE: 2})
        calls.supersede("edge-0")
        self.assertTrue(await first)

    async def test_calls_are_woken_in_order_of_arrival_as_far_as_items_suffice(self) -> None:
        calls = LeaseCalls()
        tasks = await self.held_tasks(calls, [2, 2, 2, 2])
        calls.offer({ROUTE: 3})
        await run_ready_tasks()
        self.assertEqual([t.done() for t in tasks], [True, True, False, False])
        calls.wake_all()

    async def test_items_offered_to_a_call_do_not_wake_a_second_one(self) -> None:
        calls = LeaseCalls()
        tasks = await self.held_tasks(calls, [3, 3])
        calls.offer({ROUTE: 3})
        calls.offer({ROUTE: 3})  # the first call has not taken them yet
        await run_ready_tasks()
        self.assertEqual([t.done() for t in tasks], [True, False])
        calls.offer({ROUTE: 1})  # the first call has continued, and one item is left
        await run_ready_tasks()
        self.assertTrue(tasks[1].done())

    async def test_call_without_wanted_items_is_woken_only_by_the_end_of_its_job(self) -> None:
        calls = LeaseCalls()
        (idle,) = await self.held_tasks(calls, [0], ("job",))
        calls.offer({ROUTE: 5})
        calls.wake_for_ended_jobs({"other"})
        await run_ready_tasks()
        self.assertFalse(idle.done())
        calls.wake_for_ended_jobs({"job"})
        await run_ready_tasks()
        self.assertTrue(idle.done())

    async def test_cancelled_call_releases_its_offered_items(self) -> None:
        calls = LeaseCalls()
        first, second = await self.held_tasks(calls, [2, 2])
        calls.offer({ROUTE: 2})
        first.cancel()  # cancelled after being woken, before it takes anything
        await run_ready_tasks()
        calls.offer({ROUTE: 2})
        await run_ready_tasks()
        self.assertTrue(second.done())

    async def test_items_of_a_route_wake_only_calls_that_want_them(self) -> None:
        """Guards against calls that are woken again and again by items that they do not want."""
        calls = LeaseCalls()
        (other,) = await self.held_tasks(calls, [2], route=OTHER_ROUTE)
        (call,) = await self.held_tasks(calls, [2])
        calls.offer({ROUTE: 1})
        await run_ready_tasks()
        self.assertEqual([call.done(), other.done()], [True, False])
        calls.offer({ROUTE: 1, OTHER_ROUTE: 1})
        await run_ready_tasks()
        self.assertTrue(other.done())

    async def test_call_for_items_of_any_route_is_woken_by_each(self) -> None:
        calls = LeaseCalls()
        first, second = await self.held_tasks(calls, [2, 2], route=ANY_ROUTE)
        calls.offer({ROUTE: 1})
        calls.offer({ROUTE: 2})  # the first call takes the second item too
        await run_ready_tasks()
        self.assertEqual([first.done(), second.done()], [True, False])
        calls.offer({OTHER_ROUTE: 1})
        await run_ready_tasks()
        self.assertTrue(second.done())

    async def test_nothing_is_kept_of_calls_that_have_ended(self) -> None:
        calls = LeaseCalls()
        ends: list[Callable[[], None]] = [
            lambda: calls.offer({ROUTE: 1}),
            calls.wake_all,
            lambda: calls.supersede("edge-0"),
        ]
        for end in ends:
            (call,) = await self.held_tasks(calls, [2])
            end()
            await call
            kept = (calls._held_calls, calls._held_by_route, calls._latest_by_holder, calls._offered)
            self.assertFalse(any(kept))
