"""Drawn days of a simulated tier: batch jobs as storage and core nodes are lost, one counted at a time."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple, cast

from heronstall.distribution.shards import BATCH_SHARDS
from tests.tier.core_simulation import CATCH_UP, Violated
from tests.tier.core_walks import LOOK, Operator
from tests.tier.store_simulation import BatchDispatcher, Clients, SimulatedTier, simulated_tier
from tests.tier.virtual_loop import run_virtually

SECONDS = 30.0  # of a day
FORMED = 4.0  # seconds in which a new tier places its shards
CALM = 20.0  # seconds at the end in which all must be whole
COPIES = 3  # of a shard, for a tier that bears one loss


class Day(NamedTuple):
    """What a day held."""

    accepted: int
    refused: int
    faults: Counter[str]
    torn: int  # files that lost a part of what was not synced


class TierFaults:
    """Troubles of core and storage nodes: one counted loss at a time, and at any moment all lose power."""

    def __init__(self, tier: SimulatedTier) -> None:
        self.tier, self._rng = tier, tier.rng
        self.count: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """Trouble the tier until a steady time."""
        kinds = (
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
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            fault = self._rng.choice(kinds)
            self.count[fault.__name__] += 1
            self.tier.note(fault.__name__)
            await fault()
            self.tier.network.heal()

    def _store(self) -> str:
        """A storage machine: mostly an owner, whose disk is written most."""
        owner = self.tier.owner(self._rng.choice(BATCH_SHARDS))
        if owner is not None and self._rng.random() < 0.7:
            return owner
        return self._rng.choice(sorted(self.tier.stores))

    async def kill_store(self) -> None:
        await self.tier.restart_store(self._store(), self._rng.uniform(0.2, 0.6), power=False)

    async def power_store(self) -> None:
        await self.tier.restart_store(self._store(), self._rng.uniform(0.5, 3.0), power=True)

    async def power_within_a_write(self) -> None:
        await self.tier.power_within_a_write(self._store(), self._rng.uniform(0.3, 1.0))

    async def wipe_store(self) -> None:
        """A disk is lost, often as others that count lose power."""
        struck = self._store()
        async with asyncio.TaskGroup() as ends:
            ends.create_task(self.tier.restart_store(struck, 0.8, power=True, wiped=True))
            for ip in sorted(self.tier.stores):
                if ip != struck and self._rng.random() < 0.5:
                    ends.create_task(self.tier.restart_store(ip, self._rng.uniform(0.3, 1.0), power=True))
            for ip in sorted(self.tier.machines):
                if self._rng.random() < 0.3:
                    down = self._rng.uniform(0.3, 1.0)
                    ends.create_task(self.tier.restart(ip, down, power=True, wiped=False))
        await self._whole_again()

    async def replace_store(self) -> None:
        self.tier.remove_store(self._store())
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        await self.tier.add_store()
        await self._whole_again()

    async def retire(self) -> None:
        """A machine is emptied and taken away; others may lose a disk right after."""
        ip = self._store()
        if len(self.tier.stores) <= COPIES or not await self.tier.retire(ip):
            return
        self.count["retired"] += 1
        self.tier.remove_store(ip)
        if self._rng.random() < 0.6:
            struck = self._rng.choice(sorted(self.tier.stores))
            await self.tier.restart_store(struck, 0.5, power=True, wiped=True)
        await self.tier.add_store()
        await self._whole_again()

    async def cut_store(self) -> None:
        ip = self._store()
        reach = [m.address for m in self.tier.stores.values()]
        reach += [m.address for m in self.tier.machines.values()]
        if self._rng.random() < 0.4:
            reach += [d.name for d in self.tier.dispatchers]
        self.tier.network.cut_off(self.tier.stores[ip].address, self._rng.randint(1, 3), reach)
        await asyncio.sleep(self._rng.uniform(0.5, 5.0))

    async def kill_core(self) -> None:
        ip = self.tier.leader() or sorted(self.tier.machines)[0]
        await self.tier.restart(ip, self._rng.uniform(0.2, 0.6), power=False, wiped=False)

    async def wipe_core(self) -> None:
        ip = self._rng.choice(sorted(self.tier.machines))
        await self.tier.restart(ip, 0.8, power=True, wiped=True)
        await self._whole_again()

    async def all_lose_power(self) -> None:
        """Every machine, also the dispatchers, which do not count."""
        dispatchers = [cast(BatchDispatcher, d) for d in self.tier.dispatchers]
        for dispatcher in dispatchers:
            dispatcher.end()
        async with asyncio.TaskGroup() as starts:
            for ip in sorted(self.tier.stores):
                starts.create_task(self.tier.restart_store(ip, self._rng.uniform(0.3, 0.9), power=True))
            for ip in sorted(self.tier.machines):
                down = self._rng.uniform(0.3, 0.9)
                starts.create_task(self.tier.restart(ip, down, power=True, wiped=False))
            await asyncio.sleep(self._rng.uniform(0.3, 0.9))
            for dispatcher in dispatchers:
                dispatcher.start_again()

    async def _whole_again(self) -> None:
        """Within the bound the next disk may be lost: every shard has its copies on running machines."""
        await asyncio.sleep(CATCH_UP)
        if not (self.tier.whole() and self.tier.stores_whole()):
            told = f"{self.tier.memberships()}; {self.tier.placements()}"
            raise Violated(f"not whole {CATCH_UP} s after a disk was lost: {told}")


async def day(tier: SimulatedTier, seconds: float) -> Day:
    """Play a day and check every promise."""
    await tier.start()
    await asyncio.sleep(FORMED)
    until = time.monotonic() + seconds
    faults, clients = TierFaults(tier), Clients(tier)
    try:
        async with asyncio.TaskGroup() as runs:
            runs.create_task(Operator(tier, "a").run(until))
            runs.create_task(faults.run(until))
            runs.create_task(clients.submit_until(until))
            runs.create_task(clients.read_until(until))
            runs.create_task(_watch(tier, until))
        await clients.read_all(CALM)
    except* Violated as group:
        raise group.exceptions[0] from None
    _check(tier)
    return Day(len(tier.told.accepted), len(tier.told.refused), faults.count, tier.files.torn_files)


async def _watch(tier: SimulatedTier, until: float) -> None:
    while time.monotonic() < until:
        tier.check_dispatchers()
        _check(tier)
        await asyncio.sleep(LOOK)


def _check(tier: SimulatedTier) -> None:
    if tier.broken:
        raise tier.broken[0]


def play(seed: int, seconds: float = SECONDS) -> Day:
    """A drawn day. Raises Violated with what led to it."""
    with (
        tempfile.TemporaryDirectory(prefix="heronstall-") as folder,
        simulated_tier(Path(folder), seed) as tier,
    ):
        try:
            return run_virtually(day(tier, seconds))
        except Violated as violated:
            told = "\n".join(tier.trace[-40:])
            raise Violated(f"seed {seed}: {violated}\n{told}") from None
