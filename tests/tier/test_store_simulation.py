"""Tests of the simulated tier: random runs of batch jobs with node failures, mutants, and scenarios."""

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
from tests.tier.core_simulation import RECOVERY_BOUND, InvariantViolation
from tests.tier.power_loss import Crashed, SyncedFiles
from tests.tier.store_random_runs import FORMATION_SECONDS, RunSummary, simulate
from tests.tier.store_simulation import SimulatedTier, simulated_tier
from tests.tier.virtual_loop import run_virtually

RUNS = 3
FIRST_SEED = 4000
MAX_RUNS_PER_MUTANT = 3  # random runs in which a mutant must be detected
MUTANT_RUN_SECONDS = 20.0


class RandomRuns(unittest.TestCase):
    def test_every_promise_holds(self) -> None:
        runs: list[RunSummary] = [simulate(seed) for seed in range(FIRST_SEED, FIRST_SEED + RUNS)]
        self.assertGreater(sum(d.accepted for d in runs), 50 * RUNS)
        self.assertGreater(sum(sum(d.faults.values()) for d in runs), 3 * RUNS)


async def acknowledge_when_proposed(decision: asyncio.Future[Any]) -> Reply:
    """Mutant: a submission is acknowledged when it is proposed."""
    return Reply(Status.OK)


@contextlib.contextmanager
def skip_syncs() -> Iterator[None]:
    """Mutant: the log is written but not synced."""

    def sync(journal: Journal) -> None:
        journal._synced_length = journal._log_length

    with mock.patch.object(Journal, "sync", sync):
        yield


class Mutant(NamedTuple):
    """A mutant and the first seed of the random runs that must detect it."""

    apply: Callable[[], AbstractContextManager[Any]]
    seed: int


MUTANTS: dict[str, Mutant] = {
    "a submission is acknowledged when proposed": Mutant(
        lambda: mock.patch.object(Store, "_submission_reply", staticmethod(acknowledge_when_proposed)), 2
    ),
    "an owner answers before it has applied its log": Mutant(
        lambda: mock.patch.object(
            ReadLeases, "established", property(lambda leases: leases._state.is_leader)
        ),
        1,
    ),
    "a machine counts as empty immediately": Mutant(
        lambda: mock.patch.object(Core, "_holds_no_shards", lambda core, replica: True), 3
    ),
    "nothing is synced": Mutant(skip_syncs, 1),
}


class MutantTest(unittest.TestCase):
    def test_each_mutant_is_detected(self) -> None:
        for name, mutant in MUTANTS.items():
            runs = range(mutant.seed, mutant.seed + MAX_RUNS_PER_MUTANT)
            with self.subTest(name), mutant.apply():
                self.assertTrue(any(self.is_detected(seed) for seed in runs), name)

    @staticmethod
    def is_detected(seed: int) -> bool:
        try:
            simulate(seed, MUTANT_RUN_SECONDS)
        except InvariantViolation:
            return True
        return False


class PowerLosses(unittest.TestCase):
    """The contents of simulated disks after a power loss."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.files = SyncedFiles(random.Random(1))

    def test_synced_bytes_survive_and_others_are_lost_in_part(self) -> None:
        path = self.folder / "log"
        contents = set()
        for _ in range(40):
            with path.open("wb") as file:
                file.write(b"safe")
                file.flush()
                self.files.sync(file.fileno())
                file.write(b"rest")
            self.files.lose_power(self.folder)
            contents.add(path.read_bytes())
        self.assertTrue(all(found.startswith(b"safe") for found in contents), contents)
        self.assertLessEqual({b"safe", b"saferest"}, contents)
        self.assertEqual(self.files.torn_files, 40)

    def test_power_loss_can_interrupt_the_next_sync(self) -> None:
        power_losses: list[bool] = []
        self.files.crash_at_next_sync(self.folder, lambda: power_losses.append(True))
        with (self.folder / "log").open("wb") as file, self.assertRaises(Crashed):
            self.files.sync(file.fileno())
        self.assertEqual(power_losses, [True])
        self.assertFalse(self.files.cancel_crash(self.folder))


class Scenarios(unittest.TestCase):
    def run_scenario(self, run: Callable[[SimulatedTier], Coroutine[Any, Any, None]]) -> None:
        with tempfile.TemporaryDirectory() as folder, simulated_tier(Path(folder), 5) as tier:
            run_virtually(run(tier))

    def test_lost_disk_is_recovered_within_the_bound(self) -> None:
        async def run(tier: SimulatedTier) -> None:
            await tier.start(dispatchers=1)
            await asyncio.sleep(FORMATION_SECONDS)
            self.assertTrue(tier.stores_have_expected_voters())
            for ip in sorted(tier.stores):
                await tier.restart_store(ip, 0.5, power_loss=True, wiped=True)
                await asyncio.sleep(RECOVERY_BOUND)
                self.assertTrue(tier.stores_have_expected_voters(), tier.placements())

        self.run_scenario(run)

    def test_a_day_is_the_same_when_it_is_played_again(self) -> None:
        first, second = (simulate(FIRST_SEED, 6.0) for _ in range(2))
        self.assertEqual(first, second)


if __name__ == "__main__":
    unittest.main()
