"""How a dispatcher leases batch items, reports them and decides on those without a route."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from heronstall.batch.outcomes import Outcome
from heronstall.dataplane.batch_runner import BatchRunner
from heronstall.dataplane.item_attempts import RunningItem
from heronstall.routing.routes import Routes
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import Reply
from heronstall.transport.messages import (
    BatchItem,
    ItemReport,
    LeasedItem,
    LeaseReply,
    LeaseRequest,
    LeaseShare,
)
from tests.tier.test_routing import sample_routes


def shares(want: int) -> list[LeaseShare]:
    """Returns the share of a dispatcher with room for items of a single service."""
    return [LeaseShare(["lots"], want)]


class ItemsOfRoutes(unittest.IsolatedAsyncioTestCase):
    async def outcome(self, configurations: list[Routes], view_is_newer: bool) -> Outcome:
        """Returns the outcome of an item of route `lots` after these configurations were applied in turn.

        `view_is_newer` is whether the last one is known to have been in force after the lease.
        """
        current = mock.Mock()
        runner = BatchRunner(
            "edge",
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            current,
            view_complete_until=lambda: time.monotonic() if view_is_newer else 0.0,
        )
        runner._poll = mock.AsyncMock()  # type: ignore[method-assign]
        for configuration in configurations:
            current.return_value = configuration
            runner.update_pollers()
        leased = LeasedItem(job="j", host="h.example", route="lots")
        with mock.patch("heronstall.dataplane.batch_runner.VIEW_UPDATE_TIMEOUT_S", 0):
            return await runner._run_attempts(
                RunningItem(leased, BatchItem(id="i", path="/lots/1"), "batch-0")
            )

    async def test_item_of_a_removed_route_fails(self) -> None:
        removed = [sample_routes(), Routes(revision=4)]
        self.assertEqual(await self.outcome(removed, view_is_newer=True), Outcome.ROUTE_GONE)
        self.assertEqual(await self.outcome(removed, view_is_newer=False), Outcome.RETURNED)

    async def test_item_of_an_unknown_route_is_returned(self) -> None:
        unknown = [Routes(revision=2)]
        self.assertEqual(await self.outcome(unknown, view_is_newer=False), Outcome.RETURNED)
        self.assertEqual(await self.outcome(unknown, view_is_newer=True), Outcome.ROUTE_GONE)


class LeaseCalls(unittest.IsolatedAsyncioTestCase):
    """Each call lists the leases that the dispatcher holds, so that the owner detects lost ones."""

    def setUp(self) -> None:
        self.shards = mock.Mock()
        self.runner = BatchRunner("edge", self.shards, mock.Mock(), mock.Mock(), Routes)

    def add_running(self, name: str, lease: int) -> None:
        leased = LeasedItem(job="j", lease=lease)
        self.runner._running["j", name] = RunningItem(leased, BatchItem(id=name), "batch-0")

    def test_call_lists_held_leases_and_is_numbered(self) -> None:
        self.add_running("i", 7)
        first = self.runner._lease_request("batch-0", shares(2))
        second = self.runner._lease_request("batch-0", shares(2))
        self.assertEqual([(h.job, h.item, h.lease) for h in first.held], [("j", "i", 7)])
        self.assertGreater(second.call, first.call)
        self.assertEqual(self.runner._lease_request("batch-1", shares(2)).held, [])

    async def test_report_is_listed_until_it_is_acknowledged(self) -> None:
        listed: list[list[str]] = []

        async def call(*_: object, **__: object) -> Reply:
            listed.append([r.item for r in self.runner._lease_request("batch-0", []).reported])
            return Reply(Status.UNSURE if len(listed) == 1 else Status.OK)

        self.shards.call = call
        self.runner._reports["batch-0"] = [ItemReport("j", "i", Outcome.FAILED, b"", 7)]
        with mock.patch("heronstall.dataplane.batch_runner.REPORT_RETRY_DELAY_S", 0):
            await self.runner._send_reports("batch-0")
            self.assertEqual([r.item for r in self.runner._lease_request("batch-0", []).reported], ["i"])
            await self.runner._send_reports("batch-0")
        self.assertEqual(listed, [["i"], ["i"]])
        self.assertEqual(self.runner._lease_request("batch-0", []).reported, [])

    async def test_item_that_arrives_during_stop_is_returned(self) -> None:
        """Stopping cancels tasks, and a task that has not started to run does not execute its own cleanup."""
        leased = LeasedItem(job="j", item=bytes(BatchItem(id="i")), lease=9)
        for stop_first in (False, True):
            with self.subTest(stop_first=stop_first):
                self.setUp()
                self.runner._deferred.wait = lambda *_: asyncio.sleep(600)  # type: ignore[method-assign]
                if stop_first:
                    await self.runner.stop()
                    self.runner._start("batch-0", leased)
                else:
                    self.runner._start("batch-0", leased)
                    await self.runner.stop()
                for _ in range(5):
                    await asyncio.sleep(0)
                self.assertEqual(self.runner.running_count, 0)
                reports = self.runner._lease_request("batch-0", []).reported
                self.assertEqual([(r.item, r.lease) for r in reports], [("i", 9)])

    async def finish_duration(self, acknowledged_after: float) -> float:
        """Returns how long finishing takes if the owner acknowledges a report after this many seconds."""
        began = time.monotonic()

        async def call(*_: object, **__: object) -> Reply:
            late = time.monotonic() - began > acknowledged_after
            return Reply(Status.OK if late else Status.UNSURE)

        self.shards.call = call
        self.runner._reports["batch-0"] = [ItemReport("j", "i", Outcome.DONE, b"", 7)]
        self.runner._reports_added.set()
        reporting = asyncio.create_task(self.runner.send_reports())
        await self.runner.finish(time.monotonic() + 5)
        reporting.cancel()
        return time.monotonic() - began

    async def test_finish_waits_for_the_last_reports_for_a_limited_time(self) -> None:
        self.assertGreaterEqual(await self.finish_duration(0.3), 0.3)
        self.assertFalse(self.runner.has_unreported_items)
        self.setUp()
        with mock.patch("heronstall.dataplane.batch_runner.FINAL_REPORT_TIMEOUT_S", 0.3):
            self.assertLess(await self.finish_duration(60.0), 2.0)
        self.assertTrue(self.runner.has_unreported_items)

    async def poll_requests(self, freed_during: str) -> list[int]:
        """Returns the numbers of items requested while a slot is freed during `freed_during`.

        The owner holds calls that request no items.
        """
        requested: list[int] = []

        async def call(_shard: str, _kind: Kind, body: bytes, *_: object, **__: object) -> Reply:
            requested.append(LeaseRequest().parse(body).want)
            if requested[-1]:
                self.runner.stopping = True
                return Reply(Status.OK, bytes(LeaseReply()))
            if freed_during == "held":
                self.runner._announce_free_slot()
            await asyncio.sleep(600)
            raise AssertionError("a call that requests no items was awaited")

        def want(_shard: str) -> list[LeaseShare]:
            if not requested and freed_during == "counting":
                self.runner._announce_free_slot()
            return shares(2) if requested else []

        self.shards.call = call
        with mock.patch.object(self.runner, "_lease_shares", side_effect=want):
            async with asyncio.timeout(30):
                await self.runner._poll("batch-0")
        return requested

    async def test_slot_freed_during_a_held_call_is_requested_at_once(self) -> None:
        self.assertEqual(await self.poll_requests("held"), [0, 2])

    async def test_slot_freed_while_slots_are_counted_is_not_missed(self) -> None:
        self.assertEqual(await self.poll_requests("counting"), [0, 2])

    async def test_end_of_a_run_frees_its_slot(self) -> None:
        self.add_running("i", 7)
        freed = self.runner._slot_freed
        with mock.patch.object(self.runner, "_wait_for_start", side_effect=asyncio.CancelledError):
            await self.runner._run(("j", "i"), self.runner._running["j", "i"])
        self.assertTrue(freed.is_set())

    async def test_fewer_items_are_requested_after_calls_without_a_reply(self) -> None:
        requested: list[int] = []
        statuses = [Status.UNSURE, Status.FAILED, Status.UNSURE, Status.OK, Status.OK]

        async def call(_shard: str, _kind: Kind, body: bytes, *_: object, **__: object) -> Reply:
            requested.append(LeaseRequest().parse(body).want)
            if len(requested) == len(statuses):
                self.runner.stopping = True
            return Reply(statuses[len(requested) - 1], bytes(LeaseReply()))

        self.shards.call = call
        no_pause = mock.patch("heronstall.dataplane.batch_runner.POLL_RETRY_DELAY_S", 0)
        with no_pause, mock.patch.object(self.runner, "_lease_shares", return_value=shares(48)):
            await self.runner._poll("batch-0")
        self.assertEqual(requested, [48, 32, 16, 8, 16])

    async def test_repeated_lease_updates_the_lease_number(self) -> None:
        self.add_running("i", 7)
        self.runner._start("batch-0", LeasedItem(job="j", item=bytes(BatchItem(id="i")), lease=9))
        self.assertEqual([h.lease for h in self.runner._lease_request("batch-0", []).held], [9])


if __name__ == "__main__":
    unittest.main()
