"""The backend side of a dispatcher in virtual time: its connections, dispatches and probes.

It stands where `net.backend` stands: the same endings for the same causes, the same pool rules, no sockets.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from heronstall import interface as i
from heronstall.config import Config
from heronstall.fleet import boundary as b
from heronstall.fleet.client import Try, result_of
from heronstall.fleet.fleet import report_object
from heronstall.fleet.server import FINAL_EVENTS, AttemptUpdate, Job, Server
from heronstall.fleet.streams import Streams, Table, uniforms
from heronstall.fleet.zone_network import ZoneNetwork
from heronstall.model.compat import (
    KEEP_AGAIN,
    LEARNS_IDLE,
    OFF_MARGIN,
    PROBE_TIME,
    PROBES_AT_ONCE,
    SHORTEST_KEEP,
    STALE_TIME,
    read_report,
)
from heronstall.model.kernel import Due, Life, VirtualTime
from heronstall.net.connection import Ending
from heronstall.net.dispatcher import Dispatcher, Session
from heronstall.net.server_table import BackendServer

BREAK_WITHIN = 400_000  # a connection that a trouble breaks lasts so long at the most, from its request on
SAID = {"done": Ending.SERVED, "failed": Ending.FAILED, "lost": Ending.LOST}
HOW: dict[Ending, b.HowEnded] = {
    Ending.SERVED: "done",
    Ending.FAILED: "failed",
    Ending.RETURNED: "returned",
    Ending.LOST: "lost",
    Ending.BROKEN: "broken",
}


class World(Protocol):
    """What a wire needs of the run."""

    time: VirtualTime
    ways: ZoneNetwork
    servers: list[Server]
    resets: float
    stale: int | None

    def cross(self, crossing: b.Crossing) -> None:
        """Something crossed the boundary."""


class Conn:
    """A connection between a dispatcher and a server."""

    __slots__ = ("server", "idle_since", "last_out", "last_in", "dead", "exchange")

    def __init__(self, server: Server, now: int) -> None:
        self.server = server
        self.idle_since = now
        self.last_out = self.last_in = (
            0  # when the latest message each way gets there: none overtakes another
        )
        self.dead = False  # the far end has gone
        self.exchange: Exchange | None = None


class Exchange:
    """A request on a connection; `came` is told of each message that gets back, `broke` of a break."""

    def came(self, word: AttemptUpdate) -> None:
        """A word."""

    def broke(self) -> None:
        """The connection has broken."""


class Wire:
    """All connections of one life of a dispatcher."""

    def __init__(
        self, world: World, life: Life, node: int, zone: int, config: Config, streams: Streams
    ) -> None:
        self.world, self.life, self.node, self.zone, self.config = world, life, node, zone, config
        self.dispatcher: Dispatcher
        self._by_uid = {s.uid: s for s in world.servers}
        self._idle: dict[int, list[Conn]] = {}
        self.all: dict[Conn, None] = {}
        self._longest = self._keep = config.keepalive * 4 // 5
        self._broke_at = 0
        self._messages = node * 7919
        self.breaks: Table = uniforms(streams, "breaks", node)
        self._probes = 0

    # ------------------------------------------------------------------ ways

    def message(self) -> int:
        """The number of the next message, for its jitter."""
        self._messages += 1
        return self._messages

    def out(self, conn: Conn, call: Callable[[], None]) -> None:
        """Have `call` made when a message gets to the server; one that meets a cut waits for its end."""
        self._carry(conn, True, call)

    def back(self, conn: Conn, call: Callable[[], None]) -> None:
        """Have `call` made when a message gets back, unless the dispatcher has gone by then."""
        self._carry(conn, False, lambda: None if self.life.dead else call())

    def _carry(self, conn: Conn, outward: bool, call: Callable[[], None]) -> None:
        world, there = self.world, conn.server.zone
        if not world.ways.reachable(self.zone, there):
            world.ways.on_heal.append(_once(world.ways, lambda: self._carry(conn, outward, call)))
            return
        way = (self.zone, there) if outward else (there, self.zone)
        when = world.time.now + world.ways.latency(*way, self.message())
        if outward:
            when = conn.last_out = max(when, conn.last_out)
        else:
            when = conn.last_in = max(when, conn.last_in)
        world.time.at(when, call)

    # ------------------------------------------------------------------ pool

    def take(
        self, server: BackendServer, until: int, up: Callable[[Conn], None], none: Callable[[Ending], None]
    ) -> None:
        """A connection to write a first byte on: `up` is called with it, or `none` with why there is none."""
        physical = self._by_uid[server.uid]
        idle = self._idle.get(server.number, [])
        while idle:
            conn = idle.pop()
            if self.life.now - conn.idle_since < self._keep and not conn.dead:
                self._first(server, conn, up, none)
                return
            self.close(conn)
        self._connect(server, physical, until, up, none)

    def _first(
        self, server: BackendServer, conn: Conn, up: Callable[[Conn], None], none: Callable[[Ending], None]
    ) -> None:
        off = server.off_since
        if off is not None and self.life.now >= off + self.config.drain_grace - OFF_MARGIN:
            self.close(conn)
            none(Ending.WITHDRAWN)
        else:
            up(conn)

    def _connect(
        self,
        server: BackendServer,
        physical: Server,
        until: int,
        up: Callable[[Conn], None],
        none: Callable[[Ending], None],
    ) -> None:
        life, ways = self.life, self.world.ways
        limit = min(until, life.now + self.config.connect_timeout)
        there = physical.zone
        trip = ways.latency(self.zone, there, self.message()) + ways.latency(there, self.zone, self.message())

        def too_late() -> None:
            none(Ending.UNSENT_IN_TIME if life.now >= until else Ending.REFUSED)

        if not ways.reachable(self.zone, there) or physical.vanished or life.now + trip > limit:
            life.at(limit, too_late)
            return

        def comes_up() -> None:
            if physical.vanished or not ways.reachable(self.zone, there):
                life.at(limit, too_late)
            elif not physical.connect():
                none(Ending.REFUSED)
            else:
                conn = Conn(physical, life.now)
                self.all[conn] = None
                self._first(server, conn, up, none)

        life.at(life.now + trip, comes_up)

    def give(self, server: BackendServer, conn: Conn) -> None:
        """Keep a connection whose exchange is over."""
        conn.exchange = None
        if conn.dead:
            self.close(conn)
            return
        conn.idle_since = self.life.now
        self._idle.setdefault(server.number, []).append(conn)

    def forget(self, server: BackendServer) -> None:
        """The server has moved or restarted: its idle connections lead nowhere."""
        for conn in self._idle.pop(server.number, []):
            self.close(conn)

    def close(self, conn: Conn) -> None:
        """Close a connection from this end."""
        if conn in self.all:
            del self.all[conn]
            if not conn.dead:
                conn.dead = True
                self.out(conn, conn.server.disconnect)

    def sweep(self) -> None:
        """Close what has idled too long; use idle connections longer again while none breaks."""
        now = self.life.now
        if self._keep < self._longest and now - self._broke_at > KEEP_AGAIN:
            self._keep, self._broke_at = min(2 * self._keep, self._longest), now
        for number, row in list(self._idle.items()):
            kept = [c for c in row if now - c.idle_since < self._keep and not c.dead]
            for conn in row:
                if conn not in kept:
                    self.close(conn)
            if kept:
                self._idle[number] = kept
            else:
                del self._idle[number]

    def learn_break(self, conn: Conn, written: int) -> None:
        """A break soon after a request on an idle connection tells how long idle ones live."""
        idle = written - conn.idle_since
        if LEARNS_IDLE and self.life.now - written < STALE_TIME and idle >= SHORTEST_KEEP:
            self._keep = max(SHORTEST_KEEP, min(self._keep, idle * 3 // 4))
            self._broke_at = self.life.now

    def server_gone(self, server: Server) -> None:
        """A server's process has died, or its machine is back: its connections are reset."""
        for conn in [c for c in self.all if c.server is server]:
            exchange = conn.exchange

            def reset(conn: Conn = conn, exchange: Exchange | None = exchange) -> None:
                if not conn.dead:
                    conn.dead = True
                    if exchange is not None and conn.exchange is exchange:
                        exchange.broke()

            self.back(conn, reset)

    def end(self) -> None:
        """The dispatcher's process has ended: the servers see every connection close."""
        for conn in list(self.all):
            exchange = conn.exchange
            if isinstance(exchange, Dispatch):
                exchange.abandoned()
            self.close(conn)

    # ------------------------------------------------------------------ the dispatcher's backend

    def dispatch(self, session: Session, server: BackendServer, index: int, until: int) -> Dispatch:
        """Prepare one attempt."""
        return Dispatch(self, session, server, self._by_uid[server.uid], index, until)

    def probe(self, server: BackendServer) -> None:
        """Ask for a report; one `ProbeResult` is posted for it."""
        if self._probes >= PROBES_AT_ONCE:
            self.dispatcher.post(i.ProbeResult(server.number, False))
            return
        self._probes += 1
        Probe(self, server, self._by_uid[server.uid]).start()

    def probe_over(self) -> None:
        """One probe less under way."""
        self._probes -= 1


class Dispatch(Exchange):
    """One attempt; it ends once, with one call of `Dispatcher.dispatch_ended`."""

    def __init__(
        self, wire: Wire, session: Session, server: BackendServer, physical: Server, index: int, until: int
    ) -> None:
        self._wire, self._session, self._server, self._physical = wire, session, server, physical
        self._index, self._until = index, until
        self._began = wire.life.now
        self._conn: Conn | None = None
        self._written = -1
        self._job: Job | None = None
        self._due: Due | None = None
        self._ended = False
        self._report: i.Report | None = None

    def start(self) -> None:
        """Begin."""
        self._wire.take(self._server, self._until, self._up, self._end)

    def _up(self, conn: Conn) -> None:
        wire, life = self._wire, self._wire.life
        if self._ended:  # called off while the connection came up
            wire.close(conn)
            return
        self._conn, conn.exchange = conn, self
        now = self._written = life.now
        world, tried = wire.world, _try(self._session)
        stale = (
            world.stale is not None and now - conn.idle_since >= world.stale and conn.idle_since < self._began
        )
        self._cross(b.Written(now, wire.node, self._physical.number, tried.id, self._index))
        self._due = life.at(self._until, lambda: self._end(Ending.TIMED_OUT))
        if stale:
            wire.back(conn, self.broke)
            return
        self._cross(b.Arrived(now, wire.node, self._physical.number, tried.id, self._index))
        keyed = tried.request.key if world_class_keyed(wire, tried) else None
        job = self._job = Job(tried.id, self._index, keyed, tried.request.work, wire.node, self._told)
        wire.out(conn, lambda: self._arrive(conn, job))
        if world.resets and wire.breaks[tried.request.number * 8 + self._index] < world.resets:
            share = wire.breaks[tried.request.number * 8 + self._index + 5]
            life.at(now + int(share * BREAK_WITHIN), lambda: self._cut_off(conn, job))

    def _cut_off(self, conn: Conn, job: Job) -> None:
        if conn.exchange is self and not conn.dead:
            conn.dead = True
            self._wire.out(conn, lambda: self._gone(job))
            self._physical.disconnect()
            self.broke()

    def _gone(self, job: Job) -> None:
        if self._physical.up:
            self._physical.drop(job)

    def _arrive(self, conn: Conn, job: Job) -> None:
        server = self._physical
        if conn.dead and not self._ended:
            return  # reset on the way
        if server.up and not server.vanished:
            server.offer(job)

    def _told(self, word: AttemptUpdate) -> None:
        conn = self._conn
        if conn is not None and not conn.dead:
            self._wire.back(conn, lambda: self.came(word))

    def came(self, word: AttemptUpdate) -> None:
        """A word about the job has got back."""
        conn = self._conn
        if self._ended or conn is None or conn.dead:
            return
        if word.event not in FINAL_EVENTS:
            share = None if word.event == "started" else word.share
            self._wire.dispatcher.note(self._session, self._server, self._index, share)
            return
        if word.report is not None:
            self._report = read_report(self._wire.config, report_object(word.report))
        self._end(SAID.get(word.event, Ending.RETURNED))

    def broke(self) -> None:
        """The connection has broken under it."""
        if not self._ended and self._conn is not None:
            self._wire.learn_break(self._conn, self._written)
            self._end(Ending.BROKEN)

    def cancel(self) -> None:
        """Close its connection, unless it has ended."""
        self._end(Ending.CANCELLED)

    def abandoned(self) -> None:
        """The dispatcher's process has ended under it."""
        if not self._ended:
            self._ended = True
            self._over("closed")
            if self._conn is not None and self._job is not None:
                job = self._job
                self._wire.out(self._conn, lambda: self._gone(job))

    def _over(self, how: b.HowEnded) -> None:
        if self._written >= 0:
            tried = _try(self._session)
            now = self._wire.world.time.now
            self._cross(b.Over(now, self._wire.node, self._physical.number, tried.id, self._index, how))

    def _cross(self, crossing: b.Crossing) -> None:
        self._wire.world.cross(crossing)

    def _end(self, ending: Ending) -> None:
        if self._ended:
            return
        self._ended = True
        if self._due is not None:
            self._due.cancel()
        wire, conn = self._wire, self._conn
        self._over(HOW.get(ending, "closed"))
        result = b""
        if ending is Ending.SERVED:
            result = result_of(_try(self._session).id, self._physical.uid).encode()
        latency = wire.life.now - self._began
        wire.dispatcher.dispatch_ended(
            self._session, self._server, self._index, ending, latency, self._report, result
        )
        if conn is None:
            return
        job, self._job = self._job, None  # it holds a way back to here: a circle that only the collector ends
        if ending in (Ending.SERVED, Ending.FAILED, Ending.RETURNED, Ending.LOST):
            wire.give(self._server, conn)
            return
        conn.exchange = None
        if job is not None and not conn.dead:
            wire.out(conn, lambda: self._gone(job))
        wire.close(conn)


class Probe(Exchange):
    """One probe; it ends once, with one `ProbeResult`."""

    def __init__(self, wire: Wire, server: BackendServer, physical: Server) -> None:
        self._wire, self._server, self._physical = wire, server, physical
        self._began = wire.life.now
        self._conn: Conn | None = None
        self._over = False
        self._due: Due | None = None

    def start(self) -> None:
        """Begin."""
        until = self._began + PROBE_TIME
        self._due = self._wire.life.at(until, lambda: self._end(False, None))
        self._wire.take(self._server, until, self._up, lambda ending: self._end(False, None))

    def _up(self, conn: Conn) -> None:
        wire = self._wire
        if self._over:
            wire.close(conn)
            return
        self._conn, conn.exchange = conn, self
        wire.world.cross(b.Probed(wire.life.now, wire.node, self._physical.number))
        wire.out(conn, lambda: self._arrive(conn))

    def _arrive(self, conn: Conn) -> None:
        server = self._physical
        if conn.dead or not server.answers:
            return
        report = server.probe()
        self._wire.back(conn, lambda: self.came(AttemptUpdate("done", 0.0, report)))

    def came(self, word: AttemptUpdate) -> None:
        """The answer."""
        report = None
        if word.report is not None:
            report = read_report(self._wire.config, report_object(word.report))
        self._end(True, report)

    def broke(self) -> None:
        """The connection has broken under it."""
        self._end(False, None)

    def _end(self, ok: bool, report: i.Report | None) -> None:
        if self._over:
            return
        self._over = True
        wire = self._wire
        wire.probe_over()
        if self._due is not None:
            self._due.cancel()
        if self._conn is not None:
            if ok:
                wire.give(self._server, self._conn)
            else:
                self._conn.exchange = None
                wire.close(self._conn)
        wire.dispatcher.post(i.ProbeResult(self._server.number, ok, wire.life.now - self._began, report))


def _try(session: Session) -> Try:
    tried: Try = session.job
    return tried


def world_class_keyed(wire: Wire, tried: Try) -> bool:
    """Whether a try's class carries a key."""
    return wire.config.settings.classes[tried.request.cls].effect == "keyed"


def _once(ways: ZoneNetwork, call: Callable[[], None]) -> Callable[[int], None]:
    def healed(zone: int) -> None:
        ways.on_heal.remove(healed)
        call()

    return healed
