"""Random runs of the simulated tier: batch jobs while storage and core nodes fail, one loss at a time."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple, cast

from heronstall.distribution.shards import BATCH_SHARDS
from tests.tier.core_random_runs import CHECK_INTERVAL, Operator
from tests.tier.core_simulation import RECOVERY_BOUND, InvariantViolation
from tests.tier.store_simulation import BatchDispatcher, Clients, SimulatedTier, simulated_tier
from tests.tier.virtual_loop import run_virtually

RUN_SECONDS = 30.0  # of simulated time in a run
FORMATION_SECONDS = 4.0  # seconds that a new tier gets to place its shards
SETTLE_SECONDS = 20.0  # seconds after the last fault in which all jobs must become complete
REPLICAS_PER_SHARD = 3  # in a tier that tolerates one loss


class RunSummary(NamedTuple):
    """What happened in a run."""

    accepted: int
    refused: int
    faults: Counter[str]
    torn: int  # files that lost some of their unsynced bytes


class TierFaults:
    """Injects faults into all nodes: losses of a disk or machine one at a time, and power losses."""

    def __init__(self, tier: SimulatedTier) -> None:
        self.tier, self._rng = tier, tier.rng
        self.count: Counter[str] = Counter()

    async def run(self, deadline: float) -> None:
        """Injects faults until the deadline (steady time)."""
        fault_methods = (
            self.kill_store,
            self.power_store,
            self.power_within_a_write,
            self.wipe_store,
            self.replace_store,
            self.retire,
            self.cut_store,
            self.kill_core,
            self.wipe_core,
            self.all_lose_power,
            self.all_lose_power,
        )
        while time.monotonic() < deadline:
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            fault = self._rng.choice(fault_methods)
            self.count[fault.__name__] += 1
            self.tier.record_event(fault.__name__)
            await fault()
            self.tier.network.heal()

    def _choose_store(self) -> str:
        """Returns a storage machine, preferably an owner, whose disk is written most."""
        owner = self.tier.owner(self._rng.choice(BATCH_SHARDS))
        if owner is not None and self._rng.random() < 0.7:
            return owner
        return self._rng.choice(sorted(self.tier.stores))

    async def kill_store(self) -> None:
        await self.tier.restart_store(self._choose_store(), self._rng.uniform(0.2, 0.6), power_loss=False)

    async def power_store(self) -> None:
        await self.tier.restart_store(self._choose_store(), self._rng.uniform(0.5, 3.0), power_loss=True)

    async def power_within_a_write(self) -> None:
        await self.tier.power_within_a_write(self._choose_store(), self._rng.uniform(0.3, 1.0))

    async def wipe_store(self) -> None:
        """Loses a disk, often while other machines lose power."""
        victim = self._choose_store()
        async with asyncio.TaskGroup() as restarts:
            restarts.create_task(self.tier.restart_store(victim, 0.8, power_loss=True, wiped=True))
            for ip in sorted(self.tier.stores):
                if ip != victim and self._rng.random() < 0.5:
                    restarts.create_task(
                        self.tier.restart_store(ip, self._rng.uniform(0.3, 1.0), power_loss=True)
                    )
            for ip in sorted(self.tier.machines):
                if self._rng.random() < 0.3:
                    downtime = self._rng.uniform(0.3, 1.0)
                    restarts.create_task(self.tier.restart(ip, downtime, power_loss=True, wiped=False))
        await self._check_recovery()

    async def replace_store(self) -> None:
        self.tier.remove_store(self._choose_store())
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        await self.tier.add_store()
        await self._check_recovery()

    async def retire(self) -> None:
        """Retires and removes a machine; often another one loses its disk right after."""
        ip = self._choose_store()
        if len(self.tier.stores) <= REPLICAS_PER_SHARD or not await self.tier.retire(ip):
            return
        self.count["retired"] += 1
        self.tier.remove_store(ip)
        if self._rng.random() < 0.6:
            victim = self._rng.choice(sorted(self.tier.stores))
            await self.tier.restart_store(victim, 0.5, power_loss=True, wiped=True)
        await self.tier.add_store()
        await self._check_recovery()

    async def cut_store(self) -> None:
        ip = self._choose_store()
        addresses = [m.address for m in self.tier.stores.values()]
        addresses += [m.address for m in self.tier.machines.values()]
        if self._rng.random() < 0.4:
            addresses += [d.name for d in self.tier.dispatchers]
        self.tier.network.cut_links(self.tier.stores[ip].address, self._rng.randint(1, 3), addresses)
        await asyncio.sleep(self._rng.uniform(0.5, 5.0))

    async def kill_core(self) -> None:
        ip = self.tier.leader() or sorted(self.tier.machines)[0]
        await self.tier.restart(ip, self._rng.uniform(0.2, 0.6), power_loss=False, wiped=False)

    async def wipe_core(self) -> None:
        ip = self._rng.choice(sorted(self.tier.machines))
        await self.tier.restart(ip, 0.8, power_loss=True, wiped=True)
        await self._check_recovery()

    async def all_lose_power(self) -> None:
        """Interrupts the power of all machines, including the dispatchers."""
        dispatchers = [cast(BatchDispatcher, d) for d in self.tier.dispatchers]
        for dispatcher in dispatchers:
            dispatcher.stop()
        async with asyncio.TaskGroup() as restarts_of_all:
            for ip in sorted(self.tier.stores):
                restarts_of_all.create_task(
                    self.tier.restart_store(ip, self._rng.uniform(0.3, 0.9), power_loss=True)
                )
            for ip in sorted(self.tier.machines):
                downtime = self._rng.uniform(0.3, 0.9)
                restarts_of_all.create_task(self.tier.restart(ip, downtime, power_loss=True, wiped=False))
            await asyncio.sleep(self._rng.uniform(0.3, 0.9))
            for dispatcher in dispatchers:
                dispatcher.restart()

    async def _check_recovery(self) -> None:
        """Waits for the recovery bound, after which another disk may be lost, and checks the memberships."""
        await asyncio.sleep(RECOVERY_BOUND)
        if not (self.tier.has_expected_members() and self.tier.stores_have_expected_voters()):
            details = f"{self.tier.memberships()}; {self.tier.placements()}"
            raise InvariantViolation(f"not recovered {RECOVERY_BOUND} s after a disk was lost: {details}")


async def run_checked(tier: SimulatedTier, seconds: float) -> RunSummary:
    """Runs clients, an operator and faults, and checks all invariants."""
    await tier.start()
    await asyncio.sleep(FORMATION_SECONDS)
    deadline = time.monotonic() + seconds
    faults, clients = TierFaults(tier), Clients(tier)
    try:
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(Operator(tier, "a").run(deadline))
            tasks.create_task(faults.run(deadline))
            tasks.create_task(clients.submit_until(deadline))
            tasks.create_task(clients.read_until(deadline))
            tasks.create_task(_check_continuously(tier, deadline))
        await clients.read_all(SETTLE_SECONDS)
    except* InvariantViolation as error_group:
        raise error_group.exceptions[0] from None
    _raise_recorded_violation(tier)
    return RunSummary(
        len(tier.observations.accepted), len(tier.observations.refused), faults.count, tier.files.torn_files
    )


async def _check_continuously(tier: SimulatedTier, deadline: float) -> None:
    while time.monotonic() < deadline:
        tier.check_dispatchers()
        _raise_recorded_violation(tier)
        await asyncio.sleep(CHECK_INTERVAL)


def _raise_recorded_violation(tier: SimulatedTier) -> None:
    if tier.violations:
        raise tier.violations[0]


def simulate(seed: int, seconds: float = RUN_SECONDS) -> RunSummary:
    """Performs a random run. Raises InvariantViolation with the latest events."""
    with (
        tempfile.TemporaryDirectory(prefix="heronstall-") as folder,
        simulated_tier(Path(folder), seed) as tier,
    ):
        try:
            return run_virtually(run_checked(tier, seconds))
        except InvariantViolation as violation:
            details = "\n".join(tier.event_log[-40:])
            raise InvariantViolation(f"seed {seed}: {violation}\n{details}") from None
