"""A simulation of core and storage nodes, and of dispatchers that submit, run and read batch jobs.

It adds real `Store` objects over the same simulated network to `SimulatedCore`, and power losses, also during
a write, after which a file has its synced bytes and any part of the others. The answers to clients are
checked against all earlier ones: an accepted job is never unknown, a result position never changes, a refused
job never runs, and in the end each item of an accepted job has exactly one result.
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
    LeaseShare,
    ReadReply,
    ReadRequest,
    SubmitRequest,
)
from tests.tier.core_simulation import (
    BATCH_ROUTE,
    PORT,
    InvariantViolation,
    SimulatedCore,
    SimulatedDispatcher,
    SimulatedLinks,
    simulated,
)
from tests.tier.power_loss import Crashed, SyncedFiles
from tests.tier.virtual_loop import VirtualLoop

ROUTE = BATCH_ROUTE
MAX_ITEMS = 4
ITEM_TOKENS = 10  # of each item
QUEUED_TOKENS_QUOTA = 160  # tokens that may be queued in a shard
MAX_ATTEMPTS = 3
SUBMIT_TIMEOUT, READ_TIMEOUT, LEASE_TIMEOUT = 3.5, 2.5, 1.0  # seconds
LEASE_CALL_HOLD = 0.3  # seconds that an owner may hold a lease call
ITEM_RUN_SECONDS = (0.02, 0.6)  # seconds that an item runs, uniformly distributed
JOB_INTERVAL, READ_INTERVAL = 0.25, 0.08  # mean seconds
MAX_SUBMISSIONS = 6  # attempts of one submission
MAX_RUNNING_ITEMS = 2  # items of a shard that a dispatcher runs concurrently
WRITE_WAIT = 1.5  # seconds to wait for the write during which a machine loses power


@dataclass
class StoreMachine:
    """A storage machine: its settings, and its process while one runs."""

    settings: NodeSettings
    store: Store | None = None

    @property
    def address(self) -> str:
        return f"{self.settings.ip}:{PORT}"


@dataclass
class ClientObservations:
    """The answers that clients received about jobs, and the items that ran."""

    accepted: dict[str, int] = field(default_factory=dict)  # number of items by accepted job
    shards: dict[str, str] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    results: dict[str, list[tuple[str, bool, bytes]]] = field(default_factory=dict)
    statuses: Counter[str] = field(default_factory=Counter)

    def record_run(self, job: str) -> None:
        """Records that an item of a job was leased to a dispatcher."""
        if job in self.refused:
            raise InvariantViolation(f"{job} was refused, but one of its items runs")

    def record_read(self, job: str, start: int, reply: ReadReply) -> None:
        """Records results that were read from a position on."""
        known = self.results.setdefault(job, [])
        if job in self.accepted and reply.total != self.accepted[job]:
            raise InvariantViolation(
                f"{job}: {reply.total} items are reported, {self.accepted[job]} were submitted"
            )
        for position, result in enumerate(reply.results, start):
            row = (result.item, result.succeeded, result.text)
            if position < len(known) and known[position] != row:
                raise InvariantViolation(f"{job}: position {position} was {known[position]} and is {row}")
            if position == len(known):
                known.append(row)
        if len({item for item, _, _ in known}) < len(known):
            raise InvariantViolation(f"{job}: an item has two results: {known}")

    def is_complete(self, job: str) -> bool:
        """Whether a successful result was read for every item of a job."""
        rows = self.results.get(job, [])
        return len(rows) == self.accepted[job] and all(
            done and text == result_text(job, item) for item, done, text in rows
        )


def result_text(job: str, item: str) -> bytes:
    """Returns the result text of an item."""
    return f"{job}/{item}".encode()


class SimulatedTier(SimulatedCore):
    """Core and storage nodes, and dispatchers with batch jobs."""

    def __init__(self, root: Path, rng: random.Random, size: int = 3) -> None:
        super().__init__(root, rng, size)
        self.stores: dict[str, StoreMachine] = {}
        self.observations = ClientObservations()
        self.files = SyncedFiles(random.Random(rng.getrandbits(48)))
        self.violations: list[InvariantViolation] = []
        self._jobs = 0

    async def start(self, dispatchers: int = 2, stores: int = 4) -> None:
        """Starts the core nodes, then storage nodes, then dispatchers."""
        await super().start(dispatchers=0)
        for _ in range(stores):
            await self.add_store(bootstrap=True)
        self.dispatchers += [BatchDispatcher(self, f"10.9.0.{n}") for n in range(dispatchers)]

    # ------------------------------------------------------------------ storage machines

    async def add_store(self, bootstrap: bool = False) -> str:
        """Adds an empty storage machine."""
        ip = self._new_ip()
        settings = replace(
            self._settings(ip, bootstrap),
            name=f"storage-{ip}",
            machine_class="storage",
            listen={},
            zone=f"z{self._addresses % 3}",
        )
        self.stores[ip] = StoreMachine(settings)
        await self.start_store(ip)
        return ip

    async def start_store(self, ip: str) -> None:
        """Starts a storage machine's process."""
        machine = self.stores[ip]
        machine.store = Store(replace(machine.settings, seeds=self._settings(ip, False).seeds))
        cast(SimulatedLinks, machine.store.links).source = machine.address
        await machine.store.start()

    def stop_store(self, ip: str, power_loss: bool) -> None:
        """Ends a storage machine's process. A power loss also loses bytes that were not synced."""
        machine = self.stores[ip]
        store, machine.store = machine.store, None
        self._stop_node(machine.address, store, power_loss)
        if power_loss:
            self.files.lose_power(self.root / ip)

    async def restart_store(self, ip: str, downtime: float, power_loss: bool, wiped: bool = False) -> None:
        """Ends a process and starts it again, without its disk if that is lost."""
        self.stop_store(ip, power_loss)
        if wiped:
            shutil.rmtree(self.root / ip, ignore_errors=True)
            self.stores[ip].settings = replace(self.stores[ip].settings, bootstrap=False)
        await asyncio.sleep(downtime)
        self.network.refusing.discard(self.stores[ip].address)
        await self.start_store(ip)

    async def power_within_a_write(self, ip: str, downtime: float) -> None:
        """Interrupts a storage machine's power between a write and its sync, if it writes in time."""
        power_lost = asyncio.Event()

        def lose_power_now() -> None:
            self.stop_store(ip, power_loss=True)
            power_lost.set()

        self.files.crash_at_next_sync(self.root / ip, lose_power_now)
        try:
            async with asyncio.timeout(WRITE_WAIT):
                await power_lost.wait()
        except TimeoutError:
            if self.files.cancel_crash(self.root / ip):
                self.stop_store(ip, power_loss=True)
        await asyncio.sleep(downtime)
        await self.start_store(ip)

    def remove_store(self, ip: str) -> None:
        """Removes a machine and its disk permanently."""
        self.stop_store(ip, power_loss=True)
        shutil.rmtree(self.root / ip, ignore_errors=True)
        del self.stores[ip]

    def stop_process(self, ip: str, power_loss: bool) -> None:
        """Ends a core node's process. A power loss also loses bytes that were not synced."""
        super().stop_process(ip, power_loss)
        if power_loss:
            self.files.lose_power(self.root / ip)

    def owner(self, shard: str) -> str | None:
        """Returns the storage machine that owns a shard, if there is one."""
        for ip, machine in self.stores.items():
            if machine.store is not None and machine.store._owned_shard(shard):
                return ip
        return None

    def stores_have_expected_voters(self) -> bool:
        """Whether the voters of each shard are the replicas of its placement, and all of them run."""
        running = {m.store.host.replica_id: m.store for m in self.stores.values() if m.store}
        core = next((m.core for m in self.machines.values() if m.core and m.core.leads(CONFIG)), None)
        if core is None:
            return False
        for shard in BATCH_SHARDS:
            expected = set(core.config.placement(shard))
            owner = self.owner(shard)
            store = self.stores[owner].store if owner else None
            if store is None or not expected <= set(running) or len(expected) < core.replicas_per_shard:
                return False
            log = store.host.groups[shard].replica.log
            if (
                set(log.members) != expected
                or log.members_index > store.host.groups[shard].replica.commit_index
            ):
                return False
        return True

    def placements(self) -> str:
        """Describes each storage node's state of the shards, for error messages."""
        return "; ".join(
            f"{store.host.replica_id} {name}: {hosted.replica.role.value} of {hosted.replica.term}, "
            f"{sorted(hosted.replica.log.members)}, committed {hosted.replica.commit_index}"
            for store in (m.store for m in self.stores.values())
            if store
            for name, hosted in store.host.groups.items()
        )

    # ------------------------------------------------------------------ the operator

    async def retire(self, ip: str) -> bool:
        """Retires a storage machine. Returns whether that succeeded in time."""
        name = self.stores[ip].settings.name
        deadline = time.monotonic() + 12.0
        while time.monotonic() < deadline:
            node = self.rng.choice(sorted(self.machines))
            post_response = await self.http(
                node, "POST", f"/-/retire/{name}", json.dumps({"deadline_s": 10}).encode(), ""
            )
            if post_response is not None and post_response.status == 409:
                return False
            state = await self.http(node, "GET", f"/-/retire/{name}", b"", "")
            if state is not None and state.status == 200 and b"succeeded" in cast(bytes, state.body):
                return True
            await asyncio.sleep(0.2)
        return False

    def new_job_name(self) -> str:
        """Returns an unused job name."""
        self._jobs += 1
        return f"job{self._jobs}"


class BatchDispatcher(SimulatedDispatcher):
    """A dispatcher that forwards batch calls of clients and runs items."""

    def __init__(self, tier: SimulatedTier, ip: str) -> None:
        super().__init__(tier, ip)
        self._tier, self._ip = tier, ip
        links = SimulatedLinks(tier.network, self.name)
        self.shards = ShardClient(cast(Links, links), self.view)
        self.incarnation = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.start_runners()

    def start_runners(self) -> None:
        """Starts to run items. The calls of clients are made by `Clients`."""
        self.incarnation += 1
        holder = f"{self.name}/{self.incarnation}"
        runners = [ItemRunner(self._tier, self, shard, holder) for shard in BATCH_SHARDS]
        self._tasks = [asyncio.create_task(self._run_runner(runner)) for runner in runners]

    async def _run_runner(self, runner: ItemRunner) -> None:
        try:
            await runner.run()
        except InvariantViolation as violation:
            self._tier.violations.append(violation)

    def stop(self) -> None:
        """Ends the dispatcher's process, which loses its running items."""
        for task in (self.task, *self._tasks):
            task.cancel()

    def restart(self) -> None:
        """Starts a new process without any state."""
        fresh = SimulatedDispatcher(self._tier, self._ip)
        self.view, self.puller, self.task = fresh.view, fresh.puller, fresh.task
        self.shards = ShardClient(cast(Links, SimulatedLinks(self._tier.network, self.name)), self.view)
        self.start_runners()

    async def submit(self, job: BatchJob, shard: str) -> Status:
        """Submits a job once, as the batch API does."""
        call = SubmitRequest(job, QUEUED_TOKENS_QUOTA, shard)
        reply = await self.shards.call(shard, Kind.SUBMIT, bytes(call), SUBMIT_TIMEOUT, owner_wait=0.8)
        return reply.status

    async def read_results(self, job: str, shard: str, start: int) -> None:
        """Reads results from a position on and checks them."""
        call = ReadRequest(job=job, start=start, shard=shard)
        reply = await self.shards.call(shard, Kind.READ, bytes(call), READ_TIMEOUT)
        observations = self._tier.observations
        observations.statuses[f"read: {reply.status.name}"] += 1
        if reply.status == Status.UNKNOWN and job in observations.accepted:
            raise InvariantViolation(f"{job} was accepted, and {self.name} is told that there is none")
        if reply.status == Status.OK:
            if job in observations.refused:
                raise InvariantViolation(f"{job} was refused, but is known")
            observations.record_read(job, start, ReadReply().parse(reply.body))


class ItemRunner:
    """Runs items of one shard at one dispatcher: leases them and repeats reports until acknowledged."""

    def __init__(self, tier: SimulatedTier, dispatcher: BatchDispatcher, shard: str, holder: str) -> None:
        self._tier, self._dispatcher, self._shard, self._holder = tier, dispatcher, shard, holder
        self._running: dict[tuple[str, str], int] = {}
        self._unreported: list[ItemReport] = []
        self._calls = 0

    async def run(self) -> None:
        """Leases, runs and reports items until cancelled."""
        while True:
            await self._report()
            if len(self._running) < MAX_RUNNING_ITEMS:
                await self._lease()
            await asyncio.sleep(0.02)

    async def _lease(self) -> None:
        self._calls += 1
        want = MAX_RUNNING_ITEMS - len(self._running)
        request = LeaseRequest(
            holder=self._holder,
            want=want,
            wait_ms=int(LEASE_CALL_HOLD * 1000),
            shard=self._shard,
            held=[ItemName(job, item, lease) for (job, item), lease in self._running.items()],
            call=self._calls,
            reported=[ItemName(report.job, report.item) for report in self._unreported],
            shares=[LeaseShare([ROUTE], want)],
        )
        reply = await self._dispatcher.shards.call(
            self._shard,
            Kind.LEASE,
            bytes(request),
            LEASE_TIMEOUT,
            owner_wait=LEASE_CALL_HOLD,
            min_remaining=LEASE_CALL_HOLD,
        )
        if reply.status != Status.OK:
            return
        for leased in LeaseReply().parse(reply.body).items:
            name = leased.job, BatchItem().parse(leased.item).id
            self._tier.observations.record_run(leased.job)
            self._running[name] = leased.lease
            asyncio.get_running_loop().call_later(
                self._tier.rng.uniform(*ITEM_RUN_SECONDS), self._finished, name, leased.lease
            )

    def _finished(self, name: tuple[str, str], lease: int) -> None:
        if self._running.pop(name, None) is None:
            return
        job, item = name
        text = result_text(job, item)
        self._unreported.append(ItemReport(job=job, item=item, outcome=Outcome.DONE, text=text, lease=lease))

    async def _report(self) -> None:
        reports = list(self._unreported)
        if not reports:
            return
        request = FinishRequest(holder=self._holder, reports=reports, shard=self._shard)
        reply = await self._dispatcher.shards.call(self._shard, Kind.FINISH, bytes(request), LEASE_TIMEOUT)
        if reply.status == Status.OK:
            self._unreported = [report for report in self._unreported if report not in reports]


class Clients:
    """Submits jobs, repeats each at any dispatcher until its outcome is known, and reads their results."""

    def __init__(self, tier: SimulatedTier) -> None:
        self._tier = tier

    async def submit_until(self, deadline: float) -> None:
        """Submits jobs, several of them concurrently."""
        async with asyncio.TaskGroup() as jobs:
            while time.monotonic() < deadline:
                jobs.create_task(self._submit_one(self._tier.new_job_name()))
                await asyncio.sleep(self._tier.rng.expovariate(1 / JOB_INTERVAL))

    async def _submit_one(self, name: str) -> None:
        rng, observations = self._tier.rng, self._tier.observations
        shard = rng.choice(BATCH_SHARDS)
        items = [
            BatchItem(id=f"i{n}", path="/p", tokens=ITEM_TOKENS) for n in range(rng.randint(1, MAX_ITEMS))
        ]
        for _ in range(MAX_SUBMISSIONS):
            job = BatchJob(
                id=name,
                route=ROUTE,
                host="h",
                completion_ms=8000,
                retention_ms=600_000,
                max_attempts=MAX_ATTEMPTS,
            )
            status = await self._dispatcher().submit(set_items(job, items), shard)
            observations.statuses[f"submit: {status.name}"] += 1
            if status == Status.OK:
                if name in observations.refused:
                    raise InvariantViolation(f"{name} was refused and later accepted")
                observations.accepted[name], observations.shards[name] = len(items), shard
                if rng.random() < 0.8:
                    return  # otherwise the answer counts as lost, and the submission is repeated
            elif status in (Status.OVER_QUOTA, Status.REFUSED):
                if name in observations.accepted:
                    raise InvariantViolation(f"{name} was accepted and its repeat refused")
                observations.refused.add(name)
                return
            await asyncio.sleep(rng.uniform(0.1, 0.5))

    async def read_until(self, deadline: float) -> None:
        """Reads results of random accepted jobs."""
        rng, observations = self._tier.rng, self._tier.observations
        while time.monotonic() < deadline:
            await asyncio.sleep(rng.expovariate(1 / READ_INTERVAL))
            names = sorted(observations.accepted)
            if names:
                job = rng.choice(names[-12:] if rng.random() < 0.7 else names)
                start = rng.randint(0, len(observations.results.get(job, [])))
                await self._dispatcher().read_results(job, observations.shards[job], start)

    async def read_all(self, timeout_seconds: float) -> None:
        """Reads until all accepted jobs are complete. Raises InvariantViolation if that takes too long."""
        deadline = time.monotonic() + timeout_seconds
        observations = self._tier.observations
        missing = [job for job in observations.accepted if not observations.is_complete(job)]
        while missing and time.monotonic() < deadline:
            for job in missing:
                await self._dispatcher().read_results(job, observations.shards[job], 0)
            missing = [job for job in missing if not observations.is_complete(job)]
            await asyncio.sleep(0.1)
        if missing:
            examples = {job: observations.results.get(job) for job in missing[:3]}
            raise InvariantViolation(
                f"{len(missing)} accepted jobs are not complete: {examples}; {self._tier.placements()}"
            )

    def _dispatcher(self) -> BatchDispatcher:
        return cast(BatchDispatcher, self._tier.rng.choice(self._tier.dispatchers))


@contextlib.contextmanager
def simulated_tier(root: Path, seed: int, size: int = 3) -> Iterator[SimulatedTier]:
    """Provides a tier whose nodes use the simulated network and disks; to be used in virtual time."""
    with simulated(root, seed, size, SimulatedTier) as tier:
        batch_tier = cast(SimulatedTier, tier)
        with (
            mock.patch("os.fsync", batch_tier.files.sync),
            mock.patch("os.fdatasync", batch_tier.files.sync),
            mock.patch.object(VirtualLoop, "call_exception_handler", _ignore_crashes),
        ):
            yield batch_tier


def _ignore_crashes(loop: VirtualLoop, context: dict[str, Any]) -> None:
    """Ignores the exception by which a simulated power loss ends a callback of the event loop."""
    if not isinstance(context.get("exception"), Crashed):
        loop.default_exception_handler(context)
