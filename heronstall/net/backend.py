"""The backend servers' side: the connection pool, dispatches and probes, in HTTP."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import h11
import ujson

from heronstall import events
from heronstall import interface as i
from heronstall.config import Address, Config
from heronstall.events import log_event
from heronstall.net.connection import BODY_LIMIT, Connection, Ended, Ending, Lines, connect, shut_writing
from heronstall.net.dispatcher import Dispatcher, Session
from heronstall.net.loop import Coroutine, Loop, Task
from heronstall.net.server_table import BackendServer

SWEEP = 250_000
AFTERWARDS = 1_000_000  # for the end of a message whose last line has come
SHORTEST_KEEP = 50_000  # a connection used again sooner that breaks says nothing of idling
STALE_TIME = 100_000  # a connection that was dead already breaks within so long of a request
KEEP_AGAIN = 30_000_000
PROBE_TIME, PROBES_AT_ONCE = 500_000, 64
# From an answer's end to the next request on its connection. Guards that request against a second answer
# that comes some milliseconds late: one that refuses bears no id and would be taken for the answer to it.
SETTLE_TIME = 20_000
OFF_MARGIN = 50_000  # a first byte leaves clearly before the drain grace is over
LINE = 2 * BODY_LIMIT  # a result and what is round it
log = logging.getLogger("heronstall.backend")


class Job(NamedTuple):
    """What passes through unchanged from a client's request to a backend server."""

    id: str
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


def read_report(slots: dict[str, int], told: Any) -> i.Report | None:
    """A load report by the names that the settings give; missing or absurd figures make it none at all."""
    if not isinstance(told, dict):
        return None
    row: list[float | None] = [None] * len(i.Report._fields)
    for name, place in slots.items():
        figure = told.get(name)
        if figure is None:
            continue
        if isinstance(figure, bool) or not isinstance(figure, (int, float)) or not 0.0 <= figure < 1e12:
            return None
        row[place] = float(figure)
    return None if row.count(None) == len(row) else i.Report(*row)


class Pool:
    """Connections to backend servers: those idle are kept for reuse, for less than the far end keeps them."""

    def __init__(self, loop: Loop, config: Config, limit: int) -> None:
        self._loop, self._limit = loop, limit
        self._connect_time = config.connect_timeout
        self._drain_grace = config.drain_grace
        # A request written to a connection that its server is closing ends as a reset, and a job that must
        # not run twice is then lost: so ours go a fifth of the time earlier.
        self._longest = self._keep = config.keepalive * 4 // 5
        self._broke_at = 0
        self._idle: dict[int, list[Connection]] = {}
        self._open: dict[Connection, tuple[Address, int]] = {}
        self._connecting = 0
        self.connects = 0  # connections asked for since the start
        loop.at(loop.now + SWEEP, self._sweep)

    def limit(self, limit: int) -> None:
        """Hold so many connections at the most from now on; those beyond it go as they are given back."""
        self._limit = limit

    def rest(self) -> None:
        """Close all that idle: this process leaves, and another one needs the room."""
        for row in self._idle.values():
            for connection in row:
                self.close(connection)
        self._idle.clear()

    def take(self, server: BackendServer, until: int) -> Coroutine[Connection]:
        """A connection to write a first byte on, now. Raises Ended if there is none."""
        connection = self._reuse(server)
        if connection is None:
            connection = yield from self._fresh(server, until)
        try:
            self.still(server)
        except Ended:
            self.close(connection)
            raise
        return connection

    def still(self, server: BackendServer) -> None:
        """Raise Ended where nothing may be written to a server any more.

        Guards against a connect, or a wait, that is over only after its server has long been told off.
        """
        off = server.off_since
        if off is not None and self._loop.now >= off + self._drain_grace - OFF_MARGIN:
            raise Ended(Ending.WITHDRAWN)

    def _reuse(self, server: BackendServer) -> Connection | None:
        idle = self._idle.get(server.number, [])
        settled = self._loop.now - SETTLE_TIME
        at = len(idle) - 1
        while at >= 0:  # from the one used last, past those that have only just been given back
            connection = idle[at]
            if connection.idle_since <= settled:
                del idle[at]
                if self._loop.now - connection.idle_since < self._keep and connection.fresh():
                    return connection
                self.close(connection)
            at -= 1
        return None

    def _fresh(self, server: BackendServer, until: int) -> Coroutine[Connection]:
        if len(self._open) + self._connecting >= self._limit and not self._close_idlest():
            log_event(log, events.NO_DESCRIPTOR, server=server.uid)
            raise Ended(Ending.WITHDRAWN)
        origin = (server.endpoint, server.boot_ms)
        self._connecting += 1
        self.connects += 1
        try:
            connection = yield from connect(
                self._loop, server.endpoint, min(until, self._loop.now + self._connect_time)
            )
        except Ended as ended:
            late = ended.ending is Ending.REFUSED and self._loop.now >= until
            raise Ended(Ending.UNSENT_IN_TIME) if late else ended from None
        finally:
            self._connecting -= 1
        self._open[connection] = origin
        return connection

    def give(self, server: BackendServer, connection: Connection) -> None:
        """Keep a connection whose exchange is over, if it can serve again."""
        parser = connection.parser
        whole = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        # Guards the next request against bytes behind this answer: they would be read as the answer to it.
        whole = whole and not parser.trailing_data[0] and not len(connection.buffer)
        full = len(self._open) > self._limit
        if full or not whole or self._open.get(connection) != (server.endpoint, server.boot_ms):
            self.close(connection)
            return
        parser.start_next_cycle()
        connection.idle_since = self._loop.now
        self._idle.setdefault(server.number, []).append(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection that was taken.

        The far end is told at once, though the descriptor is held to the end of the batch. Guards the rule
        on second copies: what follows from this end may be written to another server within the same batch.
        """
        self._open.pop(connection, None)
        shut_writing(connection.sock)
        connection.close()

    def first_word(self, connection: Connection, until: int) -> Coroutine[h11.Response]:
        """The answer's head, to a request just written; what a break before it tells of idling is learned."""
        written = self._loop.now
        try:
            return (yield from _response(connection, until))
        except Ended as ended:
            if ended.ending is Ending.BROKEN and self._loop.now - written < STALE_TIME:
                self._broke(written - connection.idle_since)
            raise

    def _broke(self, idle: int) -> None:
        """A connection that had idled so long broke at once when it was used again.

        Guards against far ends, or what stands between, that drop idle connections sooner than the settings
        say, and without a word: a job that must not run twice is lost with each. From now on none is used
        that has idled nearly as long; while none breaks, the time is doubled again now and then.
        """
        if idle >= SHORTEST_KEEP:
            self._keep = max(SHORTEST_KEEP, min(self._keep, idle * 3 // 4))
            self._broke_at = self._loop.now

    def forget(self, server: BackendServer) -> None:
        """The server has moved or restarted: its idle connections lead nowhere."""
        for connection in self._idle.pop(server.number, []):
            self.close(connection)

    def _close_idlest(self) -> bool:
        held = [(row[0].idle_since, number) for number, row in self._idle.items() if row]
        if held:
            self.close(self._idle[min(held)[1]].pop(0))
        return bool(held)

    def _sweep(self) -> None:
        if self._keep < self._longest and self._loop.now - self._broke_at > KEEP_AGAIN:
            self._keep, self._broke_at = min(2 * self._keep, self._longest), self._loop.now
        for number, row in list(self._idle.items()):
            kept = []
            for connection in row:
                if self._loop.now - connection.idle_since < self._keep and connection.fresh():
                    kept.append(connection)
                else:
                    self.close(connection)
            if kept:
                self._idle[number] = kept
            else:
                del self._idle[number]
        self._loop.at(self._loop.now + SWEEP, self._sweep)


class HttpBackend:
    """Makes dispatches and probes."""

    def __init__(self, config: Config, loop: Loop, dispatcher: Dispatcher, pool: Pool) -> None:
        self.loop, self.dispatcher, self.pool = loop, dispatcher, pool
        self.slots = config.report_slots
        self._probe_path = "/healthz" if config.settings.reports == "none" else "/load"
        self._probes = 0

    def dispatch(self, session: Session, server: BackendServer, index: int, until: int) -> Dispatch:
        """Prepare one attempt."""
        return Dispatch(self, session, server, index, until)

    def probe(self, server: BackendServer) -> None:
        """Ask for a report; one `ProbeResult` is posted for it."""
        if self._probes >= PROBES_AT_ONCE:
            self.dispatcher.post(i.ProbeResult(server.number, False))
            return
        self._probes += 1
        self.loop.spawn(self._probe(server), "probe")

    def _probe(self, server: BackendServer) -> Coroutine[None]:
        began = self.loop.now
        until = began + PROBE_TIME
        ok, report = False, None
        connection: Connection | None = None
        try:
            connection = yield from self.pool.take(server, until)
            request = h11.Request(method="GET", target=self._probe_path, headers=[("Host", "origin.svc")])
            yield from connection.write(_bytes(connection, [request, h11.EndOfMessage()]), until)
            response = yield from self.pool.first_word(connection, until)
            body = yield from _rest(connection, until)
            ok = response.status_code == 200
            if ok and body:
                try:
                    report = read_report(self.slots, ujson.loads(body))
                except ValueError:
                    raise Ended(Ending.MALFORMED, f"load report not JSON: {body[:80]!r}") from None
            self.pool.give(server, connection)
            connection = None
        except Ended as ended:
            ok = False
            if ended.ending is Ending.MALFORMED:
                log_event(log, events.MALFORMED_PROBE_RESPONSE, server=server.uid, reason=str(ended))
        finally:
            self._probes -= 1
            if connection is not None:
                self.pool.close(connection)
            self.dispatcher.post(i.ProbeResult(server.number, ok, self.loop.now - began, report))


class Dispatch:
    """One attempt. Whatever happens, it ends once, with one call of `dispatch_ended`."""

    def __init__(
        self, backend: HttpBackend, session: Session, server: BackendServer, index: int, until: int
    ) -> None:
        self._backend, self._session, self._server = backend, session, server
        self._index, self._until = index, until
        self._loop = backend.loop
        self._began = self._loop.now
        self._ended = False
        self._report: i.Report | None = None
        self._result = b""
        self._task: Task | None = None

    def start(self) -> None:
        """Begin."""
        self._task = self._loop.spawn(self._run(), "dispatch")

    def cancel(self) -> None:
        """Close its connection, unless its end has been told: an answer already read wins."""
        if not self._ended:
            if self._task is not None:
                self._task.kill()
            self._end(Ending.CANCELLED)

    def _end(self, ending: Ending) -> None:
        if not self._ended:
            self._ended = True
            self._backend.dispatcher.dispatch_ended(
                self._session,
                self._server,
                self._index,
                ending,
                self._loop.now - self._began,
                self._report,
                self._result,
            )

    def _run(self) -> Coroutine[None]:
        pool, dispatcher, session = self._backend.pool, self._backend.dispatcher, self._session
        connection: Connection | None = None
        ending = Ending.CRASHED
        try:
            begin_by = min(self._until, dispatcher.begin_by(session))
            connection = yield from pool.take(self._server, begin_by)
            if dispatcher.guard is not None:
                yield from dispatcher.guard.may_write(session, self._task, begin_by)
                pool.still(self._server)
            self._check_still_wanted()
            dispatcher.begins(session, self._index)
            yield from connection.write(self._request(connection), self._until)
            dispatcher.written()
            response = yield from pool.first_word(connection, self._until)
            ending = yield from self._answer(connection, response)
            self._end(ending)
            yield from _rest(connection, self._loop.now + AFTERWARDS)
            pool.give(self._server, connection)
            connection = None
        except Ended as ended:
            ending = ended.ending
            if ending is Ending.MALFORMED:
                log_event(log, events.MALFORMED_RESPONSE, server=self._server.uid, reason=str(ended))
        except Exception:
            log_event(log, events.UNEXPECTED, where=f"a dispatch to backend server {self._server.uid}")
        finally:
            if connection is not None:
                pool.close(connection)
        self._end(ending)

    def _check_still_wanted(self) -> None:
        """Raise Ended where this attempt may not begin any more."""
        if not self._backend.dispatcher.may_begin(self._session):
            raise Ended(Ending.WITHDRAWN, "its client has left, or its time to begin is over")

    def _request(self, connection: Connection) -> bytes:
        job: Job = self._session.job
        wait = max(0, self._until - self._loop.now) / 1e6
        headers = [
            *job.headers,
            (b"Req-Deadline", b"%.3f" % wait),
            (b"Content-Length", b"%d" % len(job.body)),
        ]
        request = h11.Request(method=job.method, target=job.target, headers=headers)
        return _bytes(connection, [request, h11.Data(data=job.body), h11.EndOfMessage()])

    def _answer(self, connection: Connection, response: h11.Response) -> Coroutine[Ending]:
        headers = dict(response.headers)
        told = headers.get(b"srv-load")
        if told:
            try:
                self._report = read_report(self._backend.slots, ujson.loads(told))
            except ValueError:
                raise Ended(Ending.MALFORMED, f"Srv-Load not JSON: {told[:80]!r}") from None
        if response.status_code in (503, 504) and headers.get(b"srv-declined") == b"1":
            return Ending.RETURNED
        if 400 <= response.status_code < 500 and response.status_code not in (408, 429):
            log_event(
                log,
                events.UNUSABLE_RESPONSE,
                server=self._server.uid,
                status=response.status_code,
                request=self._session.job.id,
            )
            return Ending.UNUSABLE
        if response.status_code != 200:
            return Ending.FAILED
        lines = Lines(LINE)
        while True:
            event = yield from connection.event(self._until)
            if not isinstance(event, h11.Data):
                raise Ended(Ending.BROKEN, "the answer ended before its last line")
            for line in lines.feed(bytes(event.data)):
                ending = self._line(line)
                if ending is not None:
                    return ending

    def _line(self, line: bytes) -> Ending | None:
        """One word about the job; the ending if it is the last."""
        try:
            told = ujson.loads(line)
            state, whose = told["state"], told["id"]
        except (ValueError, TypeError, KeyError):
            raise Ended(Ending.MALFORMED, f"not a job's line: {line[:80]!r}") from None
        if not isinstance(state, str):
            raise Ended(Ending.MALFORMED, f"a state that is no text: {line[:80]!r}")
        # Guards against handing a client what was made for another request.
        if whose != self._session.job.id:
            raise Ended(Ending.MALFORMED, f"a line about {whose!r} in answer to {self._session.job.id!r}")
        dispatcher = self._backend.dispatcher
        if state == "started":
            dispatcher.note(self._session, self._server, self._index, None)
            return None
        if state == "running":
            share = told.get("share")
            good = isinstance(share, (int, float)) and 0 <= share <= 1
            dispatcher.note(self._session, self._server, self._index, float(share) if good else 0.0)
            return None
        if "load" in told:
            self._report = read_report(self._backend.slots, told["load"])
        if state == "done":
            result = told.get("result")
            if result is None:
                raise Ended(Ending.MALFORMED, "done without a result")
            try:
                self._result = (result if isinstance(result, str) else ujson.dumps(result)).encode()
            except (ValueError, OverflowError):  # half a surrogate pair, or a figure beyond JSON
                raise Ended(Ending.MALFORMED, f"a result that is no text: {line[:80]!r}") from None
            return Ending.SERVED
        return LAST_WORDS.get(state)  # a state that we do not know is passed over


LAST_WORDS = {"failed": Ending.FAILED, "returned": Ending.RETURNED, "lost": Ending.LOST}


def _bytes(connection: Connection, events: Iterable[Any]) -> bytes:
    send: Callable[[Any], bytes | None] = connection.parser.send
    return b"".join(send(event) or b"" for event in events)


def _response(connection: Connection, until: int) -> Coroutine[h11.Response]:
    while True:
        event = yield from connection.event(until)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise Ended(Ending.BROKEN, "closed before an answer")


def _rest(connection: Connection, until: int) -> Coroutine[bytes]:
    """The message up to its end."""
    body = bytearray()
    while True:
        event = yield from connection.event(until)
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > BODY_LIMIT:
                raise Ended(Ending.MALFORMED, "a body over 64 KiB")
        elif isinstance(event, h11.EndOfMessage):
            return bytes(body)
        else:
            raise Ended(Ending.BROKEN, "closed inside an answer")
