"""The server table: the backend servers that discovery lists, kept up to date by a watch."""

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
from heronstall.net.connection import Connection, ConnectionEnded, Ending, connect
from heronstall.net.json_stream import JsonStream
from heronstall.net.loop import Coroutine, Loop, Task, sleep
from heronstall.ops.bans import Bans
from heronstall.start.backoff import CallEnd, DiscoveryBackoff, Refusal

STATES: dict[str, Literal["active", "leaving", "left"]] = {
    "SERVING": "active",
    "DRAINING": "leaving",
    "DELETED": "left",
}
HEARTBEAT_US = 2_000_000  # discovery sends an empty line at least this often
# A watch that has missed one heartbeat counts as dead. Guards against a watch that falls silent while servers
# change: a new call costs nothing, and discovery sends the missed changes first.
WATCH_TIMEOUT_US = HEARTBEAT_US + 600_000
# The same for a peer that relays the list, which sends three heartbeats in that time.
RELAY_TIMEOUT_US = 1_200_000
# Until a relay begins its answer, which it does at once. Guards against a second silent relay after the
# first: each would delay a follower's changes by more than a second.
RELAY_ANSWER_TIMEOUT_US = 400_000
RELAY_RETRY_DELAY_US = 100_000  # before the next relay is called
LATE_ANSWER_TIMEOUT_US = 30_000_000  # how long an unanswered call stays open beside later calls
CONNECT_TIMEOUT_US = 1_000_000
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
FORGET_AFTER_US = 600_000_000  # a server that has been gone for this long loses its number
# Remembered ids, so that an operator's call about a server that is gone is not rejected as a mistake.
MAX_REMEMBERED_UIDS = 16_384
log = logging.getLogger("heronstall.server_table")


UNLISTED = i.WorkerEntry(0)


class BackendServer:
    """A backend server as this dispatcher knows it."""

    __slots__ = (
        "number",
        "uid",
        "endpoint",
        "boot_ms",
        "raw_entry",
        "entry",
        "listed_off_since",
        "banned_since",
        "ban_ended_at",
        "last_ban_since",
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
        self.raw_entry: Any = None  # the latest entry in discovery's form
        self.entry = entry._replace(worker=number)  # the same, for the decision module
        self.listed_off_since: int | None = None  # since when the list has it draining or gone
        self.banned_since: int | None = None  # since when an operator has it out
        self.ban_ended_at: int | None = None  # when its latest ban ended
        self.last_ban_since: int | None = None  # when that ban began, as far as this process knows

    @property
    def off_since(self) -> int | None:
        """Since when it gets no requests, by the list or by a ban; None while it may get some."""
        if self.listed_off_since is None or self.banned_since is None:
            return self.banned_since if self.listed_off_since is None else self.listed_off_since
        return min(self.listed_off_since, self.banned_since)

    def effective_entry(self) -> i.WorkerEntry:
        """Returns the entry for the decision module: the listed one, changed by bans.

        A banned server is draining, whatever the list says. After a ban it counts as started during the ban
        if the list says so, else at the end of the ban: it was taken out for maintenance, and the list may be
        late.
        """
        entry = self.entry
        start_listed = (
            entry.started_at is not None
            and self.last_ban_since is not None
            and entry.started_at > self.last_ban_since
        )
        if self.ban_ended_at is not None and not start_listed and self.ban_ended_at > (entry.started_at or 0):
            entry = entry._replace(started_at=self.ban_ended_at)
        if self.banned_since is not None and entry.state == "active":
            entry = entry._replace(state="leaving")
        return entry


class _ListEntry(NamedTuple):
    """A parsed entry of a server list."""

    raw: Any  # in discovery's form
    uid: str
    endpoint: Address
    boot_ms: int
    state: Literal["active", "leaving", "left"]
    entry: i.WorkerEntry


class ListSources(Protocol):
    """The sources of the list: discovery itself, and the peers that relay it (`heronstall.net.peers`)."""

    host: str  # the address by which peers know this dispatcher

    def next_source(self) -> Coroutine[Address | None]:
        """Returns the relay to call now, None for discovery itself."""

    def client_count(self) -> int:
        """Returns the number of known clients of discovery."""

    def relay_ended(self, relay: Address) -> None:
        """Records that a call to a relay has ended."""

    def accept(self, message: Any, rev: int, relay: Address | None) -> list[Any]:
        """Takes a message, or a heartbeat (None); returns the messages to apply now, in order."""


class _Watch:
    """A watch on one discovery service: the revision it has reached, and the coroutine that runs it."""

    __slots__ = (
        "discovery",
        "rev",
        "highest_rev",
        "resume_after",
        "answered",
        "task",
        "late_call",
        "retry_after",
    )

    def __init__(self, discovery: Address, rev: int | None) -> None:
        self.discovery, self.rev = discovery, rev
        self.highest_rev = rev  # the highest revision applied from it
        self.resume_after = rev  # the latest revision received from discovery itself
        self.answered = False
        self.task: Task | None = None
        self.late_call: tuple[Task, Connection] | None = None  # still waits for the answer to an earlier call
        self.retry_after: int | None = None  # microseconds after which discovery accepts the next call


class ServerTable:
    """Translates discovery's lists for the decision module, and server ids into numbers."""

    def __init__(
        self,
        config: Config,
        loop: Loop,
        offset: int,
        post: Callable[[i.WorkerList], None],
        bans: Bans | None = None,
    ) -> None:
        self._config, self._loop, self._post = config, loop, post
        self._bans = bans or Bans()  # no list, reload or new watch ends a ban
        self._offset = offset  # Unix time minus the event loop's time, fixed at the start
        self._by_uid: dict[str, BackendServer] = {}
        self.by_number: dict[int, BackendServer] = {}
        self._remembered_uids: dict[str, None] = {}  # every id that was listed, up to MAX_REMEMBERED_UIDS
        self._zones, self._kinds = dict(config.zones), dict(config.kinds)
        self._next_number = 1
        self._watch: _Watch | None = None
        self._previous_watch: _Watch | None = None  # kept until the current watch has received a list
        self.moved: Callable[[BackendServer], None] = lambda server: None  # its connections are stale
        self.answered = False  # the watch has answered since the start
        self.sources: ListSources | None = None
        # Only with peers: entries of servers whose endpoints this dispatcher does not know, and whether all
        # dispatchers get the same endpoints.
        self.foreign_entries: dict[str, Any] = {}
        self.same_endpoints = False
        self._random = random.Random(config.seed)

    def start(self, initial_list: Any = None) -> None:
        """Starts the watch from a known list: that of the previous process, or the configured one."""
        rev = None
        for known in (initial_list, self._config.known):
            if known is not None and rev is None:
                try:
                    rev = self.take(known, persisted=True)
                except ConnectionEnded as ended:
                    log_event(log, events.KNOWN_SERVERS_IGNORED, reason=str(ended))
        self._start_watch(_Watch(self._config.discovery, rev))

    @property
    def rev(self) -> int | None:
        """The revision of the list; None without a list, or if another discovery service counts it."""
        watch = self._previous_watch or self._watch
        if watch is None or watch.discovery != self._config.discovery:
            return None  # means nothing to a process that starts with this configuration
        return watch.rev

    def full_list(self, include_foreign: bool = False) -> Any:
        """Returns the current list in discovery's form; None without a list.

        `include_foreign` adds the servers whose endpoints are not known here: other dispatchers may know
        them.
        """
        rev = self.rev
        if rev is None:
            return None
        targets = [server.raw_entry for server in self.listed()]
        return {
            "rev": rev,
            "all": True,
            "targets": targets + list(self.foreign_entries.values()) if include_foreign else targets,
        }

    def switch_discovery(self, discovery: Address) -> None:
        """Watches another discovery service. The table and the previous watch stay until it answers.

        The call asks for the complete list: each service counts its own revisions, and `after=` with a
        revision of another service could skip changes that were never received.
        """
        if self._watch is None or self._watch.discovery == discovery:
            return
        self.sources = None  # peers may still watch another service, with other revisions
        if self._previous_watch is None:
            self._previous_watch = self._watch
        else:  # a reload before the discovery service of the previous one has answered
            if self._watch.task is not None:
                self._watch.task.kill()
        self._drop_late_call(self._watch)
        self._start_watch(_Watch(discovery, None))

    def _start_watch(self, watch: _Watch) -> None:
        self._watch = watch
        watch.task = self._loop.spawn(self._run_watch(watch), "watch")

    def restart_watch(self) -> None:
        """Ends the current call and makes a new one, possibly to another source."""
        watch = self._watch
        if watch is not None and watch.task is not None:
            watch.task.kill()
            self._drop_late_call(watch)
            watch.task = self._loop.spawn(self._run_watch(watch), "watch")

    def any_serving(self) -> bool:
        """Returns whether at least one server may get requests."""
        return any(server.off_since is None for server in self._by_uid.values())

    def listed(self) -> list[BackendServer]:
        """Returns the listed servers, including draining ones."""
        return [server for server in self._by_uid.values() if server.entry.state != "left"]

    def knows(self, uid: str) -> bool:
        """Returns whether the server was ever listed here, or has a ban record of any process."""
        return uid in self._remembered_uids or self._bans.has_record(uid)

    def ban(self, uid: str, out: bool) -> bool:
        """Bans a server (`out`) or ends its ban; returns whether that changes anything."""
        changed = self._bans.set_banned(uid, out, self._loop.now + self._offset)
        if changed:
            self.apply_bans([uid])
        return changed

    def apply_bans(self, uids: list[str]) -> None:
        """Applies changed bans of these servers and informs the decision module."""
        entries = []
        for uid in uids:
            server = self._by_uid.get(uid)
            if server is not None and self._apply_ban(server):
                entries.append(server.effective_entry())
        if entries:
            self._post(i.WorkerList("changes", tuple(entries)))

    def _apply_ban(self, server: BackendServer) -> bool:
        """Copies the recorded ban to a server; returns whether a ban has begun or ended."""
        before, since, back = (
            server.banned_since,
            self._bans.banned_since(server.uid),
            self._bans.readmitted_at(server.uid),
        )
        server.banned_since = None if since is None else since - self._offset
        if before is not None and since is None:
            server.last_ban_since = before
        server.ban_ended_at = None if back is None else back - self._offset
        return (before is None) != (since is None)

    def _run_watch(self, watch: _Watch, answered: Connection | None = None) -> Coroutine[None]:
        """Calls a source and reads its messages, repeatedly; `answered` is an earlier call answered late."""
        backoff = DiscoveryBackoff(self._config.settings.nodes, self._random)
        while watch is self._watch:
            refused, watch.retry_after = False, None
            connection, answered = answered, None
            rev = watch.rev
            sources, relay = self.sources, None
            try:
                if connection is None:
                    if sources is not None:
                        relay = yield from sources.next_source()
                        backoff.clients = sources.client_count()
                    host, port = relay or watch.discovery
                    source_host = sources.host if sources is not None and relay is not None else ""
                    until = self._loop.now + CONNECT_TIMEOUT_US
                    connection = yield from connect(self._loop, (host, port), until, source_host)
                    yield from self._send_request(watch, connection, relay)
                host, port = relay or watch.discovery
                yield from self._read_messages(watch, connection, relay)
            except ConnectionEnded as ended:
                log_event(log, events.WATCH_ENDED, host=host, port=port, rev=watch.rev, reason=str(ended))
                if connection is not None and relay is None and _is_unanswered(connection, ended):
                    connection = self._leave_open(watch, connection)
                if sources is not None and relay is not None:
                    sources.relay_ended(relay)
                    yield from sleep(self._loop.now + RELAY_RETRY_DELAY_US)
                    continue
                refused = ended.ending is Ending.FAILED
                if ended.ending is Ending.MALFORMED:
                    # Unknown changes were missed: the next call asks for the complete list.
                    watch.rev = watch.resume_after = None
            except Exception:
                log_event(log, events.UNEXPECTED, where="the watch")
                watch.rev = watch.resume_after = None
            finally:
                if connection is not None:
                    connection.close()
            end = CallEnd.UNCHANGED if watch.answered else CallEnd.NEVER_ANSWERED
            if watch.rev is not None and watch.rev != rev:
                end = CallEnd.UPDATED
            refusal = Refusal(watch.retry_after) if refused else None
            now = self._loop.now
            yield from sleep(now + backoff.pause(end, refusal, now, has_list=bool(self._by_uid)))

    def _leave_open(self, watch: _Watch, connection: Connection) -> Connection | None:
        """Keeps one unanswered call open. Returns the connection if there is one already, to be closed."""
        if watch.late_call is not None:
            return connection
        watch.late_call = (
            self._loop.spawn(self._await_late_answer(watch, connection), "a late list"),
            connection,
        )
        return None

    def _await_late_answer(self, watch: _Watch, connection: Connection) -> Coroutine[None]:
        """Waits for the answer to a call that timed out, while the next call is made.

        Discovery may be down, or have hundreds of calls to answer first. In the second case the answer must
        be used: if every client dropped its calls and made new ones, discovery would never catch up.
        """
        try:
            event = h11.InformationalResponse(status_code=100, headers=[])
            while isinstance(event, h11.InformationalResponse):
                event = yield from connection.next_event(self._loop.now + LATE_ANSWER_TIMEOUT_US)
        except ConnectionEnded:
            event = None  # the later calls log the reason
        watch.late_call = None
        if watch is self._watch and isinstance(event, h11.Response) and event.status_code == 200:
            if watch.task is not None:
                watch.task.kill()
            watch.task = self._loop.spawn(self._run_watch(watch, connection), "watch")
        else:
            connection.close()

    def _drop_late_call(self, watch: _Watch) -> None:
        """Closes the unanswered earlier call."""
        if watch.late_call is not None:
            task, connection = watch.late_call
            watch.late_call = None
            task.kill()
            connection.close()

    def _send_request(self, watch: _Watch, connection: Connection, relay: Address | None) -> Coroutine[None]:
        """Sends the request for the list."""
        after = "" if watch.resume_after is None or relay is not None else f"&after={watch.resume_after}"
        target = f"/v1/servers?watch=1{after}"
        host = ":".join(map(str, relay or watch.discovery))
        request = connection.parser.send(h11.Request(method="GET", target=target, headers=[("Host", host)]))
        request = (request or b"") + (connection.parser.send(h11.EndOfMessage()) or b"")
        yield from connection.write(request, self._loop.now + WATCH_TIMEOUT_US)

    def _read_messages(self, watch: _Watch, connection: Connection, relay: Address | None) -> Coroutine[None]:
        """Reads the messages of a watch until it ends. Raises ConnectionEnded."""
        message_timeout = WATCH_TIMEOUT_US if relay is None else RELAY_TIMEOUT_US
        timeout = WATCH_TIMEOUT_US if relay is None else RELAY_ANSWER_TIMEOUT_US
        stream = JsonStream(MAX_MESSAGE_BYTES)
        while True:
            try:
                event = yield from connection.next_event(self._loop.now + timeout)
            except ConnectionEnded as ended:
                if stream.in_object and ended.ending is Ending.TIMED_OUT:
                    raise ConnectionEnded(Ending.MALFORMED, "the list is incomplete") from None
                raise
            timeout = message_timeout
            if isinstance(event, h11.Response):
                if event.status_code != 200:
                    watch.retry_after = _retry_after(event)
                    raise ConnectionEnded(Ending.FAILED, f"discovery answered {event.status_code}")
                self._drop_late_call(watch)
            elif isinstance(event, h11.Data):
                if self.sources is not None and relay is None:
                    self._handle_message(watch, None, None)
                for message in stream.feed(bytes(event.data)):
                    self._handle_message(watch, message, relay)
            elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                raise ConnectionEnded(Ending.CLOSED)

    def _handle_message(self, watch: _Watch, message: Any, relay: Address | None) -> None:
        """Handles a message, or a heartbeat (None). Raises ConnectionEnded for a malformed message."""
        if self.sources is None:
            watch.rev = watch.resume_after = self.take(message, highest_rev=watch.highest_rev)
            watch.highest_rev = max(watch.rev, watch.highest_rev or 0)
        else:
            try:
                rev = 0 if message is None else int(message["rev"])
                accepted = self.sources.accept(message, rev, relay)
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                raise ConnectionEnded(Ending.MALFORMED, f"malformed server list: {error!r}") from None
            if not accepted:
                return
            for accepted_message in accepted:
                watch.rev = self.take(accepted_message, relayed=relay is not None)
            watch.resume_after = watch.rev if relay is None else None
        if not watch.answered:
            self._record_first_answer(watch, relay)

    def _record_first_answer(self, watch: _Watch, relay: Address | None) -> None:
        """Logs the first answer of a watch and ends the previous watch."""
        watch.answered = self.answered = True
        host, port = relay or watch.discovery
        servers = sum(server.off_since is None for server in self._by_uid.values())
        log_event(log, events.WATCH_ANSWERED, host=host, port=port, rev=watch.rev, servers=servers)
        if watch is self._watch and self._previous_watch is not None:
            if self._previous_watch.task is not None:
                self._previous_watch.task.kill()
            self._previous_watch = None

    def take(
        self, message: Any, persisted: bool = False, relayed: bool = False, highest_rev: int | None = None
    ) -> int:
        """Applies a list; returns its revision. Raises ConnectionEnded, without changes, for a malformed one.

        `relayed`: discovery sent the list to another dispatcher. Each dispatcher gets endpoints of its own,
        so the endpoint of a server not known here is unusable, unless the operator's file says that they
        are the same.
        `highest_rev`: the highest revision received from the same discovery service. An older list adds and
        removes servers, but does not reactivate a server that is off: the later list still counts.
        """
        try:
            rev, complete = int(message["rev"]), bool(message["all"])
            rows = [self._parse_entry(raw) for raw in message["targets"]]
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError, ConfigError) as error:
            raise ConnectionEnded(Ending.MALFORMED, f"malformed server list: {error!r}") from None
        if complete:
            self.foreign_entries.clear()
        if relayed and not self.same_endpoints:
            rows = self._with_known_endpoints(rows)
        if complete:
            self._remove_unlisted({row.uid for row in rows})
        outdated = highest_rev is not None and rev < highest_rev
        entries = tuple(self._merge(row, outdated).effective_entry() for row in rows)
        self._forget_gone()
        if entries or complete:
            scope = "persisted" if persisted else "complete" if complete else "changes"
            self._post(i.WorkerList(cast(Any, scope), entries))
        return rev

    def _with_known_endpoints(self, rows: list[_ListEntry]) -> list[_ListEntry]:
        """Returns the entries of servers whose endpoints are known here; keeps the others for peers."""
        for row in rows:
            self.foreign_entries.pop(row.uid, None)
            if row.uid not in self._by_uid and row.state != "left":
                self.foreign_entries[row.uid] = row.raw
        return [self._with_local_endpoint(row) for row in rows if row.uid in self._by_uid]

    def _remove_unlisted(self, listed: set[str]) -> None:
        """Marks servers that are missing from a complete list as gone."""
        for uid, server in self._by_uid.items():
            if uid not in listed:
                server.listed_off_since = (
                    self._loop.now if server.listed_off_since is None else server.listed_off_since
                )
                server.entry = server.entry._replace(state="left")

    def _merge(self, row: _ListEntry, outdated: bool) -> BackendServer:
        """Applies an entry to its server."""
        server = self._by_uid.get(row.uid)
        state, entry = row.state, row.entry
        if server is None:
            server = self._add(row)
        elif (server.endpoint, server.boot_ms) != (row.endpoint, row.boot_ms):
            # Guards against writing to the previous process or address of a server that has restarted.
            server.endpoint, server.boot_ms = row.endpoint, row.boot_ms
            self.moved(server)
        elif outdated and server.listed_off_since is not None and state == "active":
            state = server.entry.state
            entry = entry._replace(state=state)
        if state == "active":
            server.listed_off_since = None
        elif server.listed_off_since is None:
            server.listed_off_since = self._loop.now
        server.raw_entry = row.raw
        server.entry = entry._replace(worker=server.number)
        return server

    def _add(self, row: _ListEntry) -> BackendServer:
        """Adds a server that is listed for the first time, or again after it was forgotten."""
        server = BackendServer(self._next_number, row.uid, row.endpoint, row.boot_ms, row.entry)
        self._by_uid[row.uid] = self.by_number[self._next_number] = server
        self._next_number += 1
        self._remembered_uids[row.uid] = None
        self.foreign_entries.pop(row.uid, None)
        if len(self._remembered_uids) > MAX_REMEMBERED_UIDS:
            del self._remembered_uids[next(iter(self._remembered_uids))]
        self._apply_ban(server)
        return server

    def _forget_gone(self) -> None:
        """Removes servers that have been off for FORGET_AFTER_US."""
        for server in list(self._by_uid.values()):
            if (
                server.listed_off_since is not None
                and self._loop.now - server.listed_off_since > FORGET_AFTER_US
            ):
                del self._by_uid[server.uid], self.by_number[server.number]

    def _with_local_endpoint(self, row: _ListEntry) -> _ListEntry:
        """Returns an entry sent to another dispatcher, with the endpoint that is known here."""
        host, port = endpoint = self._by_uid[row.uid].endpoint
        return row._replace(raw={**row.raw, "endpoint": f"{host}:{port}"}, endpoint=endpoint)

    def _parse_entry(self, raw: Any) -> _ListEntry:
        """Parses an entry of a list. Raises KeyError, TypeError, ValueError and the like if malformed."""
        uid, boot_ms = str(raw["uid"]), int(raw.get("boot_ms") or 0)
        state = STATES.get(raw["state"])
        if state is None:
            log_event(log, events.UNKNOWN_SERVER_STATE, server=uid, state=str(raw["state"]))
            state = "leaving"
        endpoint = parse_address(str(raw["endpoint"]), "endpoint")
        started_at = boot_ms * 1000 - self._offset if boot_ms > 0 else None
        zone, kind = str(raw.get("az")), str(raw.get("model"))
        entry = i.WorkerEntry(
            worker=0,
            zone=self._zones.setdefault(zone, len(self._zones)),
            kind=self._kinds.setdefault(kind, len(self._kinds)),
            cell=int(raw.get("pod_group") or 0),
            state=state,
            weight=float(raw.get("capacity_hint") or 1.0),
            started_at=started_at,
            mark=crc32(uid.encode()),
        )
        return _ListEntry(raw, uid, endpoint, boot_ms, state, entry)


def _is_unanswered(connection: Connection, ended: ConnectionEnded) -> bool:
    """Returns whether a call timed out without any answer."""
    return ended.ending is Ending.TIMED_OUT and connection.parser.their_state is h11.SEND_RESPONSE


def _retry_after(response: h11.Response) -> int | None:
    """Returns the Retry-After of a response in microseconds; None if it has none in seconds."""
    seconds = dict(response.headers).get(b"retry-after", b"").strip()
    return int(seconds) * 1_000_000 if seconds.isdigit() and len(seconds) < 7 else None
