"""Which worker a request or an item goes to, and how many items may run."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Sequence
from heapq import nlargest

from heronstall.dataplane.pace import UsualPace
from heronstall.dataplane.prefixes import SharedPrefix, affinity
from heronstall.dataplane.routing import Route
from heronstall.dataplane.subset import Seat, preferred
from heronstall.dataplane.workers import WITNESSES, WorkerPool, WorkerState

AVOID_FIRST = 0.3  # seconds that a worker is left alone after a failure; doubled by each further one
AVOID_MOST = 4.0
LARGE_PREFIX = 1500  # shared tokens from which reading them again costs more than an uneven load
OWN_POWER = (
    3  # of the inverse of one plus own work at a worker: own work is known at once, the others' is not
)
# Times the weight of all workers together, for the worker that such shared parts belong to, and the next one.
HOMES = (300.0, 30.0)
PREFERRED = 3.0  # times the weight of all workers together, for each of this dispatcher's subset
NEAR = 3.0  # times the weight of a worker in this dispatcher's zone
CONNECTED = 20.0  # times the weight of one to which a connection rests
EASY = 0.7  # part of a worker's places in use from which neither counts: room goes before nearness
LIVE_RESERVE = 0.4  # part of an engine's places that a dispatcher's batch items leave to live requests
SPARE = 1.0  # square roots of a worker's places that batch items leave free for live requests to come
LEAST_FULL = 0.5  # requests at a worker below which it takes an item, however few places it has
SPARE_ON_AVERAGE = 0.5  # the same over all workers: what is free at one is not at another
ITEMS_LEAST = 0.1  # part of the places that batch items get, however many live requests there are
FULL = 0.02  # least weight of a worker that seems full
ERROR_LEARNT = 0.08  # weight of a new answer in a worker's share of errors
ERRORS_USUAL = 0.04  # share of errors that counts for nothing
ERROR_WEIGHT = 4.0  # by which a share beyond that lowers the weight
DISTRUST = 0.06  # least weight
ANSWERED_NOW = 0.5  # seconds: an answer so lately counts for more than what others say
ASIDE_MOST = 0.34  # part of the workers that are set aside by others' words at the most
FIRST_PLACES = 2.0  # batch items that a dispatcher runs at its start
PLACES_PER_SECOND = 5.0  # by which that grows, until the others are known


class Admission:
    """Draws workers by own load, and bounds the batch items of this dispatcher."""

    def __init__(self, pool: WorkerPool, rng: random.Random, zone: str = "") -> None:
        self._pool = pool
        self._zone = zone
        self._random = rng
        self.seat = Seat()
        self._usual = UsualPace()
        self._began = time.monotonic()
        self._rounding = rng.random()  # over all dispatchers, parts of a place add up to whole ones

    def pick(
        self, service: str, prefix: SharedPrefix, tried: set[str], for_item: bool = False
    ) -> WorkerState | None:
        """A worker to send to, by a draw weighted by the inverse of one plus own work there."""
        now = time.monotonic()
        able = [w for w in self._pool.of(service) if w.ready and w.entry.id not in tried]
        aside = self._set_aside(able, now)
        good = [
            w
            for w in able
            if w.avoid_until <= now and not w.attempts.suspected(now) and w.entry.id not in aside
        ]
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
        if prefix.tokens >= LARGE_PREFIX:
            ranked = nlargest(len(HOMES), range(len(good)), lambda k: affinity(prefix.part, good[k].entry.id))
            for home, preference in zip(ranked, HOMES, strict=False):
                weights[home] *= preference * len(good) * self._room(good[home])
        else:
            own = preferred(self._pool.ring(service), self.seat, sum(w.inflight for w in able))
            weights = [
                weight * self._nearness(w, now) * (PREFERRED * len(good) if w.entry.id in own else 1.0)
                for weight, w in zip(weights, good, strict=True)
            ]
        return self._random.choices(good, weights)[0]

    def home_rank(self, worker: WorkerState, prefix: SharedPrefix) -> int | None:
        """A worker's place, from 0, among those that a prompt's shared part belongs to; None: to nobody."""
        if prefix.tokens < LARGE_PREFIX:
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

    def _takes_items(self, worker: WorkerState) -> bool:
        """Whether a worker has room for a batch item beside the live requests to come."""
        share = worker.capacity * (1 - LIVE_RESERVE) / self.seat.dispatchers
        full = max(LEAST_FULL, worker.capacity - SPARE * math.sqrt(worker.capacity))
        return worker.total < full and worker.items < max(1, round(2 * share))

    def room_for_item(self, service: str) -> bool:
        """Whether some worker takes a batch item now."""
        now = time.monotonic()
        return any(w.ready and w.avoid_until <= now and self._takes_items(w) for w in self._pool.of(service))

    def utilisation(self) -> float:
        """Mean part of the workers' places in use, by all dispatchers as far as known; -1 without workers."""
        workers = [w for w in self._pool.by_id.values() if w.ready]
        if not workers:
            return -1.0
        return min(1.0, sum(w.total for w in workers) / sum(w.capacity for w in workers))

    def item_places(self, service: str) -> int:
        """Batch items that this dispatcher may run for a service at a time."""
        workers = [w for w in self._pool.of(service) if w.ready]
        capacity = sum(w.capacity for w in workers)
        spare = sum(SPARE_ON_AVERAGE * math.sqrt(w.capacity) for w in workers)
        left = max(ITEMS_LEAST * capacity, capacity - spare - sum(w.live for w in workers))
        started = FIRST_PLACES + PLACES_PER_SECOND * (time.monotonic() - self._began)
        return max(1, int(min(started, left / self.seat.dispatchers + self._rounding)))

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
        return route.service(self._random)

    def first_event(self, worker: WorkerState, tokens: int, seconds: float) -> None:
        """A worker's first event has come so long after a request with such a prompt was sent."""
        self._usual.answered(worker.pace, worker.entry.service, tokens, seconds, time.monotonic())

    def failed(self, worker: WorkerState) -> None:
        """A worker was not reached, or broke off."""
        worker.failures = min(6.0, worker.failures + 1)
        pause = min(AVOID_MOST, AVOID_FIRST * 2 ** (worker.failures - 1))
        worker.avoid_until = time.monotonic() + pause * (0.8 + 0.4 * self._random.random())
        worker.failing_until = worker.avoid_until
        worker.forget_kept()

    def full(self, worker: WorkerState) -> None:
        """A worker has refused for want of room."""
        worker.avoid_until = max(worker.avoid_until, time.monotonic() + 0.05)
