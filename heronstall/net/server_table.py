"""The server table: the backend servers that discovery names, kept up to date by a watch."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any, Literal, NamedTuple, Protocol, cast
from zlib import crc32

import h11

from heronstall import events
from heronstall import interface as i
from heronstall.config import Address, Config, ConfigError, parse_address
from heronstall.events import log_event
from heronstall.net.connection import Connection, Ended, Ending, connect
from heronstall.net.json_stream import JsonStream
from heronstall.net.loop import Coroutine, Loop, Task, sleep
from heronstall.ops.bans import Bans
from heronstall.start.backoff import CallEnd, DiscoveryBackoff, Refusal

STATES: dict[str, Literal["active", "leaving", "left"]] = {
    "SERVING": "active",
    "DRAINING": "leaving",
    "DELETED": "left",
}
HEARTBEAT = 2_000_000  # an empty line comes at least as often
# A watch that has missed one counts as dead. Guards against one that falls silent while servers come and go:
# to ask again costs nothing, and what was missed comes first.
SILENCE = HEARTBEAT + 600_000
RELAY_SILENCE = 1_200_000  # of a peer that tells the list; it beats thrice in that time
# Until a peer that is asked begins its answer, which it does at once. Guards against a second silent relay
# after the first: each would cost a follower more than a second of news.
RELAY_ANSWER = 400_000
AGAIN = 100_000  # before the next peer is asked
LATE = 30_000_000  # that a call which has had no answer is left open beside those that are made after it
CONNECT_TIME = 1_000_000
TABLE_LINE = 4 * 1024 * 1024
FORGET = 600_000_000  # a server gone for so long loses its number
EVER = 16_384  # uids remembered, so that an operator's word on one that is gone is not taken for a mistake
log = logging.getLogger("heronstall.server_table")


UNLISTED = i.WorkerEntry(0)


class BackendServer:
    """One backend server as the host knows it."""

    __slots__ = (
        "number",
        "uid",
        "endpoint",
        "boot_ms",
        "row",
        "entry",
        "listed_off",
        "banned_since",
        "back_at",
        "was_out",
    )

    def __init__(
        self,
        number: int,
        uid: str,
        endpoint: Address,
        boot_ms: int,
        entry: i.WorkerEntry = UNLISTED,
    ) -> None:
        self.number, self.uid, self.endpoint, self.boot_ms = number, uid, endpoint, boot_ms
        self.row: Any = None  # as discovery last told it
        self.entry = entry._replace(worker=number)  # the same, for the decisions
        self.listed_off: int | None = None  # since when the list has told it to drain or be gone
        self.banned_since: int | None = None  # since when it has been out by hand
        self.back_at: int | None = None  # when its last ban ended
        self.was_out: int | None = None  # since when that ban had lasted, as far as this process knows

    @property
    def off_since(self) -> int | None:
        """Since when it has been out, by the list or by hand; None while it may be sent to."""
        if self.listed_off is None or self.banned_since is None:
            return self.banned_since if self.listed_off is None else self.listed_off
        return min(self.listed_off, self.banned_since)

    def told(self) -> i.WorkerEntry:
        """What the decisions are told of it.

        Banned, it drains, whatever the list says. Back in, it has started during the ban, where the list has
        told of that, and at its end otherwise: it was taken out to be worked on, and the list may be late.
        """
        entry = self.entry
        told = entry.started_at is not None and self.was_out is not None and entry.started_at > self.was_out
        if self.back_at is not None and not told and self.back_at > (entry.started_at or 0):
            entry = entry._replace(started_at=self.back_at)
        if self.banned_since is not None and entry.state == "active":
            entry = entry._replace(state="leaving")
        return entry


class _Row(NamedTuple):
    """One entry of a list, read."""

    told: Any  # in discovery's form
    uid: str
    endpoint: Address
    boot_ms: int
    state: Literal["active", "leaving", "left"]
    entry: i.WorkerEntry


class Sources(Protocol):
    """Where the list may come from beside discovery; what peers bring (`heronstall.net.peers`)."""

    host: str  # that one is known to them by

    def next(self) -> Coroutine[Address | None]:
        """Whom to ask now; None: discovery itself."""

    def askers(self) -> int:
        """How many ask the list service, as far as is known."""

    def ended(self, relay: Address) -> None:
        """What was asked there has ended."""

    def news(self, message: Any, rev: int, relay: Address | None) -> list[Any]:
        """A message or a sign of life (None) has come; those that are to be taken now, in order."""


class _Watch:
    """A watch on one discovery: how far it has told, and the coroutine that keeps it up."""

    __slots__ = ("discovery", "rev", "newest", "after", "heard", "task", "late", "retry_after")

    def __init__(self, discovery: Address, rev: int | None) -> None:
        self.discovery, self.rev = discovery, rev
        self.newest = rev  # the highest revision that was taken from it
        self.after = rev  # up to where discovery itself has told
        self.heard = False
        self.task: Task | None = None
        self.late: tuple[Task, Connection] | None = None  # waits on for the answer to a call of before
        self.retry_after: int | None = None  # microseconds that it wants to be left alone for


class ServerTable:
    """Turns discovery's lists into the module's, and uids into numbers."""

    def __init__(
        self,
        config: Config,
        loop: Loop,
        offset: int,
        told: Callable[[i.WorkerList], None],
        bans: Bans | None = None,
    ) -> None:
        self._config, self._loop, self._told = config, loop, told
        self._bans = bans or Bans()  # no list, reload or new watch lifts one
        self._offset = offset  # Unix time less the program's clock, fixed at the start
        self._by_uid: dict[str, BackendServer] = {}
        self.by_number: dict[int, BackendServer] = {}
        self._ever: dict[str, None] = {}  # every uid that was listed, the latest EVER of them
        self._zones, self._kinds = dict(config.zones), dict(config.kinds)
        self._next = 1
        self._watch: _Watch | None = None
        self._former: _Watch | None = None  # told the table; kept until its successor has told one
        self.moved: Callable[[BackendServer], None] = lambda server: None  # its old connections lead nowhere
        self.heard = False  # the watch has answered since the start
        self.sources: Sources | None = None
        # Only with peers: rows of servers whose addresses are not known here, and whether all addresses are
        # told to everybody alike.
        self.beyond: dict[str, Any] = {}
        self.same_endpoints = False
        self._random = random.Random(config.seed)

    def start(self, handed: Any = None) -> None:
        """Take the list last held, by the process before or as we are told, and watch from there on."""
        rev = None
        for known in (handed, self._config.known):
            if known is not None and rev is None:
                try:
                    rev = self.take(known, persisted=True)
                except Ended as ended:
                    log_event(log, events.KNOWN_SERVERS_IGNORED, reason=str(ended))
        self._begin(_Watch(self._config.discovery, rev))

    @property
    def rev(self) -> int | None:
        """The list's revision; None without a list, or where another discovery counts it than at a start."""
        watch = self._former or self._watch
        if watch is None or watch.discovery != self._config.discovery:
            return None  # it says nothing to whoever starts here
        return watch.rev

    def whole(self, beyond: bool = False) -> Any:
        """The list as it stands, in discovery's form, for the process that comes after; None without one.

        `beyond`: with the servers, too, that are of no use here, for others who may know their addresses.
        """
        rev = self.rev
        if rev is None:
            return None
        rows = [server.row for server in self.listed()]
        return {"rev": rev, "all": True, "targets": rows + list(self.beyond.values()) if beyond else rows}

    def follow(self, discovery: Address) -> None:
        """Watch another discovery from now on. The table, and the watch that told it, stay until it answers.

        It is asked for the whole list: a revision is one discovery's own count of its changes, and `after=`
        with another's could pass over changes that nobody has told us.
        """
        if self._watch is None or self._watch.discovery == discovery:
            return
        self.sources = None  # others may watch another service still, whose count is another
        if self._former is None:
            self._former = self._watch
        else:  # another reload came before the last one's discovery had answered
            if self._watch.task is not None:
                self._watch.task.kill()
        self._no_late(self._watch)
        self._begin(_Watch(discovery, None))

    def _begin(self, watch: _Watch) -> None:
        self._watch = watch
        watch.task = self._loop.spawn(self._keep_up(watch), "watch")

    def again(self) -> None:
        """Ask anew, perhaps somebody else."""
        watch = self._watch
        if watch is not None and watch.task is not None:
            watch.task.kill()
            self._no_late(watch)
            watch.task = self._loop.spawn(self._keep_up(watch), "watch")

    def any_serving(self) -> bool:
        """Whether any server is there to send to."""
        return any(server.off_since is None for server in self._by_uid.values())

    def listed(self) -> list[BackendServer]:
        """The servers that the list names, those that drain too."""
        return [server for server in self._by_uid.values() if server.entry.state != "left"]

    def knows(self, uid: str) -> bool:
        """Whether the list has named this server at any time, or one before us knew it."""
        return uid in self._ever or self._bans.has_record(uid)

    def ban(self, uid: str, out: bool) -> bool:
        """Take a server out by hand or put it back; whether that changes anything."""
        changed = self._bans.set_banned(uid, out, self._loop.now + self._offset)
        if changed:
            self.banned([uid])
        return changed

    def banned(self, uids: list[str]) -> None:
        """The words on these servers have changed: tell the decisions."""
        entries = []
        for uid in uids:
            server = self._by_uid.get(uid)
            if server is not None and self._look_up(server):
                entries.append(server.told())
        if entries:
            self._told(i.WorkerList("changes", tuple(entries)))

    def _look_up(self, server: BackendServer) -> bool:
        """Put to a server what the book of bans says; whether it went out or came back."""
        was, since, back = (
            server.banned_since,
            self._bans.banned_since(server.uid),
            self._bans.readmitted_at(server.uid),
        )
        server.banned_since = None if since is None else since - self._offset
        if was is not None and since is None:
            server.was_out = was
        server.back_at = None if back is None else back - self._offset
        return (was is None) != (since is None)

    def _keep_up(self, watch: _Watch, answered: Connection | None = None) -> Coroutine[None]:
        """Ask, and listen, over and over. `answered`: a call of before, whose answer has come late."""
        backoff = DiscoveryBackoff(self._config.settings.nodes, self._random)
        while watch is self._watch:
            refused, watch.retry_after = False, None
            connection, answered = answered, None
            rev = watch.rev
            sources, relay = self.sources, None
            try:
                if connection is None:
                    if sources is not None:
                        relay = yield from sources.next()
                        backoff.clients = sources.askers()
                    host, port = relay or watch.discovery
                    own = sources.host if sources is not None and relay is not None else ""
                    until = self._loop.now + CONNECT_TIME
                    connection = yield from connect(self._loop, (host, port), until, own)
                    yield from self._ask(watch, connection, relay)
                host, port = relay or watch.discovery
                yield from self._listen(watch, connection, relay)
            except Ended as ended:
                log_event(log, events.WATCH_ENDED, host=host, port=port, rev=watch.rev, reason=str(ended))
                if connection is not None and relay is None and _unanswered(connection, ended):
                    connection = self._leave_open(watch, connection)
                if sources is not None and relay is not None:
                    sources.ended(relay)
                    yield from sleep(self._loop.now + AGAIN)
                    continue
                refused = ended.ending is Ending.FAILED
                if ended.ending is Ending.MALFORMED:
                    watch.rev = watch.after = None  # what was missed cannot be told: ask for the whole list
            except Exception:
                log_event(log, events.UNEXPECTED, where="the watch")
                watch.rev = watch.after = None
            finally:
                if connection is not None:
                    connection.close()
            end = CallEnd.UNCHANGED if watch.heard else CallEnd.NEVER_ANSWERED
            if watch.rev is not None and watch.rev != rev:
                end = CallEnd.UPDATED
            refusal = Refusal(watch.retry_after) if refused else None
            now = self._loop.now
            yield from sleep(now + backoff.pause(end, refusal, now, has_list=bool(self._by_uid)))

    def _leave_open(self, watch: _Watch, connection: Connection) -> Connection | None:
        """Wait on for an answer, to one call at a time; the connection, where it is to be closed."""
        if watch.late is not None:
            return connection
        watch.late = self._loop.spawn(self._wait_on(watch, connection), "a late list"), connection
        return None

    def _wait_on(self, watch: _Watch, connection: Connection) -> Coroutine[None]:
        """A call has had no answer in time, and another is made meanwhile: the list service may be down, or
        have hundreds to answer first. Then its work is not to be lost, or it never gets to the end of them.
        """
        try:
            event = h11.InformationalResponse(status_code=100, headers=[])
            while isinstance(event, h11.InformationalResponse):
                event = yield from connection.event(self._loop.now + LATE)
        except Ended:
            event = None  # the calls after it say what is to be said
        watch.late = None
        if watch is self._watch and isinstance(event, h11.Response) and event.status_code == 200:
            if watch.task is not None:
                watch.task.kill()
            watch.task = self._loop.spawn(self._keep_up(watch, connection), "watch")
        else:
            connection.close()

    def _no_late(self, watch: _Watch) -> None:
        """Nothing is waited for any more but the call that is made now."""
        if watch.late is not None:
            task, connection = watch.late
            watch.late = None
            task.kill()
            connection.close()

    def _ask(self, watch: _Watch, connection: Connection, relay: Address | None) -> Coroutine[None]:
        after = "" if watch.after is None or relay is not None else f"&after={watch.after}"
        target = f"/v1/servers?watch=1{after}"
        host = ":".join(map(str, relay or watch.discovery))
        request = connection.parser.send(h11.Request(method="GET", target=target, headers=[("Host", host)]))
        request = (request or b"") + (connection.parser.send(h11.EndOfMessage()) or b"")
        yield from connection.write(request, self._loop.now + SILENCE)

    def _listen(self, watch: _Watch, connection: Connection, relay: Address | None) -> Coroutine[None]:
        silence = SILENCE if relay is None else RELAY_SILENCE
        patience = SILENCE if relay is None else RELAY_ANSWER
        stream = JsonStream(TABLE_LINE)
        while True:
            try:
                event = yield from connection.event(self._loop.now + patience)
            except Ended as ended:
                if stream.inside and ended.ending is Ending.TIMED_OUT:
                    raise Ended(Ending.MALFORMED, "the list was cut") from None
                raise
            patience = silence
            if isinstance(event, h11.Response):
                if event.status_code != 200:
                    watch.retry_after = _retry_after(event)
                    raise Ended(Ending.FAILED, f"discovery answered {event.status_code}")
                self._no_late(watch)
            elif isinstance(event, h11.Data):
                if self.sources is not None and relay is None:
                    self._hear(watch, None, None)
                for message in stream.feed(bytes(event.data)):
                    self._hear(watch, message, relay)
            elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                raise Ended(Ending.CLOSED)

    def _hear(self, watch: _Watch, message: Any, relay: Address | None) -> None:
        """A message has come, or a sign of life. Raises Ended for a malformed one."""
        if self.sources is None:
            watch.rev = watch.after = self.take(message, newest=watch.newest)
            watch.newest = max(watch.rev, watch.newest or 0)
        else:
            try:
                rev = 0 if message is None else int(message["rev"])
                counting = self.sources.news(message, rev, relay)
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                raise Ended(Ending.MALFORMED, f"malformed server list: {error!r}") from None
            if not counting:
                return
            for one in counting:
                watch.rev = self.take(one, relayed=relay is not None)
            watch.after = watch.rev if relay is None else None
        if not watch.heard:
            self._first_heard(watch, relay)

    def _first_heard(self, watch: _Watch, relay: Address | None) -> None:
        watch.heard = self.heard = True
        host, port = relay or watch.discovery
        servers = sum(server.off_since is None for server in self._by_uid.values())
        log_event(log, events.WATCH_ANSWERED, host=host, port=port, rev=watch.rev, servers=servers)
        if watch is self._watch and self._former is not None:
            if self._former.task is not None:
                self._former.task.kill()
            self._former = None

    def take(
        self, message: Any, persisted: bool = False, relayed: bool = False, newest: int | None = None
    ) -> int:
        """One list; its revision. Raises Ended for a malformed one, of which nothing counts.

        `relayed`: it was told to another dispatcher. An endpoint is told to each for itself, so that of a
        server not known here is of no use, unless the operator's file says that they are the same.
        `newest`: the highest revision that the same list service has told. What is older adds servers and
        takes them off, but brings none back that was told off: that news still counts as told.
        """
        try:
            rev, whole = int(message["rev"]), bool(message["all"])
            rows = [self._row(told) for told in message["targets"]]
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError, ConfigError) as error:
            raise Ended(Ending.MALFORMED, f"malformed server list: {error!r}") from None
        if whole:
            self.beyond.clear()
        if relayed and not self.same_endpoints:
            rows = self._known_here(rows)
        if whole:
            self._drop_unnamed({row.uid for row in rows})
        older = newest is not None and rev < newest
        entries = tuple(self._merge(row, older).told() for row in rows)
        self._forget_gone()
        if entries or whole:
            scope = "persisted" if persisted else "complete" if whole else "changes"
            self._told(i.WorkerList(cast(Any, scope), entries))
        return rev

    def _known_here(self, rows: list[_Row]) -> list[_Row]:
        """The rows of servers whose endpoints are known here; those of others are kept for whoever asks."""
        for row in rows:
            self.beyond.pop(row.uid, None)
            if row.uid not in self._by_uid and row.state != "left":
                self.beyond[row.uid] = row.told
        return [self._as_here(row) for row in rows if row.uid in self._by_uid]

    def _drop_unnamed(self, named: set[str]) -> None:
        """Servers missing from a whole list are gone."""
        for uid, server in self._by_uid.items():
            if uid not in named:
                server.listed_off = self._loop.now if server.listed_off is None else server.listed_off
                server.entry = server.entry._replace(state="left")

    def _merge(self, row: _Row, older: bool) -> BackendServer:
        """Put a row to the server that it names."""
        server = self._by_uid.get(row.uid)
        state, entry = row.state, row.entry
        if server is None:
            server = self._add(row)
        elif (server.endpoint, server.boot_ms) != (row.endpoint, row.boot_ms):
            # Guards against writing to the old process, or the old address, of a server that came back.
            server.endpoint, server.boot_ms = row.endpoint, row.boot_ms
            self.moved(server)
        elif older and server.listed_off is not None and state == "active":
            state = server.entry.state
            entry = entry._replace(state=state)
        if state == "active":
            server.listed_off = None
        elif server.listed_off is None:
            server.listed_off = self._loop.now
        server.row = row.told
        server.entry = entry._replace(worker=server.number)
        return server

    def _add(self, row: _Row) -> BackendServer:
        """A server that is named for the first time, or again after it was forgotten."""
        server = BackendServer(self._next, row.uid, row.endpoint, row.boot_ms, row.entry)
        self._by_uid[row.uid] = self.by_number[self._next] = server
        self._next += 1
        self._ever[row.uid] = None
        self.beyond.pop(row.uid, None)
        if len(self._ever) > EVER:
            del self._ever[next(iter(self._ever))]
        self._look_up(server)
        return server

    def _forget_gone(self) -> None:
        """Servers that have been off for long lose their numbers."""
        for server in list(self._by_uid.values()):
            if server.listed_off is not None and self._loop.now - server.listed_off > FORGET:
                del self._by_uid[server.uid], self.by_number[server.number]

    def _as_here(self, row: _Row) -> _Row:
        """A row told to another dispatcher, with the endpoint that is known here."""
        host, port = endpoint = self._by_uid[row.uid].endpoint
        return row._replace(told={**row.told, "endpoint": f"{host}:{port}"}, endpoint=endpoint)

    def _row(self, row: Any) -> _Row:
        """One entry of a list. Raises what a malformed one brings."""
        uid, boot_ms = str(row["uid"]), int(row.get("boot_ms") or 0)
        state = STATES.get(row["state"])
        if state is None:
            log_event(log, events.UNKNOWN_SERVER_STATE, server=uid, state=str(row["state"]))
            state = "leaving"
        endpoint = parse_address(str(row["endpoint"]), "endpoint")
        started = boot_ms * 1000 - self._offset if boot_ms > 0 else None
        zone, kind = str(row.get("az")), str(row.get("model"))
        entry = i.WorkerEntry(
            worker=0,
            zone=self._zones.setdefault(zone, len(self._zones)),
            kind=self._kinds.setdefault(kind, len(self._kinds)),
            cell=int(row.get("pod_group") or 0),
            state=state,
            weight=float(row.get("capacity_hint") or 1.0),
            started_at=started,
            mark=crc32(uid.encode()),
        )
        return _Row(row, uid, endpoint, boot_ms, state, entry)


def _unanswered(connection: Connection, ended: Ended) -> bool:
    """Whether a call was made, and nothing has come to it yet."""
    return ended.ending is Ending.TIMED_OUT and connection.parser.their_state is h11.SEND_RESPONSE


def _retry_after(response: h11.Response) -> int | None:
    """What a response says of when to come again, in microseconds; None where it says nothing in seconds."""
    told = dict(response.headers).get(b"retry-after", b"").strip()
    return int(told) * 1_000_000 if told.isdigit() and len(told) < 7 else None
