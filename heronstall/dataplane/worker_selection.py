"""Selects the worker for a request or an item by weighted random choice. Performs no I/O; time is passed in.

If a service has few workers, all of them are compared. Of many workers a selection compares those that this
dispatcher prefers or has a share of, the home workers of the prompt, and a random sample in which each worker
stands for several.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from heapq import nlargest
from typing import NamedTuple

from heronstall.dataplane.prefixes import SharedPrefix
from heronstall.dataplane.subset import preferred_subset
from heronstall.dataplane.workers import MIN_FAILURE_REPORTS, WorkerPool, WorkerState
from heronstall.placement.prefill import affinity

# Exponent of the inverse of one plus the own load at a worker. Unlike the others' load it is known at once.
OWN_LOAD_EXPONENT = 3
# Weights of the first and second home worker of a large shared prefix, relative to all workers together.
HOME_WEIGHTS = (300.0, 30.0)
SUBSET_WEIGHT = 3.0  # of each worker in this dispatcher's subset, relative to all workers together
SAME_ZONE_WEIGHT = 3.0  # of a worker in this dispatcher's zone, relative to other workers
IDLE_CONNECTION_WEIGHT = 20.0  # of a worker to which an idle connection exists, relative to other workers
MAX_LOCALITY_UTILISATION = 0.7  # above it zone and connection do not count: free capacity matters more
MIN_CAPACITY_WEIGHT = 0.02  # of a worker that appears to be full
TOLERATED_ERROR_RATE = 0.04  # error rate up to which the weight is not reduced
ERROR_PENALTY = 4.0  # reduction of the weight per unit of error rate above that
MIN_RELIABILITY_WEIGHT = 0.06
# Least product of reliability and latency weights with which a worker named by a planner is used.
MIN_ADVISED_WEIGHT = 0.5
RECENT_DATA_S = 0.5  # data received this recently outweighs the failures that other dispatchers report
MAX_EJECTED_SHARE = 0.34  # fraction of the workers that may be ejected because of other dispatchers' reports
MAX_COMPARED_WORKERS = 48  # up to which all workers of a service are compared
SAMPLE_SIZE = 32  # workers in the random sample if there are more than that


class Candidates(NamedTuple):
    """The workers that a selection compares."""

    workers: Sequence[WorkerState]
    preferred: frozenset[str] = frozenset()  # in a partial set: the subset that this dispatcher prefers
    sampled: frozenset[str] = frozenset()  # those chosen at random
    sample_weight: float = 1.0  # number of workers that each sampled worker stands for
    population: int = 0  # number of workers that a partial set stands for; 0 for a complete set

    @property
    def is_partial(self) -> bool:
        """Whether the service has more workers than these."""
        return bool(self.population)

    def worker_count(self, usable: int) -> int:
        """Returns the number of workers represented by a choice among that many usable candidates."""
        return self.population or usable

    def weight(self, worker: WorkerState) -> float:
        """Returns the number of workers that this one stands for."""
        return self.sample_weight if worker.entry.id in self.sampled else 1.0


class WorkerSelector:
    """Selects workers by own load, others' load, shared segments, locality and reliability."""

    def __init__(
        self,
        pool: WorkerPool,
        rng: random.Random,
        zone: str,
        clock: Callable[[], float],
        accepts_item: Callable[[WorkerState], bool],
    ) -> None:
        self._pool, self._random, self._zone, self._clock = pool, rng, zone, clock
        self._accepts_item = accepts_item

    def pick(
        self, service: str, prefix: SharedPrefix, tried: set[str], for_item: bool = False
    ) -> WorkerState | None:
        """Returns a random worker, weighted by load, locality and reliability; None if none is usable."""
        now = self._clock()
        candidates = self._candidates(service, prefix)
        available = self._available(candidates, tried)
        usable = self._usable(available, now, for_item)
        if not usable and candidates.is_partial:
            candidates = Candidates(self._pool.of_service(service))
            available = self._available(candidates, tried)
            usable = self._usable(available, now, for_item)
        if not usable and not for_item:
            usable = available
        if not usable:
            return None
        weights = [
            (1.0 / (1 + w.inflight)) ** OWN_LOAD_EXPONENT
            * self._capacity_weight(w)
            * self._reliability(w)
            * w.latency.weight(now)
            for w in usable
        ]
        count = candidates.worker_count(len(usable))
        if prefix.is_large:
            ranked = nlargest(
                len(HOME_WEIGHTS),
                range(len(usable)),
                lambda k: affinity(prefix.segment, usable[k].entry.id),
            )
            for home, home_weight in zip(ranked, HOME_WEIGHTS, strict=False):
                weights[home] *= home_weight * count * self._capacity_weight(usable[home])
        else:
            subset = candidates.preferred if candidates.is_partial else self._preferred(service, available)
            weights = [
                weight * self._locality(w, now) * (SUBSET_WEIGHT * count if w.entry.id in subset else 1.0)
                for weight, w in zip(weights, usable, strict=True)
            ]
        if candidates.is_partial:
            weights = [weight * candidates.weight(w) for weight, w in zip(weights, usable, strict=True)]
        return self._random.choices(usable, weights)[0]

    def _candidates(self, service: str, prefix: SharedPrefix) -> Candidates:
        """Returns all workers of a service, or some of them if there are many."""
        workers = self._pool.of_service(service)
        if len(workers) <= MAX_COMPARED_WORKERS:
            return Candidates(workers)
        subset = self._preferred(service, workers)
        named = {*self._pool.worker_shares(service), *subset}
        if prefix.is_large:
            named.update(self._pool.home_workers(service, prefix.segment))
        sample = [w for w in self._random.sample(workers, SAMPLE_SIZE) if w.entry.id not in named]
        known = [w for name in sorted(named) if (w := self._pool.by_id.get(name)) is not None]
        sample_weight = (len(workers) - len(known)) / max(1, len(sample))
        sampled = frozenset(w.entry.id for w in sample)
        return Candidates([*known, *sample], subset, sampled, sample_weight, len(workers))

    def _preferred(self, service: str, workers: Sequence[WorkerState]) -> frozenset[str]:
        """Returns the subset that this dispatcher prefers, given its streams at these workers."""
        return preferred_subset(
            self._pool.hash_ring(service), self._pool.position, sum(w.inflight for w in workers)
        )

    @staticmethod
    def _available(candidates: Candidates, tried: set[str]) -> list[WorkerState]:
        return [w for w in candidates.workers if w.ready and w.entry.id not in tried]

    def _usable(self, available: Sequence[WorkerState], now: float, for_item: bool) -> list[WorkerState]:
        """Returns the healthy workers; for an item only those that accept one."""
        healthy = self._healthy(available, now)
        return [w for w in healthy if self._accepts_item(w)] if for_item else healthy

    def usable_worker(self, worker: str, service: str) -> WorkerState | None:
        """Returns the worker with this id if requests of a service may be sent to it now."""
        now = self._clock()
        named = self._pool.by_id.get(worker)
        if named is None or named.entry.service != service or not named.ready or self._failing(named, now):
            return None
        if worker in self._ejected([w for w in self._pool.of_service(service) if w.ready], now):
            return None
        return named if self._reliability(named) * named.latency.weight(now) >= MIN_ADVISED_WEIGHT else None

    def _healthy(self, workers: Sequence[WorkerState], now: float) -> list[WorkerState]:
        """Returns the workers without a recent failure, here or reported by other dispatchers."""
        ejected = self._ejected(workers, now)
        return [w for w in workers if not self._failing(w, now) and w.entry.id not in ejected]

    @staticmethod
    def _failing(worker: WorkerState, now: float) -> bool:
        """Returns whether a worker has recently failed here or is silent now."""
        return worker.avoid_until > now or worker.attempts.suspected(now)

    def home_rank(self, worker: WorkerState, prefix: SharedPrefix) -> int | None:
        """Returns the rank of a worker, from 0, among the home workers of a prompt's shared segment.

        The rank of any other worker is the number of home workers. None if the shared prefix is not large.
        """
        if not prefix.is_large:
            return None
        homes = self._pool.home_workers(worker.entry.service, prefix.segment)
        return homes.index(worker.entry.id) if worker.entry.id in homes else len(homes)

    @staticmethod
    def _ejected(workers: Sequence[WorkerState], now: float) -> set[str]:
        """Returns the workers that several other dispatchers fail to reach and that were silent here.

        Returns none if they are too many: then the reporting dispatchers are cut off rather than the workers.
        """
        failing = {
            w.entry.id
            for w in workers
            if w.peers_failing >= MIN_FAILURE_REPORTS and now - w.attempts.last_data_at > RECENT_DATA_S
        }
        return failing if len(failing) <= MAX_EJECTED_SHARE * len(workers) else set()

    @staticmethod
    def _capacity_weight(worker: WorkerState) -> float:
        """Returns the known fraction of a worker's slots that no dispatcher uses."""
        return max(MIN_CAPACITY_WEIGHT, 1.0 - worker.total_load / worker.capacity)

    def _locality(self, worker: WorkerState, now: float) -> float:
        """Returns a higher weight for a worker that is cheap to reach, as long as it has free slots."""
        if worker.total_load >= MAX_LOCALITY_UTILISATION * worker.capacity:
            return 1.0
        zone_weight = SAME_ZONE_WEIGHT if worker.entry.zone == self._zone else 1.0
        return zone_weight * IDLE_CONNECTION_WEIGHT if worker.has_idle_connection(now) else zone_weight

    @staticmethod
    def _reliability(worker: WorkerState) -> float:
        """Returns a lower weight for a worker that responds with errors.

        It is never zero, so that the worker still gets requests that show its recovery.
        """
        return max(
            MIN_RELIABILITY_WEIGHT,
            1.0 - ERROR_PENALTY * max(0.0, worker.error_rate - TOLERATED_ERROR_RATE),
        )
