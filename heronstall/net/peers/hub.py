"""One process among its peers: who is there, whom its server table asks, and what it tells others.

UDP for the members' words, TCP under the same number, where a relay tells the list in the list service's own
form, each message with its age (`age_ms`), so that the server table follows a relay as it follows discovery,
and where a newcomer asks what a running process has seen of the servers.
"""

from __future__ import annotations

import logging
import random
import socket
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import ujson

from heronstall import events
from heronstall.config import Address, Config, ConfigError
from heronstall.events import say
from heronstall.membership.messages import Duty, Row, State, Unreadable, pack, unpack
from heronstall.membership.relays import (
    AGE_MOST,
    APART,
    AVOID,
    BEHIND,
    BLIND_BEHIND,
    HOLD,
    MISLED,
    MOST_FOLLOWERS,
    RELAY_BEHIND,
    TELLS,
    Relaying,
    Revisions,
)
from heronstall.membership.swim import Member, Out, Swim
from heronstall.net.connection import Connection, ConnectionEnded, Ending, listen
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.loop import READ, Coroutine, Loop, sleep
from heronstall.net.peers.followers import Follower
from heronstall.net.peers.learning import Learning
from heronstall.net.server_table import ServerTable
from heronstall.operator import PeersFile

BATCH = 64  # datagrams of one turn of the loop: the rest waits, and the kernel drops what it cannot hold
ROOM = 1 << 18  # bytes of datagrams that wait in the kernel
LOOK = 50_000  # between looks at what one is to do
BACK = 10_000_000  # from an asking of one's own to the next look for a relay
TOLD_EVERY = 10_000_000  # between log lines on datagrams that were passed over
log = logging.getLogger("heronstall.peers")


class Sockets(NamedTuple):
    """Both under one number."""

    udp: socket.socket
    listener: socket.socket


def open_sockets(host: str, port: int) -> Sockets:
    """At a port, or the one above it for a process that runs beside the one before. Raises OSError."""
    for last, number in ((False, port), (True, port + 1)):
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        udp = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            udp.bind((host, number))
            udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, ROOM)
            return Sockets(udp, listen((host, number), MOST_FOLLOWERS))
        except OSError:
            udp.close()
            if last:
                raise
    raise AssertionError("unreachable")


class Peers:
    """One process among its peers: a `ListSources` for its server table, and a relay for others."""

    descriptors = MOST_FOLLOWERS + 2

    def __init__(self, config: Config, told: PeersFile, loop: Loop) -> None:
        """Raises ConfigError for an address of no use."""
        self._loop, self._told = loop, told
        host = told.host or config.listen[0]
        try:
            if host in ("0.0.0.0", "::"):
                raise OSError("others need an address of one machine: set peers.host")
            self._udp, self._listener = open_sockets(host, told.port)
        except OSError as error:
            raise ConfigError(f"peers: cannot listen on {host}:{told.port}: {error}") from None
        self.host, self._port = host, self._udp.getsockname()[1]
        shown = told.advertise or (host, self._port)
        zones = {number: name for name, number in config.zones.items()}
        zone = zones.get(config.settings.zone, str(config.settings.zone))
        born = time.time_ns() // 1_000_000
        self._draw = random.Random(config.seed ^ born)
        me = Row(State.ALIVE, config.name, born, shown[0], shown[1], zone)
        seeds = [one for host, port in told.join for one in ((host, port), (host, port + 1))]
        self.swim = Swim(me, seeds, loop.now, self._draw)
        self.swim.changed = self._changed
        self.relaying = Relaying(loop.now)
        self.revisions = Revisions()
        self._direct_at: int | None = None  # when the list service last said something to ourselves
        self._told_at: int | None = None  # when that last was a list, or changes of it
        self._fresh_at: int | None = None  # up to when we know its list, from itself or by way of others
        self._own_since: int | None = None  # since when we ask it ourselves without being a relay
        self._own_at: int | None = None  # from when on we may, having found no relay
        self._following: Address | None = None
        self._behind_since: int | None = None
        self._source = ""
        self._raised_by = ""  # whose word brought the revision that is held to
        self._relays_failed = False  # why the list service is asked
        self._followers: dict[Follower, None] = {}
        self.learning = Learning(told.learn, loop, host)
        self._leaving = self._was_replaced = False
        self.born = born
        self.answered: dict[
            bytes, Callable[[Connection], Coroutine[None]]
        ] = {}  # requests of others, by target
        self.lost: Callable[[str, bool], None] = lambda name, left: None  # a member is, or says that it goes
        self._unreadable, self._unreadable_told = 0, 0

    def begin(self, table: ServerTable, dispatcher: Dispatcher) -> None:
        """Talk from now on, and tell the table whom to ask."""
        self._table = table
        table.sources, table.same_endpoints = self, self._told.same_endpoints
        self._loop.spawn(self._hear(), "peers' datagrams")
        self._loop.spawn(self._accept(), "peers' followers")
        self._loop.spawn(self._turns(), "peers' turns")
        self.learning.begin(self.swim, table, dispatcher)
        say(log, events.PEERS_OPEN, host=self.host, port=self._port, join=len(self.swim.seeds))

    def leave(self) -> None:
        """Say goodbye: others are not to count on this process."""
        if not self._leaving:
            self._leaving = True
            self._send(self.swim.leave())
            self._dismiss()

    # ------------------------------------------------------------------ members

    def _send(self, out: list[Out]) -> None:
        for to, message in out:
            try:
                self._udp.sendto(pack(self._told.cluster, message), to)
            except OSError:  # full, unreachable, refused before: as if it were lost on the way
                continue

    def _hear(self) -> Coroutine[None]:
        while True:
            for _ in range(BATCH):
                try:
                    data, (host, port, *_) = self._udp.recvfrom(2048)
                except BlockingIOError:
                    break
                except OSError:  # an answer of the kernel's to something sent: nobody was there
                    continue
                try:
                    message = unpack(self._told.cluster, data)
                except Unreadable as error:
                    self._passed_over(host, str(error))
                    continue
                self._send(self.swim.heard(message, self._loop.now))
            yield self._udp.fileno(), READ, None

    def _passed_over(self, host: str, reason: str) -> None:
        self._unreadable += 1
        if self._loop.now - self._unreadable_told > TOLD_EVERY or not self._unreadable_told:
            say(log, events.PEERS_UNREADABLE, count=self._unreadable, host=host, reason=reason)
            self._unreadable_told, self._unreadable = self._loop.now, 0

    def _turns(self) -> Coroutine[None]:
        while True:
            self._send(self.swim.turn(self._loop.now))
            if not self._leaving:
                self._decide()
            yield from sleep(min(self.swim.due(), self._loop.now + LOOK))

    def _changed(self, member: Member, before: State | None) -> None:
        row, was = member.row, State.ALIVE if before is State.SUSPECT else before
        if row.state is not State.SUSPECT and row.state is not was:  # nothing of one only suspected
            living = len(self.swim.living())
            say(log, events.PEER, peer=row.name, state=row.state.name.lower(), living=living)
        if row.state > State.SUSPECT:
            self.lost(row.name, row.state is State.LEFT)

    # ------------------------------------------------------------------ whom to ask

    def _decide(self) -> None:
        swim, now = self.swim, self._loop.now
        swim.rev = self.revisions.floor or 0
        if swim.replaced:
            if not self._was_replaced:
                self._was_replaced = True
                say(log, events.PEERS_REPLACED)
                self._dismiss()
            return
        before = self.relaying.duty
        swim.blind = not self._first_hand()
        if before is Duty.RELAY and self._lags(now, BLIND_BEHIND if swim.blind else RELAY_BEHIND):
            self.relaying.give_up(now)
        duty = self.relaying.decide(now, swim.me, swim.living(), self._direct_at)
        swim.blind = not self._first_hand()
        if duty is not before:
            say(log, events.PEERS_DUTY, duty=duty.name.lower())
            swim.announce(duty)
            if duty not in TELLS:
                self._dismiss()
            if (duty is Duty.RELAY) != (before is Duty.RELAY) or duty is Duty.BRANCH:
                self._table.restart_watch()
        elif self._following is not None:
            source = self._source
            if source == self._raised_by and self.revisions.made_up(
                now, lambda since, relays: swim.revs(since, relays, source)
            ):
                say(log, events.PEERS_MISLED, source=source, rev=self.revisions.floor)
                self.relaying.failed(source, now, MISLED)
                self._table.restart_watch()
            elif self._lags(now, BEHIND):
                self.relay_ended(self._following)
                self._table.restart_watch()
            elif self._table.foreign_entries and self._due_for_own():
                self._table.restart_watch()
        elif self._own_since is not None and self._had_own(now) and self._sources():
            self._table.restart_watch()

    def _lags(self, now: int, longest: int) -> bool:
        """Whether others have had something for so long that has not come here."""
        if not self.swim.behind(now):
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > longest:
            self._behind_since = None
            return True
        return False

    def _had_own(self, now: int) -> bool:
        """Whether a list of one's own has done what it was asked for."""
        assert self._own_since is not None
        if self._relays_failed:
            return now - self._own_since > BACK  # or it would be asked again and again
        return self._direct_at is not None and self._direct_at > self._own_since

    def _due_for_own(self, least: int = 0) -> bool:
        """Whether one of those who each have to ask the list service may: they spread, after `least`."""
        now = self._loop.now
        if self._own_at is None:
            self._own_at = now + least + self._draw.randrange(APART * len(self.swim.living()) + 1)
        return now >= self._own_at

    def _sources(self) -> list[Row]:
        now, swim = self._loop.now, self.swim
        return self.relaying.sources(now, swim.me, swim.living(), swim.ahead(now))

    def next_source(self) -> Coroutine[Address | None]:
        """Whom the table is to ask: a relay, or None, the list service itself."""
        self._following = self._own_since = None
        while True:
            now, swim = self._loop.now, self.swim
            if self.relaying.duty is Duty.RELAY:
                if self.relaying.settled(now):
                    break
                yield from sleep(now + LOOK)
                continue
            if not self.relaying.gathering(now, swim.me, swim.living()):
                sources = self._sources()
                if sources and not (self._table.foreign_entries and self._due_for_own()):
                    self._following = sources[0].host, sources[0].port
                    self._takes_from(sources[0].name)
                    self.revisions.begun()
                    return self._following
                # No relay, or none that can be reached: it may have its list in a moment. Who is on its way
                # out makes do with what it has.
                if self._due_for_own(AVOID + HOLD) and not self._leaving:
                    self._own_since, self._relays_failed = now, not sources
                    break
            yield from sleep(now + LOOK)
        self._own_at = None
        self._takes_from("the list service")
        self.revisions.begun()
        return None

    def _takes_from(self, source: str) -> None:
        if source != self._source:
            self._source = source
            say(log, events.PEERS_FOLLOWS, source=source)

    def client_count(self) -> int:
        """Relays, and oneself: the others ask only now and then."""
        return 1 + sum(row.duty is Duty.RELAY for row in self.swim.living() if row.name != self.swim.me.name)

    def relay_ended(self, relay: Address) -> None:
        """A relay's list has ended: another is asked next, and whether it lives."""
        self._following = None
        for row in self.swim.living():
            if (row.host, row.port) == relay:
                self.relaying.failed(row.name, self._loop.now)
                self._send(self.swim.ask(row.name, self._loop.now))

    def accept(self, message: Any, rev: int, relay: Address | None) -> list[Any]:
        """What of a message counts now. Raises ConnectionEnded for a relay's list that is too old."""
        now = self._loop.now
        if relay is None:
            self._direct_at = self._fresh_at = now
            self._told_at = self._told_at if message is None else now
            if message is None:
                told = self.revisions.caught_up(now)
            else:
                told = self.revisions.told(rev, message, now, now)
        else:
            age = max(0, int(message["age_ms"])) * 1000
            if age > AGE_MOST:
                raise ConnectionEnded(Ending.FAILED, f"the list there is {age / 1e6:.1f} s old")
            before = self.revisions.floor
            told = self.revisions.told(rev, message, now - age, now)
            if self.revisions.floor != before:
                self._raised_by = self._source
            self._fresh_at = max(self._fresh_at or 0, now - age)
            self._own_at = None if not self._table.foreign_entries else self._own_at
        if self.relaying.duty is (Duty.RELAY if relay is None else Duty.BRANCH):
            for one in told:
                self._pass_on(one.message)
        return [one.message for one in told]

    # ------------------------------------------------------------------ telling others

    def _age_ms(self) -> int:
        return 0 if self._fresh_at is None else max(0, self._loop.now - self._fresh_at) // 1000

    def _pass_on(self, message: Any) -> None:
        told = {**message, "age_ms": self._age_ms()}
        line = ujson.dumps(told, escape_forward_slashes=False).encode() + b"\n"
        for follower in list(self._followers):
            follower.tell(line)

    def line(self, whole: bool) -> bytes:
        """The whole list, or that nothing has changed, with its age; only a line's end without a list."""
        rev = self._table.rev
        if rev is None or self._fresh_at is None or not self._first_hand():
            return b"\n"
        told = self._table.full_list(True) if whole else {"rev": rev, "all": False, "targets": []}
        told["age_ms"] = self._age_ms()
        return ujson.dumps(told, escape_forward_slashes=False).encode() + b"\n"

    def _first_hand(self) -> bool:
        """Whether a relay's list is what the list service told it, not what it heard before it was one."""
        if self.relaying.duty is not Duty.RELAY:
            return True
        told = self._told_at is not None and self._told_at > self.relaying.since
        return told and not self.revisions.holding

    def _accept(self) -> Coroutine[None]:
        while True:
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                yield self._listener.fileno(), READ, None
                continue
            except OSError:
                yield from sleep(self._loop.now + LOOK)
                continue
            sock.setblocking(False)
            if len(self._followers) >= MOST_FOLLOWERS or self._leaving:
                sock.close()  # as an answer that somebody else is to be asked
                continue
            follower = Follower(self._loop, sock, self)
            follower.task = self._loop.spawn(follower.serve(self._gone), "a follower")
            self._followers[follower] = None

    def tells(self) -> bool:
        """Whether others may take the list from here."""
        return self.relaying.duty in TELLS and not self._leaving

    def knowledge(self) -> bytes:
        """What this process has seen of the servers."""
        return self.learning.answer(self.swim.me)

    def other(self, target: bytes, connection: Connection) -> Coroutine[None] | None:
        """Whoever else answers a request, until it ends."""
        serve = self.answered.get(target)
        return None if serve is None else serve(connection)

    def ask(self, name: str) -> None:
        """Something speaks for a member's being gone."""
        self._send(self.swim.ask(name, self._loop.now))

    def _gone(self, follower: Follower) -> None:
        self._followers.pop(follower, None)

    def _dismiss(self) -> None:
        for follower in list(self._followers):
            follower.dismiss()
        self._followers.clear()
