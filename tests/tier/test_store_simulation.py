"""Days of a simulated tier: batch jobs as storage and core nodes are lost; and planted mistakes."""

from __future__ import annotations

import asyncio
import contextlib
import random
import tempfile
import unittest
from collections.abc import Callable, Coroutine, Iterator
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Any, NamedTuple
from unittest import mock

from heronstall.controlplane.core import Core
from heronstall.controlplane.store import Store
from heronstall.replication.leases import ReadLeases
from heronstall.storage.journal import Journal
from heronstall.transport.frames import Status
from heronstall.transport.links import Reply
from tests.tier.core_simulation import CATCH_UP, Violated
from tests.tier.power_loss import Crashed, SyncedFiles
from tests.tier.store_simulation import SimulatedTier, simulated_tier
from tests.tier.store_walks import FORMED, Day, play
from tests.tier.virtual_loop import run_virtually

DAYS = 3
FIRST_SEED = 4000
FOUND_WITHIN = 3  # days in which a planted mistake is found
PLANTED_SECONDS = 20.0


class Days(unittest.TestCase):
    def test_every_promise_holds(self) -> None:
        days: list[Day] = [play(seed) for seed in range(FIRST_SEED, FIRST_SEED + DAYS)]
        self.assertGreater(sum(d.accepted for d in days), 50 * DAYS)
        self.assertGreater(sum(sum(d.faults.values()) for d in days), 3 * DAYS)


async def decided_at_once(decision: asyncio.Future[Any]) -> Reply:
    """Planted: a submission is acknowledged when it is proposed."""
    return Reply(Status.OK)


@contextlib.contextmanager
def nothing_is_synced() -> Iterator[None]:
    """Planted: the log is written and not synced."""

    def sync(journal: Journal) -> None:
        journal._synced_length = journal._log_length

    with mock.patch.object(Journal, "sync", sync):
        yield


class Planted(NamedTuple):
    """A planted mistake, and the first of the days that are played for it."""

    plant: Callable[[], AbstractContextManager[Any]]
    seed: int


PLANTED: dict[str, Planted] = {
    "a submission is acknowledged when proposed": Planted(
        lambda: mock.patch.object(Store, "_decided", staticmethod(decided_at_once)), 2
    ),
    "an owner answers before it has applied its log": Planted(
        lambda: mock.patch.object(
            ReadLeases, "established", property(lambda leases: leases._state.is_leader)
        ),
        1,
    ),
    "a machine counts as emptied at once": Planted(
        lambda: mock.patch.object(Core, "_emptied", lambda core, replica: True), 3
    ),
    "nothing is synced": Planted(nothing_is_synced, 1),
}


class PlantedMistakes(unittest.TestCase):
    def test_each_is_found(self) -> None:
        for name, planted in PLANTED.items():
            days = range(planted.seed, planted.seed + FOUND_WITHIN)
            with self.subTest(name), planted.plant():
                self.assertTrue(any(self.found(seed) for seed in days), name)

    @staticmethod
    def found(seed: int) -> bool:
        try:
            play(seed, PLANTED_SECONDS)
        except Violated:
            return True
        return False


class PowerLosses(unittest.TestCase):
    """What the simulated disks leave."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.files = SyncedFiles(random.Random(1))

    def test_what_was_synced_stays_and_the_rest_is_lost_in_part(self) -> None:
        path = self.folder / "log"
        left = set()
        for _ in range(40):
            with path.open("wb") as file:
                file.write(b"safe")
                file.flush()
                self.files.sync(file.fileno())
                file.write(b"rest")
            self.files.lose_power(self.folder)
            left.add(path.read_bytes())
        self.assertTrue(all(found.startswith(b"safe") for found in left), left)
        self.assertLessEqual({b"safe", b"saferest"}, left)
        self.assertEqual(self.files.torn_files, 40)

    def test_a_node_may_end_within_its_next_sync(self) -> None:
        struck: list[bool] = []
        self.files.crash_at_next_sync(self.folder, lambda: struck.append(True))
        with (self.folder / "log").open("wb") as file, self.assertRaises(Crashed):
            self.files.sync(file.fileno())
        self.assertEqual(struck, [True])
        self.assertFalse(self.files.cancel_crash(self.folder))


class Situations(unittest.TestCase):
    def play(self, run: Callable[[SimulatedTier], Coroutine[Any, Any, None]]) -> None:
        with tempfile.TemporaryDirectory() as folder, simulated_tier(Path(folder), 5) as tier:
            run_virtually(run(tier))

    def test_a_lost_disk_is_made_good_within_the_bound(self) -> None:
        async def run(tier: SimulatedTier) -> None:
            await tier.start(dispatchers=1)
            await asyncio.sleep(FORMED)
            self.assertTrue(tier.stores_whole())
            for ip in sorted(tier.stores):
                await tier.restart_store(ip, 0.5, power=True, wiped=True)
                await asyncio.sleep(CATCH_UP)
                self.assertTrue(tier.stores_whole(), tier.placements())

        self.play(run)

    def test_a_day_is_the_same_when_it_is_played_again(self) -> None:
        first, second = (play(FIRST_SEED, 6.0) for _ in range(2))
        self.assertEqual(first, second)


if __name__ == "__main__":
    unittest.main()
