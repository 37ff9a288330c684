"""One run in virtual time: fleet, dispatchers, clients, audit, score."""

from __future__ import annotations

import gc
import logging
import resource
import time as clock
from collections.abc import Callable
from typing import Any, NamedTuple, cast

from heronstall import interface as i
from heronstall.config import Config, configuration
from heronstall.decide import Balancer
from heronstall.fleet import boundary as b
from heronstall.fleet.audit import Audit
from heronstall.fleet.client import Try, TryResult
from heronstall.fleet.fleet import Fleet, Plan, settings_of
from heronstall.fleet.ledger import RequestOutcomes, result, zones
from heronstall.fleet.score import Costs
from heronstall.fleet.server import Server
from heronstall.fleet.spec import SECOND, Scenario
from heronstall.model.compat import SWEEP, make_dispatcher, take_list
from heronstall.model.kernel import Due, Life, VirtualTime
from heronstall.model.wire import Wire
from heronstall.net.dispatcher import Answer, Dispatcher, Session
from heronstall.net.loop import Loop
from heronstall.net.server_table import ServerTable

ORIGIN_MS = 1_700_000_000_000  # Unix time of the run's start; any will do, so long as it is always the same
START_UP = 200_000  # from a process's start until it serves
FRONT_SEES_DRAIN = 300_000  # from a healthz of 503 until the front sends nobody there
DRAIN_TIME = 750_000  # a dispatcher asked to end serves on for so long
CLIENT_PATIENCE = 250_000  # beyond the deadline, so that an answer that is too late is seen as such
AFTER_END = SECOND
GC_EVERY = 50_000
NAMES = ("served", "refused", "failed", "unusable")
STATUS = {"served": 200, "refused": 503, "failed": 500, "unusable": 400}
Progress = Callable[[int, int], None]
MakeDecisions = Callable[[i.Settings, int], Any]


class Held(NamedTuple):
    """A try that a dispatcher has, and the moments at which that ends if nothing else ends it."""

    session: Session
    tried: Try
    late: Due
    leaves: Due


class Node:
    """One dispatcher, over its lives."""

    def __init__(self, run: Run, number: int, zone: int) -> None:
        self.run, self.number, self.zone = run, number, zone
        self.observer: Any = None  # of the dispatcher, through all its lives
        self.up = self.draining = False
        self.life: Life
        self.wire: Wire
        self.dispatcher: Dispatcher
        self.sessions: dict[str, Held] = {}
        self._lives = 0
        self._asked_at: int | None = None

    def start(self) -> None:
        """A new process, which knows only the list of servers that its agent holds."""
        run = self.run
        self.up, self.draining, self._asked_at = True, False, None
        seed = int(run.plan.streams.of("dispatcher", self.number, self._lives).integers(2**63))
        self._lives += 1
        config = run.config(self.number, seed)
        self.life = Life(run.time)
        self.wire = Wire(run, self.life, self.number, self.zone, config, run.plan.streams)
        self.dispatcher = make_dispatcher(config, self.life, run.decisions)
        # It is never started, so it wants no more of a loop than its time.
        table = ServerTable(config, cast(Loop, self.life), ORIGIN_MS * 1000, self.dispatcher.post)
        table.moved = self.wire.forget
        self.dispatcher.table, self.dispatcher.backend = table, self.wire
        self.wire.dispatcher = self.dispatcher
        if self.observer is not None:
            self.dispatcher.observers.append(self.observer)
        self.table = table
        run.cross(b.NodeUp(run.time.now, self.number))
        self.told(run.fleet.discovery.full_state(self.number), persisted=True)
        self._sweep()

    def _sweep(self) -> None:
        self.wire.sweep()
        self.life.at(self.life.now + SWEEP, self._sweep)

    def told(self, message: dict[str, Any], persisted: bool = False) -> None:
        """Discovery's word has come."""
        if not self.up:
            return
        now = self.run.time.now
        for row in message["targets"]:
            if persisted and row["state"] == "SERVING" and not row["boot_ms"]:
                continue  # what has always been so is no news to the audit either
            self.run.cross(b.ToldOf(now, self.number, int(row["uid"][2:], 16), row["state"]))
        take_list(self.table, message, persisted)

    def submit(self, tried: Try) -> None:
        """A client's request is here, whole."""
        run, now = self.run, self.run.time.now
        run.cross(b.Taken(now, self.number, tried.id, tried.request.cls, tried.time_left))
        r = tried.request
        arrival = i.Arrival(
            0, r.cls, min(tried.time_left, run.scenario.classes[r.cls].deadline), r.tenant, None, r.hint
        )
        session = self.dispatcher.submit(arrival, tried, lambda answer: self._reply(tried, answer))
        grace = run.scenario.answer_grace
        late = self.life.at(session.deadline + grace, lambda: self._too_late(tried))
        leaves = run.time.at(now + tried.time_left + grace + CLIENT_PATIENCE, lambda: self._leaves(tried))
        self.sessions[tried.id] = Held(session, tried, late, leaves)

    def _too_late(self, tried: Try) -> None:
        held = self.sessions.get(tried.id)
        if held is not None and not held.session.over:
            self.dispatcher.client_gone(held.session)
            self._reply(tried, Answer("failed"))

    def _leaves(self, tried: Try) -> None:
        held = self.sessions.pop(tried.id, None)
        if held is not None:
            self.run.cross(b.Left(self.run.time.now, self.number, tried.id))
            self.dispatcher.client_gone(held.session)
            self.run.came(tried, "late", 0)

    def _reply(self, tried: Try, answer: Answer) -> None:
        held = self.sessions.pop(tried.id, None)
        if held is None:
            return
        held.late.cancel()
        held.leaves.cancel()
        run, now = self.run, self.run.time.now
        own = answer.body.startswith(f"{tried.id}@".encode())
        run.cross(b.Answered(now, self.number, tried.id, STATUS[answer.kind], own))
        came: TryResult = "failed" if answer.kind == "unusable" else answer.kind
        run.came(tried, came, answer.retry_after, answer.body)
        self._maybe_end()

    def crash(self) -> None:
        """Killed outright: whatever it held is its clients' to try again."""
        if not self.up:
            return
        run = self.run
        run.cross(b.NodeDown(run.time.now, self.number, self._asked_at))
        self._gone()
        for held in list(self.sessions.values()):
            held.leaves.cancel()
            run.cross(b.Unanswered(run.time.now, self.number, held.tried.id))
            run.came(held.tried, "broke", 0)
        self.sessions.clear()

    def ask_to_end(self) -> None:
        """SIGTERM: it serves on for a while, finishes what it has and ends."""
        if self.up and not self.draining:
            self.draining, self._asked_at = True, self.run.time.now
            self.life.at(self.run.time.now + DRAIN_TIME, self._maybe_end)

    def _maybe_end(self) -> None:
        asked = self._asked_at
        if self.up and asked is not None and not self.sessions and self.run.time.now >= asked + DRAIN_TIME:
            self.run.cross(b.NodeDown(self.run.time.now, self.number, asked))
            self._gone()

    def _gone(self) -> None:
        self.up = False
        self.life.dead = True
        self.wire.end()


class Run:
    """A scenario's run with one seed."""

    def __init__(
        self, scenario: Scenario, seed: int, decisions: MakeDecisions = Balancer, plan: Plan | None = None
    ) -> None:
        self.scenario, self.seed, self.decisions = scenario, seed, decisions
        self.plan = plan or Plan(scenario, seed)
        self.time = VirtualTime()
        self.resets = 0.0
        self.stale: int | None = None
        self.fleet = Fleet(scenario, seed, self.time, lambda node, s: f"10.0.0.1:{s.number + 1}", self)
        self.ways, self.servers = self.fleet.network, self.fleet.servers
        self.fleet.discovery.origin_ms = ORIGIN_MS
        self.fleet.discovery.on_update.append(lambda node, told: self.nodes[node].told(told))
        for server in self.servers:
            server.on_change.append(self._server_changed)
        dispatcher_zones, server_zones = zones(self.plan)
        self.audit = Audit(scenario, server_zones)
        self.fates = RequestOutcomes(self.plan)
        self.nodes = [Node(self, n, zone) for n, zone in enumerate(dispatcher_zones)]
        self._zones = dispatcher_zones, server_zones
        self._settings: dict[int, dict[str, Any]] = {}
        self._configs: dict[int, Config] = {}
        self._crossings = self._probes = self._attempts = 0
        self._open = len(self.plan.requests)
        self._next = 0

    # ------------------------------------------------------------------ what the parts need

    def config(self, node: int, seed: int) -> Config:
        """What a dispatcher is told at its start."""
        s = self.scenario
        return configuration(
            {
                "name": f"n{node}",
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:2",
                "seed": f"{seed:x}",
                "limits": {"sockets": s.sockets, "memory_mb": s.memory_mb},
                "settings": settings_of(self.plan, node),
            }
        )

    def cross(self, crossing: b.Crossing) -> None:
        """Something crossed the boundary: count it and let the audit see it."""
        if isinstance(crossing, b.Written):
            self._attempts += 1
            nodes, servers = self._zones
            self._crossings += nodes[crossing.node] != servers[crossing.server]
        elif isinstance(crossing, b.Probed):
            self._probes += 1
        self.audit.feed(crossing)

    def _server_changed(self, server: Server, change: str) -> None:
        if change == "fell":
            self.cross(
                b.Fell(self.time.now, server.number, server.started_at, server.overload_by_dispatcher())
            )
        elif change in ("died", "returned"):
            for node in self.nodes:
                if node.up:
                    node.wire.server_gone(server)

    # ------------------------------------------------------------------ troubles among dispatchers

    def crash(self, node: int, back: int) -> None:
        """Kill a dispatcher; it is back at `back`."""
        self.nodes[node].crash()
        noticed = self.time.now + int(
            self.plan.streams.draw_from(self.scenario.front, "front", node, "notices")
        )
        self.time.at(noticed, lambda: self._front(node))
        self.time.at(back, lambda: self._start_again(node))

    def restart(self, node: int, back: int) -> None:
        """Ask a dispatcher to end; it is back at `back`, or later if it takes longer."""
        self.nodes[node].ask_to_end()
        self.time.at(self.time.now + FRONT_SEES_DRAIN, lambda: self._front(node))
        self.time.at(back, lambda: self._start_again(node))

    def _front(self, node: int) -> None:
        self.plan.client_balancer.known_up[node] = self.nodes[node].up and not self.nodes[node].draining

    def _start_again(self, node: int) -> None:
        if self.nodes[node].up:
            self.time.at(self.time.now + START_UP, lambda: self._start_again(node))
            return
        self.time.at(self.time.now + START_UP, lambda: self._started(node))

    def _started(self, node: int) -> None:
        if not self.nodes[node].up:
            self.nodes[node].start()
        self._front(node)

    def set_resets(self, share: float) -> None:
        """So large a share of exchanges meets a broken connection from now on."""
        self.resets = share

    def set_stale(self, after: int | None) -> None:
        """Connections idle for so long are dead from now on."""
        self.stale = after

    # ------------------------------------------------------------------ clients

    def _arrivals(self) -> None:
        requests = self.plan.requests
        while self._next < len(requests) and requests[self._next].at <= self.time.now:
            request = requests[self._next]
            self._next += 1
            self._try(self.plan.client_retries.first(request))
        if self._next < len(requests):
            self.time.at(requests[self._next].at, self._arrivals)

    def _try(self, tried: Try) -> None:
        self.fates.tried(tried.request.number)
        picked = self.plan.client_balancer.pick(tried.request.zone, tried.request.front)
        if picked is None or not self.nodes[picked].up:
            self.came(tried, "unreachable", 0)
            return
        self.nodes[picked].submit(tried)

    def came(self, tried: Try, came: TryResult, retry_after: int, body: bytes = b"") -> None:
        """A try has ended so, for its client."""
        number, now = tried.request.number, self.time.now
        if came == "served":
            self.fates.served(number, now, int(body.split(b"@s-")[1], 16))
        again = self.plan.client_retries.next_try(tried, came, now, retry_after)
        if again is not None:
            self.time.at(again.at, lambda: self._try(again))
            return
        self._open -= 1
        if came != "served":
            self.fates.ended(number, now, came)

    # ------------------------------------------------------------------ the run

    def run(self, progress: Progress | None = None) -> dict[str, Any]:
        """Play it through; the record of it."""
        began, cpu = clock.perf_counter(), clock.process_time()
        level = logging.getLogger("heronstall").level
        logging.getLogger("heronstall").setLevel(logging.ERROR)
        thresholds = gc.get_threshold()
        gc.set_threshold(GC_EVERY, 10, 10)
        try:
            for node in self.nodes:
                node.start()
            gc.freeze()  # a large fleet's records live to the end: looking through them again is in vain
            self._arrivals()
            longest = max(c.deadline for c in self.scenario.classes)
            end = self.scenario.length + longest + AFTER_END
            for at in range(0, end + SECOND, SECOND):
                self.time.run(min(at, end), self._idle)
                if progress is not None:
                    progress(min(at, end), end)
                if self._idle():
                    break
        finally:
            logging.getLogger("heronstall").setLevel(level)
            gc.unfreeze()
            gc.set_threshold(*thresholds)
        return self._result(clock.perf_counter() - began, clock.process_time() - cpu)

    def _idle(self) -> bool:
        return self._open == 0 and self.time.now >= self.scenario.length

    def _result(self, wall: float, cpu: float) -> dict[str, Any]:
        servers = self.servers
        costs = Costs(
            worked=sum(s.tally.work for s in servers),
            useful=self.fates.useful,
            attempts=self._attempts,
            crossings=self._crossings,
            probes=self._probes,
            overhead=sum(s.tally.overhead for s in servers),
        )
        more = {
            "handshakes": sum(s.tally.handshakes for s in servers),
            "fallen": [s.uid for s in servers if s.fallen],
            "verdict": "measured",
        }
        simulated = self.time.now / SECOND
        timing = {
            "simulated_s": simulated,
            "wall_s": round(wall, 3),
            "cpu_s": round(cpu, 3),
            "us_per_job": round(cpu * 1e6 / max(1, len(self.plan.requests)), 1),
            "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
        }
        breaches = self.audit.breaches(self.time.now)
        return result("model", self.plan, self.fates, costs, breaches, more, timing)
