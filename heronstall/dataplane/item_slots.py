"""Limits the batch items of a dispatcher and decides which workers accept one. Performs no I/O.

The slots that live requests leave free at a worker are divided among the dispatchers by their positions.
Items are therefore spread evenly over the workers although dispatchers learn of each other's load late. The
number of slots that is reserved for live requests depends on whether more items wait, and on how soon those
leased by this dispatcher are due.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from heronstall.dataplane.workers import WorkerPool, WorkerState

# Slots that items leave free for arriving live requests, in square roots of a worker's capacity, since the
# number of live requests varies in proportion to that root.
RESERVE_RELAXED = 1.2
# While more items wait than dispatchers request: the quota would otherwise reject further jobs.
RESERVE_BACKLOG = 0.5
RESERVE_URGENT = 0.2
# Fractions of its job's time that an item has left when it is leased: it is urgent up to the first value
# and relaxed from the second.
URGENT_TIME_LEFT = 0.2
RELAXED_TIME_LEFT = 0.6
URGENCY_LIFETIME_S = 2.0  # for which the time left of the latest leased items counts
MIN_ITEM_LIMIT = 0.5  # load below which a worker accepts an item, however small its capacity is
MIN_ITEM_SHARE = 0.1  # fraction of a worker's capacity that batch items get however high the live load is
IDLE_UTILISATION = 0.25  # below it a worker accepts an item of a dispatcher that runs none
INITIAL_SLOTS = 2.0  # batch items that a dispatcher runs just after its start
SLOTS_PER_SECOND = 5.0  # growth of that limit, while the other dispatchers become known
LEASE_AHEAD_SHARE = 0.3  # items leased beyond the slots, so that a slot that becomes free waits for no call


class ItemSlots:
    """Limits the batch items of one dispatcher."""

    def __init__(self, pool: WorkerPool, clock: Callable[[], float]) -> None:
        self._pool, self._clock = pool, clock
        self.started_at = clock()
        self._time_left = 1.0  # least fraction of their jobs' time that items had left when they were leased
        self._backlog = False
        self._leased_at = -math.inf

    def record_lease(self, time_left: float, backlog: bool) -> None:
        """Records the result of a request for items.

        `time_left` is the least fraction of its job's time that an item has left, 1 if all are late.
        `backlog` tells that as many items came as were requested, so that others may be waiting.
        """
        self._time_left, self._backlog, self._leased_at = time_left, backlog, self._clock()

    def accepts(self, worker: WorkerState) -> bool:
        """Returns whether a worker accepts a batch item of this dispatcher."""
        if worker.total_load >= self._item_limit(worker):
            return False
        slots = self._own_slots(worker)
        return worker.items < slots if slots else self._accepts_without_slot(worker)

    def _accepts_without_slot(self, worker: WorkerState) -> bool:
        """Returns whether a worker accepts an item of a dispatcher that has no slot there.

        It accepts one in two cases. The worker is nearly idle and the dispatcher runs no item, since the
        dispatchers that share the worker may be gone. Or a worker of which the dispatcher has a share is
        unreachable, and the items leased for it should not wait.
        """
        if worker.items:
            return False
        service = worker.entry.service
        return (self._is_idle(worker) and not self._running(service)) or self._has_unreachable_share(service)

    def _has_unreachable_share(self, service: str) -> bool:
        now = self._clock()
        shared = (self._pool.by_id.get(name) for name in self._pool.worker_shares(service))
        return any(w is None or w.avoid_until > now or w.attempts.suspected(now) for w in shared)

    def has_free_slot(self, service: str) -> bool:
        """Returns whether some worker accepts a batch item now."""
        return any(self.accepts(worker) for worker in self._reachable(service))

    def max_running(self, service: str) -> int:
        """Returns the number of batch items that this dispatcher may run for a service at a time."""
        slots, idle = 0, False
        for worker in self._reachable(service):
            slots += self._own_slots(worker)
            idle = idle or self._is_idle(worker)
        start_limit = INITIAL_SLOTS + SLOTS_PER_SECOND * (self._clock() - self.started_at)
        return min(int(start_limit), max(slots, int(idle)))

    def max_leased(self, service: str) -> int:
        """Returns the number of batch items that this dispatcher may hold, running or waiting for a slot."""
        return math.ceil((1 + LEASE_AHEAD_SHARE) * self.max_running(service))

    def _reachable(self, service: str) -> Iterator[WorkerState]:
        now = self._clock()
        return (w for w in self._pool.of_service(service) if w.ready and w.avoid_until <= now)

    def _own_slots(self, worker: WorkerState) -> int:
        """Returns this dispatcher's whole slots at a worker; each slot belongs to one dispatcher."""
        share = self._pool.worker_shares(worker.entry.service).get(worker.entry.id)
        if share is None:
            return 0
        free = self._item_limit(worker) - worker.live_requests
        return share.slots(max(1.0, MIN_ITEM_SHARE * worker.capacity, free))

    def _item_limit(self, worker: WorkerState) -> float:
        """Returns the load from which a worker accepts no item."""
        return max(MIN_ITEM_LIMIT, worker.capacity - self._reserve() * math.sqrt(worker.capacity))

    def _reserve(self) -> float:
        if self._clock() - self._leased_at > URGENCY_LIFETIME_S:
            return RESERVE_RELAXED
        upper = RESERVE_BACKLOG if self._backlog else RESERVE_RELAXED
        relaxation = (self._time_left - URGENT_TIME_LEFT) / (RELAXED_TIME_LEFT - URGENT_TIME_LEFT)
        return RESERVE_URGENT + (upper - RESERVE_URGENT) * min(1.0, max(0.0, relaxation))

    def _running(self, service: str) -> int:
        return sum(worker.items for worker in self._pool.of_service(service))

    @staticmethod
    def _is_idle(worker: WorkerState) -> bool:
        """Returns whether a worker accepts an item regardless of shares, as their owners may be gone."""
        return worker.total_load < IDLE_UTILISATION * worker.capacity
