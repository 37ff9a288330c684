"""What a dispatcher has at the workers: draws, bounds for batch items, and what attempts tell of a worker."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from heronstall.dataplane.draw import WorkerDraw
from heronstall.dataplane.item_places import ItemPlaces
from heronstall.dataplane.pace import UsualPace
from heronstall.dataplane.prefixes import SharedPrefix
from heronstall.dataplane.routing import Route
from heronstall.dataplane.workers import WorkerPool, WorkerState

AVOID_FIRST = 0.3  # seconds that a worker is left alone after a failure; doubled by each further one
AVOID_MOST = 4.0
FAILURES_MOST = 6.0  # that are counted
FULL_PAUSE = 0.05  # seconds that a worker is left alone after it refused for want of room
ERROR_LEARNT = 0.08  # weight of a new answer in a worker's share of errors


class Admission:
    """Chooses workers and bounds the batch items of this dispatcher. Free of I/O."""

    def __init__(
        self,
        pool: WorkerPool,
        rng: random.Random,
        zone: str = "",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._pool, self._random, self._clock = pool, rng, clock
        self.items = ItemPlaces(pool, clock)
        self._draw = WorkerDraw(pool, rng, zone, clock, self.items.takes)
        self._usual = UsualPace()

    def pick(
        self, service: str, prefix: SharedPrefix, tried: set[str], for_item: bool = False
    ) -> WorkerState | None:
        """A worker to send to."""
        return self._draw.pick(service, prefix, tried, for_item)

    def usable(self, worker: str, service: str) -> WorkerState | None:
        """A worker by name, where requests of a service may go to it now."""
        return self._draw.usable(worker, service)

    def home_rank(self, worker: WorkerState, prefix: SharedPrefix) -> int | None:
        """A worker's place, from 0, among the homes of a prompt's shared part; their number for any other.

        None where the prompt belongs to nobody.
        """
        return self._draw.home_rank(worker, prefix)

    def room_for_item(self, service: str) -> bool:
        """Whether some worker takes a batch item now."""
        return self.items.room(service)

    def items_to_lease(self, service: str) -> int:
        """Batch items of a service that this dispatcher may hold."""
        return self.items.to_lease(service)

    def utilisation(self) -> float:
        """Mean part of the workers' places in use, by all dispatchers as far as known; -1 without workers."""
        workers = [w for w in self._pool.by_id.values() if w.ready]
        if not workers:
            return -1.0
        return min(1.0, sum(w.total for w in workers) / sum(w.capacity for w in workers))

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

    def answered(self, worker: WorkerState, status: int) -> None:
        """A worker has answered a request that it ran."""
        error = 1.0 if status >= 500 else 0.0
        worker.error_share += ERROR_LEARNT * (error - worker.error_share)

    def service_of(self, route: Route) -> str:
        """A service of a route, drawn by its weights."""
        return route.draw_service(self._random)

    def first_event(self, worker: WorkerState, tokens: int, seconds: float) -> None:
        """A worker's first event has come so long after a request with such a prompt was sent."""
        self._usual.answered(worker.pace, worker.entry.service, tokens, seconds, self._clock())

    def failed(self, worker: WorkerState) -> None:
        """A worker was not reached, or broke off."""
        worker.failures = min(FAILURES_MOST, worker.failures + 1)
        pause = min(AVOID_MOST, AVOID_FIRST * 2 ** (worker.failures - 1))
        worker.avoid_until = self._clock() + pause * (0.8 + 0.4 * self._random.random())
        worker.failing_until = worker.avoid_until
        worker.forget_kept()

    def full(self, worker: WorkerState) -> None:
        """A worker has refused for want of room."""
        worker.avoid_until = max(worker.avoid_until, self._clock() + FULL_PAUSE)
