"""Worker selection and limits on batch items for one dispatcher, and what attempts reveal about workers."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from heronstall.dataplane.item_slots import ItemSlots
from heronstall.dataplane.prefixes import SharedPrefix
from heronstall.dataplane.worker_latency import LatencyBaseline
from heronstall.dataplane.worker_selection import WorkerSelector
from heronstall.dataplane.workers import WorkerPool, WorkerState
from heronstall.routing.routes import Route

INITIAL_AVOIDANCE_S = 0.3  # after a first failure; each further failure doubles it
MAX_AVOIDANCE_S = 4.0
MAX_COUNTED_FAILURES = 6.0
OVERLOAD_AVOIDANCE_S = 0.05  # after a worker refused a request because it was full
ERROR_RATE_SMOOTHING = 0.08  # weight of a new response in a worker's error rate


class Admission:
    """Selects workers and limits the batch items of this dispatcher. Performs no I/O."""

    def __init__(
        self,
        pool: WorkerPool,
        rng: random.Random,
        zone: str = "",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._pool, self._random, self._clock = pool, rng, clock
        self.item_slots = ItemSlots(pool, clock)
        self._selector = WorkerSelector(pool, rng, zone, clock, self.item_slots.accepts)
        self._latency_baseline = LatencyBaseline()

    def pick(
        self, service: str, prefix: SharedPrefix, tried: set[str], for_item: bool = False
    ) -> WorkerState | None:
        """Selects a worker to send to; None if none is usable."""
        return self._selector.pick(service, prefix, tried, for_item)

    def usable_worker(self, worker: str, service: str) -> WorkerState | None:
        """Returns the worker with this id if requests of a service may be sent to it now."""
        return self._selector.usable_worker(worker, service)

    def home_rank(self, worker: WorkerState, prefix: SharedPrefix) -> int | None:
        """Returns the rank of a worker, from 0, among the home workers of a prompt's shared segment.

        The rank of any other worker is the number of home workers. None if the shared prefix is not large.
        """
        return self._selector.home_rank(worker, prefix)

    def can_start_item(self, service: str) -> bool:
        """Returns whether some worker accepts a batch item now."""
        return self.item_slots.has_free_slot(service)

    def max_leased_items(self, service: str) -> int:
        """Returns the number of batch items of a service that this dispatcher may hold."""
        return self.item_slots.max_leased(service)

    def utilisation(self) -> float:
        """Returns the known fraction of the workers' slots that is in use; -1 without ready workers."""
        workers = [w for w in self._pool.by_id.values() if w.ready]
        if not workers:
            return -1.0
        return min(1.0, sum(w.total_load for w in workers) / sum(w.capacity for w in workers))

    def record_sent(self, worker: WorkerState) -> None:
        """Records that a request is being sent to a worker."""
        worker.inflight += 1

    def record_finished(self, worker: WorkerState, succeeded: bool) -> None:
        """Records that a request at a worker has ended."""
        worker.inflight -= 1
        if succeeded:
            worker.failures = max(0.0, worker.failures - 1)
        if worker.entry.state == "gone" and not worker.inflight:
            worker.close()

    def record_response(self, worker: WorkerState, status: int) -> None:
        """Records the status of a worker's response to a request that it executed."""
        error = 1.0 if status >= 500 else 0.0
        worker.error_rate += ERROR_RATE_SMOOTHING * (error - worker.error_rate)

    def choose_service(self, route: Route) -> str:
        """Returns a random service of a route, by the route's weights."""
        return route.draw_service(self._random)

    def record_first_event(self, worker: WorkerState, tokens: int, seconds: float) -> None:
        """Records the time from sending a request with such a prompt to the worker's first event."""
        self._latency_baseline.record(worker.latency, worker.entry.service, tokens, seconds, self._clock())

    def record_failure(self, worker: WorkerState) -> None:
        """Records that a worker was unreachable or broke a connection, and avoids it for a while."""
        worker.failures = min(MAX_COUNTED_FAILURES, worker.failures + 1)
        pause = min(MAX_AVOIDANCE_S, INITIAL_AVOIDANCE_S * 2 ** (worker.failures - 1))
        worker.avoid_until = self._clock() + pause * (0.8 + 0.4 * self._random.random())
        worker.failing_until = worker.avoid_until
        worker.close_idle_connections()

    def record_overload(self, worker: WorkerState) -> None:
        """Records that a worker refused a request because it was full, and avoids it briefly."""
        worker.avoid_until = max(worker.avoid_until, self._clock() + OVERLOAD_AVOIDANCE_S)
