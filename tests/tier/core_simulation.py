"""A simulation of core nodes, operators whose answers may be lost, and dispatchers over a simulated network.

Real `Core`, `ControlApi`, `GroupHost`, `Journal` and `Puller` objects run in virtual time. Messages between
them are delayed, reordered, duplicated or blocked by partitions; nodes are killed, lose power or their disks,
or are replaced.
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
from heronstall.transport.links import CALL_FAILED, LargeReply, Links, Reply
from heronstall.transport.messages import Session
from heronstall.transport.pulling import StatePuller
from tests.tier.register_history import Answer, Call

RealRandom = random.Random  # the original class, which the simulation replaces by streams of the test's seed
BATCH_ROUTE = "lots"  # of every simulated configuration
PORT, CONTROL_PORT = 7720, 8166
MESSAGE_DELAYS = (0.0005, 0.002, 0.005, 0.03)  # seconds; one is chosen at random for each message
DUPLICATE_SHARE = 0.02  # share of the one-way messages that arrive twice
ANSWER_TIMEOUT = 1.0  # seconds after which an operator calls another node
CONFIG_APPLY, MAX_SKEW, RECOVER = 2.0, 5.0, 12.0  # seconds
RECOVERY_BOUND = 4.9  # seconds after its restart in which a node without its disk must be recovered


class InvariantViolation(AssertionError):
    """Raised when a guarantee of the tier is violated."""


class Network:
    """Delivers messages between addresses. Blocked links delay them; messages to dead nodes are lost."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.servers: dict[str, SimulatedServer] = {}
        self.refusing: set[str] = set()  # live machines without a process, which reset connections
        self.blocked_links: set[tuple[str, str]] = set()
        self._blocked: list[tuple[str, str, Callable[[], None]]] = []

    def deliver(self, source: str, target: str, on_arrival: Callable[[], None]) -> None:
        """Delivers after a random delay, or once the link is open again."""
        delay = self.rng.choice(MESSAGE_DELAYS) * self.rng.uniform(0.5, 1.5)

        def attempt_delivery() -> None:
            if (source, target) in self.blocked_links:
                self._blocked.append((source, target, attempt_delivery))
            else:
                on_arrival()

        asyncio.get_running_loop().call_later(delay, attempt_delivery)

    def heal(self) -> None:
        """Opens all links. Half of the blocked messages are lost with their connections."""
        self.blocked_links.clear()
        blocked, self._blocked = self._blocked, []
        for source, target, attempt_delivery in blocked:
            if self.rng.random() < 0.5:
                self.deliver(source, target, attempt_delivery)

    def cut_links(self, address: str, directions: int, others: list[str]) -> None:
        """Blocks what an address sends (1), what it receives (2), or both (3)."""
        for other in others:
            if directions & 1:
                self.blocked_links.add((address, other))
            if directions & 2:
                self.blocked_links.add((other, address))


class SimulatedLink:
    """The link from one node to another."""

    def __init__(self, network: Network, source: str, target: str) -> None:
        self._network, self._source, self._target = network, source, target

    def send(self, kind: Kind, body: bytes) -> None:
        """Sends a one-way message."""
        for _ in range(1 + (self._network.rng.random() < DUPLICATE_SHARE)):
            self._network.deliver(self._source, self._target, lambda: self._arrive(kind, body))

    def _arrive(self, kind: Kind, body: bytes) -> None:
        server = self._network.servers.get(self._target)
        if server is not None:
            server.one_way(kind, body)

    async def call(self, kind: Kind, body: bytes, within: float) -> Reply:
        """Makes a call and waits for its reply."""
        answer: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._network.deliver(self._source, self._target, lambda: self._serve(kind, body, answer))
        try:
            async with asyncio.timeout(within):
                return await answer
        except TimeoutError:
            return CALL_FAILED

    def _serve(self, kind: Kind, body: bytes, answer: asyncio.Future[Reply]) -> None:
        server = self._network.servers.get(self._target)
        if server is None:
            if self._target in self._network.refusing and not answer.done():
                answer.set_result(CALL_FAILED)
            return

        async def reply() -> None:
            served = await server.serve(kind, body)
            result = served.encoded() if isinstance(served, LargeReply) else served
            self._network.deliver(self._target, self._source, lambda: self._answer(answer, result))

        server.run(reply())

    @staticmethod
    def _answer(answer: asyncio.Future[Reply], result: Reply) -> None:
        if not answer.done():
            answer.set_result(result)

    def disconnect(self) -> None:
        """Does nothing: the simulation has no connections."""

    def disconnect_if_silent(self, since: float) -> None:
        """Does nothing: the simulation has no connections."""


class SimulatedLinks:
    """All links from one node."""

    def __init__(self, network: Network, source: str = "") -> None:
        self._network, self.source = network, source

    def to(self, address: str) -> SimulatedLink:
        return SimulatedLink(self._network, self.source, address)


class SimulatedServer:
    """The server of an address, and the tasks that it runs."""

    def __init__(
        self,
        network: Network,
        serve: Callable[[Kind, bytes], Awaitable[Reply | LargeReply]],
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
        """Does nothing: there is nothing to close."""


@dataclass
class Machine:
    """A core machine: its settings, and its process while one runs."""

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
    acknowledged: list[tuple[float, int]] = field(default_factory=list)  # time and revision, for status 200
    network: Network = field(init=False)
    dispatchers: list[SimulatedDispatcher] = field(default_factory=list)
    event_log: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.network = Network(self.rng)
        self._addresses = 0
        self.seeds: tuple[str, ...] = ()

    def record_event(self, text: str) -> None:
        """Adds a line to the log of simulated events."""
        self.event_log.append(f"{time.monotonic():.3f} {text}")

    async def start(self, dispatchers: int = 2) -> None:
        ips = [self._new_ip() for _ in range(self.size)]
        self.seeds = tuple(f"{ip}:{CONTROL_PORT}" for ip in ips[:3])
        for ip in ips:
            self.machines[ip] = Machine(self._settings(ip, bootstrap=True))
        for ip in ips:
            await self.start_process(ip)
        self.dispatchers += [SimulatedDispatcher(self, f"10.9.0.{n}") for n in range(dispatchers)]

    def _new_ip(self) -> str:
        self._addresses += 1
        return f"10.1.0.{self._addresses}"

    def _settings(self, ip: str, bootstrap: bool) -> NodeSettings:
        """Returns settings as the platform writes them now, with up to three current machines as seeds."""
        running = sorted(self.machines)
        seeds = self.seeds
        if not bootstrap and running:
            seeds = tuple(f"{s}:{CONTROL_PORT}" for s in self.rng.sample(running, min(3, len(running))))
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

    async def start_process(self, ip: str) -> None:
        """Starts a machine's process."""
        machine = self.machines[ip]
        core = Core(machine.settings)
        cast(SimulatedLinks, core.links).source = machine.address
        machine.core, machine.api = core, ControlApi(core)
        await core.start()

    def stop_process(self, ip: str, power_loss: bool) -> None:
        """Ends a process. A machine without power does not reset connections."""
        machine = self.machines[ip]
        core, machine.core, machine.api = machine.core, None, None
        self._stop_node(machine.address, core, power_loss)

    def _stop_node(self, address: str, node: ReplicaNode | None, power_loss: bool) -> None:
        """Ends a node's process. A machine without power does not reset connections."""
        server = self.network.servers.pop(address, None)
        if not power_loss:
            self.network.refusing.add(address)
        for task in server.tasks if server else ():
            task.cancel()
        if node is not None:
            node._background.cancel()
            node.host.flush = lambda: None  # type: ignore[method-assign]

    def lose_disk(self, ip: str) -> None:
        """Deletes a disk. The next process of the machine starts without the bootstrap setting."""
        shutil.rmtree(self.root / ip, ignore_errors=True)
        self.machines[ip].settings = self._settings(ip, bootstrap=False)

    async def restart(self, ip: str, downtime: float, power_loss: bool, wiped: bool) -> None:
        self.stop_process(ip, power_loss)
        if wiped:
            self.lose_disk(ip)
        await asyncio.sleep(downtime)
        self.network.refusing.discard(self.machines[ip].address)
        await self.start_process(ip)

    async def replace(self, ip: str, after: float) -> str:
        """Removes a machine permanently and starts an empty one at another address."""
        self.stop_process(ip, power_loss=True)
        shutil.rmtree(self.root / ip, ignore_errors=True)
        del self.machines[ip]
        await asyncio.sleep(after)
        new = self._new_ip()
        self.machines[new] = Machine(self._settings(new, bootstrap=False))
        await self.start_process(new)
        return new

    def has_expected_members(self) -> bool:
        """Whether all nodes run and each one knows exactly these as the committed voters of all groups."""
        cores = [m.core for m in self.machines.values() if m.core]
        expected = {core.host.replica_id for core in cores}
        return len(cores) == self.size and all(
            set(hosted.replica.log.members) == expected
            and hosted.replica.log.members_index <= hosted.replica.commit_index
            for core in cores
            for hosted in core.host.groups.values()
        )

    def memberships(self) -> str:
        """Describes each running node's state of the groups, for error messages."""
        return "; ".join(
            f"{core.host.replica_id} {name}: {replica.role.value} of {replica.term}, "
            f"{sorted(replica.log.members)} at {replica.log.members_index}, "
            f"committed {replica.commit_index}, learners {sorted(replica.learners)}"
            for core in (m.core for m in self.machines.values())
            if core
            for name, replica in ((name, hosted.replica) for name, hosted in core.host.groups.items())
        )

    def leader(self) -> str | None:
        """Returns the leader of the configuration shard, if there is one."""
        return next((ip for ip, m in self.machines.items() if m.core and m.core.leads(CONFIG)), None)

    # ------------------------------------------------------------------ calls of the operators

    async def http(self, ip: str, method: str, path: str, body: bytes, base: str) -> web.Response | None:
        """Makes a call to a node and follows up to two redirects. Returns None if no answer comes in time."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                for _ in range(3):
                    response = await self._call_once(ip, method, path, body, base)
                    if response is None or response.status != 307:
                        return response
                    ip = response.headers["Location"].split("/")[2].rpartition(":")[0]
        except TimeoutError:
            return None
        return None

    async def _call_once(
        self, ip: str, method: str, path: str, body: bytes, base: str
    ) -> web.Response | None:
        machine = self.machines.get(ip)
        api = machine.api if machine else None
        if machine is None or api is None:
            await asyncio.sleep(ANSWER_TIMEOUT)
            return None
        request = mock.Mock(method=method, path=path, raw_path=path, headers={"If-Match": base})
        request.read = mock.AsyncMock(return_value=body)
        server = self.network.servers[machine.address]
        await asyncio.sleep(self.rng.choice(MESSAGE_DELAYS))
        answer: asyncio.Future[web.Response] = asyncio.get_running_loop().create_future()

        async def handle() -> None:
            response = await api.handle(request)
            if not answer.done():
                answer.set_result(cast(web.Response, response))

        server.run(handle())
        response = await answer
        await asyncio.sleep(self.rng.choice(MESSAGE_DELAYS))
        return response

    async def change(self, base: int, revision: int, content: str, ip: str) -> Answer:
        """Sends a change once and records the call for the check."""
        start = time.monotonic()
        response = await self.http(ip, "PUT", "/-/config", document(revision, content), str(base))
        end = time.monotonic()
        answer = Answer.UNKNOWN
        if response is not None and response.status == 200:
            answer = Answer.ACCEPTED
            acknowledged_as = ujson.loads(cast(bytes, response.body))["revision"]
            if acknowledged_as != revision:
                raise InvariantViolation(f"the change to {revision} was acknowledged as {acknowledged_as}")
            self.acknowledged.append((end, revision))
        elif response is not None and response.status == 412:
            answer = Answer.STALE
        elif response is not None and response.status != 503:
            raise InvariantViolation(
                f"a valid change was answered with status {response.status}: {response.text}"
            )
        self.record_event(f"{base}->{revision}{content} at {ip}: {answer.value}")
        self.calls.append(Call(start, end, answer, base, revision, content))
        return answer

    async def read(self, ip: str) -> tuple[int, str] | None:
        """Reads once and records the call for the check."""
        start = time.monotonic()
        response = await self.http(ip, "GET", "/-/config", b"", "")
        if response is None or response.status != 200:
            return None
        found = ujson.loads(cast(bytes, response.body))
        revision, content = found["revision"], found["content"]
        self.calls.append(Call(start, time.monotonic(), Answer.READ, 0, revision, content))
        self.record_event(f"read at {ip}: {revision}{content}")
        return revision, content

    # ------------------------------------------------------------------ invariants

    def check_dispatchers(self) -> None:
        """Checks that dispatchers that may report unknown routes have the configurations they must have.

        These are all that were acknowledged at least CONFIG_APPLY seconds ago.
        """
        now = time.monotonic()
        required = max((revision for at, revision in self.acknowledged if now - at > CONFIG_APPLY), default=0)
        for dispatcher in self.dispatchers:
            if dispatcher.may_refuse(now) and dispatcher.revision < required:
                raise InvariantViolation(
                    f"{dispatcher.name} uses {dispatcher.revision}, {required} was acknowledged"
                )


class SimulatedDispatcher:
    """A dispatcher's puller and its view of the control state."""

    def __init__(self, tier: SimulatedCore, ip: str) -> None:
        self.name = f"{ip}:{PORT}"
        self.view = ControlStateView()
        links = cast(Links, SimulatedLinks(tier.network, self.name))
        seeds = [s.rpartition(":")[0] + f":{PORT}" for s in tier.seeds]
        session = Session(name=ip, machine_class="edge", address=self.name, zone="z")
        self.limits = StalenessLimits.from_bounds(CONFIG_APPLY, MAX_SKEW, RECOVER)
        self.puller = StatePuller(links, self.view, lambda: session, lambda: seeds, lambda _: None)
        self.task = asyncio.create_task(self.puller.run())

    @property
    def revision(self) -> int:
        return int(ujson.loads(self.view.document)["revision"]) if self.view.document else 0

    def may_refuse(self, now: float) -> bool:
        """Whether the dispatcher would answer 404 for an unknown route."""
        return bool(self.view.document) and now - self.puller.current_as_of < self.limits.unknown_route_limit


def document(revision: int, content: str) -> bytes:
    """Returns a valid configuration, whose content tells it from others of the same revision."""
    route = {"name": "a", "hostname": "h", "path_prefix": "/a/", "timeout_ms": 100, "service": "s"}
    batch_route = {**route, "name": BATCH_ROUTE, "path_prefix": "/lots/", "route_type": "batch"}
    configuration = {
        "revision": revision,
        "content": content,
        "routes": [route, batch_route],
        "services": [{"name": "s"}],
    }
    return ujson.dumps(configuration).encode()


@contextlib.contextmanager
def simulated(
    root: Path, seed: int, size: int = 3, tier_type: type[SimulatedCore] | None = None
) -> Iterator[SimulatedCore]:
    """Provides a tier whose nodes use the simulated network; to be used in virtual time."""
    rng = random.Random(seed)
    tier = (tier_type or SimulatedCore)(root, rng, size)

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
        mock.patch("random.Random", lambda: RealRandom(rng.getrandbits(48))),
    ):
        yield tier
