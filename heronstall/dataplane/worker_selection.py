"""Draws the worker that a request or an item goes to. Free of I/O: the clock is handed in.

All workers of a service are compared where they are few. Of many a draw compares this dispatcher's own, the
homes of a prompt, and some others at random, each of which stands for several.
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

# Power of the inverse of one plus own work at a worker: own work is known at once, the others' is not.
OWN_POWER = 3
# Times the weight of all workers together, for the worker that such shared parts belong to, and the next one.
HOMES = (300.0, 30.0)
PREFERRED = 3.0  # times the weight of all workers together, for each of this dispatcher's subset
NEAR = 3.0  # times the weight of a worker in this dispatcher's zone
CONNECTED = 20.0  # times the weight of one to which a connection rests
EASY = 0.7  # part of a worker's places in use from which neither counts: room goes before nearness
FULL = 0.02  # least weight of a worker that seems full
ERRORS_USUAL = 0.04  # share of errors that counts for nothing
ERROR_WEIGHT = 4.0  # by which a share beyond that lowers the weight
DISTRUST = 0.06  # least weight
USABLE = 0.5  # least product of trust and pace with which a worker is used that was named elsewhere
ANSWERED_NOW = 0.5  # seconds: an answer so lately counts for more than what others say
ASIDE_MOST = 0.34  # part of the workers that are set aside by others' words at the most
ALL_OF = 48  # workers of a service up to which all are compared
DRAWN = 32  # workers at random that are compared of more than that


class Compared(NamedTuple):
    """The workers that a draw looks at."""

    workers: Sequence[WorkerState]
    preferred: frozenset[str] = frozenset()  # of a part: those that this dispatcher prefers
    drawn: frozenset[str] = frozenset()  # those at random
    stands_for: float = 1.0  # workers for which each of these stands
    among: int = 0  # workers for which all of them stand; 0: for themselves alone

    @property
    def is_part(self) -> bool:
        """Whether there are others."""
        return bool(self.among)

    def count(self, good: int) -> int:
        """The workers that a choice of so many stands for."""
        return self.among or good

    def weight(self, worker: WorkerState) -> float:
        """How many workers this one stands for."""
        return self.stands_for if worker.entry.id in self.drawn else 1.0


class WorkerDraw:
    """Draws workers by own load, others' load, shared parts, nearness and trust."""

    def __init__(
        self,
        pool: WorkerPool,
        rng: random.Random,
        zone: str,
        clock: Callable[[], float],
        takes_items: Callable[[WorkerState], bool],
    ) -> None:
        self._pool, self._random, self._zone, self._clock = pool, rng, zone, clock
        self._takes_items = takes_items

    def pick(
        self, service: str, prefix: SharedPrefix, tried: set[str], for_item: bool = False
    ) -> WorkerState | None:
        """A worker to send to, by a draw weighted by the inverse of one plus own work there."""
        now = self._clock()
        compared = self._compared(service, prefix)
        able = self._able(compared, tried)
        good = self._good(able, now, for_item)
        if not good and compared.is_part:
            compared = Compared(self._pool.of_service(service))
            able = self._able(compared, tried)
            good = self._good(able, now, for_item)
        if not good and not for_item:
            good = able
        if not good:
            return None
        weights = [
            (1.0 / (1 + w.inflight)) ** OWN_POWER * self._room(w) * self._trust(w) * w.latency.weight(now)
            for w in good
        ]
        count = compared.count(len(good))
        if prefix.is_large:
            ranked = nlargest(
                len(HOMES), range(len(good)), lambda k: affinity(prefix.segment, good[k].entry.id)
            )
            for home, preference in zip(ranked, HOMES, strict=False):
                weights[home] *= preference * count * self._room(good[home])
        else:
            own = compared.preferred if compared.is_part else self._preferred(service, able)
            weights = [
                weight * self._nearness(w, now) * (PREFERRED * count if w.entry.id in own else 1.0)
                for weight, w in zip(weights, good, strict=True)
            ]
        if compared.is_part:
            weights = [weight * compared.weight(w) for weight, w in zip(weights, good, strict=True)]
        return self._random.choices(good, weights)[0]

    def _compared(self, service: str, prefix: SharedPrefix) -> Compared:
        """All workers of a service, or a part of many."""
        workers = self._pool.of_service(service)
        if len(workers) <= ALL_OF:
            return Compared(workers)
        own_workers = self._preferred(service, workers)
        named = {*self._pool.worker_shares(service), *own_workers}
        if prefix.is_large:
            named.update(self._pool.home_workers(service, prefix.segment))
        at_random = [w for w in self._random.sample(workers, DRAWN) if w.entry.id not in named]
        known = [w for name in sorted(named) if (w := self._pool.by_id.get(name)) is not None]
        stands_for = (len(workers) - len(known)) / max(1, len(at_random))
        drawn = frozenset(w.entry.id for w in at_random)
        return Compared([*known, *at_random], own_workers, drawn, stands_for, len(workers))

    def _preferred(self, service: str, workers: Sequence[WorkerState]) -> frozenset[str]:
        """The workers that this dispatcher prefers, with so many streams as it has there."""
        return preferred_subset(
            self._pool.hash_ring(service), self._pool.position, sum(w.inflight for w in workers)
        )

    @staticmethod
    def _able(compared: Compared, tried: set[str]) -> list[WorkerState]:
        return [w for w in compared.workers if w.ready and w.entry.id not in tried]

    def _good(self, able: Sequence[WorkerState], now: float, for_item: bool) -> list[WorkerState]:
        """Sound workers, for an item those that take one."""
        good = self._sound(able, now)
        return [w for w in good if self._takes_items(w)] if for_item else good

    def usable(self, worker: str, service: str) -> WorkerState | None:
        """A worker by name, where requests of a service may go to it now."""
        now = self._clock()
        named = self._pool.by_id.get(worker)
        if named is None or named.entry.service != service or not named.ready or self._fails(named, now):
            return None
        if worker in self._set_aside([w for w in self._pool.of_service(service) if w.ready], now):
            return None
        return named if self._trust(named) * named.latency.weight(now) >= USABLE else None

    def _sound(self, workers: Sequence[WorkerState], now: float) -> list[WorkerState]:
        """Workers that have not failed lately, here or by the others' word."""
        aside = self._set_aside(workers, now)
        return [w for w in workers if not self._fails(w, now) and w.entry.id not in aside]

    @staticmethod
    def _fails(worker: WorkerState, now: float) -> bool:
        """Whether a worker has failed here lately, or is silent now."""
        return worker.avoid_until > now or worker.attempts.suspected(now)

    def home_rank(self, worker: WorkerState, prefix: SharedPrefix) -> int | None:
        """A worker's place, from 0, among the homes of a prompt's shared part; their number for any other.

        None where the prompt belongs to nobody.
        """
        if not prefix.is_large:
            return None
        homes = self._pool.home_workers(worker.entry.service, prefix.segment)
        return homes.index(worker.entry.id) if worker.entry.id in homes else len(homes)

    @staticmethod
    def _set_aside(workers: Sequence[WorkerState], now: float) -> set[str]:
        """Workers that several other dispatchers do not reach, unless they have answered here just now.

        Never many at a time: then the dispatchers are cut off rather than the workers.
        """
        failing = {
            w.entry.id
            for w in workers
            if w.peers_failing >= MIN_FAILURE_REPORTS and now - w.attempts.last_data_at > ANSWERED_NOW
        }
        return failing if len(failing) <= ASIDE_MOST * len(workers) else set()

    @staticmethod
    def _room(worker: WorkerState) -> float:
        """Part of a worker's places that no dispatcher uses, as far as known."""
        return max(FULL, 1.0 - worker.total_load / worker.capacity)

    def _nearness(self, worker: WorkerState, now: float) -> float:
        """Weight of a worker that is reached cheaply, as long as it has places to spare."""
        if worker.total_load >= EASY * worker.capacity:
            return 1.0
        near = NEAR if worker.entry.zone == self._zone else 1.0
        return near * CONNECTED if worker.has_idle_connection(now) else near

    @staticmethod
    def _trust(worker: WorkerState) -> float:
        """Weight of a worker that answers with errors: never nothing, so that its recovery is seen."""
        return max(DISTRUST, 1.0 - ERROR_WEIGHT * max(0.0, worker.error_rate - ERRORS_USUAL))
