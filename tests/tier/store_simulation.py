"""A simulated tier: core and storage nodes, and dispatchers that submit, run and read batch jobs.

Adds to `SimulatedCore` real `Store` objects over the same simulated network, and losses of power, also within
a write, that leave of a file what was synced and any part of the rest. What clients are told is checked
against what they were told before, and against each other: a job that was accepted is never unknown, a
position never changes, a refused job never runs, and in the end each item of an accepted job has its result
once.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import shutil
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, cast
from unittest import mock

from heronstall.batch.items import set_items
from heronstall.batch.outcomes import Outcome
from heronstall.config import NodeSettings
from heronstall.controlplane.store import Store
from heronstall.dataplane.shard_client import ShardClient
from heronstall.distribution.shards import BATCH_SHARDS, CONFIG
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import Links
from heronstall.transport.messages import (
    BatchItem,
    BatchJob,
    FinishRequest,
    ItemName,
    ItemReport,
    LeaseReply,
    LeaseRequest,
    ReadReply,
    ReadRequest,
    SubmitRequest,
)
from tests.tier.core_simulation import (
    PORT,
    SimulatedCore,
    SimulatedDispatcher,
    SimulatedLinks,
    Violated,
    simulated,
)
from tests.tier.power_loss import Crashed, SyncedFiles
from tests.tier.virtual_loop import VirtualLoop

ROUTE = "lots"
ITEMS_MOST = 4
TOKENS = 10  # of an item
QUOTA = 160  # tokens that may wait in a shard
MAX_ATTEMPTS = 3
SUBMIT_WITHIN, READ_WITHIN, LEASE_WITHIN = 3.5, 2.5, 1.0  # seconds
HELD = 0.3  # seconds that an owner may hold a call for items
RUNS = (0.02, 0.6)  # seconds that an item runs, drawn evenly
JOBS_EVERY, READS_EVERY = 0.25, 0.08  # seconds, on average
TRIES = 6  # of one submission
WANTED = 2  # items that a dispatcher runs of a shard at a time
WRITES_WITHIN = 1.5  # seconds in which a machine that is to lose power within a write writes something


@dataclass
class StoreMachine:
    """A storage machine: its settings, and its process while that runs."""

    settings: NodeSettings
    store: Store | None = None

    @property
    def address(self) -> str:
        return f"{self.settings.ip}:{PORT}"


@dataclass
class Told:
    """What clients were told of jobs, and what ran."""

    accepted: dict[str, int] = field(default_factory=dict)  # by job: its items
    shards: dict[str, str] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    results: dict[str, list[tuple[str, bool, bytes]]] = field(default_factory=dict)
    statuses: Counter[str] = field(default_factory=Counter)

    def ran(self, job: str) -> None:
        """An item of a job was handed to a dispatcher."""
        if job in self.refused:
            raise Violated(f"{job} was refused, and an item of it runs")

    def read(self, job: str, start: int, reply: ReadReply) -> None:
        """Results were read from a position on."""
        known = self.results.setdefault(job, [])
        if job in self.accepted and reply.total != self.accepted[job]:
            raise Violated(f"{job}: {reply.total} items are told, {self.accepted[job]} were sent")
        for position, result in enumerate(reply.results, start):
            row = (result.item, result.succeeded, result.text)
            if position < len(known) and known[position] != row:
                raise Violated(f"{job}: position {position} was {known[position]} and is {row}")
            if position == len(known):
                known.append(row)
        if len({item for item, _, _ in known}) < len(known):
            raise Violated(f"{job}: an item has two results: {known}")

    def whole(self, job: str) -> bool:
        """Whether every item of a job was read as done."""
        found = self.results.get(job, [])
        return len(found) == self.accepted[job] and all(
            done and text == text_of(job, item) for item, done, text in found
        )


def text_of(job: str, item: str) -> bytes:
    """What an item's run brings."""
    return f"{job}/{item}".encode()


class SimulatedTier(SimulatedCore):
    """Core and storage nodes, and dispatchers with batch jobs."""

    def __init__(self, root: Path, rng: random.Random, size: int = 3) -> None:
        super().__init__(root, rng, size)
        self.stores: dict[str, StoreMachine] = {}
        self.told = Told()
        self.files = SyncedFiles(random.Random(rng.getrandbits(48)))
        self.broken: list[Violated] = []
        self._jobs = 0

    async def start(self, dispatchers: int = 2, stores: int = 4) -> None:
        """Start the core, then storage nodes, then dispatchers whose clients send jobs."""
        await super().start(dispatchers=0)
        for _ in range(stores):
            await self.add_store(bootstrap=True)
        self.dispatchers += [BatchDispatcher(self, f"10.9.0.{n}") for n in range(dispatchers)]

    # ------------------------------------------------------------------ storage machines

    async def add_store(self, bootstrap: bool = False) -> str:
        """An empty storage machine comes."""
        ip = self._new_ip()
        settings = replace(
            self._settings(ip, bootstrap),
            name=f"storage-{ip}",
            machine_class="storage",
            listen={},
            zone=f"z{self._addresses % 3}",
        )
        self.stores[ip] = StoreMachine(settings)
        await self.boot_store(ip)
        return ip

    async def boot_store(self, ip: str) -> None:
        """Start a storage machine's process."""
        machine = self.stores[ip]
        machine.store = Store(replace(machine.settings, seeds=self._settings(ip, False).seeds))
        cast(SimulatedLinks, machine.store.links).source = machine.address
        await machine.store.start()

    def kill_store(self, ip: str, power: bool) -> None:
        """End a storage machine's process; a loss of power takes what was not synced."""
        machine = self.stores[ip]
        store, machine.store = machine.store, None
        self._end(machine.address, store, power)
        if power:
            self.files.lose_power(self.root / ip)

    async def restart_store(self, ip: str, down: float, power: bool, wiped: bool = False) -> None:
        """End a process and start it again, without its disk where that is lost."""
        self.kill_store(ip, power)
        if wiped:
            shutil.rmtree(self.root / ip, ignore_errors=True)
            self.stores[ip].settings = replace(self.stores[ip].settings, bootstrap=False)
        await asyncio.sleep(down)
        self.network.refusing.discard(self.stores[ip].address)
        await self.boot_store(ip)

    async def power_within_a_write(self, ip: str, down: float) -> None:
        """A storage machine loses power between a write and its sync, if it writes within a moment."""
        struck = asyncio.Event()

        def strike() -> None:
            self.kill_store(ip, power=True)
            struck.set()

        self.files.crash_at_next_sync(self.root / ip, strike)
        try:
            async with asyncio.timeout(WRITES_WITHIN):
                await struck.wait()
        except TimeoutError:
            if self.files.cancel_crash(self.root / ip):
                self.kill_store(ip, power=True)
        await asyncio.sleep(down)
        await self.boot_store(ip)

    def remove_store(self, ip: str) -> None:
        """A machine and its disk are gone for good."""
        self.kill_store(ip, power=True)
        shutil.rmtree(self.root / ip, ignore_errors=True)
        del self.stores[ip]

    def kill(self, ip: str, power: bool) -> None:
        """End a core node's process; a loss of power takes what was not synced."""
        super().kill(ip, power)
        if power:
            self.files.lose_power(self.root / ip)

    def owner(self, shard: str) -> str | None:
        """The storage machine that owns a shard, if one does."""
        for ip, machine in self.stores.items():
            if machine.store is not None and machine.store._owned(shard):
                return ip
        return None

    def stores_whole(self) -> bool:
        """Whether the voters of each shard are the replicas that the placement wants, all of them running."""
        running = {m.store.host.me: m.store for m in self.stores.values() if m.store}
        core = next((m.core for m in self.machines.values() if m.core and m.core.leads(CONFIG)), None)
        if core is None:
            return False
        for shard in BATCH_SHARDS:
            wanted = set(core.config.placement(shard))
            owner = self.owner(shard)
            store = self.stores[owner].store if owner else None
            if store is None or not wanted <= set(running) or len(wanted) < core.copies:
                return False
            log = store.host.groups[shard].replica.log
            if (
                set(log.members) != wanted
                or log.members_index > store.host.groups[shard].replica.commit_index
            ):
                return False
        return True

    def placements(self) -> str:
        """What each storage node knows of the shards, for a report."""
        return "; ".join(
            f"{store.host.me} {name}: {hosted.replica.role.value} of {hosted.replica.term}, "
            f"{sorted(hosted.replica.log.members)}, committed {hosted.replica.commit_index}"
            for store in (m.store for m in self.stores.values())
            if store
            for name, hosted in store.host.groups.items()
        )

    # ------------------------------------------------------------------ the operator

    async def retire(self, ip: str) -> bool:
        """Have a storage machine emptied; whether it said so in time. Raises Violated for a wrong refusal."""
        name = self.stores[ip].settings.name
        until = time.monotonic() + 12.0
        while time.monotonic() < until:
            node = self.rng.choice(sorted(self.machines))
            asked = await self.http(
                node, "POST", f"/-/retire/{name}", json.dumps({"deadline_s": 10}).encode(), ""
            )
            if asked is not None and asked.status == 409:
                return False
            told = await self.http(node, "GET", f"/-/retire/{name}", b"", "")
            if told is not None and told.status == 200 and b"succeeded" in cast(bytes, told.body):
                return True
            await asyncio.sleep(0.2)
        return False

    def new_job(self) -> str:
        """A name that no job has had."""
        self._jobs += 1
        return f"job{self._jobs}"


class BatchDispatcher(SimulatedDispatcher):
    """A dispatcher with clients of batch jobs, and places in which items run."""

    def __init__(self, tier: SimulatedTier, ip: str) -> None:
        super().__init__(tier, ip)
        self._tier, self._ip = tier, ip
        links = SimulatedLinks(tier.network, self.name)
        self.shards = ShardClient(cast(Links, links), self.view)
        self.lives = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.begin()

    def begin(self) -> None:
        """Begin to run items; clients' calls are made by `Clients`."""
        self.lives += 1
        holder = f"{self.name}/{self.lives}"
        runners = [ItemRunner(self._tier, self, shard, holder) for shard in BATCH_SHARDS]
        self._tasks = [asyncio.create_task(self._watched(runner)) for runner in runners]

    async def _watched(self, runner: ItemRunner) -> None:
        try:
            await runner.run()
        except Violated as violated:
            self._tier.broken.append(violated)

    def end(self) -> None:
        """Its process ends; items under way are lost."""
        for task in (self.task, *self._tasks):
            task.cancel()

    def start_again(self) -> None:
        """A new process, which knows nothing."""
        fresh = SimulatedDispatcher(self._tier, self._ip)
        self.view, self.puller, self.task = fresh.view, fresh.puller, fresh.task
        self.shards = ShardClient(cast(Links, SimulatedLinks(self._tier.network, self.name)), self.view)
        self.begin()

    async def submit(self, job: BatchJob, shard: str) -> Status:
        """One try of a submission, as the batch API makes it."""
        call = SubmitRequest(job, QUOTA, shard)
        reply = await self.shards.call(shard, Kind.SUBMIT, bytes(call), SUBMIT_WITHIN, owner_wait=0.8)
        return reply.status

    async def read(self, job: str, shard: str, start: int) -> None:
        """Read results from a position on, and check them."""
        call = ReadRequest(job=job, start=start, shard=shard)
        reply = await self.shards.call(shard, Kind.READ, bytes(call), READ_WITHIN)
        told = self._tier.told
        told.statuses[f"read: {reply.status.name}"] += 1
        if reply.status == Status.UNKNOWN and job in told.accepted:
            raise Violated(f"{job} was accepted, and {self.name} is told that there is none")
        if reply.status == Status.OK:
            if job in told.refused:
                raise Violated(f"{job} was refused, and is known")
            told.read(job, start, ReadReply().parse(reply.body))


class ItemRunner:
    """Runs items of one shard at one dispatcher: leases, runs, reports until the owner has taken them."""

    def __init__(self, tier: SimulatedTier, dispatcher: BatchDispatcher, shard: str, holder: str) -> None:
        self._tier, self._dispatcher, self._shard, self._holder = tier, dispatcher, shard, holder
        self._running: dict[tuple[str, str], int] = {}
        self._done: list[ItemReport] = []
        self._calls = 0

    async def run(self) -> None:
        """Lease, run and report until cancelled."""
        while True:
            await self._report()
            if len(self._running) < WANTED:
                await self._lease()
            await asyncio.sleep(0.02)

    async def _lease(self) -> None:
        self._calls += 1
        request = LeaseRequest(
            holder=self._holder,
            want=WANTED - len(self._running),
            wait_ms=int(HELD * 1000),
            shard=self._shard,
            held=[ItemName(job, item, lease) for (job, item), lease in self._running.items()],
            call=self._calls,
            reported=[ItemName(report.job, report.item) for report in self._done],
        )
        reply = await self._dispatcher.shards.call(
            self._shard, Kind.LEASE, bytes(request), LEASE_WITHIN, owner_wait=HELD, min_remaining=HELD
        )
        if reply.status != Status.OK:
            return
        for leased in LeaseReply().parse(reply.body).items:
            name = leased.job, BatchItem().parse(leased.item).id
            self._tier.told.ran(leased.job)
            self._running[name] = leased.lease
            asyncio.get_running_loop().call_later(
                self._tier.rng.uniform(*RUNS), self._finished, name, leased.lease
            )

    def _finished(self, name: tuple[str, str], lease: int) -> None:
        if self._running.pop(name, None) is None:
            return
        job, item = name
        text = text_of(job, item)
        self._done.append(ItemReport(job=job, item=item, outcome=Outcome.DONE, text=text, lease=lease))

    async def _report(self) -> None:
        reports = list(self._done)
        if not reports:
            return
        request = FinishRequest(holder=self._holder, reports=reports, shard=self._shard)
        reply = await self._dispatcher.shards.call(self._shard, Kind.FINISH, bytes(request), LEASE_WITHIN)
        if reply.status == Status.OK:
            self._done = [report for report in self._done if report not in reports]


class Clients:
    """Submits jobs, each again at any dispatcher until its answer is clear, and reads them all along."""

    def __init__(self, tier: SimulatedTier) -> None:
        self._tier = tier

    async def submit_until(self, until: float) -> None:
        """Submit jobs, several under way at once."""
        async with asyncio.TaskGroup() as jobs:
            while time.monotonic() < until:
                jobs.create_task(self._one(self._tier.new_job()))
                await asyncio.sleep(self._tier.rng.expovariate(1 / JOBS_EVERY))

    async def _one(self, name: str) -> None:
        rng, told = self._tier.rng, self._tier.told
        shard = rng.choice(BATCH_SHARDS)
        items = [BatchItem(id=f"i{n}", path="/p", tokens=TOKENS) for n in range(rng.randint(1, ITEMS_MOST))]
        for _ in range(TRIES):
            job = BatchJob(
                id=name,
                route=ROUTE,
                host="h",
                completion_ms=8000,
                retention_ms=600_000,
                max_attempts=MAX_ATTEMPTS,
            )
            status = await self._dispatcher().submit(set_items(job, items), shard)
            told.statuses[f"submit: {status.name}"] += 1
            if status == Status.OK:
                if name in told.refused:
                    raise Violated(f"{name} was refused, and then accepted")
                told.accepted[name], told.shards[name] = len(items), shard
                if rng.random() < 0.8:
                    return  # otherwise its answer was lost: the same comes again
            elif status in (Status.OVER_QUOTA, Status.REFUSED):
                if name in told.accepted:
                    raise Violated(f"{name} was accepted, and its repeat refused")
                told.refused.add(name)
                return
            await asyncio.sleep(rng.uniform(0.1, 0.5))

    async def read_until(self, until: float) -> None:
        """Read accepted jobs now and then, and now and then refused ones."""
        rng, told = self._tier.rng, self._tier.told
        while time.monotonic() < until:
            await asyncio.sleep(rng.expovariate(1 / READS_EVERY))
            names = sorted(told.accepted)
            if names:
                job = rng.choice(names[-12:] if rng.random() < 0.7 else names)
                start = rng.randint(0, len(told.results.get(job, [])))
                await self._dispatcher().read(job, told.shards[job], start)

    async def read_all(self, within: float) -> None:
        """Every accepted job is read whole. Raises Violated."""
        until = time.monotonic() + within
        told = self._tier.told
        missing = [job for job in told.accepted if not told.whole(job)]
        while missing and time.monotonic() < until:
            for job in missing:
                await self._dispatcher().read(job, told.shards[job], 0)
            missing = [job for job in missing if not told.whole(job)]
            await asyncio.sleep(0.1)
        if missing:
            found = {job: told.results.get(job) for job in missing[:3]}
            raise Violated(f"{len(missing)} accepted jobs are not whole: {found}; {self._tier.placements()}")

    def _dispatcher(self) -> BatchDispatcher:
        return cast(BatchDispatcher, self._tier.rng.choice(self._tier.dispatchers))


@contextlib.contextmanager
def simulated_tier(root: Path, seed: int, size: int = 3) -> Iterator[SimulatedTier]:
    """A tier whose nodes are made with the simulated network; to be used in virtual time."""
    with simulated(root, seed, size, SimulatedTier) as tier:
        made = cast(SimulatedTier, tier)
        with (
            mock.patch("os.fsync", made.files.sync),
            mock.patch("os.fdatasync", made.files.sync),
            mock.patch.object(VirtualLoop, "call_exception_handler", _passes_over_crashes),
        ):
            yield made


def _passes_over_crashes(loop: VirtualLoop, context: dict[str, Any]) -> None:
    """A node that has lost power within a callback of the loop is no failure of the test."""
    if not isinstance(context.get("exception"), Crashed):
        loop.default_exception_handler(context)
