"""Items that the owner has given up while a dispatcher holds them."""

from __future__ import annotations

import asyncio
import unittest

from heronstall.controlplane.store import EXPIRY_MARGIN
from heronstall.dataplane.batch_runner import POLL_HOLD_S
from tests.tier.batch_play import RETENTION_MS, Answer, BatchPlay, play, route
from tests.tier.virtual_loop import run_virtually

SERVICE = "label-writer"
ITEMS = 8
MAX_SKEW_S = 5.0  # the default of the settings
RETENTION_S = RETENTION_MS / 1000 + MAX_SKEW_S + EXPIRY_MARGIN


class GivenUpItems(unittest.TestCase):
    def test_dispatcher_lets_go_of_items_whose_retention_has_ended(self) -> None:
        """Guards against a service whose room is taken for good by items that were given up long ago."""

        async def use(batch: BatchPlay) -> None:
            batch.configure(route("labels", SERVICE))
            batch.register(("s1", SERVICE))
            await batch.submit("labels", "old", ITEMS)
            await asyncio.sleep(2 * POLL_HOLD_S)
            batch.answer = lambda worker, item: Answer(503, headers={"Heronstall-Not-Executed": "1"})
            await batch.submit("labels", "lost", ITEMS)
            await asyncio.sleep(2 * POLL_HOLD_S)
            self.assertGreater(batch.runner.running_count, 0)
            await asyncio.sleep(RETENTION_S + 2 * POLL_HOLD_S)
            self.assertEqual(batch.unlisted("lost"), [])
            self.assertEqual(batch.runner.running_count, 0)
            runs = batch.runs.copy()
            await asyncio.sleep(1.0)
            self.assertEqual(batch.runs, runs)

        run_virtually(play(use))

    def test_dispatcher_lets_go_of_an_item_that_another_one_has_finished(self) -> None:
        async def use(batch: BatchPlay) -> None:
            batch.configure(route("labels", SERVICE))
            batch.register(("s1", SERVICE))
            batch.answer = lambda worker, item: Answer(seconds=2.5)
            await batch.submit("labels", "job", 1)
            await asyncio.sleep(2 * POLL_HOLD_S)
            self.assertEqual(batch.runner.running_count, 1)
            await batch.finish_elsewhere("job", "job-0")
            await asyncio.sleep(2 * POLL_HOLD_S)
            self.assertEqual(batch.runner.running_count, 0)
            self.assertEqual(batch.results("job"), {"job-0": True})

        run_virtually(play(use))


if __name__ == "__main__":
    unittest.main()
