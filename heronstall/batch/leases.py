"""Which items of a shard wait and which are at a dispatcher, in the memory of the shard's owner."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Set
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from sortedcontainers import SortedDict

from heronstall.batch.jobs import BatchShard, Job, JobListener

FIRST_RUN = 1.0  # seconds that an item is taken to need until that is learnt
RUN_LEARNT = 0.05  # weight of a new item in that
SETTLE = 0.7  # seconds in which dispatchers tell a new owner what they run, before it gives anything out
HOLDER_SILENT = 2.5  # seconds without a call after which a dispatcher's items are given to others
FAILED_PAUSE = (
    0.4  # seconds before an item at which a worker failed is given out again; doubled by each failure
)
FAILED_PAUSE_MOST = 1.6

LEASES_OF_A_TERM = 2**32  # lease numbers of one owner; those of a later term are higher
ITEM_LIMIT = 64  # items given out in one call
ANSWER_BYTES = 512 * 1024  # of items given out in one answer

ItemKey = tuple[str, str]  # job, item
Position = tuple[float, int]  # steady time, number of arrival
Queue: TypeAlias = SortedDict[Position, ItemKey]


@dataclass
class Lease:
    """An item at a dispatcher. `number` tells it from earlier leases of the same item."""

    holder: str
    since: float
    number: int


class Given(NamedTuple):
    """An item that is leased now."""

    job: Job
    item: str
    number: int


class Leases(JobListener):
    """The owner's queue, by deadline. Lost with the ownership: then all open items wait again."""

    def __init__(self, shard: BatchShard) -> None:
        self._shard = shard
        self._waiting: Queue = SortedDict()  # by deadline
        self._late: Queue = SortedDict()  # by deadline; can't be in time any more
        self._paused: Queue = SortedDict()  # by the end of the pause after a failure
        self._run = FIRST_RUN  # seconds that an item takes, learnt
        self._place: dict[ItemKey, tuple[Queue, Position]] = {}
        self._leased: dict[ItemKey, Lease] = {}
        self._leased_to: defaultdict[str, set[ItemKey]] = defaultdict(set)  # by holder
        self._seen: dict[str, float] = {}
        self._calls: dict[str, int] = {}  # by holder: its latest call for items
        self._last_lease = 0
        self._reported: dict[ItemKey, int] = {}  # by open item: the latest lease that a report has ended
        self._failures: Counter[ItemKey] = Counter()
        self._numbers = 0
        self.leading = False
        self._settled_at = 0.0

    @property
    def waiting(self) -> int:
        """Items that may be given out now."""
        return len(self._waiting) + len(self._late)

    def lead(self, now: float, leads: bool, term: int = 0) -> None:
        """Begin or cease to own the shard."""
        self.leading = leads
        self._last_lease = max(self._last_lease, term * LEASES_OF_A_TERM)
        self._settled_at = now + SETTLE if self._shard.jobs else now
        self._calls.clear()
        self.reset()

    def reset(self) -> None:
        """All open items wait again."""
        self._waiting.clear()
        self._late.clear()
        self._paused.clear()
        self._place.clear()
        self._leased.clear()
        self._leased_to.clear()
        self._reported.clear()
        self._failures.clear()
        if self.leading:
            for job in self._shard.jobs.values():
                if not job.ended:
                    self.accepted(job)

    def accepted(self, job: Job) -> None:
        """A job's items wait."""
        if self.leading:
            for item in job.open_items:
                self._wait(job, item)

    def listed(self, job: Job, item: str) -> None:
        """An item needs no run any more."""
        self._drop((job.record.id, item))

    def ended(self, job: Job) -> None:
        """No item of a job needs a run any more."""
        for item in job.open_items:
            self._drop((job.record.id, item))

    def seen(self, now: float, holder: str) -> None:
        """A dispatcher has called."""
        self._seen[holder] = now

    def begin_call(self, holder: str, call: int) -> bool:
        """A dispatcher has sent its next call for items. False where a later one of it came before."""
        if call < self._calls.get(holder, 0):
            return False
        self._calls[holder] = call
        return True

    def take(self, now: float, holder: str, want: int, most_bytes: int = ANSWER_BYTES) -> list[Given]:
        """Lease items that wait, the earliest deadline first; those that can't be in time give way.

        No more items are given once, encoded, they have `most_bytes` together.
        """
        given: list[Given] = []
        if now < self._settled_at:
            return given
        self.resume(now)
        while self._waiting and self._waiting.peekitem(0)[0][0] < now + self._run:
            position, key = self._waiting.popitem(0)
            self._put(self._late, position, key)
        size = 0
        while len(given) < want and size < most_bytes and (self._waiting or self._late):
            _, key = (self._waiting or self._late).popitem(0)
            del self._place[key]
            job = self._shard.jobs.get(key[0])
            if job is not None and key[1] in job.open_items and not job.ended:
                self._last_lease += 1
                self._lease(key, Lease(holder, now, self._last_lease))
                given.append(Given(job, key[1], self._last_lease))
                size += len(job.open_items[key[1]].encoded)
        return given

    def claim(self, now: float, holder: str, running: Mapping[ItemKey, int]) -> None:
        """A dispatcher tells what it runs, by lease number, maybe leased by an owner before this one.

        The call may have been sent before a report that came before it: a lease that this report ended,
        or one before that, is not begun again.
        """
        for key, number in running.items():
            if key not in self._place or (number and number <= self._reported.get(key, 0)):
                continue
            self._remove(key)
            self._lease(key, Lease(holder, now, number))

    def take_back(self, holder: str, kept: Set[ItemKey]) -> int:
        """All that a dispatcher holds is told: its other leases never reached it and wait again; how many."""
        lost = [key for key in self._leased_to.get(holder, ()) if key not in kept]
        for key in lost:
            self._again(key)
        return len(lost)

    def finished(self, now: float, key: ItemKey) -> None:
        """A worker has done an item: learn how long that took."""
        lease = self._leased.get(key)
        if lease is not None:
            self._run += RUN_LEARNT * (now - lease.since - self._run)

    def give_back(self, holder: str, key: ItemKey, number: int = 0) -> bool:
        """A dispatcher returns an item that it has not finished. False where that lease has ended before."""
        self._first_report(key, number)
        return self._end_report(holder, key, number)

    def failed(self, now: float, holder: str, key: ItemKey, number: int = 0) -> int:
        """A worker has failed at an item; how often that has happened. The item waits again, after a pause.

        A report that comes again counts nothing. Without the pause, all attempts of an item would fail within
        the second in which all workers are in trouble.
        """
        if self._first_report(key, number):
            self._failures[key] += 1
        if self._end_report(holder, key, number) and key in self._place:
            self._pause(now, key)
        return self._failures[key]

    def resume(self, now: float) -> int:
        """Items whose pause is over may be given out; how many there were."""
        resumed = 0
        while self._paused and self._paused.peekitem(0)[0][0] <= now:
            _, key = self._paused.popitem(0)
            del self._place[key]
            self._wait(self._shard.jobs[key[0]], key[1])
            resumed += 1
        return resumed

    def _pause(self, now: float, key: ItemKey) -> None:
        self._remove(key)
        pause = min(FAILED_PAUSE_MOST, FAILED_PAUSE * 2.0 ** (self._failures[key] - 1))
        self._numbers += 1
        self._put(self._paused, (now + pause, self._numbers), key)

    def _end_report(self, holder: str, key: ItemKey, number: int) -> bool:
        """Take back the lease that a report ends. False where it has ended before."""
        lease = self._leased.get(key)
        if lease is None or lease.holder != holder or number not in (0, lease.number):
            return False
        self._again(key)
        return True

    def _first_report(self, key: ItemKey, number: int) -> bool:
        """Whether neither this lease nor a later one of the item was reported before."""
        if not number:
            return True  # from a dispatcher that does not number its leases
        if number <= self._reported.get(key, 0):
            return False
        self._reported[key] = number
        return True

    def expire(self, now: float) -> int:
        """Take back the items of silent dispatchers; how many."""
        silent = {h for h, at in self._seen.items() if now - at > HOLDER_SILENT}
        for holder in silent:
            del self._seen[holder]
            self._calls.pop(holder, None)
        lost = [k for k, lease in self._leased.items() if lease.holder not in self._seen]
        for key in lost:
            self._again(key)
        return len(lost)

    def _lease(self, key: ItemKey, lease: Lease) -> None:
        self._leased[key] = lease
        self._leased_to[lease.holder].add(key)

    def _end_lease(self, key: ItemKey) -> None:
        lease = self._leased.pop(key, None)
        if lease is None:
            return
        held = self._leased_to[lease.holder]
        held.discard(key)
        if not held:
            del self._leased_to[lease.holder]

    def _again(self, key: ItemKey) -> None:
        self._end_lease(key)
        job = self._shard.jobs.get(key[0])
        if job is not None and key[1] in job.open_items and not job.ended:
            self._wait(job, key[1])

    def _wait(self, job: Job, item: str) -> None:
        key = (job.record.id, item)
        if key in self._place:
            return
        self._numbers += 1
        self._put(self._waiting, (job.accepted_at + job.record.completion_ms / 1000, self._numbers), key)

    def _put(self, queue: Queue, position: Position, key: ItemKey) -> None:
        queue[position] = key
        self._place[key] = (queue, position)

    def _remove(self, key: ItemKey) -> None:
        queue, position = self._place.pop(key)
        del queue[position]

    def _drop(self, key: ItemKey) -> None:
        if key in self._place:
            self._remove(key)
        self._end_lease(key)
        self._reported.pop(key, None)
        self._failures.pop(key, None)
