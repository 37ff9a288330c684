"""The items of a shard that wait and those leased to dispatchers, in the memory of the shard's owner."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping, Set
from dataclasses import dataclass
from heapq import heapify, heappop, heapreplace
from typing import NamedTuple, TypeAlias

from sortedcontainers import SortedDict

from heronstall.batch.jobs import BatchShard, Job, JobListener
from heronstall.transport.messages import LeaseShare

INITIAL_RUN_ESTIMATE = 1.0  # seconds assumed for running an item before any has been measured
RUN_ESTIMATE_WEIGHT = 0.05  # weight of a new measurement in the running average
CLAIM_WINDOW = 0.7  # seconds for dispatchers to claim what they run before a new owner leases anything
HOLDER_TIMEOUT = 2.5  # seconds without a call after which a dispatcher's items are requeued
RETRY_DELAY = 0.4  # seconds before a failed item is leased again; doubled by each further failure
MAX_RETRY_DELAY = 1.6  # seconds

LEASE_NUMBERS_PER_TERM = 2**32  # lease numbers available to one owner; those of a later term are higher
MAX_ITEMS_PER_CALL = 64  # items leased in one call
MAX_REPLY_BYTES = 512 * 1024  # bytes of encoded items in one reply

ItemKey = tuple[str, str]  # job id, item id
Position = tuple[float, int]  # monotonic time, sequence number of the arrival
Queue: TypeAlias = SortedDict[Position, ItemKey]


@dataclass
class Lease:
    """An item leased to a dispatcher. The number distinguishes it from earlier leases of the same item."""

    holder: str
    leased_at: float
    lease_number: int


class LeaseGrant(NamedTuple):
    """An item that has just been leased."""

    job: Job
    item: str
    lease_number: int


class QueuePlace(NamedTuple):
    """Where an item waits."""

    queue: Queue
    position: Position
    route: str | None = None  # of the queue; None for the items in their retry delay


class NextItem(NamedTuple):
    """The item of a queue that is to be leased next. The least one of several queues goes first."""

    is_overdue: bool  # it can no longer finish in time: others go first
    position: Position
    route: str


class LeaseQueue(JobListener):
    """The owner's queue of items, ordered by deadline, for each route.

    It is lost when the ownership changes; all open items then wait again.
    """

    def __init__(self, shard: BatchShard) -> None:
        self._shard = shard
        self._waiting: dict[str, Queue] = {}  # by route, then by deadline; a route without items has no queue
        self._paused: Queue = SortedDict()  # by the end of the retry delay
        self._run_estimate = INITIAL_RUN_ESTIMATE  # moving average of the seconds that an item takes
        self._queue_positions: dict[ItemKey, QueuePlace] = {}
        self._leases: dict[ItemKey, Lease] = {}
        self._items_by_holder: defaultdict[str, set[ItemKey]] = defaultdict(set)
        self._last_contact: dict[str, float] = {}
        self._latest_calls: dict[str, int] = {}  # by holder: number of its latest call for items
        self._last_lease_number = 0
        self._latest_reported: dict[ItemKey, int] = {}  # by open item: latest lease ended by a report
        self._failure_counts: Counter[ItemKey] = Counter()
        self._arrival_count = 0
        self.is_owner = False
        self._claim_window_end = 0.0

    @property
    def waiting(self) -> int:
        """Number of items that may be leased now."""
        return sum(map(len, self._waiting.values()))

    def waiting_by_route(self) -> dict[str, int]:
        """Returns the numbers of items that may be leased now, for the routes that have any."""
        return {route: len(queue) for route, queue in self._waiting.items()}

    def is_leased(self, key: ItemKey) -> bool:
        """Returns whether a dispatcher has an item."""
        return key in self._leases

    def set_ownership(self, now: float, is_owner: bool, term: int = 0) -> None:
        """Starts or stops owning the shard."""
        self.is_owner = is_owner
        self._last_lease_number = max(self._last_lease_number, term * LEASE_NUMBERS_PER_TERM)
        self._claim_window_end = now + CLAIM_WINDOW if self._shard.jobs else now
        self._latest_calls.clear()
        self.on_reset()

    def on_reset(self) -> None:
        """Requeues all open items."""
        self._waiting.clear()
        self._paused.clear()
        self._queue_positions.clear()
        self._leases.clear()
        self._items_by_holder.clear()
        self._latest_reported.clear()
        self._failure_counts.clear()
        if self.is_owner:
            for job in self._shard.jobs.values():
                if not job.ended:
                    self.on_job_accepted(job)

    def on_job_accepted(self, job: Job) -> None:
        """Queues the items of a new job."""
        if self.is_owner:
            for item in job.open_items:
                self._enqueue(job, item)

    def on_result_recorded(self, job: Job, item: str) -> None:
        """Removes an item that has its result."""
        self._discard((job.record.id, item))

    def on_job_ended(self, job: Job) -> None:
        """Removes the open items of an ended job."""
        for item in job.open_items:
            self._discard((job.record.id, item))

    def record_contact(self, now: float, holder: str) -> None:
        """Records a call of a dispatcher."""
        self._last_contact[holder] = now

    def begin_call(self, holder: str, call: int) -> bool:
        """Registers a dispatcher's call for items. Returns False if a later call has already arrived."""
        if call < self._latest_calls.get(holder, 0):
            return False
        self._latest_calls[holder] = call
        return True

    def lease_items(
        self,
        now: float,
        holder: str,
        max_items: int,
        max_bytes: int = MAX_REPLY_BYTES,
        routes: Collection[str] | None = None,
    ) -> list[LeaseGrant]:
        """Leases waiting items of the given routes, or of any, the earliest deadline first.

        Overdue items come last. Stops once the encoded items together reach `max_bytes`.
        """
        grants: list[LeaseGrant] = []
        if now < self._claim_window_end:
            return grants
        self.resume_paused(now)
        candidates = [
            self._next_of_route(now, route)
            for route in (self._waiting if routes is None else routes)
            if route in self._waiting
        ]
        heapify(candidates)
        size = 0
        while candidates and len(grants) < max_items and size < max_bytes:
            key = self._take(now, candidates)
            job = self._shard.jobs.get(key[0])
            if job is not None and key[1] in job.open_items and not job.ended:
                self._last_lease_number += 1
                self._add_lease(key, Lease(holder, now, self._last_lease_number))
                grants.append(LeaseGrant(job, key[1], self._last_lease_number))
                size += len(job.open_items[key[1]].encoded)
        return grants

    def lease_shares(self, now: float, holder: str, shares: Iterable[LeaseShare]) -> list[LeaseGrant]:
        """Leases the items of one reply: for each share, items of its routes, or of any if it names none."""
        grants: list[LeaseGrant] = []
        size = 0
        for share in shares:
            room = min(share.want, MAX_ITEMS_PER_CALL - len(grants))
            granted = self.lease_items(now, holder, room, MAX_REPLY_BYTES - size, share.routes or None)
            size += sum(len(grant.job.open_items[grant.item].encoded) for grant in granted)
            grants += granted
        return grants

    def _take(self, now: float, candidates: list[NextItem]) -> ItemKey:
        """Removes the first of the candidates, a heap with the next item of each route, from its queue."""
        route, position = candidates[0].route, candidates[0].position
        key: ItemKey = self._waiting[route][position]
        self._remove(key)
        if route in self._waiting:
            heapreplace(candidates, self._next_of_route(now, route))
        else:
            heappop(candidates)
        return key

    def _next_of_route(self, now: float, route: str) -> NextItem:
        queue = self._waiting[route]
        in_time_from = queue.bisect_left((now + self._run_estimate, 0))
        is_overdue = in_time_from == len(queue)
        position, _ = queue.peekitem(0 if is_overdue else in_time_from)
        return NextItem(is_overdue, position, route)

    def claim(self, now: float, holder: str, running: Mapping[ItemKey, int]) -> None:
        """Leases items to a dispatcher that reports running them, possibly under a lease of an earlier owner.

        The call may have been sent before a report that arrived first: a lease that the report has ended, or
        an earlier one, is not started again.
        """
        for key, lease_number in running.items():
            if key not in self._queue_positions or (
                lease_number and lease_number <= self._latest_reported.get(key, 0)
            ):
                continue
            self._remove(key)
            self._add_lease(key, Lease(holder, now, lease_number))

    def reclaim_lost_leases(self, holder: str, held: Set[ItemKey]) -> int:
        """Requeues the items leased to a dispatcher that it does not hold, and returns their number.

        `held` is everything that the dispatcher holds; the grants of its other leases never reached it.
        """
        lost = [key for key in self._items_by_holder.get(holder, ()) if key not in held]
        for key in lost:
            self._requeue(key)
        return len(lost)

    def record_run_time(self, now: float, key: ItemKey) -> None:
        """Updates the run time estimate with an item that a worker has finished."""
        lease = self._leases.get(key)
        if lease is not None:
            self._run_estimate += RUN_ESTIMATE_WEIGHT * (now - lease.leased_at - self._run_estimate)

    def return_item(self, holder: str, key: ItemKey, lease_number: int = 0) -> bool:
        """Requeues an item that a dispatcher has not finished.

        Returns False if that lease had already ended.
        """
        self._record_report(key, lease_number)
        return self._end_reported_lease(holder, key, lease_number)

    def record_failure(self, now: float, holder: str, key: ItemKey, lease_number: int = 0) -> int:
        """Records that a worker failed at an item, and returns the number of failures.

        The item waits again after a delay. Without the delay, all attempts of an item would fail within the
        second in which all workers are in trouble. A repeated report is not counted again.
        """
        if self._record_report(key, lease_number):
            self._failure_counts[key] += 1
        if self._end_reported_lease(holder, key, lease_number) and key in self._queue_positions:
            self._pause_item(now, key)
        return self._failure_counts[key]

    def resume_paused(self, now: float) -> int:
        """Requeues the items whose retry delay is over, and returns their number."""
        resumed = 0
        while self._paused and self._paused.peekitem(0)[0][0] <= now:
            _, key = self._paused.popitem(0)
            del self._queue_positions[key]
            self._enqueue(self._shard.jobs[key[0]], key[1])
            resumed += 1
        return resumed

    def _pause_item(self, now: float, key: ItemKey) -> None:
        self._remove(key)
        delay = min(MAX_RETRY_DELAY, RETRY_DELAY * 2.0 ** (self._failure_counts[key] - 1))
        self._arrival_count += 1
        self._insert(QueuePlace(self._paused, (now + delay, self._arrival_count)), key)

    def _end_reported_lease(self, holder: str, key: ItemKey, lease_number: int) -> bool:
        """Ends the lease that a report names. Returns False if it had already ended."""
        lease = self._leases.get(key)
        if lease is None or lease.holder != holder or lease_number not in (0, lease.lease_number):
            return False
        self._requeue(key)
        return True

    def _record_report(self, key: ItemKey, lease_number: int) -> bool:
        """Records a report. Returns whether neither its lease nor a later one was reported before."""
        if not lease_number:
            return True  # from a dispatcher that does not number its leases
        if lease_number <= self._latest_reported.get(key, 0):
            return False
        self._latest_reported[key] = lease_number
        return True

    def expire_silent_holders(self, now: float) -> int:
        """Requeues the items of silent dispatchers, and returns their number."""
        silent = {
            holder for holder, contact_at in self._last_contact.items() if now - contact_at > HOLDER_TIMEOUT
        }
        for holder in silent:
            del self._last_contact[holder]
            self._latest_calls.pop(holder, None)
        lost = [key for key, lease in self._leases.items() if lease.holder not in self._last_contact]
        for key in lost:
            self._requeue(key)
        return len(lost)

    def _add_lease(self, key: ItemKey, lease: Lease) -> None:
        self._leases[key] = lease
        self._items_by_holder[lease.holder].add(key)

    def _end_lease(self, key: ItemKey) -> None:
        lease = self._leases.pop(key, None)
        if lease is None:
            return
        held = self._items_by_holder[lease.holder]
        held.discard(key)
        if not held:
            del self._items_by_holder[lease.holder]

    def _requeue(self, key: ItemKey) -> None:
        self._end_lease(key)
        job = self._shard.jobs.get(key[0])
        if job is not None and key[1] in job.open_items and not job.ended:
            self._enqueue(job, key[1])

    def _enqueue(self, job: Job, item: str) -> None:
        key = (job.record.id, item)
        if key in self._queue_positions:
            return
        self._arrival_count += 1
        queue = self._waiting.setdefault(job.record.route, SortedDict())
        position = (job.accepted_at + job.record.completion_ms / 1000, self._arrival_count)
        self._insert(QueuePlace(queue, position, job.record.route), key)

    def _insert(self, place: QueuePlace, key: ItemKey) -> None:
        place.queue[place.position] = key
        self._queue_positions[key] = place

    def _remove(self, key: ItemKey) -> None:
        place = self._queue_positions.pop(key)
        del place.queue[place.position]
        if place.route is not None and not place.queue:
            del self._waiting[place.route]

    def _discard(self, key: ItemKey) -> None:
        if key in self._queue_positions:
            self._remove(key)
        self._end_lease(key)
        self._latest_reported.pop(key, None)
        self._failure_counts.pop(key, None)
