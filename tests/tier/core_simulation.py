"""The core's own programs over a simulated network: nodes, operators whose answers are lost, dispatchers.

Real `Core`, `ControlApi`, `GroupHost`, `Journal` and `Puller` objects run in virtual time. Messages between
them are delayed, reordered, doubled or held up by cuts; nodes are killed, lose power or disks, are replaced.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast
from unittest import mock

import structlog
import ujson
from aiohttp import web

from heronstall.config import NodeBounds, NodeSettings
from heronstall.controlplane import replica_node
from heronstall.controlplane.api import ControlApi
from heronstall.controlplane.core import Core
from heronstall.controlplane.replica_node import ReplicaNode
from heronstall.distribution.freshness import StalenessLimits
from heronstall.distribution.shards import CONFIG
from heronstall.distribution.view import ControlStateView
from heronstall.transport.frames import Kind
from heronstall.transport.links import LOST, Links, Reply
from heronstall.transport.messages import Session
from heronstall.transport.pulling import Puller
from tests.tier.register_history import Answer, Call

Drawn = random.Random  # before it is replaced by streams of the test's seed
PORT, CONTROL_PORT = 7720, 8166
DELAYS = (0.0005, 0.002, 0.005, 0.03)  # seconds; each message draws one
DOUBLED = 0.02  # part of the one-way messages
SILENCE = 1.0  # seconds after which an operator calls another node
CONFIG_APPLY, MAX_SKEW, RECOVER = 2.0, 5.0, 12.0  # seconds
CATCH_UP = 4.9  # seconds after its return in which a node that lost its disk is whole again


class Violated(AssertionError):
    """A promise of the core is broken."""


class Network:
    """Carries messages between addresses; cut ways hold them up, dead nodes swallow them."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.servers: dict[str, SimulatedServer] = {}
        self.refusing: set[str] = set()  # a dead process on a live machine resets connections
        self.cut: set[tuple[str, str]] = set()
        self._held: list[tuple[str, str, Callable[[], None]]] = []

    def carry(self, source: str, target: str, arrive: Callable[[], None]) -> None:
        """Have something arrive after a while, or once the way is open again."""
        delay = self.rng.choice(DELAYS) * self.rng.uniform(0.5, 1.5)

        def come() -> None:
            if (source, target) in self.cut:
                self._held.append((source, target, come))
            else:
                arrive()

        asyncio.get_running_loop().call_later(delay, come)

    def heal(self) -> None:
        """Open all ways; half of what was held up was lost with its connection."""
        self.cut.clear()
        held, self._held = self._held, []
        for source, target, come in held:
            if self.rng.random() < 0.5:
                self.carry(source, target, come)

    def cut_off(self, address: str, ways: int, others: list[str]) -> None:
        """Cut what an address sends, is sent, or both."""
        for other in others:
            if ways & 1:
                self.cut.add((address, other))
            if ways & 2:
                self.cut.add((other, address))


class SimulatedLink:
    """The way from one node to another."""

    def __init__(self, network: Network, source: str, target: str) -> None:
        self._network, self._source, self._target = network, source, target

    def send(self, kind: Kind, body: bytes) -> None:
        """Send one way."""
        for _ in range(1 + (self._network.rng.random() < DOUBLED)):
            self._network.carry(self._source, self._target, lambda: self._arrive(kind, body))

    def _arrive(self, kind: Kind, body: bytes) -> None:
        server = self._network.servers.get(self._target)
        if server is not None:
            server.one_way(kind, body)

    async def call(self, kind: Kind, body: bytes, within: float) -> Reply:
        """Call and wait."""
        answer: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._network.carry(self._source, self._target, lambda: self._serve(kind, body, answer))
        try:
            async with asyncio.timeout(within):
                return await answer
        except TimeoutError:
            return LOST

    def _serve(self, kind: Kind, body: bytes, answer: asyncio.Future[Reply]) -> None:
        server = self._network.servers.get(self._target)
        if server is None:
            if self._target in self._network.refusing and not answer.done():
                answer.set_result(LOST)
            return

        async def reply() -> None:
            given = await server.serve(kind, body)
            self._network.carry(self._target, self._source, lambda: self._answer(answer, given))

        server.run(reply())

    @staticmethod
    def _answer(answer: asyncio.Future[Reply], given: Reply) -> None:
        if not answer.done():
            answer.set_result(given)

    def drop(self) -> None:
        """Connections are no part of the model."""

    def drop_if_silent(self, since: float) -> None:
        """Neither here."""


class SimulatedLinks:
    """All ways from one node."""

    def __init__(self, network: Network, source: str = "") -> None:
        self._network, self.source = network, source

    def to(self, address: str) -> SimulatedLink:
        return SimulatedLink(self._network, self.source, address)


class SimulatedServer:
    """What listens at an address, and the tasks that run for it."""

    def __init__(
        self,
        network: Network,
        serve: Callable[[Kind, bytes], Awaitable[Reply]],
        one_way: Callable[[Kind, bytes], None],
    ) -> None:
        self._network, self.serve, self.one_way = network, serve, one_way
        self.tasks: set[asyncio.Task[Any]] = set()

    async def listen(self, host: str, port: int) -> None:
        self._network.servers[f"{host}:{port}"] = self
        self._network.refusing.discard(f"{host}:{port}")

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def close(self) -> None:
        """Nothing to close."""


@dataclass
class Machine:
    """A core machine: its settings, and its process while that runs."""

    settings: NodeSettings
    core: Core | None = None
    api: ControlApi | None = None

    @property
    def address(self) -> str:
        return f"{self.settings.ip}:{PORT}"


@dataclass
class SimulatedCore:
    """The core nodes of a tier."""

    root: Path
    rng: random.Random
    size: int = 3
    machines: dict[str, Machine] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    acked: list[tuple[float, int]] = field(default_factory=list)  # time and revision of each 200
    network: Network = field(init=False)
    dispatchers: list[SimulatedDispatcher] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.network = Network(self.rng)
        self._addresses = 0
        self.seeds: tuple[str, ...] = ()

    def note(self, text: str) -> None:
        """Add to the trace of what happened."""
        self.trace.append(f"{time.monotonic():.3f} {text}")

    async def start(self, dispatchers: int = 2) -> None:
        ips = [self._new_ip() for _ in range(self.size)]
        self.seeds = tuple(f"{ip}:{CONTROL_PORT}" for ip in ips[:3])
        for ip in ips:
            self.machines[ip] = Machine(self._settings(ip, bootstrap=True))
        for ip in ips:
            await self.boot(ip)
        self.dispatchers += [SimulatedDispatcher(self, f"10.9.0.{n}") for n in range(dispatchers)]

    def _new_ip(self) -> str:
        self._addresses += 1
        return f"10.1.0.{self._addresses}"

    def _settings(self, ip: str, bootstrap: bool) -> NodeSettings:
        """Settings as the platform writes them at this moment: three nodes that are there or just lost."""
        there = sorted(self.machines)
        seeds = self.seeds
        if not bootstrap and there:
            seeds = tuple(f"{s}:{CONTROL_PORT}" for s in self.rng.sample(there, min(3, len(there))))
        return NodeSettings(
            name=f"core-{ip}",
            role="coordinator",
            machine_class="core",
            ip=ip,
            zone="z",
            region="r",
            zones={"z": "r"},
            listen={"control": f"{ip}:{CONTROL_PORT}"},
            port=PORT,
            seeds=seeds,
            bootstrap=bootstrap,
            data_dir=str(self.root / ip),
            heartbeat=1.2,
            machines_lost=(self.size - 1) // 2,
            memory_mb=300,
            disk_mb=100,
            max_fds=4000,
            bounds=NodeBounds(
                grace=8, config_apply=CONFIG_APPLY, max_skew=MAX_SKEW, recover=RECOVER, status=120
            ),
        )

    async def boot(self, ip: str) -> None:
        """Start a machine's process."""
        machine = self.machines[ip]
        core = Core(machine.settings)
        cast(SimulatedLinks, core.links).source = machine.address
        machine.core, machine.api = core, ControlApi(core)
        await core.start()

    def kill(self, ip: str, power: bool) -> None:
        """End a process; without power its machine says nothing to callers."""
        machine = self.machines[ip]
        core, machine.core, machine.api = machine.core, None, None
        self._end(machine.address, core, power)

    def _end(self, address: str, node: ReplicaNode | None, power: bool) -> None:
        """End a node's process; without power its machine says nothing to callers."""
        server = self.network.servers.pop(address, None)
        if not power:
            self.network.refusing.add(address)
        for task in [*(node._tasks if node else ()), *(server.tasks if server else ())]:
            task.cancel()
        if node is not None:
            node.host.flush = lambda: None  # type: ignore[method-assign]

    def wipe(self, ip: str) -> None:
        """Lose a disk; the next process there is none of the first start."""
        shutil.rmtree(self.root / ip, ignore_errors=True)
        self.machines[ip].settings = self._settings(ip, bootstrap=False)

    async def restart(self, ip: str, down: float, power: bool, wiped: bool) -> None:
        self.kill(ip, power)
        if wiped:
            self.wipe(ip)
        await asyncio.sleep(down)
        self.network.refusing.discard(self.machines[ip].address)
        await self.boot(ip)

    async def replace(self, ip: str, after: float) -> str:
        """A machine is gone for good; an empty one comes at another address."""
        self.kill(ip, power=True)
        shutil.rmtree(self.root / ip, ignore_errors=True)
        del self.machines[ip]
        await asyncio.sleep(after)
        new = self._new_ip()
        self.machines[new] = Machine(self._settings(new, bootstrap=False))
        await self.boot(new)
        return new

    def whole(self) -> bool:
        """Whether every running node knows just the running nodes as voters of all groups."""
        cores = [m.core for m in self.machines.values() if m.core]
        wanted = {core.host.me for core in cores}
        return len(cores) == self.size and all(
            set(hosted.replica.log.members) == wanted
            and hosted.replica.log.members_index <= hosted.replica.commit_index
            for core in cores
            for hosted in core.host.groups.values()
        )

    def memberships(self) -> str:
        """What each running node knows of the groups, for a report."""
        return "; ".join(
            f"{core.host.me} {name}: {replica.role.value} of {replica.term}, "
            f"{sorted(replica.log.members)} at {replica.log.members_index}, "
            f"committed {replica.commit_index}, learners {sorted(replica.learners)}"
            for core in (m.core for m in self.machines.values())
            if core
            for name, replica in ((name, hosted.replica) for name, hosted in core.host.groups.items())
        )

    def leader(self) -> str | None:
        """The node that may answer for the configuration, if one may."""
        return next((ip for ip, m in self.machines.items() if m.core and m.core.leads(CONFIG)), None)

    # ------------------------------------------------------------------ calls of the operators

    async def http(self, ip: str, method: str, path: str, body: bytes, base: str) -> web.Response | None:
        """One call at one node, redirects followed twice; None where no answer comes in time."""
        try:
            async with asyncio.timeout(SILENCE):
                for _ in range(3):
                    response = await self._at(ip, method, path, body, base)
                    if response is None or response.status != 307:
                        return response
                    ip = response.headers["Location"].split("/")[2].rpartition(":")[0]
        except TimeoutError:
            return None
        return None

    async def _at(self, ip: str, method: str, path: str, body: bytes, base: str) -> web.Response | None:
        machine = self.machines.get(ip)
        api = machine.api if machine else None
        if machine is None or api is None:
            await asyncio.sleep(SILENCE)
            return None
        request = mock.Mock(method=method, path=path, raw_path=path, headers={"If-Match": base})
        request.read = mock.AsyncMock(return_value=body)
        server = self.network.servers[machine.address]
        await asyncio.sleep(self.rng.choice(DELAYS))
        answer: asyncio.Future[web.Response] = asyncio.get_running_loop().create_future()

        async def handle() -> None:
            response = await api.handle(request)
            if not answer.done():
                answer.set_result(cast(web.Response, response))

        server.run(handle())
        response = await answer
        await asyncio.sleep(self.rng.choice(DELAYS))
        return response

    async def change(self, base: int, revision: int, content: str, ip: str) -> Answer:
        """One try of a change, noted for the check."""
        start = time.monotonic()
        response = await self.http(ip, "PUT", "/-/config", document(revision, content), str(base))
        end = time.monotonic()
        answer = Answer.UNCLEAR
        if response is not None and response.status == 200:
            answer = Answer.TAKEN
            told = ujson.loads(cast(bytes, response.body))["revision"]
            if told != revision:
                raise Violated(f"the change to {revision} was acknowledged as {told}")
            self.acked.append((end, revision))
        elif response is not None and response.status == 412:
            answer = Answer.STALE
        elif response is not None and response.status != 503:
            raise Violated(f"a proper change was answered {response.status}: {response.text}")
        self.note(f"{base}->{revision}{content} at {ip}: {answer.value}")
        self.calls.append(Call(start, end, answer, base, revision, content))
        return answer

    async def read(self, ip: str) -> tuple[int, str] | None:
        """One read, noted for the check."""
        start = time.monotonic()
        response = await self.http(ip, "GET", "/-/config", b"", "")
        if response is None or response.status != 200:
            return None
        found = ujson.loads(cast(bytes, response.body))
        revision, content = found["revision"], found["content"]
        self.calls.append(Call(start, time.monotonic(), Answer.READ, 0, revision, content))
        self.note(f"read at {ip}: {revision}{content}")
        return revision, content

    # ------------------------------------------------------------------ promises

    def check_dispatchers(self) -> None:
        """Whoever may say that a route is unknown holds all that was acknowledged a bound ago."""
        now = time.monotonic()
        due = max((revision for at, revision in self.acked if now - at > CONFIG_APPLY), default=0)
        for dispatcher in self.dispatchers:
            if dispatcher.may_refuse(now) and dispatcher.revision < due:
                raise Violated(f"{dispatcher.name} answers by {dispatcher.revision}, {due} was acknowledged")


class SimulatedDispatcher:
    """A dispatcher's pulls and what it knows by them."""

    def __init__(self, tier: SimulatedCore, ip: str) -> None:
        self.name = f"{ip}:{PORT}"
        self.view = ControlStateView()
        links = cast(Links, SimulatedLinks(tier.network, self.name))
        seeds = [s.rpartition(":")[0] + f":{PORT}" for s in tier.seeds]
        session = Session(name=ip, machine_class="edge", address=self.name, zone="z")
        self.limits = StalenessLimits.from_bounds(CONFIG_APPLY, MAX_SKEW, RECOVER)
        self.puller = Puller(links, self.view, lambda: session, lambda: seeds, lambda _: None)
        self.task = asyncio.create_task(self.puller.run())

    @property
    def revision(self) -> int:
        return int(ujson.loads(self.view.document)["revision"]) if self.view.document else 0

    def may_refuse(self, now: float) -> bool:
        """Whether it would answer 404."""
        return bool(self.view.document) and now - self.puller.known_at < self.limits.unknown_route_limit


def document(revision: int, content: str) -> bytes:
    """A valid configuration that can be told from others of the same revision."""
    route = {"name": "a", "hostname": "h", "path_prefix": "/a/", "timeout_ms": 100, "service": "s"}
    whole = {"revision": revision, "content": content, "routes": [route], "services": [{"name": "s"}]}
    return ujson.dumps(whole).encode()


@contextlib.contextmanager
def simulated(
    root: Path, seed: int, size: int = 3, made: type[SimulatedCore] | None = None
) -> Iterator[SimulatedCore]:
    """A core whose nodes are made with the simulated network; to be used in virtual time."""
    rng = random.Random(seed)
    tier = (made or SimulatedCore)(root, rng, size)

    def server(serve: Any, one_way: Any) -> SimulatedServer:
        return SimulatedServer(tier.network, serve, one_way)

    with (
        structlog.testing.capture_logs(),
        mock.patch.object(replica_node, "Links", lambda: SimulatedLinks(tier.network)),
        mock.patch.object(replica_node, "LinkServer", server),
        mock.patch("os.fsync"),
        mock.patch("os.fdatasync"),
        mock.patch("random.random", rng.random),
        mock.patch("random.choice", rng.choice),
        mock.patch("random.Random", lambda: Drawn(rng.getrandbits(48))),
    ):
        yield tier
