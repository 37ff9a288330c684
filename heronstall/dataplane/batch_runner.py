"""Runs batch items: leases them from their shards' owners, sends them to workers, reports the results."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
import structlog
from multidict import CIMultiDict

from heronstall.batch.leases import MAX_ITEMS_PER_CALL
from heronstall.batch.outcomes import Outcome
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.attempts import ITEM_SILENT, Attempt
from heronstall.dataplane.deferred import DeferredLane
from heronstall.dataplane.events import EventReader
from heronstall.dataplane.forwarding import LAST_EVENT, PREFIX, REQUEST_ID, TARGET
from heronstall.dataplane.framing import is_framed
from heronstall.dataplane.misses import EndedItem, MissLog
from heronstall.dataplane.prefixes import SharedPrefix, shared_prefix
from heronstall.dataplane.routing import Route, Routes, RouteType
from heronstall.dataplane.shard_client import ShardClient
from heronstall.dataplane.workers import UnsendablePath, WorkerState, note_attempt
from heronstall.distribution.shards import batch_shard
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
)
from heronstall.transport.waits import at_most

log = structlog.get_logger()

POLL_HOLD = 0.45  # seconds that the owner may hold a call for items
POLL_PAUSE = 0.05
POLL_WITHIN = 2.0  # seconds for a call for items
GATHER = 0.45  # seconds from a free place to the call for items: live requests come first, calls are fewer
STALE_AFTER = 1.5  # seconds without an answer of the owner after which nothing new is started
RUN_TIME = 1.5  # seconds that an item needs, about
UNKNOWN_ROUTE = 0.2  # seconds before an item of a route that was never known here is given back
IN_TIME, LATE = 0, 1  # ranks in the deferred lane
FINISH_WITHIN = 2.0  # seconds for one report
END_LOOK = 0.02  # seconds between looks whether all is done, at the end
REPORTED_WITHIN = 1.0  # seconds for the last reports
REPORT_PAUSE = 0.1  # seconds before a report that was not acknowledged is sent again


@dataclass
class Running:
    """An item at this dispatcher."""

    leased: LeasedItem
    request: BatchItem
    shard: str
    texts: list[bytes] = field(default_factory=list)
    last_event: int | None = None
    leased_at: float = field(default_factory=time.monotonic)
    began_at: float = 0.0  # steady time at which it left the lane
    attempts: list[Attempt] = field(default_factory=list)
    task: asyncio.Task[None] | None = None


class BatchRunner:
    """All items of this dispatcher."""

    def __init__(
        self,
        name: str,
        shards: ShardClient,
        admission: Admission,
        deferred: DeferredLane,
        routes: Callable[[], Routes],
        misses: MissLog | None = None,
    ) -> None:
        self.holder = f"{name}/{secrets.token_hex(4)}"
        self.stopping = False
        self._shards, self._admission, self._routes = shards, admission, routes
        self._deferred = deferred
        self._misses = misses or MissLog()
        self._running: dict[tuple[str, str], Running] = {}
        self._reports: dict[str, list[ItemReport]] = {}
        self._sent_reports: dict[str, list[ItemReport]] = {}  # that an owner has not acknowledged
        self._calls = 0  # calls for items
        self._report_news = asyncio.Event()
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._polled_at: dict[str, float] = {}
        self._most: dict[str, int] = {}  # items asked for in one call, by shard
        self._place_free = asyncio.Event()  # another one after each place that has become free
        self._known_routes: set[str] = set()  # by name, of all configurations that this process has had

    @property
    def running(self) -> int:
        """Items in hand."""
        return len(self._running)

    @property
    def unreported(self) -> bool:
        """Whether an owner has yet to acknowledge the end of an item."""
        return bool(self._reports or self._sent_reports)

    def routes_changed(self) -> None:
        """Poll the shards of all hosts that have batch routes."""
        routes = self._routes()
        self._known_routes |= {r.name for h in routes.batch_hosts() for r in routes.by_host[h]}
        wanted = {batch_shard(host) for host in routes.batch_hosts()}
        for shard in wanted - set(self._pollers):
            self._pollers[shard] = asyncio.create_task(self._poll(shard))

    async def report(self) -> None:
        """Send reports until cancelled."""
        while True:
            await self._report_news.wait()
            self._report_news.clear()
            for shard in list(self._reports):
                await self._send_reports(shard)

    async def _send_reports(self, shard: str) -> None:
        reports = self._sent_reports[shard] = self._reports.pop(shard)
        call = bytes(FinishRequest(self.holder, reports, shard))
        reply = await self._shards.call(shard, Kind.FINISH, call, FINISH_WITHIN, hold=0.8)
        del self._sent_reports[shard]
        if reply.status != Status.OK:
            self._reports[shard] = reports + self._reports.get(shard, [])
            self._report_news.set()
            await asyncio.sleep(REPORT_PAUSE)

    async def stop(self) -> None:
        """Give back what has not begun, and start nothing more."""
        self.stopping = True
        for item in list(self._running.values()):
            if not item.texts and item.task is not None:
                item.task.cancel()

    async def finish(self, until: float) -> None:
        """Return when all items have ended and are reported, or at a steady time.

        Reports that no owner takes are waited for a while only: leases end with this dispatcher's session.
        """
        while time.monotonic() < until and self._running:
            await asyncio.sleep(END_LOOK)
        until = min(until, time.monotonic() + REPORTED_WITHIN)
        while time.monotonic() < until and self.unreported:
            await asyncio.sleep(END_LOOK)

    # ------------------------------------------------------------------ leasing

    async def _poll(self, shard: str) -> None:
        while not self.stopping:
            freed = self._place_free
            most = self._most.get(shard, MAX_ITEMS_PER_CALL)
            want = min(most, self._want(shard))
            began = time.monotonic()
            reply = await self._call_for_items(shard, want, freed)
            if reply is None:
                await asyncio.sleep(GATHER)
                continue
            if reply.status != Status.OK:
                self._most[shard] = max(1, most // 2)  # what was lost is sent again: less at a time
                await asyncio.sleep(POLL_PAUSE)
                continue
            self._most[shard] = min(MAX_ITEMS_PER_CALL, 2 * most)
            self._polled_at[shard] = began
            leases = LeaseReply().parse(reply.body)
            for job in leases.ended:
                self._end(job)
            if want:
                self._note_time_left(leases, backlog=len(leases.items) >= want)
            for leased in leases.items:
                self._start(shard, leased)
            if leases.ended:
                await at_most(freed, POLL_HOLD)  # until their runs have ended

    def _note_time_left(self, leases: LeaseReply, backlog: bool) -> None:
        """Tell the bounds how soon what was leased is due; what is late already is not urgent any more."""
        left = []
        for leased in leases.items:
            route = self._batch_route(leased)
            if route is not None and leased.due_in_ms > RUN_TIME * 1000:
                left.append(leased.due_in_ms / 1000 / route.completion)
        self._admission.items.leased(min(left, default=1.0), backlog)

    def _batch_route(self, leased: LeasedItem) -> Route | None:
        """The route of a leased item's job, if this dispatcher's configuration has it."""
        routes = self._routes().by_host.get(leased.host, ())
        return next((route for route in routes if route.name == leased.route), None)

    async def _call_for_items(self, shard: str, want: int, freed: asyncio.Event) -> Reply | None:
        """The owner's answer; None where nothing was wanted and a place has become free meanwhile.

        The owner ends the call that it holds when the next one comes.
        """
        body = bytes(self._lease_request(shard, want))
        call = asyncio.create_task(
            self._shards.call(shard, Kind.LEASE, body, POLL_WITHIN, POLL_HOLD, POLL_HOLD)
        )
        place = asyncio.create_task(freed.wait())
        try:
            watched = (call,) if want else (call, place)
            await asyncio.wait(watched, return_when=asyncio.FIRST_COMPLETED)
            return call.result() if call.done() else None
        finally:
            place.cancel()
            call.cancel()

    def _lease_request(self, shard: str, want: int) -> LeaseRequest:
        """A call for items that tells all leases that have reached this dispatcher."""
        self._calls += 1
        held = [r for r in self._running.values() if r.shard == shard]
        reports = [*self._sent_reports.get(shard, ()), *self._reports.get(shard, ())]
        return LeaseRequest(
            holder=self.holder,
            want=want,
            wait_ms=int(POLL_HOLD * 1000),
            jobs=sorted({r.leased.job for r in held}),
            shard=shard,
            held=[ItemName(r.leased.job, r.request.id, r.leased.lease) for r in held],
            call=self._calls,
            reported=[ItemName(r.job, r.item, r.lease) for r in reports],
        )

    def _want(self, shard: str) -> int:
        places = 0
        for service in {
            t[0] for h in self._routes().by_host.values() for r in h for t in self._targets(r, shard)
        }:
            places += self._admission.items_to_lease(service)
        return max(0, places - len(self._running))

    @staticmethod
    def _targets(route: Route, shard: str) -> tuple[tuple[str, float], ...]:
        of_shard = route.type is RouteType.BATCH and batch_shard(route.host) == shard
        return route.targets if of_shard else ()

    def _start(self, shard: str, leased: LeasedItem) -> None:
        request = BatchItem().parse(leased.item)
        key = (leased.job, request.id)
        known = self._running.get(key)
        if known is not None:
            known.leased.lease = leased.lease
            return
        item = self._running[key] = Running(leased, request, shard)
        item.task = asyncio.create_task(self._run(key, item))
        # a task that is cancelled before its first turn runs nothing of its own
        item.task.add_done_callback(lambda _: self._ended(key, item, Outcome.RETURNED))
        if self.stopping:
            item.task.cancel()  # the call for it was under way when the end began

    def _end(self, job: str) -> None:
        for key, item in list(self._running.items()):
            if key[0] == job and item.task is not None:
                item.task.cancel()

    # ------------------------------------------------------------------ running

    async def _run(self, key: tuple[str, str], item: Running) -> None:
        outcome = Outcome.RETURNED
        try:
            await self._wait(item)
            item.began_at = time.monotonic()
            outcome = await self._attempts(item)
        except asyncio.CancelledError:
            pass
        finally:
            self._ended(key, item, outcome)

    def _ended(self, key: tuple[str, str], item: Running, outcome: Outcome) -> None:
        """Report the end of an item's run, once."""
        if self._running.get(key) is not item:
            return
        del self._running[key]
        text = b"\n".join(item.texts) if outcome == Outcome.DONE else b""
        report = ItemReport(key[0], key[1], outcome, text, item.leased.lease)
        self._misses.item_ended(_ended_item(item, outcome))
        self._reports.setdefault(item.shard, []).append(report)
        self._report_news.set()
        self._free_place()

    def _free_place(self) -> None:
        """Wake whoever has seen no free place before."""
        self._place_free.set()
        self._place_free = asyncio.Event()

    async def _wait(self, item: Running) -> None:
        """Wait in the deferred lane until a worker has room."""
        now = time.monotonic()
        deadline = now + item.leased.due_in_ms / 1000
        rank = LATE if deadline < now + RUN_TIME else IN_TIME
        due = deadline - RUN_TIME
        await self._deferred.wait(rank, deadline, due, lambda: self._may_start(item), item.leased.route)

    def _may_start(self, item: Running) -> bool:
        route = self._routes().find(item.leased.host, item.request.path)
        return route is None or any(self._admission.room_for_item(target) for target, _ in route.targets)

    async def _attempts(self, item: Running) -> Outcome:
        tried: set[str] = set()
        pause = 0.05
        while not self.stopping or item.texts:
            route = self._routes().find(item.leased.host, item.request.path)
            if route is None or route.type is not RouteType.BATCH:
                if item.leased.route in self._known_routes:
                    return Outcome.ROUTE_GONE
                await asyncio.sleep(UNKNOWN_ROUTE)  # maybe newer than this dispatcher's configuration
                return Outcome.RETURNED
            fresh = time.monotonic() - self._polled_at.get(item.shard, 0.0) < STALE_AFTER
            service = self._admission.service_of(route)
            prefix = _prefix(item.request)
            worker = self._admission.pick(service, prefix, tried, for_item=True) if fresh else None
            if worker is None:
                tried.clear()
                await asyncio.sleep(pause)
                pause = min(0.4, pause * 1.5)
                continue
            outcome = await self._attempt(item, worker)
            if outcome is not None:
                return outcome
            tried.add(worker.entry.id)
        return Outcome.RETURNED

    async def _attempt(self, item: Running, worker: WorkerState) -> Outcome | None:
        """One run at one worker; None where another may go on from what has come."""
        admission = self._admission
        admission.sent(worker)
        worker.items += 1
        well = False
        answer: aiohttp.ClientResponse | None = None
        attempt: Attempt | None = None
        try:
            async with asyncio.timeout(None) as limit:
                attempt = worker.attempts.begin(limit, ITEM_SILENT)
                note_attempt(attempt, worker)
                item.attempts.append(attempt)
                answer = await worker.request(
                    "POST", item.request.path, _headers(item, worker), item.request.body
                )
                outcome = await self._read(item, worker, attempt, answer)
            well = True
            return outcome
        except UnsendablePath:
            return Outcome.UNPROCESSABLE
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            admission.failed(worker)
            return None
        finally:
            if answer is not None and not well:
                answer.close()
            if attempt is not None:
                worker.attempts.end(attempt)
            worker.items -= 1
            admission.done(worker, well)

    async def _read(
        self, item: Running, worker: WorkerState, attempt: Attempt, answer: aiohttp.ClientResponse
    ) -> Outcome | None:
        worker.learn_idle(answer.headers.get("Keep-Alive"))
        if answer.headers.get(REQUEST_ID) != item.request.id:
            raise aiohttp.ClientPayloadError("answer to another request")
        if answer.status in (200, 500):
            self._admission.answered(worker, answer.status)
        if answer.status != 200:
            await answer.read()
            if answer.status == 422:
                return Outcome.UNPROCESSABLE
            if answer.status == 500:
                return Outcome.FAILED
            if answer.status == 503:
                self._admission.full(worker)
            return None
        if not is_framed(answer):
            raise aiohttp.ClientPayloadError("an answer that does not say where it ends")
        reader = EventReader()
        while True:
            piece = await answer.content.readany()
            if not piece:
                break
            if attempt.first_at:
                worker.attempts.heard(attempt)
            else:
                worker.attempts.first_heard(attempt)
            for event in reader.feed(piece):
                self._take(item, event.id, event.data)
        if reader.partial:
            raise aiohttp.ClientPayloadError("an event is cut short")
        return Outcome.DONE

    @staticmethod
    def _take(item: Running, number: int | None, data: bytes) -> None:
        if number is not None:
            if item.last_event is not None and number <= item.last_event:
                return
            item.last_event = number
        item.texts.append(data)


def _ended_item(item: Running, outcome: Outcome) -> EndedItem:
    return EndedItem(
        job=item.leased.job,
        item=item.request.id,
        route=item.leased.route,
        outcome=outcome,
        leased_at=item.leased_at,
        due=item.leased_at + item.leased.due_in_ms / 1000,
        began_at=item.began_at,
        attempts=item.attempts,
    )


def _prefix(request: BatchItem) -> SharedPrefix:
    value = next((h.value for h in request.headers if h.name.lower() == PREFIX.lower()), "")
    return shared_prefix(value)


def _headers(item: Running, worker: WorkerState) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict((h.name, h.value) for h in item.request.headers)
    headers["Host"] = item.leased.host
    headers[REQUEST_ID] = item.request.id
    headers[TARGET] = worker.entry.id
    if item.last_event is not None:
        headers[LAST_EVENT] = str(item.last_event)
    return headers
