"""One process's communication with the other dispatchers, its peers.

It knows which of them live, decides whom the server table asks for the server list, and serves the list to
others. Membership messages use UDP. TCP on the same port number serves the list in the list service's own
form, each message with its age (`age_ms`), so that a server table follows a relay as it follows discovery;
a new process also asks there for what a running one has observed of the servers.
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
from heronstall.events import log_event
from heronstall.membership.messages import Duty, Row, State, UnreadableMessage, pack, unpack
from heronstall.membership.relays import (
    AVOID_FAILED_US,
    AVOID_MISLEADING_US,
    DIRECT_REQUEST_SPREAD_US,
    EMPTY_RELAY_HOLD_US,
    FOLLOWER_LAG_US,
    MAX_FOLLOWERS,
    MAX_LIST_AGE_US,
    RELAY_LAG_US,
    SERVING_DUTIES,
    UNANSWERED_RELAY_LAG_US,
    RelayRole,
    RevisionFilter,
)
from heronstall.membership.swim import Member, Outgoing, Swim
from heronstall.net.connection import Connection, ConnectionEnded, Ending, listen
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.loop import READ, Coroutine, Loop, sleep
from heronstall.net.peers.followers import Follower
from heronstall.net.peers.knowledge_exchange import KnowledgeExchange
from heronstall.net.server_table import ServerTable
from heronstall.operator import PeerSettings

DATAGRAMS_PER_TURN = 64  # the rest waits, and the kernel drops what its buffer cannot hold
RECEIVE_BUFFER_BYTES = 1 << 18
POLL_INTERVAL_US = 50_000  # between checks of this process's role
RELAY_RETRY_US = (
    10_000_000  # from asking the list service itself, for lack of relays, to looking for one again
)
LOG_INTERVAL_US = 10_000_000  # between log lines about ignored datagrams
log = logging.getLogger("heronstall.peers")


class Sockets(NamedTuple):
    """Both sockets, under the same port number."""

    udp: socket.socket
    listener: socket.socket


def open_sockets(host: str, port: int) -> Sockets:
    """Opens the sockets on a port, or on the next one while the predecessor still runs. Raises OSError."""
    for last, number in ((False, port), (True, port + 1)):
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        udp = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            udp.bind((host, number))
            udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            return Sockets(udp, listen((host, number), MAX_FOLLOWERS))
        except OSError:
            udp.close()
            if last:
                raise
    raise AssertionError("unreachable")


class PeerService:
    """One process among its peers: a `Sources` for its server table, and a relay for others."""

    descriptors = MAX_FOLLOWERS + 2

    def __init__(self, config: Config, settings: PeerSettings, loop: Loop) -> None:
        """Raises ConfigError for an unusable address."""
        self._loop, self._settings = loop, settings
        host = settings.host or config.listen[0]
        try:
            if host in ("0.0.0.0", "::"):
                raise OSError("others need an address of one machine: set peers.host")
            self._udp, self._listener = open_sockets(host, settings.port)
        except OSError as error:
            raise ConfigError(f"peers: cannot listen on {host}:{settings.port}: {error}") from None
        self.host, self._port = host, self._udp.getsockname()[1]
        advertised = settings.advertise or (host, self._port)
        zones = {number: name for name, number in config.zones.items()}
        zone = zones.get(config.settings.zone, str(config.settings.zone))
        started_ms = time.time_ns() // 1_000_000
        self._random = random.Random(config.seed ^ started_ms)
        me = Row(State.ALIVE, config.name, started_ms, advertised[0], advertised[1], zone)
        seeds = [address for host, port in settings.join for address in ((host, port), (host, port + 1))]
        self.swim = Swim(me, seeds, loop.now, self._random)
        self.swim.on_change = self._on_member_changed
        self.relaying = RelayRole(loop.now)
        self.revisions = RevisionFilter()
        self._direct_message_at: int | None = None  # the list service's last message to this process
        self._direct_list_at: int | None = None  # its last one with a list or changes
        self._fresh_at: int | None = None  # until when its list is known here, directly or through others
        self._asking_since: int | None = None  # since when this process asks it without being a relay
        self._may_ask_at: int | None = None  # from when on it may do so, for lack of a relay
        self._following: Address | None = None
        self._behind_since: int | None = None
        self._source = ""
        self._highest_revision_from = ""  # the source of the highest revision so far
        self._no_relay_found = False  # why the list service is asked
        self._followers: dict[Follower, None] = {}
        self.knowledge_exchange = KnowledgeExchange(settings.learn, loop, host)
        self._leaving = self._was_replaced = False
        self.started_ms = started_ms
        self.request_handlers: dict[
            bytes, Callable[[Connection], Coroutine[None]]
        ] = {}  # for other requests, by target
        # Called when a member is gone: its name, and whether it has announced that.
        self.on_member_gone: Callable[[str, bool], None] = lambda name, left: None
        self._unreadable, self._unreadable_logged_at = 0, 0

    def start(self, table: ServerTable, dispatcher: Dispatcher) -> None:
        """Starts the communication and becomes the table's source of addresses to ask."""
        self._table = table
        table.sources, table.same_endpoints = self, self._settings.same_endpoints
        self._loop.spawn(self._receive(), "peers' datagrams")
        self._loop.spawn(self._accept(), "peers' followers")
        self._loop.spawn(self._run_turns(), "peers' turns")
        self.knowledge_exchange.start(self.swim, table, dispatcher)
        log_event(log, events.PEERS_OPEN, host=self.host, port=self._port, join=len(self.swim.seeds))

    def leave(self) -> None:
        """Announces that this process leaves, so that others no longer rely on it."""
        if not self._leaving:
            self._leaving = True
            self._send(self.swim.leave())
            self._close_followers()

    # ------------------------------------------------------------------ members

    def _send(self, out: list[Outgoing]) -> None:
        for to, message in out:
            try:
                self._udp.sendto(pack(self._settings.cluster, message), to)
            except OSError:  # buffer full, host unreachable or an earlier refusal: treated as packet loss
                continue

    def _receive(self) -> Coroutine[None]:
        while True:
            for _ in range(DATAGRAMS_PER_TURN):
                try:
                    data, (host, port, *_) = self._udp.recvfrom(2048)
                except BlockingIOError:
                    break
                except OSError:  # the kernel reports that an earlier datagram had no recipient
                    continue
                try:
                    message = unpack(self._settings.cluster, data)
                except UnreadableMessage as error:
                    self._count_unreadable(host, str(error))
                    continue
                self._send(self.swim.handle_message(message, self._loop.now))
            yield self._udp.fileno(), READ, None

    def _count_unreadable(self, host: str, reason: str) -> None:
        self._unreadable += 1
        if self._loop.now - self._unreadable_logged_at > LOG_INTERVAL_US or not self._unreadable_logged_at:
            log_event(log, events.PEERS_UNREADABLE, count=self._unreadable, host=host, reason=reason)
            self._unreadable_logged_at, self._unreadable = self._loop.now, 0

    def _run_turns(self) -> Coroutine[None]:
        while True:
            self._send(self.swim.turn(self._loop.now))
            if not self._leaving:
                self._update_role()
            yield from sleep(min(self.swim.due(), self._loop.now + POLL_INTERVAL_US))

    def _on_member_changed(self, member: Member, before: State | None) -> None:
        row, old_state = member.row, State.ALIVE if before is State.SUSPECT else before
        if row.state is not State.SUSPECT and row.state is not old_state:  # a mere suspicion is not logged
            living = len(self.swim.living())
            log_event(
                log, events.PEER_STATE_CHANGED, peer=row.name, state=row.state.name.lower(), living=living
            )
        if row.state > State.SUSPECT:
            self.on_member_gone(row.name, row.state is State.LEFT)

    # ------------------------------------------------------------------ source of the server list

    def _update_role(self) -> None:
        swim, now = self.swim, self._loop.now
        swim.rev = self.revisions.highest or 0
        if swim.replaced:
            if not self._was_replaced:
                self._was_replaced = True
                log_event(log, events.PEERS_REPLACED)
                self._close_followers()
            return
        before = self.relaying.duty
        swim.list_unconfirmed = not self._list_is_current()
        if before is Duty.RELAY and self._lags(
            now, UNANSWERED_RELAY_LAG_US if swim.list_unconfirmed else RELAY_LAG_US
        ):
            self.relaying.give_up(now)
        duty = self.relaying.decide(now, swim.me, swim.living(), self._direct_message_at)
        swim.list_unconfirmed = not self._list_is_current()
        if duty is not before:
            log_event(log, events.PEERS_ROLE, duty=duty.name.lower())
            swim.announce(duty)
            if duty not in SERVING_DUTIES:
                self._close_followers()
            if (duty is Duty.RELAY) != (before is Duty.RELAY) or duty is Duty.BRANCH:
                self._table.restart_watch()
        elif self._following is not None:
            source = self._source
            if source == self._highest_revision_from and self.revisions.is_fabricated(
                now, lambda since, relays: swim.revs(since, relays, source)
            ):
                log_event(log, events.PEERS_SOURCE_AVOIDED, source=source, rev=self.revisions.highest)
                self.relaying.mark_failed(source, now, AVOID_MISLEADING_US)
                self._table.restart_watch()
            elif self._lags(now, FOLLOWER_LAG_US):
                self.relay_ended(self._following)
                self._table.restart_watch()
            elif self._table.foreign_entries and self._may_ask_directly():
                self._table.restart_watch()
        elif self._asking_since is not None and self._direct_request_done(now) and self._relays():
            self._table.restart_watch()

    def _lags(self, now: int, limit: int) -> bool:
        """Returns whether others have had a newer list than this process for longer than `limit`."""
        if not self.swim.is_behind(now):
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > limit:
            self._behind_since = None
            return True
        return False

    def _direct_request_done(self, now: int) -> bool:
        """Returns whether asking the list service itself has served its purpose."""
        assert self._asking_since is not None
        if self._no_relay_found:
            return now - self._asking_since > RELAY_RETRY_US  # otherwise it would be asked again and again
        return self._direct_message_at is not None and self._direct_message_at > self._asking_since

    def _may_ask_directly(self, delay: int = 0) -> bool:
        """Returns whether this process may ask the list service without being a relay.

        Processes that all have to do so spread over a time that starts after `delay`.
        """
        now = self._loop.now
        if self._may_ask_at is None:
            self._may_ask_at = (
                now + delay + self._random.randrange(DIRECT_REQUEST_SPREAD_US * len(self.swim.living()) + 1)
            )
        return now >= self._may_ask_at

    def _relays(self) -> list[Row]:
        now, swim = self._loop.now, self.swim
        return self.relaying.sources(now, swim.me, swim.living(), swim.ahead(now))

    def next_source(self) -> Coroutine[Address | None]:
        """Waits for and returns the relay that the table is to ask; None for the list service itself."""
        self._following = self._asking_since = None
        while True:
            now, swim = self._loop.now, self.swim
            if self.relaying.duty is Duty.RELAY:
                if self.relaying.is_settled(now):
                    break
                yield from sleep(now + POLL_INTERVAL_US)
                continue
            if not self.relaying.is_gathering(now, swim.me, swim.living()):
                relays = self._relays()
                if relays and not (self._table.foreign_entries and self._may_ask_directly()):
                    self._following = relays[0].host, relays[0].port
                    self._set_source(relays[0].name)
                    self.revisions.start_watch()
                    return self._following
                # There is no relay, or none that can be reached; one may have its list in a moment. A
                # process that is leaving keeps the list that it has.
                if self._may_ask_directly(AVOID_FAILED_US + EMPTY_RELAY_HOLD_US) and not self._leaving:
                    self._asking_since, self._no_relay_found = now, not relays
                    break
            yield from sleep(now + POLL_INTERVAL_US)
        self._may_ask_at = None
        self._set_source("the list service")
        self.revisions.start_watch()
        return None

    def _set_source(self, source: str) -> None:
        if source != self._source:
            self._source = source
            log_event(log, events.PEERS_FOLLOWS, source=source)

    def client_count(self) -> int:
        """Returns how many ask the list service: the relays and this process; others rarely do."""
        return 1 + sum(row.duty is Duty.RELAY for row in self.swim.living() if row.name != self.swim.me.name)

    def relay_ended(self, relay: Address) -> None:
        """Notes that a relay's list has ended: another one is asked next, and the relay is probed."""
        self._following = None
        for row in self.swim.living():
            if (row.host, row.port) == relay:
                self.relaying.mark_failed(row.name, self._loop.now)
                self._send(self.swim.ask(row.name, self._loop.now))

    def accept(self, message: Any, rev: int, relay: Address | None) -> list[Any]:
        """Returns the messages to apply now. Raises ConnectionEnded for a relay's list that is too old."""
        now = self._loop.now
        if relay is None:
            self._direct_message_at = self._fresh_at = now
            self._direct_list_at = self._direct_list_at if message is None else now
            if message is None:
                accepted = self.revisions.release(now)
            else:
                accepted = self.revisions.accept(rev, message, now, now)
        else:
            age = max(0, int(message["age_ms"])) * 1000
            if age > MAX_LIST_AGE_US:
                raise ConnectionEnded(Ending.FAILED, f"the list there is {age / 1e6:.1f} s old")
            before = self.revisions.highest
            accepted = self.revisions.accept(rev, message, now - age, now)
            if self.revisions.highest != before:
                self._highest_revision_from = self._source
            self._fresh_at = max(self._fresh_at or 0, now - age)
            self._may_ask_at = None if not self._table.foreign_entries else self._may_ask_at
        if self.relaying.duty is (Duty.RELAY if relay is None else Duty.BRANCH):
            for one in accepted:
                self._forward(one.message)
        return [one.message for one in accepted]

    # ------------------------------------------------------------------ serving others

    def _age_ms(self) -> int:
        return 0 if self._fresh_at is None else max(0, self._loop.now - self._fresh_at) // 1000

    def _forward(self, message: Any) -> None:
        aged_message = {**message, "age_ms": self._age_ms()}
        line = ujson.dumps(aged_message, escape_forward_slashes=False).encode() + b"\n"
        for follower in list(self._followers):
            follower.send(line)

    def list_line(self, whole: bool) -> bytes:
        """Returns the list, or a message without changes, with its age; only a newline without a list."""
        rev = self._table.rev
        if rev is None or self._fresh_at is None or not self._list_is_current():
            return b"\n"
        message = self._table.full_list(True) if whole else {"rev": rev, "all": False, "targets": []}
        message["age_ms"] = self._age_ms()
        return ujson.dumps(message, escape_forward_slashes=False).encode() + b"\n"

    def _list_is_current(self) -> bool:
        """Returns whether a relay's list came from the list service since it became a relay."""
        if self.relaying.duty is not Duty.RELAY:
            return True
        received = self._direct_list_at is not None and self._direct_list_at > self.relaying.duty_since
        return received and not self.revisions.is_holding_back

    def _accept(self) -> Coroutine[None]:
        while True:
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                yield self._listener.fileno(), READ, None
                continue
            except OSError:
                yield from sleep(self._loop.now + POLL_INTERVAL_US)
                continue
            sock.setblocking(False)
            if len(self._followers) >= MAX_FOLLOWERS or self._leaving:
                sock.close()  # tells the follower to ask another process
                continue
            follower = Follower(self._loop, sock, self)
            follower.task = self._loop.spawn(follower.serve(self._remove_follower), "a follower")
            self._followers[follower] = None

    def serves_list(self) -> bool:
        """Returns whether others may take the list from this process."""
        return self.relaying.duty in SERVING_DUTIES and not self._leaving

    def knowledge(self) -> bytes:
        """Returns what this process has observed of the servers."""
        return self.knowledge_exchange.answer(self.swim.me)

    def find_handler(self, target: bytes, connection: Connection) -> Coroutine[None] | None:
        """Returns the coroutine that serves another kind of request, if there is one."""
        handler = self.request_handlers.get(target)
        return None if handler is None else handler(connection)

    def probe_member(self, name: str) -> None:
        """Probes a member now, because something suggests that it is gone."""
        self._send(self.swim.ask(name, self._loop.now))

    def _remove_follower(self, follower: Follower) -> None:
        self._followers.pop(follower, None)

    def _close_followers(self) -> None:
        for follower in list(self._followers):
            follower.close()
        self._followers.clear()
