"""The server table: the backend servers that discovery names, kept up to date by a watch."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Literal, cast

import h11
import ujson

from heronstall import interface as i
from heronstall.config import Address, Config, ConfigError, address
from heronstall.net.connection import Connection, Ended, Ending, Lines, connect
from heronstall.net.loop import Coroutine, Loop, sleep

STATES: dict[str, Literal["active", "leaving", "left"]] = {
    "SERVING": "active",
    "DRAINING": "leaving",
    "DELETED": "left",
}
SILENCE = 5_000_000  # a heartbeat comes every 2 s: after two missed ones the watch counts as dead
PAUSE, LONGEST_PAUSE = 100_000, 2_000_000  # between attempts at a new watch
TABLE_LINE = 4 * 1024 * 1024
FORGET = 600_000_000  # a server gone for so long loses its number
log = logging.getLogger("heronstall.server_table")


class BackendServer:
    """One backend server as the host knows it."""

    __slots__ = ("number", "uid", "endpoint", "boot_ms", "off_since")

    def __init__(self, number: int, uid: str, endpoint: Address, boot_ms: int) -> None:
        self.number, self.uid, self.endpoint, self.boot_ms = number, uid, endpoint, boot_ms
        self.off_since: int | None = None  # since when it has been told to drain or be gone


class ServerTable:
    """Turns discovery's lists into the module's, and uids into numbers."""

    def __init__(self, config: Config, loop: Loop, offset: int, told: Callable[[i.WorkerList], None]) -> None:
        self._config, self._loop, self._told = config, loop, told
        self._offset = offset  # Unix time less the program's clock, fixed at the start
        self._by_uid: dict[str, BackendServer] = {}
        self.by_number: dict[int, BackendServer] = {}
        self._zones, self._kinds = dict(config.zones), dict(config.kinds)
        self._next = 1
        self._rev: int | None = None
        self.moved: Callable[[BackendServer], None] = lambda server: None  # its old connections lead nowhere
        self.heard = False  # the watch has answered since the start

    def start(self) -> None:
        """Take the list last held, if any, and watch from there on."""
        if self._config.known is not None:
            try:
                self._take(self._config.known, persisted=True)
            except Ended as ended:
                log.warning("known list ignored: %s", ended)
        self._loop.spawn(self._watch(), "watch")

    def any_serving(self) -> bool:
        """Whether any server is there to send to."""
        return any(server.off_since is None for server in self._by_uid.values())

    def _watch(self) -> Coroutine[None]:
        pause = PAUSE
        while True:
            connection: Connection | None = None
            rev = self._rev
            try:
                connection = yield from connect(self._loop, self._config.discovery, self._loop.now + SILENCE)
                yield from self._follow(connection)
            except Ended as ended:
                log.warning("watch ended, table of revision %s stays valid: %s", self._rev, ended)
                if ended.ending is Ending.MALFORMED:
                    self._rev = None  # what was missed cannot be told: ask for the whole list
            except Exception:
                log.exception("unexpected error in the watch")
                self._rev = None
            finally:
                if connection is not None:
                    connection.close()
            pause = PAUSE if self._rev is not None and self._rev != rev else min(2 * pause, LONGEST_PAUSE)
            yield from sleep(self._loop.now + pause)

    def _follow(self, connection: Connection) -> Coroutine[None]:
        after = "" if self._rev is None else f"&after={self._rev}"
        target = f"/v1/servers?watch=1{after}"
        host = f"{self._config.discovery[0]}:{self._config.discovery[1]}"
        request = connection.parser.send(h11.Request(method="GET", target=target, headers=[("Host", host)]))
        request = (request or b"") + (connection.parser.send(h11.EndOfMessage()) or b"")
        yield from connection.write(request, self._loop.now + SILENCE)
        lines = Lines(TABLE_LINE)
        while True:
            event = yield from connection.event(self._loop.now + SILENCE)
            if isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise Ended(Ending.FAILED, f"discovery answered {event.status_code}")
            elif isinstance(event, h11.Data):
                for line in lines.feed(event.data):
                    try:
                        message = ujson.loads(line)
                    except ValueError:
                        raise Ended(Ending.MALFORMED, f"not JSON: {line[:80]!r}") from None
                    self._take(message)
                    if not self.heard:
                        self.heard = True
                        log.info("watch answered, revision %s, %d servers", self._rev, len(self._by_uid))
            elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                raise Ended(Ending.CLOSED)

    def _take(self, message: Any, persisted: bool = False) -> None:
        """One list. It is read whole before anything of it counts, so that half a list changes nothing."""
        try:
            rev, whole = int(message["rev"]), bool(message["all"])
            rows = [self._entry(row) for row in message["targets"]]
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError, ConfigError) as error:
            raise Ended(Ending.MALFORMED, f"malformed server list: {error!r}") from None
        now = self._loop.now
        if whole:
            named = {row[0] for row in rows}
            for uid, old in self._by_uid.items():
                if uid not in named and old.off_since is None:
                    old.off_since = now  # missing from a whole list: gone
        entries = []
        for uid, endpoint, boot_ms, state, entry in rows:
            server = self._by_uid.get(uid)
            if server is None:
                server = self._by_uid[uid] = BackendServer(self._next, uid, endpoint, boot_ms)
                self.by_number[self._next] = server
                self._next += 1
            elif (server.endpoint, server.boot_ms) != (endpoint, boot_ms):
                # Guards against writing to the old process, or the old address, of a server that came back.
                server.endpoint, server.boot_ms = endpoint, boot_ms
                self.moved(server)
            if state == "active":
                server.off_since = None
            elif server.off_since is None:
                server.off_since = now
            entries.append(entry._replace(worker=server.number))
        for old in list(self._by_uid.values()):
            if old.off_since is not None and now - old.off_since > FORGET:
                del self._by_uid[old.uid], self.by_number[old.number]
        self._rev = rev
        if entries or whole:
            scope = "persisted" if persisted else "complete" if whole else "changes"
            self._told(i.WorkerList(cast(Any, scope), tuple(entries)))

    def _entry(self, row: Any) -> tuple[str, Address, int, str, i.WorkerEntry]:
        uid, boot_ms = str(row["uid"]), int(row.get("boot_ms") or 0)
        state = STATES.get(row["state"])
        if state is None:
            log.warning("server %s has the unknown state %r: taken as draining", uid, row["state"])
            state = "leaving"
        endpoint = address(str(row["endpoint"]), "endpoint")
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
        )
        return uid, endpoint, boot_ms, state, entry
