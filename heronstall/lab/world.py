"""The process that hosts every backend server and discovery."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import socket
from collections.abc import Callable
from multiprocessing.connection import Connection
from typing import Any

from heronstall.fleet import boundary as b
from heronstall.fleet.client import try_id
from heronstall.fleet.fleet import Fleet, Plan
from heronstall.fleet.ledger import zones
from heronstall.fleet.list_service import ListService
from heronstall.fleet.server import Server
from heronstall.fleet.spec import Scenario
from heronstall.fleet.streams import Table, uniforms
from heronstall.lab.clock import RealTime, lateness
from heronstall.lab.connection import ServerConnection
from heronstall.lab.faults import Faults, mine
from heronstall.lab.listener import Listener
from heronstall.lab.pipe import end, listen
from heronstall.lab.watch import Agent

log = logging.getLogger("heronstall.lab")


class World:
    """Servers, ways and discovery on sockets: each dispatcher has an address of its own for each of them."""

    def __init__(self, scenario: Scenario, seed: int, pipe: Connection) -> None:
        self.scenario, self._pipe = scenario, pipe
        self.plan = Plan(scenario, seed)
        self.time = RealTime()
        self.resets = 0.0
        self.stale: int | None = None
        self.crossings: list[b.Crossing] = []
        self.accepted: list[tuple[int, int]] = []  # when each connection came, and to which server
        self._draws: Table = uniforms(self.plan.streams, "breaks", "lab")
        self._attempts = 0
        self._numbers: dict[str, int] = {}
        self._listeners: dict[tuple[int, int], Listener] = {}
        self._connections: dict[ServerConnection, None] = {}
        self._zones = zones(self.plan)[0]
        self.faults = Faults(mine(scenario.faults, True), seed, self.time.at)
        self.fleet = Fleet(scenario, seed, self.time, self._endpoint, self)
        self.ways = self.fleet.network
        self.ways.on_cut.append(lambda zone: self._listen_all())
        self.ways.on_heal.insert(0, lambda zone: self._listen_all())
        for server in self.fleet.servers:
            server.on_change.append(self._changed)
        for node in range(scenario.dispatchers):
            for server in self.fleet.servers:
                self._listeners[node, server.number] = Listener(self._accepts(node, server))
        roster = self.fleet.discovery
        self.desk = ListService(scenario.lists_per_s, scenario.places)
        self.agents = [
            Agent(n, roster, self.time, self.cross, self.desk) for n in range(scenario.dispatchers)
        ]
        roster.on_update.append(lambda node, message: self.agents[node].tell(message))
        self._discovery = [Listener(self._accepted(agent)) for agent in self.agents]
        for request in self.plan.requests:
            self._numbers[try_id(request.number, 0)] = request.number

    def _endpoint(self, node: int, server: Server) -> str:
        return self.faults.link(f"n{node}>s{server.number}", self._listeners[node, server.number].address)

    def _accepts(self, node: int, server: Server) -> Callable[[socket.socket], None]:
        def make() -> ServerConnection:
            connection = ServerConnection(self, node, self._zones[node], server)
            self._connections[connection] = None
            self.accepted.append((self.time.now, server.number))
            return connection

        return self._accepted(make)

    @staticmethod
    def _accepted(make: Callable[[], asyncio.Protocol]) -> Callable[[socket.socket], None]:
        tasks: set[asyncio.Task[Any]] = set()

        def accepted(sock: socket.socket) -> None:
            async def adopt() -> None:
                try:
                    await asyncio.get_running_loop().connect_accepted_socket(make, sock)
                except OSError:
                    sock.close()

            task = asyncio.get_running_loop().create_task(adopt())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        return accepted

    # ------------------------------------------------------------------ what connections need

    def cross(self, crossing: b.Crossing) -> None:
        """Something crossed the boundary."""
        self.crossings.append(crossing)

    def work_of(self, id: str) -> tuple[float, str | None] | None:
        """A try's work and key; None where no client has sent such an id."""
        number = self._numbers.get(id[:10] + "00")
        if number is None or len(id) != 12:
            return None
        request = self.plan.requests[number]
        keyed = self.scenario.classes[request.cls].effect == "keyed"
        return request.work, request.key if keyed else None

    def next_attempt(self) -> int:
        """A number for an attempt, given once in a run."""
        self._attempts += 1
        return self._attempts

    def draw(self, id: str, nth: int) -> float:
        """A number between 0 and 1 that belongs to a try's n-th question."""
        return self._draws[self._numbers.get(id[:10] + "00", 0) * 8 + nth]

    def closed(self, connection: ServerConnection) -> None:
        """A connection has ended."""
        self._connections.pop(connection, None)

    # ------------------------------------------------------------------ changes

    def _listen_all(self) -> None:
        for node in range(self.scenario.dispatchers):
            for server in self.fleet.servers:
                self._listen(node, server)

    def _listen(self, node: int, server: Server) -> None:
        listener = self._listeners[node, server.number]
        if server.vanished or not self.ways.reachable(self._zones[node], server.zone):
            listener.set("mute")
        else:
            listener.set("open" if server.up else "refuse")

    def _changed(self, server: Server, change: str) -> None:
        mine = [c for c in self._connections if c.server is server]
        if change == "fell":
            self.cross(
                b.Fell(self.time.now, server.number, server.started_at, server.overload_by_dispatcher())
            )
        elif change == "vanished":
            for connection in mine:
                connection.deaf = True
        elif change in ("died", "returned"):
            for connection in mine:
                connection.reset()
        for node in range(self.scenario.dispatchers):
            self._listen(node, server)

    def crash(self, node: int, back: int) -> None:
        """The run's own process does that."""

    def restart(self, node: int, back: int) -> None:
        """The run's own process does that."""

    def set_resets(self, share: float) -> None:
        """So large a share of exchanges meets a broken connection from now on."""
        self.resets = share

    def set_stale(self, after: int | None) -> None:
        """Connections idle for so long are dead from now on."""
        self.stale = after

    # ------------------------------------------------------------------ the run

    def message(self, what: str, value: Any) -> None:
        """A word from the run's process."""
        if what == "begin":
            origin, unix_ms = value
            self.fleet.discovery.origin_ms = unix_ms
            self.time.begin(origin)
            self.faults.begin(lambda name: [])
        elif what == "held":
            self._pipe.send((f"held {value}", self.fleet.discovery.full_state(value)))
        elif what == "live":
            rows = [
                (
                    s.uid,
                    s.zone,
                    s.up,
                    s.vanished,
                    s.draining,
                    s.answers,
                    len(s.running),
                    len(s.queue),
                    s.spec.slots,
                )
                for s in self.fleet.servers
            ]
            self._pipe.send(("live", rows))
        elif what == "trouble":
            self.fleet.troubles.inject(value)
        elif what == "end":
            tallies = [s.tally for s in self.fleet.servers]
            fallen = [s.uid for s in self.fleet.servers if s.fallen]
            told = (self.crossings, tallies, fallen, lateness(self.time.late), self.faults.took())
            self._pipe.send(("world", (*told, self.desk.requests, self.accepted)))

    def addresses(self) -> list[str]:
        """Where each dispatcher finds discovery."""
        return [self.faults.link(f"n{n}>discovery", one.address) for n, one in enumerate(self._discovery)]

    def close(self) -> None:
        """Let go of every socket."""
        self.faults.close()
        for connection in list(self._connections):
            connection.reset()
        for listener in [*self._listeners.values(), *self._discovery]:
            listener.close()


def main(scenario: Scenario, seed: int, pipe: Connection) -> None:
    """The process's own main: serve until the pipe closes."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the run's process ends this one

    async def serve() -> None:
        world = World(scenario, seed, pipe)
        gc.freeze()
        done = asyncio.get_running_loop().create_future()
        listen(pipe, world.message, lambda: end(done))
        pipe.send(("ready", world.addresses()))
        await done
        world.close()

    asyncio.run(serve())
