"""A storage node: replicas of batch shards, and for those that it owns the work of their jobs."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Collection
from typing import Any

import structlog

from heronstall.batch import jobs as batch
from heronstall.batch.items import StoredItem, stored_items
from heronstall.batch.jobs import BatchShard, Job, JobListener
from heronstall.batch.leases import MAX_ITEMS_PER_CALL, LeaseQueue
from heronstall.batch.outcomes import Outcome
from heronstall.config import NodeSettings
from heronstall.controlplane.hosting import Superseded
from heronstall.controlplane.replica_node import ReplicaNode
from heronstall.controlplane.waiting import LeaseCalls, NamedCalls
from heronstall.distribution.view import ControlStateView
from heronstall.replication import membership
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import Reply
from heronstall.transport.messages import (
    FinishRequest,
    Hint,
    ItemReport,
    ItemResult,
    LeasedItem,
    LeaseReply,
    LeaseRequest,
    ReadReply,
    ReadRequest,
    Session,
    ShardStatus,
    SubmitRequest,
)
from heronstall.transport.pulling import Puller

log = structlog.get_logger()

CHORES = 0.25  # seconds between rounds of chores
COMMIT_WITHIN = 3.0  # seconds
LOG_LIMIT = 24 * 1024 * 1024  # bytes of log before a slot is written
DISK_PARTS = 6  # of the disk, of which the log takes one at the most
DISK_SHARE = 0.8  # part of the disk that may be planned for
MEMORY_SHARE = 0.35  # part of the memory that jobs may take
READ_BYTES = 900_000  # of results in one answer
FORGET_MARGIN = 5.0  # seconds beyond what is owed
NOBODY_WAITS = Reply(Status.OK, bytes(LeaseReply()))  # to a call that a later one has replaced


class OwnedShard(JobListener):
    """A batch shard on this node, what its owner keeps in memory, and the calls that it holds."""

    def __init__(self) -> None:
        self.state = BatchShard()
        self.leases = LeaseQueue(self.state)
        self.state.listener = self
        self.accepting: dict[str, asyncio.Future[Any]] = {}  # proposed jobs of which nothing is known yet
        self.accepting_tokens: Counter[str] = Counter()  # of these, by route
        self.readers = NamedCalls()
        self.lease_calls = LeaseCalls()
        self._changed: set[str] = set()  # jobs with news for their readers
        self._ended: set[str] = set()  # jobs whose items at dispatchers are to be ended

    def on_reset(self) -> None:
        """All jobs may have changed."""
        self.leases.on_reset()
        self.wake_all()

    def on_job_accepted(self, job: Job) -> None:
        """A job was taken on."""
        self.leases.on_job_accepted(job)

    def on_result_recorded(self, job: Job, item: str) -> None:
        """An item has its result."""
        self.leases.on_result_recorded(job, item)
        self._changed.add(job.record.id)

    def on_job_ended(self, job: Job) -> None:
        """A job was ended."""
        self.leases.on_job_ended(job)
        self._changed.add(job.record.id)
        self._ended.add(job.record.id)

    def wake(self) -> None:
        """Let those go on for whom something has changed."""
        for name in self._changed:
            self.readers.wake(name)
        if self._ended:
            self.lease_calls.ended(self._ended)
        self._changed.clear()
        self._ended.clear()
        self.lease_calls.offer(self.leases.waiting)

    def wake_all(self) -> None:
        """Let all go on: this node may not own the shard any more."""
        self.readers.wake_all()
        self.lease_calls.wake_all()


class Store(ReplicaNode):
    """All that a storage node holds and does."""

    def __init__(self, settings: NodeSettings) -> None:
        super().__init__(settings, LOG_LIMIT, DISK_PARTS)
        self.view = ControlStateView()
        self.shards: dict[str, OwnedShard] = {}
        self._calls: dict[Kind, tuple[type[Any], Callable[[OwnedShard, Any], Awaitable[Reply]]]] = {
            Kind.SUBMIT: (SubmitRequest, self._submit),
            Kind.READ: (ReadRequest, self._read),
            Kind.BODY: (ReadRequest, self._body),
            Kind.END: (ReadRequest, self._end),
            Kind.LEASE: (LeaseRequest, self._lease),
            Kind.FINISH: (FinishRequest, self._finish),
        }

        def seeds() -> list[str]:
            return settings.reloaded().seed_addresses

        self._puller = Puller(self.links, self.view, self._session, seeds, self._news)

    async def start(self) -> None:
        """Take the shards of the disk up and begin to serve other nodes."""
        for group in self.host.recovered_groups:
            self._add(group)
        await self._begin(self._puller.run(), self._chores())

    # ------------------------------------------------------------------ groups

    def _add(self, group: str) -> OwnedShard:
        owned = self.shards[group] = OwnedShard()
        self.host.add(group, owned.state, tells_commit=False)
        return owned

    def _session(self) -> Session:
        statuses = []
        for group, hosted in self.host.groups.items():
            replica = hosted.replica
            leader = self.host.me if replica.established else ""
            settled = replica.log.members_index <= replica.commit_index
            voters = list(replica.log.members) if settled else []
            statuses.append(ShardStatus(group, replica.term, voters, leader))
        return Session(
            name=self.settings.name,
            machine_class="storage",
            address=self.address,
            zone=self.settings.zone,
            replica=self.host.me,
            shards=statuses,
            placement_version=self.view.versions.get("placement", 0),
        )

    def _news(self, changed: set[str]) -> None:
        if "placement" not in changed:
            return
        for shard, placement in self.view.placements.items():
            if self.host.me in placement.replicas and shard not in self.shards:
                self._add(shard)
                if placement.first:  # nobody has voted before; an identity without the group has not either
                    voters = tuple(sorted(placement.replicas))
                    self.host.groups[shard].replica.bootstrap(self.host.now(), voters)
        self.host.flush_soon()

    def _applied(self, group: str) -> None:
        self.shards[group].wake()

    def _role(self, group: str, leads: bool) -> None:
        term = self.host.groups[group].replica.term
        self.shards[group].leases.set_ownership(self.host.now(), leads, term)
        self.shards[group].wake_all()

    async def _chores(self) -> None:
        while True:
            await asyncio.sleep(CHORES)
            now = self.host.now()
            for group, owned in self.shards.items():
                replica = self.host.groups[group].replica
                wanted = self.view.replicas_of(group)
                if wanted:
                    membership.advance_membership(replica, wanted, now, self.timing)
                    replica.request_join(now, [r for r in wanted if r != self.host.me])
                if not replica.holds_lease(now):
                    continue
                if owned.leases.expire_silent_holders(now) + owned.leases.resume_paused(now):
                    owned.wake()
                try:
                    await self._clean(group, owned)
                except (Superseded, TimeoutError):
                    log.info("cleaning put off", shard=group)
            self.host.flush_soon()

    async def _clean(self, group: str, owned: OwnedShard) -> None:
        now = time.monotonic()
        late = self.settings.bounds.max_skew + FORGET_MARGIN
        old = [
            name
            for name, job in owned.state.jobs.items()
            if job.is_finished and now - job.accepted_at > self.settings.bounds.status + late
        ]
        if old:
            await self.host.propose(group, batch.encode_forget(old), COMMIT_WITHIN)
        dead: list[ItemResult] = []
        for name, job in owned.state.jobs.items():
            given_up = job.record.retention_ms / 1000 + late
            if not job.ended and job.open_items and now - job.accepted_at > given_up:
                dead += [ItemResult(job=name, item=item) for item in job.open_items]
        if dead:
            await self.host.propose(group, batch.encode_results(dead), COMMIT_WITHIN)

    # ------------------------------------------------------------------ calls

    async def _serve(self, kind: Kind, body: bytes) -> Reply:
        known = self._calls.get(kind)
        if known is None:
            return Reply(Status.REFUSED)
        message, answer = known
        request = message().parse(body)
        owned = self._owned(request.shard)
        if owned is None:
            return self._elsewhere(request.shard)
        try:
            reply: Reply = await answer(owned, request)
        except (Superseded, TimeoutError):
            return Reply(Status.UNSURE)
        return reply

    def _owned(self, shard: str) -> OwnedShard | None:
        hosted = self.host.groups.get(shard)
        if hosted is None or not hosted.replica.holds_lease(self.host.now()):
            return None
        return self.shards[shard]

    def _elsewhere(self, shard: str) -> Reply:
        hosted = self.host.groups.get(shard)
        hint = hosted.replica.leader_hint(self.host.now()) if hosted else ""
        if hint == self.host.me:
            hint = ""
        return Reply(Status.NOT_OWNER, bytes(Hint(hint)))

    async def _submit(self, owned: OwnedShard, request: SubmitRequest) -> Reply:
        job = request.job
        if job.id in owned.state.jobs:
            return Reply(Status.OK)
        if job.id in owned.accepting:
            return await self._decided(owned.accepting[job.id])
        job.accepted_unix_ms = int(time.time() * 1000)
        items = stored_items(job).values()
        tokens = sum(item.tokens for item in items)
        waiting = owned.state.waiting_tokens[job.route] + owned.accepting_tokens[job.route]
        if request.max_queued_tokens and waiting + tokens > request.max_queued_tokens:
            return Reply(Status.OVER_QUOTA)
        if not self._has_room(items):
            return Reply(Status.REFUSED)
        decision = owned.accepting[job.id] = self.host.submit(request.shard, batch.encode_accept(job))
        owned.accepting_tokens[job.route] += tokens

        def decided(_: asyncio.Future[Any]) -> None:
            del owned.accepting[job.id]
            owned.accepting_tokens[job.route] -= tokens

        decision.add_done_callback(decided)
        return await self._decided(decision)

    @staticmethod
    async def _decided(decision: asyncio.Future[Any]) -> Reply:
        """The answer to a submission once its entry is applied; nothing is said of one that is not.

        Not even a refusal of a repeat: the entry stays in the log, and may be applied long after the call.
        """
        try:
            async with asyncio.timeout(COMMIT_WITHIN):
                await asyncio.shield(decision)
        except (Superseded, TimeoutError):
            return Reply(Status.UNSURE)
        return Reply(Status.OK)

    def _has_room(self, items: Collection[StoredItem]) -> bool:
        """Whether disk and memory can hold these items to their end, and their results."""
        held = sum(o.state.memory_bytes for o in self.shards.values())
        new = sum(2 * len(i.encoded) + 8 * i.tokens + 600 for i in items)
        on_disk = 2 * (held + new) + 2 * self.log_limit
        in_memory = 2 * (held + new)
        return (
            on_disk < DISK_SHARE * self.settings.disk_mb * 1024 * 1024
            and in_memory < MEMORY_SHARE * self.settings.memory_mb * 1024 * 1024
        )

    async def _read(self, owned: OwnedShard, request: ReadRequest) -> Reply:
        deadline = self.host.now() + request.wait_ms / 1000
        while self._owned(request.shard) is owned:
            job = owned.state.jobs.get(request.job)
            if job is None:
                return Reply(Status.UNKNOWN)
            left = deadline - self.host.now()
            if len(job.results) > request.start or left <= 0 or job.is_finished:
                return Reply(Status.OK, bytes(_page(job, request.start)))
            await owned.readers.wait(request.job, left)
        return self._elsewhere(request.shard)

    async def _body(self, owned: OwnedShard, request: ReadRequest) -> Reply:
        job = owned.state.jobs.get(request.job)
        item = job.open_items.get(request.item) if job else None
        if item is None:
            return Reply(Status.UNKNOWN)
        return Reply(Status.OK, bytes(ReadReply(body=item.decode().body)))

    async def _end(self, owned: OwnedShard, request: ReadRequest) -> Reply:
        job = owned.state.jobs.get(request.job)
        if job is None:
            return Reply(Status.UNSURE if request.job in owned.accepting else Status.UNKNOWN)
        if not job.ended:
            await self.host.propose(request.shard, batch.encode_end(request.job), COMMIT_WITHIN)
        return Reply(Status.OK)

    # ------------------------------------------------------------------ items at dispatchers

    async def _lease(self, owned: OwnedShard, request: LeaseRequest) -> Reply:
        deadline = self.host.now() + request.wait_ms / 1000
        leases, holder = owned.leases, request.holder
        running = {(h.job, h.item): h.lease for h in request.held}
        if not self._begin_call(owned, request):
            return NOBODY_WAITS
        owned.lease_calls.replace(holder)
        while self._owned(request.shard) is owned:
            leases.record_contact(self.host.now(), holder)
            leases.claim(self.host.now(), holder, running)
            given = leases.lease_items(self.host.now(), holder, min(request.want, MAX_ITEMS_PER_CALL))
            ended = [name for name in request.jobs if self._over(owned, name)]
            left = deadline - self.host.now()
            if given or ended or left <= 0:
                items = [_leased(*lease) for lease in given]
                return Reply(Status.OK, bytes(LeaseReply(items, ended, leases.waiting)))
            if await owned.lease_calls.replaced(holder, request.want, request.jobs, left):
                return NOBODY_WAITS
        return self._elsewhere(request.shard)

    @staticmethod
    def _begin_call(owned: OwnedShard, request: LeaseRequest) -> bool:
        """A dispatcher tells all that it holds: leases of an answer that did not reach it are taken back.

        False where a later call of it came before.
        """
        if not owned.leases.begin_call(request.holder, request.call):
            return False
        if not request.call:
            return True  # from a dispatcher that does not number its calls
        kept = {(name.job, name.item) for name in (*request.held, *request.reported)}
        if owned.leases.reclaim_lost_leases(request.holder, kept):
            owned.wake()
        return True

    @staticmethod
    def _over(owned: OwnedShard, name: str) -> bool:
        job = owned.state.jobs.get(name)
        return job is None or job.ended

    async def _finish(self, owned: OwnedShard, request: FinishRequest) -> Reply:
        now, holder = self.host.now(), request.holder
        owned.leases.record_contact(now, holder)
        listed = [r for report in request.reports if (r := self._result(owned, now, holder, report))]
        if listed:
            await self.host.propose(request.shard, batch.encode_results(listed), COMMIT_WITHIN)
        else:
            owned.wake()
        return Reply(Status.OK)

    @staticmethod
    def _result(owned: OwnedShard, now: float, holder: str, report: ItemReport) -> ItemResult | None:
        """The result that a report makes, if it makes one."""
        job = owned.state.jobs.get(report.job)
        if job is None or report.item not in job.open_items:
            return None
        key = (report.job, report.item)
        if report.outcome == Outcome.DONE:
            owned.leases.record_run_time(now, key)
            return ItemResult(report.job, report.item, True, report.text)
        if report.outcome in (Outcome.UNPROCESSABLE, Outcome.ROUTE_GONE):
            return ItemResult(report.job, report.item)
        if report.outcome == Outcome.FAILED:
            failures = owned.leases.record_failure(now, holder, key, report.lease)
            if failures >= max(1, job.record.max_attempts):
                return ItemResult(report.job, report.item)
            return None
        owned.leases.return_item(holder, key, report.lease)
        return None


def _page(job: Job, start: int) -> ReadReply:
    """Results from a position on, as many as an answer holds."""
    found: list[ItemResult] = []
    size = 0
    for result in job.results[start:]:
        size += len(result.text) + 200
        if found and size > READ_BYTES:
            break
        found.append(result)
    return ReadReply(total=job.total, results=found)


def _leased(job: Job, item: str, number: int) -> LeasedItem:
    due = job.accepted_at + job.record.completion_ms / 1000 - time.monotonic()
    return LeasedItem(
        job=job.record.id,
        host=job.record.host,
        item=job.open_items[item].encoded,
        due_in_ms=int(due * 1000),
        route=job.record.route,
        lease=number,
    )
