"""One run on loopback: world and load in processes of their own, real dispatchers, one record at the end."""

from __future__ import annotations

import asyncio
import multiprocessing
import resource
import tempfile
import time as clock
from collections.abc import Callable
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from heronstall.fleet import boundary as b
from heronstall.fleet.audit import Audit
from heronstall.fleet.fleet import Plan
from heronstall.fleet.ledger import RequestOutcomes, result, zones
from heronstall.fleet.score import Costs
from heronstall.fleet.spec import SECOND, Scenario, ScenarioError, Trouble
from heronstall.fleet.troubles import target_dispatchers
from heronstall.lab import load, world
from heronstall.lab.clock import RealTime, lateness, monotonic
from heronstall.lab.faults import Faults, mine
from heronstall.lab.load import End
from heronstall.lab.nodes import DEFAULT, LabError, Node, Nodes
from heronstall.lab.pipe import listen
from heronstall.lab.starts import starts

SLACK = 50_000  # microseconds by which every limit is longer on sockets
LOAD_RATE = 600.0  # first tries a second that one load process plays
FRONT_SEES_DRAIN = 0.3  # seconds from SIGTERM until the front sends nobody there
LATE_P99, LATE_WORST = 20.0, 400.0  # milliseconds beyond which the machine was too slow for a verdict
SPARE = 64  # descriptors of a process for whatever else it holds
READY_TIME = 60.0
AFTER_END = 2 * SECOND
LIVE_EVERY = 1.0
ORDER = {b.NodeUp: 0, b.ToldOf: 1, b.Taken: 2, b.Over: 3, b.Written: 4, b.Arrived: 5, b.Answered: 6}
Live = Callable[[dict[str, Any]], None]


class Child:
    """A process of the run, and the talk with it."""

    def __init__(self, target: Callable[..., None], *args: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, far = context.Pipe()
        self.process = context.Process(target=target, args=(*args, far), daemon=True)
        self.process.start()
        far.close()
        self.answers: dict[str, asyncio.Future[Any]] = {}

    def listen(self) -> None:
        """Take what it says from now on."""
        listen(self.pipe, self._said, self._ended)

    def _said(self, what: str, value: Any) -> None:
        future = self.answers.pop(what, None)
        if future is not None and not future.done():
            future.set_result(value)

    def _ended(self) -> None:
        for future in self.answers.values():
            if not future.done():
                future.set_exception(LabError("a process of the run ended early; its traceback stands above"))

    def say(self, what: str, value: Any = None) -> None:
        """A message."""
        pipe: Connection = self.pipe
        pipe.send((what, value))

    async def ask(self, what: str, value: Any, answer: str, longest: float = READY_TIME) -> Any:
        """A message and its answer."""
        future = self.answers[answer] = asyncio.get_running_loop().create_future()
        if what:
            self.say(what, value)
        return await asyncio.wait_for(future, longest)

    def close(self) -> None:
        """End it."""
        self.pipe.close()
        self.process.join(5.0)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()


def check_room(scenario: Scenario) -> None:
    """Raise the limit of descriptors as needed. Raises ScenarioError where the scenario wants too many."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    pairs = scenario.dispatchers * scenario.servers
    want = 2 * pairs + 2 * scenario.dispatchers + SPARE  # a listener for each pair, and a connection
    if hard != resource.RLIM_INFINITY and want > hard:
        raise ScenarioError(
            f"zones: {scenario.dispatchers} dispatchers x {scenario.servers} servers want {want} descriptors"
            f" in one process, and {hard} are allowed; play it in the model, or with fewer"
        )
    if soft != resource.RLIM_INFINITY and soft < want:
        resource.setrlimit(resource.RLIMIT_NOFILE, (want, hard))


class Run:
    """A scenario's run on loopback."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        program: tuple[str, ...] = DEFAULT,
        live: Live | None = None,
        settings: Path | None = None,
        nodes: Callable[..., Nodes] = Nodes,
    ) -> None:
        self.scenario, self.seed = scenario, seed
        self._make_nodes = nodes
        self._folder, self._program, self._live, self._settings = folder, program, live, settings
        self.plan = Plan(scenario, seed)
        self.breaches: list[Any] = []
        self.crossings: list[b.Crossing] = []  # all that crossed a boundary, in order, once it has ended
        self.faults = Faults((), seed, lambda when, call: None)
        self.began = asyncio.Event()
        self._enough = False
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(self) -> dict[str, Any]:
        """Play it; the record of it. Raises LabError where the run could not be made."""
        check_room(self.scenario)
        began = clock.perf_counter()
        parts = max(1, round(self.scenario.rate / LOAD_RATE))
        self._world = Child(world.main, self.scenario, self.seed)
        self._loads = [Child(load.main, self.scenario, self.seed, n, parts) for n in range(parts)]
        children = [self._world, *self._loads]
        self.time = RealTime()
        nodes: Nodes | None = None
        try:
            for child in children:
                child.listen()
            ready = [child.ask("", None, "ready") for child in children]
            discovery = (await asyncio.gather(*ready))[0]
            self.nodes = nodes = self._make_nodes(
                self.plan, self.time, self._folder, discovery, self._program, self._settings
            )
            self._between(nodes)
            for node in nodes.all:
                await nodes.start(node, None)
            await asyncio.gather(*(nodes.ready(node) for node in nodes.all))
            origin = monotonic() + SECOND // 5
            self._world.say("begin", (origin, clock.time_ns() // 1_000_000 + 200))
            for child in self._loads:
                child.say("begin", (origin, self._fronts))
            self.time.begin(origin)
            self._troubles()
            self.faults.begin(nodes.pids)
            self.began.set()
            await self._play()
            told = await asyncio.gather(*(child.ask("end", None, "load") for child in self._loads))
            await nodes.end()
            told_world = await self._world.ask("end", None, "world")
        finally:
            for task in self._tasks:
                task.cancel()
            self.faults.close()
            if nodes is not None:
                nodes.kill_all()
            for child in children:
                child.close()
        return self._result(told_world, told, clock.perf_counter() - began)

    def _between(self, nodes: Nodes) -> None:
        """Put relays where faults are asked for; the world has its own, on its side of the dispatchers."""
        self.faults = Faults(mine(self.scenario.faults), self.seed, self.time.at)
        self._fronts = []
        for n, (host, port) in enumerate(nodes.addresses()):
            host, _, told = self.faults.link(f"clients>n{n}", f"{host}:{port}").rpartition(":")
            self._fronts.append((host, int(told)))
        nodes.between(self.faults)

    # ------------------------------------------------------------------ troubles among dispatchers

    def _troubles(self) -> None:
        for nth, trouble in enumerate(self.scenario.troubles):
            if trouble.kind in ("dispatcher-crash", "dispatcher-restart"):
                for number in target_dispatchers(self.scenario, self.plan.streams, nth, trouble):
                    self.time.at(trouble.at, lambda n=number, t=trouble: self._strike(n, t))  # type: ignore[misc]

    def _strike(self, number: int, trouble: Trouble) -> None:
        task = asyncio.get_running_loop().create_task(self._struck(self.nodes.all[number], trouble))
        self._tasks.add(task)

    async def _struck(self, node: Node, trouble: Trouble) -> None:
        nodes, time = self.nodes, self.time
        back = time.now + trouble.length
        if trouble.kind == "dispatcher-crash":
            notices = self.plan.streams.draw_from(self.scenario.front, "front", node.number, "notices")
            nodes.kill(node)
            time.at(time.now + int(notices), lambda: self._front(node.number, node.process is not None))
        else:
            nodes.ask(node)
            time.at(time.now + int(FRONT_SEES_DRAIN * SECOND), lambda: self._front(node.number, False))
        known = await self._world.ask("held", node.number, f"held {node.number}")
        await nodes.gone(node)
        await asyncio.sleep(max(0.0, (back - time.now) / SECOND))
        await nodes.start(node, known)
        await nodes.ready(node)
        self._front(node.number, True)

    def _front(self, node: int, up: bool) -> None:
        for child in self._loads:
            child.say("front", (node, up))

    # ------------------------------------------------------------------ the run

    def enough(self) -> None:
        """Let no more requests begin: the run ends once those that are out have ended."""
        self._enough = True
        for child in self._loads:
            child.say("enough")

    def trouble(self, trouble: Trouble) -> None:
        """Begin one at servers or ways now, whatever the scenario has."""
        self._world.say("trouble", trouble)

    def surge(self, times: float, length: int) -> None:
        """Let requests come so many times as fast for a while from now on (microseconds)."""
        for child in self._loads:
            child.say("surge", (times, length))

    async def _play(self) -> None:
        s = self.scenario
        last = s.length + max(c.deadline for c in s.classes) + AFTER_END
        while self.time.now < last:
            await asyncio.sleep(min(LIVE_EVERY, max(0.05, (s.length - self.time.now) / SECOND)))
            told = await asyncio.gather(*(child.ask("live", None, "load-live") for child in self._loads))
            if self._live is not None:
                servers = await self._world.ask("live", None, "live")
                self._live(
                    {
                        "at_s": self.time.now / SECOND,
                        "of_s": s.length / SECOND,
                        "counts": [counts for counts, _ in told],
                        "open": sum(left for _, left in told),
                        "servers": servers,
                        "dispatchers": [node.process is not None for node in self.nodes.all],
                    }
                )
            if (self._enough or self.time.now >= s.length) and sum(left for _, left in told) == 0:
                return

    def _result(self, told_world: Any, told: list[Any], wall: float) -> dict[str, Any]:
        crossings, tallies, fallen, world_late, world_took, asked, accepted = told_world
        dispatcher_zones, server_zones = zones(self.plan)
        fates, ends = RequestOutcomes(self.plan), []
        for _, some, _, _ in told:
            ends += some
        for end in sorted(ends, key=lambda e: (e.at, e.try_.id)):
            self._fate(fates, end)
        merged = [*crossings, *self.nodes.crossings]
        for some, _, _, _ in told:
            merged += some
        merged.sort(key=lambda c: (c.at, ORDER.get(type(c), 9)))
        self.crossings = merged
        audit = Audit(self.scenario, server_zones, SLACK, self.nodes.share)
        breaches = audit.run(merged, self.time.now)
        written = [c for c in merged if isinstance(c, b.Written)]
        costs = Costs(
            worked=sum(t.work for t in tallies),
            useful=fates.useful,
            attempts=len(written),
            crossings=sum(dispatcher_zones[c.node] != server_zones[c.server] for c in written),
            probes=audit.probes,
            overhead=sum(t.overhead for t in tallies),
        )
        late = {"world": world_late, "run": lateness(self.time.late)}
        late |= {f"load{n}": row[2] for n, row in enumerate(told)}
        too_late = [
            name for name, row in late.items() if row["p99_ms"] > LATE_P99 or row["worst_ms"] > LATE_WORST
        ]
        usage = [node.usage for node in self.nodes.all]
        jobs = max(1, len(self.plan.requests))
        took = [*self.faults.took(), *world_took]
        idle = [row.text() for row in took if not row.times]
        verdict = "measured"
        if too_late:
            verdict = f"none: {', '.join(too_late)} ran late"
        elif idle:
            verdict = f"none: planned and did not happen: {', '.join(idle)}"
        more = {
            "handshakes": sum(t.handshakes for t in tallies),
            "fallen": fallen,
            "turned_down": sum(t.turned_down for t in tallies),
            "untried": sum(row.tries == 0 for row in fates.rows),
            "faults": [[row.text(), row.times] for row in took],
            "verdict": verdict,
            "starts": starts(asked, accepted, self.nodes.crossings),
        }
        timing = {
            "simulated_s": self.time.now / SECOND,
            "wall_s": round(wall, 3),
            "late": late,
            "dispatcher_cpu_us_per_job": round(sum(u.cpu_s for u in usage) * 1e6 / jobs, 1),
            "dispatcher_peak_mb": round(max(u.peak_mb for u in usage), 1),
        }
        return result("lab", self.plan, fates, costs, breaches, more, timing)

    @staticmethod
    def _fate(fates: RequestOutcomes, end: End) -> None:
        number = end.try_.request.number
        fates.tried(number)
        if end.came == "served":
            fates.served(number, end.at, end.server)
        else:
            fates.ended(number, end.at, end.came)


def play(
    scenario: Scenario,
    seed: int,
    folder: Path | None = None,
    program: tuple[str, ...] = DEFAULT,
    live: Live | None = None,
    settings: Path | None = None,
    nodes: Callable[..., Nodes] = Nodes,
) -> dict[str, Any]:
    """Play a scenario on loopback and return its record.

    `folder` keeps the dispatchers' logs, `settings` is their operator's file.
    """
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(Run(scenario, seed, folder, program, live, settings, nodes).run())
    with tempfile.TemporaryDirectory(prefix="heronstall-lab-") as made:
        return asyncio.run(Run(scenario, seed, Path(made), program, live, settings, nodes).run())
