"""Which items of a shard wait and which are at a dispatcher, in the memory of the shard's owner."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Set
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from sortedcontainers import SortedDict

from heronstall.batch.jobs import BatchShard, Job, JobListener

INITIAL_RUN_ESTIMATE = 1.0  # seconds that an item is taken to need until that is learnt
RUN_ESTIMATE_WEIGHT = 0.05  # weight of a new item in that
CLAIM_WINDOW = (
    0.7  # seconds in which dispatchers tell a new owner what they run, before it gives anything out
)
HOLDER_TIMEOUT = 2.5  # seconds without a call after which a dispatcher's items are given to others
RETRY_DELAY = (
    0.4  # seconds before an item at which a worker failed is given out again; doubled by each failure
)
MAX_RETRY_DELAY = 1.6

LEASE_NUMBERS_PER_TERM = 2**32  # lease numbers of one owner; those of a later term are higher
MAX_ITEMS_PER_CALL = 64  # items given out in one call
MAX_REPLY_BYTES = 512 * 1024  # of items given out in one answer

ItemKey = tuple[str, str]  # job, item
Position = tuple[float, int]  # steady time, number of arrival
Queue: TypeAlias = SortedDict[Position, ItemKey]


@dataclass
class Lease:
    """An item at a dispatcher. `number` tells it from earlier leases of the same item."""

    holder: str
    leased_at: float
    lease_number: int


class LeaseGrant(NamedTuple):
    """An item that is leased now."""

    job: Job
    item: str
    lease_number: int


class LeaseQueue(JobListener):
    """The owner's queue, by deadline. Lost with the ownership: then all open items wait again."""

    def __init__(self, shard: BatchShard) -> None:
        self._shard = shard
        self._waiting: Queue = SortedDict()  # by deadline
        self._overdue: Queue = SortedDict()  # by deadline; can't be in time any more
        self._paused: Queue = SortedDict()  # by the end of the pause after a failure
        self._run_estimate = INITIAL_RUN_ESTIMATE  # seconds that an item takes, learnt
        self._queue_positions: dict[ItemKey, tuple[Queue, Position]] = {}
        self._leases: dict[ItemKey, Lease] = {}
        self._items_by_holder: defaultdict[str, set[ItemKey]] = defaultdict(set)  # by holder
        self._last_contact: dict[str, float] = {}
        self._latest_calls: dict[str, int] = {}  # by holder: its latest call for items
        self._last_lease_number = 0
        self._latest_reported: dict[
            ItemKey, int
        ] = {}  # by open item: the latest lease that a report has ended
        self._failure_counts: Counter[ItemKey] = Counter()
        self._arrival_count = 0
        self.is_owner = False
        self._claim_window_end = 0.0

    @property
    def waiting(self) -> int:
        """Items that may be given out now."""
        return len(self._waiting) + len(self._overdue)

    def set_ownership(self, now: float, leads: bool, term: int = 0) -> None:
        """Begin or cease to own the shard."""
        self.is_owner = leads
        self._last_lease_number = max(self._last_lease_number, term * LEASE_NUMBERS_PER_TERM)
        self._claim_window_end = now + CLAIM_WINDOW if self._shard.jobs else now
        self._latest_calls.clear()
        self.on_reset()

    def on_reset(self) -> None:
        """All open items wait again."""
        self._waiting.clear()
        self._overdue.clear()
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
        """A job's items wait."""
        if self.is_owner:
            for item in job.open_items:
                self._enqueue(job, item)

    def on_result_recorded(self, job: Job, item: str) -> None:
        """An item needs no run any more."""
        self._discard((job.record.id, item))

    def on_job_ended(self, job: Job) -> None:
        """No item of a job needs a run any more."""
        for item in job.open_items:
            self._discard((job.record.id, item))

    def record_contact(self, now: float, holder: str) -> None:
        """A dispatcher has called."""
        self._last_contact[holder] = now

    def begin_call(self, holder: str, call: int) -> bool:
        """A dispatcher has sent its next call for items. False where a later one of it came before."""
        if call < self._latest_calls.get(holder, 0):
            return False
        self._latest_calls[holder] = call
        return True

    def lease_items(
        self, now: float, holder: str, want: int, most_bytes: int = MAX_REPLY_BYTES
    ) -> list[LeaseGrant]:
        """Lease items that wait, the earliest deadline first; those that can't be in time give way.

        No more items are given once, encoded, they have `most_bytes` together.
        """
        given: list[LeaseGrant] = []
        if now < self._claim_window_end:
            return given
        self.resume_paused(now)
        while self._waiting and self._waiting.peekitem(0)[0][0] < now + self._run_estimate:
            position, key = self._waiting.popitem(0)
            self._insert(self._overdue, position, key)
        size = 0
        while len(given) < want and size < most_bytes and (self._waiting or self._overdue):
            _, key = (self._waiting or self._overdue).popitem(0)
            del self._queue_positions[key]
            job = self._shard.jobs.get(key[0])
            if job is not None and key[1] in job.open_items and not job.ended:
                self._last_lease_number += 1
                self._add_lease(key, Lease(holder, now, self._last_lease_number))
                given.append(LeaseGrant(job, key[1], self._last_lease_number))
                size += len(job.open_items[key[1]].encoded)
        return given

    def claim(self, now: float, holder: str, running: Mapping[ItemKey, int]) -> None:
        """A dispatcher tells what it runs, by lease number, maybe leased by an owner before this one.

        The call may have been sent before a report that came before it: a lease that this report ended,
        or one before that, is not begun again.
        """
        for key, number in running.items():
            if key not in self._queue_positions or (number and number <= self._latest_reported.get(key, 0)):
                continue
            self._remove(key)
            self._add_lease(key, Lease(holder, now, number))

    def reclaim_lost_leases(self, holder: str, kept: Set[ItemKey]) -> int:
        """All that a dispatcher holds is told: its other leases never reached it and wait again; how many."""
        lost = [key for key in self._items_by_holder.get(holder, ()) if key not in kept]
        for key in lost:
            self._requeue(key)
        return len(lost)

    def record_run_time(self, now: float, key: ItemKey) -> None:
        """A worker has done an item: learn how long that took."""
        lease = self._leases.get(key)
        if lease is not None:
            self._run_estimate += RUN_ESTIMATE_WEIGHT * (now - lease.leased_at - self._run_estimate)

    def return_item(self, holder: str, key: ItemKey, number: int = 0) -> bool:
        """A dispatcher returns an item that it has not finished. False where that lease has ended before."""
        self._is_first_report(key, number)
        return self._end_reported_lease(holder, key, number)

    def record_failure(self, now: float, holder: str, key: ItemKey, number: int = 0) -> int:
        """A worker has failed at an item; how often that has happened. The item waits again, after a pause.

        A report that comes again counts nothing. Without the pause, all attempts of an item would fail within
        the second in which all workers are in trouble.
        """
        if self._is_first_report(key, number):
            self._failure_counts[key] += 1
        if self._end_reported_lease(holder, key, number) and key in self._queue_positions:
            self._pause_item(now, key)
        return self._failure_counts[key]

    def resume_paused(self, now: float) -> int:
        """Items whose pause is over may be given out; how many there were."""
        resumed = 0
        while self._paused and self._paused.peekitem(0)[0][0] <= now:
            _, key = self._paused.popitem(0)
            del self._queue_positions[key]
            self._enqueue(self._shard.jobs[key[0]], key[1])
            resumed += 1
        return resumed

    def _pause_item(self, now: float, key: ItemKey) -> None:
        self._remove(key)
        pause = min(MAX_RETRY_DELAY, RETRY_DELAY * 2.0 ** (self._failure_counts[key] - 1))
        self._arrival_count += 1
        self._insert(self._paused, (now + pause, self._arrival_count), key)

    def _end_reported_lease(self, holder: str, key: ItemKey, number: int) -> bool:
        """Take back the lease that a report ends. False where it has ended before."""
        lease = self._leases.get(key)
        if lease is None or lease.holder != holder or number not in (0, lease.lease_number):
            return False
        self._requeue(key)
        return True

    def _is_first_report(self, key: ItemKey, number: int) -> bool:
        """Whether neither this lease nor a later one of the item was reported before."""
        if not number:
            return True  # from a dispatcher that does not number its leases
        if number <= self._latest_reported.get(key, 0):
            return False
        self._latest_reported[key] = number
        return True

    def expire_silent_holders(self, now: float) -> int:
        """Take back the items of silent dispatchers; how many."""
        silent = {h for h, at in self._last_contact.items() if now - at > HOLDER_TIMEOUT}
        for holder in silent:
            del self._last_contact[holder]
            self._latest_calls.pop(holder, None)
        lost = [k for k, lease in self._leases.items() if lease.holder not in self._last_contact]
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
        self._insert(
            self._waiting, (job.accepted_at + job.record.completion_ms / 1000, self._arrival_count), key
        )

    def _insert(self, queue: Queue, position: Position, key: ItemKey) -> None:
        queue[position] = key
        self._queue_positions[key] = (queue, position)

    def _remove(self, key: ItemKey) -> None:
        queue, position = self._queue_positions.pop(key)
        del queue[position]

    def _discard(self, key: ItemKey) -> None:
        if key in self._queue_positions:
            self._remove(key)
        self._end_lease(key)
        self._latest_reported.pop(key, None)
        self._failure_counts.pop(key, None)
