"""The periodic work of a storage node."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from heronstall.controlplane.store import MAINTENANCE_INTERVAL, OwnedShard
from tests.tier.batch_play import SHARD, BatchPlay, play
from tests.tier.virtual_loop import run_virtually


class Maintenance(unittest.TestCase):
    def test_maintenance_goes_on_when_a_shard_is_placed_while_it_waits(self) -> None:
        """Guards against a storage node that never again requeues or expires items after a placement."""
        calls: list[str] = []

        async def use(batch: BatchPlay) -> None:
            async def remove_expired(group: str, owned: OwnedShard) -> None:
                calls.append(group)
                if len(calls) == 1:
                    batch.store._add("batch-9")
                    await asyncio.sleep(0.01)

            with mock.patch.object(batch.store, "_remove_expired", remove_expired):
                await asyncio.sleep(5 * MAINTENANCE_INTERVAL)

        run_virtually(play(use))
        self.assertGreaterEqual(calls.count(SHARD), 4)


if __name__ == "__main__":
    unittest.main()
