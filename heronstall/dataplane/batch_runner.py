"""Runs batch items: leases them from the shards' owners, sends them to workers and reports the results."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections import Counter
from collections.abc import Callable
from functools import partial

from heronstall.background_tasks import BackgroundTasks
from heronstall.batch.leases import MAX_ITEMS_PER_CALL
from heronstall.batch.outcomes import Outcome
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.deferred import DeferredQueue
from heronstall.dataplane.item_attempts import ItemAttempts, RunningItem, shared_prefix
from heronstall.dataplane.misses import EndedItem, MissLog
from heronstall.dataplane.shard_client import ShardClient
from heronstall.distribution.shards import batch_shard
from heronstall.routing.routes import Route, Routes
from heronstall.transport.event_waits import wait_at_most
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import Reply
from heronstall.transport.messages import (
    BatchItem,
    FinishRequest,
    ItemName,
    ItemReport,
    LeasedItem,
    LeaseReply,
    LeaseRequest,
    LeaseShare,
)

POLL_HOLD_S = 0.45  # for which the owner may hold a lease call
POLL_RETRY_DELAY_S = 0.05
POLL_TIMEOUT_S = 2.0  # of a lease call
# Delay from a freed slot to the lease call: live requests go first, and one call covers several slots.
SLOT_GATHER_S = 0.45
OWNER_STALE_S = 1.5  # without a reply of the owner, after which no item is started
EXPECTED_RUN_TIME_S = 1.5  # approximate run time of an item
VIEW_UPDATE_TIMEOUT_S = (
    2.0  # without a control node's answer, after which an item without a route is returned
)
RANK_IN_TIME, RANK_LATE = 0, 1  # ranks in the deferred queue
REPORT_TIMEOUT_S = 2.0  # of one call that reports results
FINISH_POLL_INTERVAL_S = 0.02  # between checks for unfinished items during shutdown
FINAL_REPORT_TIMEOUT_S = 1.0  # for the last reports during shutdown
REPORT_RETRY_DELAY_S = 0.1  # before an unacknowledged report is sent again


class BatchRunner:
    """Leases and runs the batch items of this dispatcher."""

    def __init__(
        self,
        name: str,
        shards: ShardClient,
        admission: Admission,
        deferred: DeferredQueue,
        routes: Callable[[], Routes],
        misses: MissLog | None = None,
        view_complete_until: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        """`view_complete_until` tells the time until which `routes` contains all committed changes."""
        self.holder = f"{name}/{secrets.token_hex(4)}"
        self.stopping = False
        self._shards, self._admission, self._routes = shards, admission, routes
        self._attempts = ItemAttempts(admission)
        self._deferred = deferred
        self._misses = misses or MissLog()
        self._view_complete_until = view_complete_until
        self._view_updated = asyncio.Event()  # set when the view is updated, then replaced by a new event
        self._running: dict[tuple[str, str], RunningItem] = {}
        self._reports: dict[str, list[ItemReport]] = {}
        self._sent_reports: dict[str, list[ItemReport]] = {}  # in flight, by shard
        self._calls = 0  # number of lease calls
        self._reports_added = asyncio.Event()
        self._pollers = BackgroundTasks()
        self._polled_shards: set[str] = set()
        self._polled_at: dict[str, float] = {}
        self._lease_limits: dict[str, int] = {}  # most items to request in one call, by shard
        self._slot_freed = asyncio.Event()  # set when a slot is freed, then replaced by a new event

    @property
    def running_count(self) -> int:
        """The number of items that this dispatcher holds."""
        return len(self._running)

    @property
    def has_unreported_items(self) -> bool:
        """Whether an owner has not yet acknowledged the end of an item."""
        return bool(self._reports or self._sent_reports)

    def update_pollers(self) -> None:
        """Starts polling the shards of all hosts that have batch routes."""
        routes = self._routes()
        wanted = {batch_shard(host) for host in routes.batch_hosts()}
        for shard in wanted - self._polled_shards:
            self._polled_shards.add(shard)
            self._pollers.start(f"poll {shard}", partial(self._poll, shard))

    def return_items_without_route(self) -> None:
        """Returns the items that wait here for a worker and whose route the configuration lacks.

        The owner leases them to a dispatcher that knows the route, or gives them up.
        """
        for item in list(self._running.values()):
            if not item.started_at and self._batch_route(item.leased) is None:
                self._cancel(item)

    def announce_view_update(self) -> None:
        """Wakes the items that wait for a newer view of the control state."""
        self._view_updated.set()
        self._view_updated = asyncio.Event()

    def cancel(self) -> None:
        """Ends the polling when the process ends."""
        self._pollers.cancel()

    async def send_reports(self) -> None:
        """Sends reports until cancelled."""
        while True:
            if not self._reports:
                await self._reports_added.wait()
            self._reports_added.clear()
            for shard in list(self._reports):
                await self._send_reports(shard)

    async def _send_reports(self, shard: str) -> None:
        reports = self._sent_reports[shard] = self._reports.pop(shard)
        call = bytes(FinishRequest(self.holder, reports, shard))
        acknowledged = False
        try:
            reply = await self._shards.call(shard, Kind.FINISH, call, REPORT_TIMEOUT_S, owner_wait=0.8)
            acknowledged = reply.status == Status.OK
        finally:
            del self._sent_reports[shard]
            if not acknowledged:
                self._reports[shard] = reports + self._reports.get(shard, [])
                self._reports_added.set()
        if not acknowledged:
            await asyncio.sleep(REPORT_RETRY_DELAY_S)

    async def stop(self) -> None:
        """Returns the items without any output to their owners and starts no more."""
        self.stopping = True
        for item in list(self._running.values()):
            if not item.event_data:
                self._cancel(item)

    async def finish(self, deadline: float) -> None:
        """Returns when all items have ended and are reported, or at the deadline, in monotonic time.

        The wait for unacknowledged reports is bounded, since leases end with this dispatcher's session.
        """
        while time.monotonic() < deadline and self._running:
            await asyncio.sleep(FINISH_POLL_INTERVAL_S)
        deadline = min(deadline, time.monotonic() + FINAL_REPORT_TIMEOUT_S)
        while time.monotonic() < deadline and self.has_unreported_items:
            await asyncio.sleep(FINISH_POLL_INTERVAL_S)

    # ------------------------------------------------------------------ leasing

    async def _poll(self, shard: str) -> None:
        while not self.stopping:
            slot_freed = self._slot_freed
            limit = self._lease_limits.get(shard, MAX_ITEMS_PER_CALL)
            shares = limit_shares(self._lease_shares(shard), limit)
            began = time.monotonic()
            reply = await self._request_leases(shard, shares, slot_freed)
            if reply is None:
                await asyncio.sleep(SLOT_GATHER_S)
                continue
            if reply.status != Status.OK:
                self._lease_limits[shard] = max(1, limit // 2)  # a lost reply is sent again: request less
                await asyncio.sleep(POLL_RETRY_DELAY_S)
                continue
            self._lease_limits[shard] = min(MAX_ITEMS_PER_CALL, 2 * limit)
            self._polled_at[shard] = began
            leases = LeaseReply().parse(reply.body)
            for job in leases.ended:
                self._cancel_job(job)
            for name in leases.closed:
                self._cancel_item(name)
            if shares:
                self._update_time_left(leases, backlog=_fills_a_share(leases, shares))
            for leased in leases.items:
                self._start(shard, leased)
            if leases.ended or leases.closed:
                await wait_at_most(slot_freed, POLL_HOLD_S)  # until the runs are cancelled

    def _update_time_left(self, leases: LeaseReply, backlog: bool) -> None:
        """Updates the item limits with the time left of leased items. Items that are late are not urgent."""
        remaining_shares = []
        for leased in leases.items:
            route = self._batch_route(leased)
            if route is not None and leased.due_in_ms > EXPECTED_RUN_TIME_S * 1000:
                remaining_shares.append(leased.due_in_ms / 1000 / route.completion_target)
        self._admission.item_slots.record_lease(min(remaining_shares, default=1.0), backlog)

    def _batch_route(self, leased: LeasedItem) -> Route | None:
        """Returns the route that accepted a leased item's job, if this dispatcher's configuration has it.

        The paths of its items decide nothing: another route of the host may have a longer matching prefix.
        """
        return self._routes().batch_route(leased.host, leased.route)

    async def _request_leases(
        self, shard: str, shares: list[LeaseShare], slot_freed: asyncio.Event
    ) -> Reply | None:
        """Returns the owner's reply, or None if no item was requested and a slot has been freed meanwhile.

        The owner ends a call that it holds when it receives the next one.
        """
        body = bytes(self._lease_request(shard, shares))
        call = asyncio.create_task(
            self._shards.call(shard, Kind.LEASE, body, POLL_TIMEOUT_S, POLL_HOLD_S, POLL_HOLD_S)
        )
        slot_wait = asyncio.create_task(slot_freed.wait())
        try:
            awaited = (call,) if shares else (call, slot_wait)
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            return call.result() if call.done() else None
        finally:
            slot_wait.cancel()
            call.cancel()

    def _lease_request(self, shard: str, shares: list[LeaseShare]) -> LeaseRequest:
        """Builds a lease call. It lists all leases that have reached this dispatcher."""
        self._calls += 1
        held = [r for r in self._running.values() if r.shard == shard]
        reports = [*self._sent_reports.get(shard, ()), *self._reports.get(shard, ())]
        return LeaseRequest(
            holder=self.holder,
            want=sum(share.want for share in shares),
            wait_ms=int(POLL_HOLD_S * 1000),
            jobs=sorted({r.leased.job for r in held}),
            shard=shard,
            held=[ItemName(r.leased.job, r.request.id, r.leased.lease) for r in held],
            call=self._calls,
            reported=[ItemName(r.job, r.item, r.lease) for r in reports],
            shares=shares,
        )

    def _lease_shares(self, shard: str) -> list[LeaseShare]:
        """Returns the items of a shard that this dispatcher has room for, by service.

        Items that wait for a worker take the room of their own service alone, however long they wait. The
        order changes from call to call, since a reply may be too small for the items of all services.
        """
        routes: dict[str, list[str]] = {}
        for route in self._routes().batch_routes():
            if batch_shard(route.host) == shard:
                for service in route.services:
                    routes.setdefault(service, []).append(route.name)
        shares = [
            LeaseShare(names, room) for service, names in routes.items() if (room := self._room(service)) > 0
        ]
        first = self._calls % len(shares) if shares else 0
        return shares[first:] + shares[:first]

    def _room(self, service: str) -> int:
        """Returns the number of items of a service that this dispatcher may lease; below 0 if it has more."""
        held = sum(item.service == service for item in self._running.values())
        return self._admission.max_leased_items(service) - held

    def _expected_service(self, leased: LeasedItem) -> str:
        """Returns the service at which a leased item is expected to run: the one with the most room."""
        route = self._batch_route(leased)
        services = route.services if route is not None else ()
        return services[0] if len(services) == 1 else max(services, key=self._room, default="")

    def _start(self, shard: str, leased: LeasedItem) -> None:
        request = BatchItem().parse(leased.item)
        key = (leased.job, request.id)
        known = self._running.get(key)
        if known is not None:
            known.leased.lease = leased.lease
            return
        item = RunningItem(leased, request, shard, self._expected_service(leased))
        self._running[key] = item
        item.task = asyncio.create_task(self._run(key, item))
        # a task that is cancelled before it first runs does not execute its own cleanup
        item.task.add_done_callback(lambda _: self._report_end(key, item, Outcome.RETURNED))
        if self.stopping:
            item.task.cancel()  # the lease call was in flight when the shutdown began

    def _cancel_item(self, name: ItemName) -> None:
        item = self._running.get((name.job, name.item))
        if item is not None:
            self._cancel(item)

    def _cancel_job(self, job: str) -> None:
        for key, item in list(self._running.items()):
            if key[0] == job:
                self._cancel(item)

    @staticmethod
    def _cancel(item: RunningItem) -> None:
        if item.task is not None:
            item.task.cancel()

    # ------------------------------------------------------------------ running

    async def _run(self, key: tuple[str, str], item: RunningItem) -> None:
        outcome = Outcome.RETURNED
        try:
            await self._wait_for_start(item)
            item.started_at = time.monotonic()
            outcome = await self._run_attempts(item)
        except asyncio.CancelledError:
            pass
        finally:
            self._report_end(key, item, outcome)

    def _report_end(self, key: tuple[str, str], item: RunningItem, outcome: Outcome) -> None:
        """Queues the report of an item's end, once."""
        if self._running.get(key) is not item:
            return
        del self._running[key]
        text = b"\n".join(item.event_data) if outcome == Outcome.DONE else b""
        report = ItemReport(key[0], key[1], outcome, text, item.leased.lease)
        self._misses.record_item(_summary(item, outcome))
        self._reports.setdefault(item.shard, []).append(report)
        self._reports_added.set()
        self._announce_free_slot()

    def _announce_free_slot(self) -> None:
        """Wakes the pollers that found no free slot."""
        self._slot_freed.set()
        self._slot_freed = asyncio.Event()

    async def _wait_for_start(self, item: RunningItem) -> None:
        """Waits in the deferred queue until a worker has a free slot."""
        now = time.monotonic()
        deadline = now + item.leased.due_in_ms / 1000
        rank = RANK_LATE if deadline < now + EXPECTED_RUN_TIME_S else RANK_IN_TIME
        due = deadline - EXPECTED_RUN_TIME_S
        await self._deferred.wait(rank, deadline, due, lambda: self._may_start(item), item.leased.route)

    def _may_start(self, item: RunningItem) -> bool:
        route = self._batch_route(item.leased)
        return route is None or any(map(self._admission.can_start_item, route.services))

    async def _run_attempts(self, item: RunningItem) -> Outcome:
        tried: set[str] = set()
        pause = 0.05
        while not self.stopping or item.event_data:
            route = await self._find_route(item)
            if isinstance(route, Outcome):
                return route
            owner_is_reachable = time.monotonic() - self._polled_at.get(item.shard, 0.0) < OWNER_STALE_S
            service = self._admission.choose_service(route)
            prefix = shared_prefix(item.request)
            worker = (
                self._admission.pick(service, prefix, tried, for_item=True) if owner_is_reachable else None
            )
            if worker is None:
                tried.clear()
                await asyncio.sleep(pause)
                pause = min(0.4, pause * 1.5)
                continue
            item.service = service
            outcome = await self._attempts.make(item, worker)
            if outcome is not None:
                return outcome
            tried.add(worker.entry.id)
        return Outcome.RETURNED

    async def _find_route(self, item: RunningItem) -> Route | Outcome:
        """Returns the route of an item, or its outcome without one. Waits until the view tells which it is.

        The job may have been accepted by a configuration that has not reached this dispatcher yet. Its route
        is gone only if a configuration in force after the lease, and so after the acceptance, lacks it.
        """
        while True:
            updated = self._view_updated
            route = self._batch_route(item.leased)
            if route is not None:
                return route
            if self._view_complete_until() >= item.leased_at:
                return Outcome.ROUTE_GONE
            if not await wait_at_most(updated, VIEW_UPDATE_TIMEOUT_S):
                return Outcome.RETURNED


def limit_shares(shares: list[LeaseShare], most: int) -> list[LeaseShare]:
    """Returns the shares with at most this many items together; the first ones are kept."""
    limited = []
    for share in shares:
        want = min(share.want, most)
        most -= want
        if want:
            limited.append(LeaseShare(share.routes, want))
    return limited


def _fills_a_share(leases: LeaseReply, shares: list[LeaseShare]) -> bool:
    """Returns whether as many items of some service were leased as wanted, so that others may be waiting."""
    leased = Counter(item.route for item in leases.items)
    return any(sum(leased[route] for route in share.routes) >= share.want for share in shares)


def _summary(item: RunningItem, outcome: Outcome) -> EndedItem:
    return EndedItem(
        job=item.leased.job,
        item=item.request.id,
        route=item.leased.route,
        outcome=outcome,
        leased_at=item.leased_at,
        due_at=item.leased_at + item.leased.due_in_ms / 1000,
        started_at=item.started_at,
        attempts=item.attempts,
    )
