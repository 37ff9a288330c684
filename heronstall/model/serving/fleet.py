"""Dispatchers before model engines in virtual time: the draws and bounds are the ones in service.

Dispatchers hear of each other's requests with every pull, as they do through the control nodes. Clients come
to a dispatcher at random. Connections, configuration and disks are left out.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import numpy as np

from heronstall.dataplane.admission import Admission
from heronstall.dataplane.prefixes import SharedPrefix, parse_shared_prefix
from heronstall.dataplane.subset import DispatcherPosition
from heronstall.dataplane.workers import WorkerPool, WorkerState
from heronstall.model.kernel import VirtualTime
from heronstall.model.serving.engine import MICROSECONDS, Engine, EngineRequest, PromptPart
from heronstall.model.serving.load import Deployment, Draws, RequestKind
from heronstall.placement.prefill import Load, PrefillPlanner, Prompt
from heronstall.sessions.loads import pack_loads
from heronstall.sessions.table import Sessions
from heronstall.transport.messages import Session, Worker

SERVICE = "model"
PULL = 0.6  # seconds between two words on the others' loads
LEASE = 0.45  # seconds between two calls for batch items
LOOK = 0.03  # seconds between two looks for a free place
TRIES = 5  # workers that a request is offered to
PASS = 0.003  # seconds on the way, both ways together
STRIDE_SIZE = 10  # prompt tokens that one token of output counts for
BASE_WORTH, SIZE_WORTH, MOST_WORTH = 0.3, 0.7, 4.0
WINDOW = 2.0  # seconds


@dataclass(eq=False)
class ModelRequest:
    """A request on its way."""

    kind: RequestKind
    prompt: tuple[PromptPart, ...]
    output: int
    came_at: int
    number: int
    job: ModelJob | None = None
    first_at: int = 0
    tried: set[str] = field(default_factory=set)
    placed_tokens: int = 0  # that a planner takes to be read for it

    @property
    def size(self) -> int:
        """Prompt tokens and weighted output tokens."""
        return sum(part.tokens for part in self.prompt) + STRIDE_SIZE * self.output

    def tokens(self, stride: int) -> int:
        """Tokens of the prompt and the longest output that its kind allows."""
        return sum(part.tokens for part in self.prompt) + int(stride * self.kind.events.most)


@dataclass(eq=False)
class ModelJob:
    """A batch job."""

    due_at: int
    tokens: int = 0  # of its open items
    accepted: bool = True


@dataclass
class KindResult:
    """What became of the requests of one kind."""

    owed: float = 0.0
    earned: float = 0.0
    requests: int = 0
    late_first: int = 0
    long_gap: int = 0
    refused: int = 0


class ModelDispatcher:
    """One dispatcher: its pool and its decisions."""

    def __init__(self, fleet: ModelFleet, number: int) -> None:
        self._fleet = fleet
        rng = random.Random(int(fleet.draws.fleet.integers(2**32)))
        self.pool = WorkerPool()
        zone = f"z{number % fleet.deployment.zones}"
        self.admission = Admission(self.pool, rng, zone, lambda: fleet.time.now / MICROSECONDS)
        self.admission.item_slots.started_at = -100.0
        self.pool.update(fleet.entries())
        self.pool.position = DispatcherPosition(number + 1, fleet.deployment.dispatchers)
        self.items: list[tuple[int, int, ModelRequest]] = []  # leased and not yet sent
        self.held = 0

    def send(self, request: ModelRequest, worker: WorkerState) -> None:
        """Send a request to a worker."""
        fleet, engine = self._fleet, self._fleet.engines[worker.entry.id]
        self.admission.record_sent(worker)
        worker.items += request.job is not None
        sent_at = fleet.time.now

        def first() -> None:
            request.first_at = fleet.time.now
            if request.job is None:
                seconds = (fleet.time.now - sent_at) / MICROSECONDS
                tokens = sum(part.tokens for part in request.prompt[:-1])
                self.admission.record_first_event(worker, tokens, seconds)
                fleet.planner.record_prefill(request.placed_tokens, seconds)

        def done() -> None:
            worker.items -= request.job is not None
            self.held -= request.job is not None
            self.admission.record_finished(worker, True)
            fleet.ended(request, at_engine.longest_gap)

        at_engine = EngineRequest(request.prompt, request.output, first, done)
        if not engine.submit(at_engine):
            worker.items -= request.job is not None
            self.admission.record_finished(worker, False)
            self.admission.record_overload(worker)
            request.tried.add(worker.entry.id)
            self.offer(request)

    def offer(self, request: ModelRequest) -> None:
        """Find a worker for a request."""
        header = ",".join(f"{part.name}:{part.tokens}" for part in request.prompt)
        prefix = parse_shared_prefix(header)
        if request.job is None and not request.tried and prefix.is_large:
            self.send(request, self._fleet.place(self, request, prefix))
            return
        if len(request.tried) < TRIES:
            worker = self.admission.pick(SERVICE, prefix, request.tried, for_item=request.job is not None)
            if worker is not None:
                self.send(request, worker)
                return
        if request.job is not None:
            request.tried.clear()
            heapq.heappush(self.items, (request.job.due_at, request.number, request))
        else:
            self._fleet.refused(request)

    def look(self) -> None:
        """Send leased items as long as a worker has room."""
        while self.items and self.admission.can_start_item(SERVICE):
            waiting = len(self.items)
            self.offer(heapq.heappop(self.items)[2])
            if len(self.items) == waiting:
                return


class ModelFleet:
    """A deployment in virtual time."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment, self.draws = deployment, Draws(seed)
        self.time = VirtualTime()
        names = [f"i-{int(self.draws.fleet.integers(2**40)):010x}" for _ in range(deployment.workers)]
        self.engines = {name: Engine(self.time, deployment.engine) for name in names}
        self.dispatchers = [ModelDispatcher(self, n) for n in range(deployment.dispatchers)]
        self._sessions = Sessions()  # as a core node sums what dispatchers tell
        self._waiting: list[tuple[int, int, ModelRequest]] = []  # items that no dispatcher has
        self._number = 0
        self.results: dict[str, KindResult] = {}
        self._windows: defaultdict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        self._ended: list[tuple[ModelRequest, float]] = []
        self.spread: list[float] = []
        self.planner = PrefillPlanner()
        self._open_tokens = 0
        self.turned_away = 0  # items of jobs that were over the quota

    def entries(self) -> dict[str, Worker]:
        """The registry's workers."""
        spec = self.deployment
        return {
            name: Worker(
                id=name,
                service=SERVICE,
                state="ready",
                capacity=spec.engine.places,
                zone=f"z{n % spec.zones}",
            )
            for n, name in enumerate(self.engines)
        }

    def play(self) -> dict[str, Any]:
        """Play the deployment's seconds; the figures."""
        seconds = self.deployment.seconds
        for kind in self.deployment.kinds:
            self.draws.things(kind)
            self._arrivals(kind)
        for number, dispatcher in enumerate(self.dispatchers):
            self._every(PULL, number, partial(self._pull, dispatcher, number))
            self._every(LEASE, number, partial(self._lease, dispatcher))
            self._every(LOOK, number, dispatcher.look)
        self._every(0.5, 0, self._watch_spread)
        self.time.run(int((seconds + 8) * MICROSECONDS))
        return self._figures()

    def _every(self, period: float, number: int, call: Callable[[], None]) -> None:
        first = period * (number + 0.5) / len(self.dispatchers)

        def turn() -> None:
            call()
            self.time.at(self.time.now + int(period * MICROSECONDS), turn)

        self.time.at(int(first * MICROSECONDS), turn)

    def _arrivals(self, kind: RequestKind) -> None:
        most = max(self.deployment.rate(kind, 0.1 * n) for n in range(int(10 * self.deployment.seconds)))
        at = 0.0
        while True:
            at += float(self.draws.arrivals.exponential(1 / most))
            if at >= self.deployment.seconds:
                return
            if self.draws.arrivals.random() * most <= self.deployment.rate(kind, at):
                self._arrive(kind, int(at * MICROSECONDS))

    def _arrive(self, kind: RequestKind, at: int) -> None:
        stride = self.deployment.engine.stride
        if kind.job_items is not None:
            job = ModelJob(at + int(kind.job_aim * MICROSECONDS))
            count = kind.job_items.draw(self.draws.sizes)
        else:
            job, count = None, 1
        if job is not None:
            self.time.at(at, lambda: self._submit(kind, job))
        for _ in range(count):
            self._number += 1
            output = 1 + stride * (kind.events.draw(self.draws.sizes) - 1)
            request = ModelRequest(kind, self.draws.prompt(kind, self._number), output, at, self._number, job)
            if job is not None:
                job.tokens += request.tokens(stride)
                self.time.at(at, partial(self._queue, request))
            else:
                edge = self.dispatchers[int(self.draws.fleet.integers(len(self.dispatchers)))]
                self.time.at(at, partial(edge.offer, request))

    def _submit(self, kind: RequestKind, job: ModelJob) -> None:
        job.accepted = not kind.most_waiting or self._open_tokens + job.tokens <= kind.most_waiting
        self._open_tokens += job.tokens if job.accepted else 0

    def _queue(self, request: ModelRequest) -> None:
        assert request.job is not None
        if request.job.accepted:
            heapq.heappush(self._waiting, (request.job.due_at, request.number, request))
        else:
            self.turned_away += 1

    def place(self, dispatcher: ModelDispatcher, request: ModelRequest, prefix: SharedPrefix) -> WorkerState:
        """The worker that the planner names for a large prompt."""
        tokens = sum(part.tokens for part in request.prompt)
        prompt = Prompt(prefix.segment, prefix.segment_tokens, tokens - prefix.segment_tokens)
        places = self.deployment.engine.places
        placed = self.planner.place(
            self.time.now / MICROSECONDS,
            prompt,
            list(self.engines),
            lambda name: Load(self._sessions.total_at_worker(name), places),
        )
        assert placed is not None
        request.placed_tokens = placed.tokens
        return dispatcher.pool.by_id[placed.worker]

    def _pull(self, dispatcher: ModelDispatcher, number: int) -> None:
        now, name = self.time.now / MICROSECONDS, str(number)
        session = Session(name=name, machine_class="edge", loads=pack_loads(dispatcher.pool.own_loads()))
        self._sessions.renew(now, session)
        dispatcher.pool.update_peer_loads({load.worker: load for load in self._sessions.loads(now, name)})

    def _lease(self, dispatcher: ModelDispatcher) -> None:
        want = dispatcher.admission.max_leased_items(SERVICE) - dispatcher.held
        left = []
        wanted = want
        while want > 0 and self._waiting:
            want -= 1
            dispatcher.held += 1
            leased = heapq.heappop(self._waiting)
            left.append((leased[0] - self.time.now) / MICROSECONDS / leased[2].kind.job_aim)
            heapq.heappush(dispatcher.items, leased)
        if wanted > 0:
            in_time = (part for part in left if part > 0)
            dispatcher.admission.item_slots.record_lease(min(in_time, default=1.0), backlog=not want)

    def _watch_spread(self) -> None:
        loads = [engine.load for engine in self.engines.values()]
        mean = float(np.mean(loads))
        if mean > 1:
            self.spread.append(float(np.var(loads)) / mean)

    def refused(self, request: ModelRequest) -> None:
        """No worker took a request."""
        self._ended.append((request, -1.0))

    def ended(self, request: ModelRequest, gap: float) -> None:
        """A request is done."""
        self._ended.append((request, gap))
        if request.job is not None:
            request.first_at = self.time.now
            self._open_tokens -= request.tokens(self.deployment.engine.stride)

    def _figures(self) -> dict[str, Any]:
        sizes: defaultdict[str, list[int]] = defaultdict(list)
        for request, _ in self._ended:
            sizes[request.kind.name].append(request.size)
        means = {name: float(np.mean(found)) for name, found in sizes.items()}
        for request, gap in self._ended:
            self._count(request, gap, means[request.kind.name])
        for _, _, request in self._waiting:
            self.results[request.kind.name].owed += request.kind.worth
        owed = sum(result.owed for result in self.results.values())
        earned = sum(result.earned for result in self.results.values())
        windows = sorted(have / owing for owing, have in self._windows.values() if owing > 1)
        read = sum(engine.read for engine in self.engines.values())
        found_tokens = sum(engine.found for engine in self.engines.values())
        return {
            "worth": earned / owed,
            "windows": float(np.mean(windows[:2])),
            "kinds": {name: result.earned / result.owed for name, result in self.results.items()},
            "late_first": {n: r.late_first / max(1, r.requests) for n, r in self.results.items()},
            "long_gap": {n: r.long_gap / max(1, r.requests) for n, r in self.results.items()},
            "turned_away": self.turned_away,
            "refused": sum(result.refused for result in self.results.values()),
            "read": read,
            "found": found_tokens,
            "spread": float(np.mean(self.spread)) if self.spread else 0.0,
        }

    def _count(self, request: ModelRequest, gap: float, mean: float) -> None:
        kind = request.kind
        result = self.results.setdefault(kind.name, KindResult())
        worth = min(MOST_WORTH, BASE_WORTH + SIZE_WORTH * request.size / mean)
        result.requests += 1
        first = (request.first_at - request.came_at) / MICROSECONDS + PASS
        if gap < 0:
            result.refused += 1
            share = 0.0
        elif request.job is not None:
            late = request.first_at > request.job.due_at
            result.late_first += late
            share = kind.late_worth / kind.worth if late else 1.0
        else:
            result.late_first += first > kind.aim
            result.long_gap += gap > kind.gap_aim
            share = kind.late_worth / kind.worth if first > kind.aim or gap > kind.gap_aim else 1.0
        result.owed += kind.worth * worth
        result.earned += kind.worth * worth * share
        window = self._windows[int(request.came_at / MICROSECONDS / WINDOW)]
        window[0] += kind.worth * worth
        window[1] += kind.worth * worth * share
