"""How many batch items a dispatcher runs, and which workers have room for one. Free of I/O.

What live requests leave free at a worker is shared out among the dispatchers by their seats. So items are
spread evenly over the workers, though dispatchers hear of each other's late. How much is left to live
requests depends on whether more items wait, and on how soon those given to this dispatcher are due.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from heronstall.dataplane.workers import WorkerPool, WorkerState

# Square roots of a worker's places that items leave free for live requests to come: these vary by such roots.
SPARE_AT_LEISURE = 1.2
SPARE_BACKLOG = 0.5  # while more items wait than dispatchers ask for: the quota would turn jobs away
SPARE_URGENT = 0.2
# Parts of its job's time that an item has left when it is leased: urgent up to one, not from the other on.
URGENT_LEFT = 0.2
LEISURE_LEFT = 0.6
TOLD_FOR = 2.0  # seconds for which the time left of a leased item counts
LEAST_FULL = 0.5  # requests at a worker below which it takes an item, however few places it has
ITEMS_LEAST = 0.1  # part of a worker's places that batch items get, however many live requests there are
IDLE = 0.25  # part of a worker's places in use below which it takes an item of a dispatcher that runs none
FIRST_PLACES = 2.0  # batch items that a dispatcher runs at its start
PLACES_PER_SECOND = 5.0  # by which that grows, until the others are known
AHEAD = 0.3  # items leased beyond the places, as a part of these: a place that becomes free waits for no call


class ItemPlaces:
    """Bounds the batch items of one dispatcher."""

    def __init__(self, pool: WorkerPool, clock: Callable[[], float]) -> None:
        self._pool, self._clock = pool, clock
        self.began = clock()
        self._left = 1.0  # part of their jobs' time that items had when they were leased
        self._backlog = False
        self._left_at = -math.inf

    def leased(self, left: float, backlog: bool) -> None:
        """Items were asked for; `left` is the least part of its job's time that one has, 1 if all are late.

        `backlog`: as many came as were wanted, so that others may wait.
        """
        self._left, self._backlog, self._left_at = left, backlog, self._clock()

    def takes(self, worker: WorkerState) -> bool:
        """Whether a worker has room for a batch item of this dispatcher."""
        if worker.total_load >= self._full(worker):
            return False
        places = self._places(worker)
        return worker.items < places if places else self._takes_outside(worker)

    def _takes_outside(self, worker: WorkerState) -> bool:
        """Whether a worker takes an item of a dispatcher that has no place there: one, in two cases.

        It is nearly idle and the dispatcher runs none, since those who share it may be gone; or a worker that
        the dispatcher has a share of is out of reach, and what it has leased is not to wait for that.
        """
        if worker.items:
            return False
        service = worker.entry.service
        return (self._is_idle(worker) and not self._running(service)) or self._misses_a_worker(service)

    def _misses_a_worker(self, service: str) -> bool:
        now = self._clock()
        shared = (self._pool.by_id.get(name) for name in self._pool.worker_shares(service))
        return any(w is None or w.avoid_until > now or w.attempts.suspected(now) for w in shared)

    def room(self, service: str) -> bool:
        """Whether some worker takes a batch item now."""
        return any(self.takes(worker) for worker in self._reached(service))

    def most(self, service: str) -> int:
        """Batch items that this dispatcher may run for a service at a time."""
        places, idle = 0, False
        for worker in self._reached(service):
            places += self._places(worker)
            idle = idle or self._is_idle(worker)
        started = FIRST_PLACES + PLACES_PER_SECOND * (self._clock() - self.began)
        return min(int(started), max(places, int(idle)))

    def to_lease(self, service: str) -> int:
        """Batch items of a service that this dispatcher may hold, those that wait for a place included."""
        return math.ceil((1 + AHEAD) * self.most(service))

    def _reached(self, service: str) -> Iterator[WorkerState]:
        now = self._clock()
        return (w for w in self._pool.of_service(service) if w.ready and w.avoid_until <= now)

    def _places(self, worker: WorkerState) -> int:
        """This dispatcher's places at a worker: whole ones, of which each is one dispatcher's."""
        share = self._pool.worker_shares(worker.entry.service).get(worker.entry.id)
        if share is None:
            return 0
        left = self._full(worker) - worker.live_requests
        return share.slots(max(1.0, ITEMS_LEAST * worker.capacity, left))

    def _full(self, worker: WorkerState) -> float:
        """Requests and items at a worker from which it has no room for an item."""
        return max(LEAST_FULL, worker.capacity - self._spare() * math.sqrt(worker.capacity))

    def _spare(self) -> float:
        if self._clock() - self._left_at > TOLD_FOR:
            return SPARE_AT_LEISURE
        most = SPARE_BACKLOG if self._backlog else SPARE_AT_LEISURE
        leisure = (self._left - URGENT_LEFT) / (LEISURE_LEFT - URGENT_LEFT)
        return SPARE_URGENT + (most - SPARE_URGENT) * min(1.0, max(0.0, leisure))

    def _running(self, service: str) -> int:
        return sum(worker.items for worker in self._pool.of_service(service))

    @staticmethod
    def _is_idle(worker: WorkerState) -> bool:
        """Whether a worker takes an item whosever its places are: their dispatcher may be gone or cut off."""
        return worker.total_load < IDLE * worker.capacity
