"""Which worker a request or an item goes to, and how many items may run."""

from __future__ import annotations

import random
import time

from heronstall.dataplane.prefixes import SharedPrefix, affinity
from heronstall.dataplane.workers import WorkerPool, WorkerState

AVOID_FIRST = 0.3  # seconds that a worker is left alone after a failure; doubled by each further one
AVOID_MOST = 4.0
LARGE_PREFIX = 1500  # shared tokens from which reading them again costs more than an uneven load
HOME = 60.0  # times the weight of the worker that such shared parts belong to
LIVE_RESERVE = 0.4  # part of the engines' places that batch items leave to live requests
DEFAULT_CAPACITY = 8


class Admission:
    """Draws workers by own load, and bounds the batch items of this dispatcher."""

    def __init__(self, pool: WorkerPool, rng: random.Random) -> None:
        self._pool = pool
        self._random = rng
        self.edges = 1

    def pick(
        self, service: str, prefix: SharedPrefix, tried: set[str], for_item: bool = False
    ) -> WorkerState | None:
        """A worker to send to, by a draw weighted by the inverse of one plus own work there."""
        now = time.monotonic()
        able = [w for w in self._pool.of(service) if w.ready and w.entry.id not in tried]
        good = [w for w in able if w.avoid_until <= now]
        if not good and not for_item:
            good = able
        if for_item:
            good = [w for w in good if w.items < self.items_each(w)]
        if not good:
            return None
        weights = [(1.0 / (1 + w.inflight)) ** 2 for w in good]
        if prefix.tokens >= LARGE_PREFIX:
            home = max(range(len(good)), key=lambda k: affinity(prefix.part, good[k].entry.id))
            weights[home] *= HOME
        return self._random.choices(good, weights)[0]

    def items_each(self, worker: WorkerState) -> int:
        """Batch items of this dispatcher that one worker may have."""
        capacity = worker.entry.capacity or DEFAULT_CAPACITY
        return max(1, round(capacity * (1 - LIVE_RESERVE) / self.edges * 1.5))

    def item_places(self, service: str) -> int:
        """Batch items that this dispatcher may run for a service at a time."""
        total = sum(w.entry.capacity or DEFAULT_CAPACITY for w in self._pool.of(service) if w.ready)
        return max(1, int(total * (1 - LIVE_RESERVE) / self.edges))

    def sent(self, worker: WorkerState) -> None:
        """A request goes to a worker."""
        worker.inflight += 1

    def done(self, worker: WorkerState, well: bool) -> None:
        """A request at a worker has ended."""
        worker.inflight -= 1
        if well:
            worker.failures = max(0.0, worker.failures - 1)
        if worker.entry.state == "gone" and not worker.inflight:
            worker.close()

    def failed(self, worker: WorkerState) -> None:
        """A worker was not reached, or broke off."""
        worker.failures = min(6.0, worker.failures + 1)
        pause = min(AVOID_MOST, AVOID_FIRST * 2 ** (worker.failures - 1))
        worker.avoid_until = time.monotonic() + pause * (0.8 + 0.4 * self._random.random())

    def full(self, worker: WorkerState) -> None:
        """A worker has refused for want of room."""
        worker.avoid_until = max(worker.avoid_until, time.monotonic() + 0.05)
