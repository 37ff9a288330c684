"""Items that wait at their owner when the operator removes their route."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Awaitable, Callable

from heronstall.controlplane.store import MAINTENANCE_INTERVAL
from heronstall.distribution.freshness import MAX_STATE_STALENESS
from tests.tier.batch_play import SHARD, Answer, BatchPlay, play, route
from tests.tier.virtual_loop import run_virtually

SERVICE = "trade-assist"
WORKERS = (("w1", SERVICE),)
ITEMS = 80  # more than a dispatcher holds
RUN_S = 0.4
LEASED_S = 0.2  # within which the dispatcher has items at the worker
NOTES = "notes"


class RemovedRoutes(unittest.TestCase):
    def play(self, use: Callable[[BatchPlay], Awaitable[None]]) -> None:
        """Runs `use` while most items of a job wait at their owner."""

        async def begin(batch: BatchPlay) -> None:
            batch.answer = lambda worker, item: Answer(seconds=RUN_S)
            batch.register(*WORKERS)
            batch.configure(route(NOTES, SERVICE))
            await batch.submit(NOTES, "job", ITEMS)
            await asyncio.sleep(LEASED_S)
            self.assertGreater(batch.store.shards[SHARD].leases.waiting, 0)
            await use(batch)

        run_virtually(play(begin))

    def test_items_of_the_only_batch_route_are_listed_after_its_removal(self) -> None:
        """Guards against items of a removed route that are neither run nor listed for a long time."""

        async def use(batch: BatchPlay) -> None:
            at_workers = {item for item, runs in batch.runs.items() if runs}
            batch.configure()
            self.assertEqual(
                await batch.until_listed(["job"], MAX_STATE_STALENESS + 3 * MAINTENANCE_INTERVAL + RUN_S), []
            )
            succeeded = {item for item, done in batch.results("job").items() if done}
            self.assertEqual(succeeded, at_workers)

        self.play(use)

    def test_other_routes_keep_their_items(self) -> None:
        async def use(batch: BatchPlay) -> None:
            await batch.submit("labels", "other", ITEMS)
            batch.configure(route("labels", SERVICE))
            batch.answer = lambda worker, item: Answer()
            self.assertEqual(await batch.until_listed(["job", "other"], 2 * ITEMS * RUN_S), [])
            self.assertEqual(set(batch.results("other").values()), {True})

        self.play(use)

    def test_nothing_is_given_up_by_a_view_that_may_be_older_than_the_job(self) -> None:
        """The route may have been added again since, and the job accepted by that configuration."""

        async def use(batch: BatchPlay) -> None:
            batch.store_knows_until = time.monotonic() + MAX_STATE_STALENESS - 0.001
            batch.configure_store()
            await asyncio.sleep(4 * MAINTENANCE_INTERVAL)
            batch.store_knows_until = float("inf")
            batch.configure(route(NOTES, SERVICE))
            self.assertEqual(await batch.until_listed(["job"], ITEMS * RUN_S), [])
            self.assertEqual(set(batch.results("job").values()), {True})

        self.play(use)

    def test_nothing_is_given_up_while_the_configuration_is_unknown(self) -> None:
        async def use(batch: BatchPlay) -> None:
            batch.store.view.document = b'{"revision": 9}'
            batch.store._on_view_change({"config"})
            self.assertEqual(await batch.until_listed(["job"], ITEMS * RUN_S), [])
            self.assertEqual(set(batch.results("job").values()), {True})

        self.play(use)


if __name__ == "__main__":
    unittest.main()
