"""A storage node: replicas of batch shards, and the processing of jobs in the shards that it owns."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Collection
from functools import partial
from typing import Any

import structlog

from heronstall.batch import jobs as batch
from heronstall.batch.items import StoredItem, stored_items
from heronstall.batch.jobs import BatchShard, Job, JobListener
from heronstall.batch.leases import LeaseQueue
from heronstall.batch.outcomes import Outcome
from heronstall.config import NodeSettings
from heronstall.controlplane.held_calls import ANY_ROUTE, CallsByName, LeaseCalls
from heronstall.controlplane.hosting import Superseded
from heronstall.controlplane.removed_routes import RemovedRoutes
from heronstall.controlplane.replica_node import ReplicaNode
from heronstall.distribution.freshness import complete_until
from heronstall.distribution.view import ControlStateView
from heronstall.replication import membership
from heronstall.routing.reading import UnreadableConfiguration, parse_routes
from heronstall.routing.routes import Routes
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import LargeReply, Reply
from heronstall.transport.messages import (
    FinishRequest,
    Hint,
    ItemName,
    ItemReport,
    ItemResult,
    LeasedItem,
    LeaseReply,
    LeaseRequest,
    LeaseShare,
    ReadReply,
    ReadRequest,
    Session,
    ShardStatus,
    SubmitRequest,
)
from heronstall.transport.pulling import StatePuller

log = structlog.get_logger()

MAINTENANCE_INTERVAL = 0.25  # seconds between rounds of periodic work
COMMIT_TIMEOUT = 3.0  # seconds
MAX_LOG_BYTES = 24 * 1024 * 1024  # log size at which the state is written to a slot
LOG_DISK_DIVISOR = 6  # the log may take 1 / LOG_DISK_DIVISOR of the disk
USABLE_DISK_SHARE = 0.8  # share of the disk that may be filled
USABLE_MEMORY_SHARE = 0.35  # share of the memory that jobs may take
MAX_READ_REPLY_BYTES = 900_000  # of results in one reply
EXPIRY_MARGIN = 5.0  # seconds that jobs and items are kept beyond the guaranteed time
SUPERSEDED_CALL_REPLY = Reply(Status.OK, bytes(LeaseReply()))  # for a call that was superseded by a later one


class OwnedShard(JobListener):
    """A batch shard on this node, with the owner's in-memory state and the calls that it holds."""

    def __init__(self) -> None:
        self.state = BatchShard()
        self.removed_routes = RemovedRoutes()
        self.leases = LeaseQueue(self.state)
        self.state.listener = self
        self.pending_submissions: dict[str, asyncio.Future[Any]] = {}  # proposed jobs, outcome unknown
        self.pending_tokens: Counter[str] = Counter()  # tokens of these jobs, by route
        self.pending_bytes = 0  # that these jobs will take, with their results
        self.read_calls = CallsByName()
        self.lease_calls = LeaseCalls()
        self._changed_jobs: set[str] = set()  # jobs with changes for held read calls
        self._ended_jobs: set[str] = set()  # jobs whose leased items are to be stopped

    def on_reset(self) -> None:
        """Handles a replacement of the whole state."""
        self.leases.on_reset()
        self.wake_all()

    def on_job_accepted(self, job: Job) -> None:
        """Handles a job that was accepted."""
        self.leases.on_job_accepted(job)

    def on_result_recorded(self, job: Job, item: str) -> None:
        """Handles an item that got its result."""
        self.leases.on_result_recorded(job, item)
        self._changed_jobs.add(job.record.id)

    def on_job_ended(self, job: Job) -> None:
        """Handles a job that was ended."""
        self.leases.on_job_ended(job)
        self._changed_jobs.add(job.record.id)
        self._ended_jobs.add(job.record.id)

    def wake(self) -> None:
        """Wakes the held calls that recent changes concern."""
        for name in self._changed_jobs:
            self.read_calls.wake(name)
        if self._ended_jobs:
            self.lease_calls.wake_for_ended_jobs(self._ended_jobs)
        self._changed_jobs.clear()
        self._ended_jobs.clear()
        self.lease_calls.offer(self.leases.waiting_by_route())

    def wake_all(self) -> None:
        """Wakes all held calls, since this node may not own the shard any more."""
        self.read_calls.wake_all()
        self.lease_calls.wake_all()


class Store(ReplicaNode):
    """The state and the behavior of a storage node."""

    def __init__(self, settings: NodeSettings) -> None:
        super().__init__(settings, MAX_LOG_BYTES, LOG_DISK_DIVISOR)
        self.view = ControlStateView()
        self._routes: Routes | None = None  # of the newest configuration; None if it is not known
        self.shards: dict[str, OwnedShard] = {}
        self._calls: dict[
            Kind, tuple[type[Any], Callable[[OwnedShard, Any], Awaitable[Reply | LargeReply]]]
        ] = {
            Kind.SUBMIT: (SubmitRequest, self._submit_job),
            Kind.READ: (ReadRequest, self._read_results),
            Kind.BODY: (ReadRequest, self._read_item_body),
            Kind.END: (ReadRequest, self._end_job),
            Kind.LEASE: (LeaseRequest, self._lease_items),
            Kind.FINISH: (FinishRequest, self._report_items),
        }

        def seeds() -> list[str]:
            return settings.reloaded().seed_addresses

        self._puller = StatePuller(self.links, self.view, self._session, seeds, self._on_view_change)

    async def start(self) -> None:
        """Restores the shards from disk and starts to serve other nodes."""
        for group in self.host.recovered_groups:
            self._add(group)
        await self._start_serving(pulling=self._puller.run, maintenance=self._run_maintenance)

    # ------------------------------------------------------------------ groups

    def _add(self, group: str) -> OwnedShard:
        owned = self.shards[group] = OwnedShard()
        self.host.add(group, owned.state, announces_commit=False)
        return owned

    def _session(self) -> Session:
        statuses = []
        for group, hosted in self.host.groups.items():
            replica = hosted.replica
            leader = self.host.replica_id if replica.established else ""
            settled = replica.log.members_index <= replica.commit_index
            voters = list(replica.log.members) if settled else []
            statuses.append(ShardStatus(group, replica.term, voters, leader))
        return Session(
            name=self.settings.name,
            machine_class="storage",
            address=self.address,
            zone=self.settings.zone,
            replica=self.host.replica_id,
            shards=statuses,
            placement_version=self.view.versions.get("placement", 0),
        )

    def _on_view_change(self, changed: set[str]) -> None:
        if "config" in changed:
            self._read_configuration()
        if "placement" in changed:
            self._add_placed_shards()

    def _read_configuration(self) -> None:
        try:
            self._routes = parse_routes(self.view.document)
        except UnreadableConfiguration as error:
            self._routes = None
            log.error("configuration unreadable", version=self.view.versions["config"], field=str(error))

    def _add_placed_shards(self) -> None:
        for shard, placement in self.view.placements.items():
            if self.host.replica_id in placement.replicas and shard not in self.shards:
                self._add(shard)
                # In the group's first placement no replica has voted yet, nor has this one without the group.
                if placement.first:
                    voters = tuple(sorted(placement.replicas))
                    self.host.groups[shard].replica.bootstrap(self.host.now(), voters)
        self.host.flush_soon()

    def _on_applied(self, group: str) -> None:
        self.shards[group].wake()

    def _on_role_change(self, group: str, leads: bool) -> None:
        term = self.host.groups[group].replica.term
        self.shards[group].leases.set_ownership(self.host.now(), leads, term)
        self.shards[group].wake_all()

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL)
            now = self.host.now()
            for group, owned in list(self.shards.items()):  # one may be placed during a commit
                replica = self.host.groups[group].replica
                wanted = self.view.replicas_of(group)
                if wanted:
                    membership.advance_membership(replica, wanted, now, self.timing)
                    replica.request_join(now, [r for r in wanted if r != self.host.replica_id])
                if not replica.holds_lease(now):
                    continue
                if owned.leases.expire_silent_holders(now) + owned.leases.resume_paused(now):
                    owned.wake()
                try:
                    await self._remove_expired(group, owned)
                except (Superseded, TimeoutError):
                    log.info("cleaning put off", shard=group)
            self.host.flush_soon()

    async def _remove_expired(self, group: str, owned: OwnedShard) -> None:
        now = time.monotonic()
        margin = self.settings.bounds.max_skew + EXPIRY_MARGIN
        expired_jobs = [
            name
            for name, job in owned.state.jobs.items()
            if job.is_finished and now - job.accepted_at > self.settings.bounds.status + margin
        ]
        if expired_jobs:
            await self.host.propose(group, batch.encode_forget(expired_jobs), COMMIT_TIMEOUT)
        expired_items: list[ItemResult] = []
        for name, job in owned.state.jobs.items():
            item_lifetime = job.record.retention_ms / 1000 + margin
            if not job.ended and job.open_items and now - job.accepted_at > item_lifetime:
                expired_items += [ItemResult(job=name, item=item) for item in job.open_items]
        expired_items += self._items_of_removed_routes(owned)
        if expired_items:
            await self.host.propose(group, batch.encode_results(expired_items), COMMIT_TIMEOUT)

    def _items_of_removed_routes(self, owned: OwnedShard) -> list[ItemResult]:
        """Returns results that give up the waiting items of removed routes; dispatchers finish the others."""
        if self._routes is None:
            return []
        jobs = owned.removed_routes.jobs_without_route(
            time.monotonic(),
            owned.state.jobs.values(),
            self._routes,
            complete_until(self._puller.current_as_of),
        )
        return [
            ItemResult(job=job.record.id, item=item)
            for job in jobs
            for item in job.open_items
            if not owned.leases.is_leased((job.record.id, item))
        ]

    # ------------------------------------------------------------------ calls of dispatchers

    async def _handle_call(self, kind: Kind, body: bytes) -> Reply | LargeReply:
        handler = self._calls.get(kind)
        if handler is None:
            return Reply(Status.REFUSED)
        message, answer = handler
        request = message().parse(body)
        owned = self._owned_shard(request.shard)
        if owned is None:
            return self._not_owner_reply(request.shard)
        try:
            reply: Reply | LargeReply = await answer(owned, request)
        except (Superseded, TimeoutError):
            return Reply(Status.UNSURE)
        return reply

    def _owned_shard(self, shard: str) -> OwnedShard | None:
        hosted = self.host.groups.get(shard)
        if hosted is None or not hosted.replica.holds_lease(self.host.now()):
            return None
        return self.shards[shard]

    def _not_owner_reply(self, shard: str) -> Reply:
        hosted = self.host.groups.get(shard)
        hint = hosted.replica.leader_hint(self.host.now()) if hosted else ""
        if hint == self.host.replica_id:
            hint = ""
        return Reply(Status.NOT_OWNER, bytes(Hint(hint)))

    async def _submit_job(self, owned: OwnedShard, request: SubmitRequest) -> Reply:
        job = request.job
        if job.id in owned.state.jobs:
            return Reply(Status.OK)
        if job.id in owned.pending_submissions:
            return await self._submission_reply(owned.pending_submissions[job.id])
        job.accepted_unix_ms = int(time.time() * 1000)
        items = stored_items(job).values()
        tokens = sum(item.tokens for item in items)
        waiting = owned.state.waiting_tokens[job.route] + owned.pending_tokens[job.route]
        if request.max_queued_tokens and waiting + tokens > request.max_queued_tokens:
            return Reply(Status.OVER_QUOTA)
        job_bytes = _stored_bytes(items)
        if not self._has_capacity_for(job_bytes):
            return Reply(Status.REFUSED)
        decision = owned.pending_submissions[job.id] = self.host.submit(
            request.shard, batch.encode_accept(job)
        )
        owned.pending_tokens[job.route] += tokens
        owned.pending_bytes += job_bytes

        def on_decided(_: asyncio.Future[Any]) -> None:
            del owned.pending_submissions[job.id]
            owned.pending_tokens[job.route] -= tokens
            owned.pending_bytes -= job_bytes

        decision.add_done_callback(on_decided)
        return await self._submission_reply(decision)

    @staticmethod
    async def _submission_reply(decision: asyncio.Future[Any]) -> Reply:
        """Returns the reply to a submission: OK once its entry is applied, UNSURE if that takes too long.

        A repeat must not be refused then either: the entry stays in the log and may be applied much later.
        """
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT):
                await asyncio.shield(decision)
        except (Superseded, TimeoutError):
            return Reply(Status.UNSURE)
        return Reply(Status.OK)

    def _has_capacity_for(self, new: int) -> bool:
        """Whether disk and memory can hold so many bytes of a new job, and those of all others."""
        held = sum(o.state.memory_bytes + o.pending_bytes for o in self.shards.values())
        disk_bytes = 2 * (held + new) + 2 * self.max_log_bytes
        memory_bytes = 2 * (held + new)
        return (
            disk_bytes < USABLE_DISK_SHARE * self.settings.disk_mb * 1024 * 1024
            and memory_bytes < USABLE_MEMORY_SHARE * self.settings.memory_mb * 1024 * 1024
        )

    async def _read_results(self, owned: OwnedShard, request: ReadRequest) -> Reply | LargeReply:
        deadline = self.host.now() + request.wait_ms / 1000
        while self._owned_shard(request.shard) is owned:
            job = owned.state.jobs.get(request.job)
            if job is None:
                return Reply(Status.UNKNOWN)
            remaining = deadline - self.host.now()
            if len(job.results) > request.start or remaining <= 0 or job.is_finished:
                return LargeReply(partial(_encode_results_page, job, request.start))
            await owned.read_calls.wait(request.job, remaining)
        return self._not_owner_reply(request.shard)

    async def _read_item_body(self, owned: OwnedShard, request: ReadRequest) -> Reply | LargeReply:
        job = owned.state.jobs.get(request.job)
        item = job.open_items.get(request.item) if job else None
        if item is None:
            return Reply(Status.UNKNOWN)
        return LargeReply(lambda: bytes(ReadReply(body=item.decode().body)))

    async def _end_job(self, owned: OwnedShard, request: ReadRequest) -> Reply:
        job = owned.state.jobs.get(request.job)
        if job is None:
            return Reply(Status.UNSURE if request.job in owned.pending_submissions else Status.UNKNOWN)
        if not job.ended:
            await self.host.propose(request.shard, batch.encode_end(request.job), COMMIT_TIMEOUT)
        return Reply(Status.OK)

    # ------------------------------------------------------------------ items at dispatchers

    async def _lease_items(self, owned: OwnedShard, request: LeaseRequest) -> Reply:
        deadline = self.host.now() + request.wait_ms / 1000
        leases, holder = owned.leases, request.holder
        running = {(h.job, h.item): h.lease for h in request.held}
        if not self._begin_call(owned, request):
            return SUPERSEDED_CALL_REPLY
        owned.lease_calls.supersede(holder)
        shares = request.shares or [LeaseShare([], request.want)]  # of an earlier release: items of any route
        wanted = {route: share.want for share in shares for route in share.routes or [ANY_ROUTE]}
        while self._owned_shard(request.shard) is owned:
            leases.record_contact(self.host.now(), holder)
            leases.claim(self.host.now(), holder, running)
            granted = leases.lease_shares(self.host.now(), holder, shares)
            ended = [name for name in request.jobs if self._has_ended(owned, name)]
            closed = [name for name in request.held if self._is_closed(owned, name)]
            remaining = deadline - self.host.now()
            if granted or ended or closed or remaining <= 0:
                items = [_leased_item(*lease) for lease in granted]
                return Reply(Status.OK, bytes(LeaseReply(items, ended, leases.waiting, closed)))
            if await owned.lease_calls.wait_for_items(holder, wanted, request.jobs, remaining):
                return SUPERSEDED_CALL_REPLY
        return self._not_owner_reply(request.shard)

    @staticmethod
    def _begin_call(owned: OwnedShard, request: LeaseRequest) -> bool:
        """Takes back the leases that are not among the items that the dispatcher says it holds.

        These were in a reply that was lost. Returns False if a later call of the dispatcher arrived before.
        """
        if not owned.leases.begin_call(request.holder, request.call):
            return False
        if not request.call:
            return True  # the dispatcher does not number its calls
        still_held = {(name.job, name.item) for name in (*request.held, *request.reported)}
        if owned.leases.reclaim_lost_leases(request.holder, still_held):
            owned.wake()
        return True

    @staticmethod
    def _has_ended(owned: OwnedShard, name: str) -> bool:
        job = owned.state.jobs.get(name)
        return job is None or job.ended

    @staticmethod
    def _is_closed(owned: OwnedShard, name: ItemName) -> bool:
        """Returns whether an item has its result: it was given up, or another dispatcher has finished it."""
        job = owned.state.jobs.get(name.job)
        return job is not None and name.item not in job.open_items

    async def _report_items(self, owned: OwnedShard, request: FinishRequest) -> Reply:
        now, holder = self.host.now(), request.holder
        owned.leases.record_contact(now, holder)
        listed = [r for report in request.reports if (r := self._make_result(owned, now, holder, report))]
        if listed:
            await self.host.propose(request.shard, batch.encode_results(listed), COMMIT_TIMEOUT)
        else:
            owned.wake()
        return Reply(Status.OK)

    @staticmethod
    def _make_result(owned: OwnedShard, now: float, holder: str, report: ItemReport) -> ItemResult | None:
        """Returns the final result that a report leads to, or None if it leads to none."""
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


def _stored_bytes(items: Collection[StoredItem]) -> int:
    """Returns the bytes that items and their results will take until their end."""
    return sum(2 * len(i.encoded) + 8 * i.tokens + 600 for i in items)


def _encode_results_page(job: Job, start: int) -> bytes:
    """Returns the encoded results from a position on, as many as fit in one reply."""
    found: list[ItemResult] = []
    size = 0
    for result in job.results[start:]:
        size += len(result.text) + 200
        if found and size > MAX_READ_REPLY_BYTES:
            break
        found.append(result)
    return bytes(ReadReply(total=job.total, results=found))


def _leased_item(job: Job, item: str, lease_number: int) -> LeasedItem:
    due_in = job.accepted_at + job.record.completion_ms / 1000 - time.monotonic()
    return LeasedItem(
        job=job.record.id,
        host=job.record.host,
        item=job.open_items[item].encoded,
        due_in_ms=int(due_in * 1000),
        route=job.record.route,
        lease=lease_number,
    )
