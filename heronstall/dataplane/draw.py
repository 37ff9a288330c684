"""Draws the worker that a request or an item goes to. Free of I/O: the clock is handed in."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from heapq import nlargest

from heronstall.dataplane.prefixes import SharedPrefix
from heronstall.dataplane.subset import preferred
from heronstall.dataplane.workers import WITNESSES, WorkerPool, WorkerState
from heronstall.placement.reading import affinity

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
        able = [w for w in self._pool.of(service) if w.ready and w.entry.id not in tried]
        good = self._sound(able, now)
        if not good and not for_item:
            good = able
        if for_item:
            good = [w for w in good if self._takes_items(w)]
        if not good:
            return None
        weights = [
            (1.0 / (1 + w.inflight)) ** OWN_POWER * self._room(w) * self._trust(w) * w.pace.weight(now)
            for w in good
        ]
        if prefix.is_large:
            ranked = nlargest(len(HOMES), range(len(good)), lambda k: affinity(prefix.part, good[k].entry.id))
            for home, preference in zip(ranked, HOMES, strict=False):
                weights[home] *= preference * len(good) * self._room(good[home])
        else:
            own = preferred(self._pool.ring(service), self._pool.seat, sum(w.inflight for w in able))
            weights = [
                weight * self._nearness(w, now) * (PREFERRED * len(good) if w.entry.id in own else 1.0)
                for weight, w in zip(weights, good, strict=True)
            ]
        return self._random.choices(good, weights)[0]

    def usable(self, worker: str, service: str) -> WorkerState | None:
        """A worker by name, where requests of a service may go to it now."""
        now = self._clock()
        sound = self._sound([w for w in self._pool.of(service) if w.ready], now)
        named = next((w for w in sound if w.entry.id == worker), None)
        if named is None or self._trust(named) * named.pace.weight(now) < USABLE:
            return None
        return named

    def _sound(self, workers: Sequence[WorkerState], now: float) -> list[WorkerState]:
        """Workers that have not failed lately, here or by the others' word."""
        aside = self._set_aside(workers, now)
        return [
            w
            for w in workers
            if w.avoid_until <= now and not w.attempts.suspected(now) and w.entry.id not in aside
        ]

    def home_rank(self, worker: WorkerState, prefix: SharedPrefix) -> int | None:
        """A worker's place, from 0, among those that a prompt's shared part belongs to; None: to nobody."""
        if not prefix.is_large:
            return None
        mine = affinity(prefix.part, worker.entry.id)
        ready = (w for w in self._pool.of(worker.entry.service) if w.ready)
        return sum(affinity(prefix.part, w.entry.id) > mine for w in ready)

    @staticmethod
    def _set_aside(workers: Sequence[WorkerState], now: float) -> set[str]:
        """Workers that several other dispatchers do not reach, unless they have answered here just now.

        Never many at a time: then the dispatchers are cut off rather than the workers.
        """
        failing = {
            w.entry.id
            for w in workers
            if w.failing_elsewhere >= WITNESSES and now - w.attempts.heard_at > ANSWERED_NOW
        }
        return failing if len(failing) <= ASIDE_MOST * len(workers) else set()

    @staticmethod
    def _room(worker: WorkerState) -> float:
        """Part of a worker's places that no dispatcher uses, as far as known."""
        return max(FULL, 1.0 - worker.total / worker.capacity)

    def _nearness(self, worker: WorkerState, now: float) -> float:
        """Weight of a worker that is reached cheaply, as long as it has places to spare."""
        if worker.total >= EASY * worker.capacity:
            return 1.0
        near = NEAR if worker.entry.zone == self._zone else 1.0
        return near * CONNECTED if worker.has_kept(now) else near

    @staticmethod
    def _trust(worker: WorkerState) -> float:
        """Weight of a worker that answers with errors: never nothing, so that its recovery is seen."""
        return max(DISTRUST, 1.0 - ERROR_WEIGHT * max(0.0, worker.error_share - ERRORS_USUAL))
