"""The HTTP backend: the pool of connections to backend servers, dispatches and probes."""

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
from heronstall.net.connection import (
    MAX_BODY_BYTES,
    Connection,
    ConnectionEnded,
    Ending,
    LineSplitter,
    connect,
    shutdown_write,
)
from heronstall.net.dispatcher import Dispatcher, Session
from heronstall.net.loop import Coroutine, Loop, Task
from heronstall.net.server_table import BackendServer

# All times are in microseconds.
SWEEP = 250_000  # between checks of idle connections
RESPONSE_END_TIMEOUT_US = 1_000_000  # until the end of a response whose last line has arrived
SHORTEST_KEEP = 50_000  # a break after a shorter idle time says nothing about the server's idle timeout
STALE_TIME = 100_000  # a connection that was already dead breaks within this time after a request
KEEP_AGAIN = 30_000_000  # without a break, before the usable idle time is doubled
PROBE_TIME, PROBES_AT_ONCE = 500_000, 64
# From the end of a response to the next request on its connection. Guards that request against a second
# response that arrives some milliseconds late: a rejection has no id and would be taken as its response.
REUSE_DELAY_US = 20_000
OFF_MARGIN = 50_000  # a first byte is written at least this long before the drain grace ends
MAX_LINE_BYTES = 2 * MAX_BODY_BYTES  # of a line with a result and its other fields
log = logging.getLogger("heronstall.backend")


class Job(NamedTuple):
    """The parts of a client's request that are forwarded unchanged to a backend server."""

    id: str
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


def read_report(positions: dict[str, int], values: Any) -> i.Report | None:
    """Parses a load report by the names in the settings; None if it has no known or an invalid value."""
    if not isinstance(values, dict):
        return None
    row: list[float | None] = [None] * len(i.Report._fields)
    for name, position in positions.items():
        value = values.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0.0 <= value < 1e12:
            return None
        row[position] = float(value)
    return None if row.count(None) == len(row) else i.Report(*row)


class ConnectionPool:
    """Connections to backend servers. Keeps idle ones for reuse, for less time than the servers do."""

    def __init__(self, loop: Loop, config: Config, limit: int) -> None:
        self._loop, self._limit = loop, limit
        self._connect_timeout = config.connect_timeout
        self._drain_grace = config.drain_grace
        # A request written to a connection that its server is closing ends as a reset, and a job that must
        # not run twice is then lost. So the pool closes idle connections after four fifths of that time.
        self._max_idle_time = self._idle_time = config.keepalive * 4 // 5
        self._idle_break_at = 0
        self._idle: dict[int, list[Connection]] = {}
        self._origins: dict[Connection, tuple[Address, int]] = {}
        self._connecting = 0
        self.connects = 0  # connections attempted since the start
        loop.at(loop.now + SWEEP, self._sweep)

    def set_limit(self, limit: int) -> None:
        """Sets the maximum number of connections; those beyond it are closed when they are released."""
        self._limit = limit

    def close_idle(self) -> None:
        """Closes all idle connections: this process is leaving, and its successor needs the descriptors."""
        for row in self._idle.values():
            for connection in row:
                self.close(connection)
        self._idle.clear()

    def acquire(self, server: BackendServer, until: int) -> Coroutine[Connection]:
        """Returns a connection for a request to be written now. Raises ConnectionEnded if there is none."""
        connection = self._reuse(server)
        if connection is None:
            connection = yield from self._open(server, until)
        try:
            self.check_writable(server)
        except ConnectionEnded:
            self.close(connection)
            raise
        return connection

    def check_writable(self, server: BackendServer) -> None:
        """Raises ConnectionEnded if no request may be written to a server any more.

        Guards against a connect, or a wait, that ends when the server's drain grace is already over.
        """
        off_since = server.off_since
        if off_since is not None and self._loop.now >= off_since + self._drain_grace - OFF_MARGIN:
            raise ConnectionEnded(Ending.WITHDRAWN)

    def _reuse(self, server: BackendServer) -> Connection | None:
        """Returns an idle connection, the one used last first; None if there is none."""
        idle = self._idle.get(server.number, [])
        released_before = self._loop.now - REUSE_DELAY_US
        index = len(idle) - 1
        while index >= 0:  # connections released only just now are skipped
            connection = idle[index]
            if connection.idle_since <= released_before:
                del idle[index]
                if self._loop.now - connection.idle_since < self._idle_time and connection.is_quiet():
                    return connection
                self.close(connection)
            index -= 1
        return None

    def _open(self, server: BackendServer, until: int) -> Coroutine[Connection]:
        """Opens a new connection. Raises ConnectionEnded."""
        if len(self._origins) + self._connecting >= self._limit and not self._close_longest_idle():
            log_event(log, events.NO_DESCRIPTOR, server=server.uid)
            raise ConnectionEnded(Ending.WITHDRAWN)
        origin = (server.endpoint, server.boot_ms)
        self._connecting += 1
        self.connects += 1
        try:
            connection = yield from connect(
                self._loop, server.endpoint, min(until, self._loop.now + self._connect_timeout)
            )
        except ConnectionEnded as ended:
            timed_out = ended.ending is Ending.REFUSED and self._loop.now >= until
            raise ConnectionEnded(Ending.UNSENT_IN_TIME) if timed_out else ended from None
        finally:
            self._connecting -= 1
        self._origins[connection] = origin
        return connection

    def release(self, server: BackendServer, connection: Connection) -> None:
        """Keeps a connection whose exchange has ended for reuse, or closes it if it cannot be reused."""
        parser = connection.parser
        clean = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        # Guards the next request against bytes after this response, which would be read as its response.
        clean = clean and not parser.trailing_data[0] and not len(connection.buffer)
        over_limit = len(self._origins) > self._limit
        if over_limit or not clean or self._origins.get(connection) != (server.endpoint, server.boot_ms):
            self.close(connection)
            return
        parser.start_next_cycle()
        connection.idle_since = self._loop.now
        self._idle.setdefault(server.number, []).append(connection)

    def close(self, connection: Connection) -> None:
        """Closes a connection.

        The remote end learns it at once, though the descriptor is closed at the end of the turn. Guards the
        rule against concurrent attempts: the next attempt may be written to another server in the same turn.
        """
        self._origins.pop(connection, None)
        shutdown_write(connection.sock)
        connection.close()

    def read_response(self, connection: Connection, until: int) -> Coroutine[h11.Response]:
        """Returns the response head for a request just written. Learns from breaks of idle connections."""
        written = self._loop.now
        try:
            return (yield from _read_response(connection, until))
        except ConnectionEnded as ended:
            if ended.ending is Ending.BROKEN and self._loop.now - written < STALE_TIME:
                self._record_idle_break(written - connection.idle_since)
            raise

    def _record_idle_break(self, idle: int) -> None:
        """Records that a connection broke at once when it was used after an idle time.

        Guards against servers, or network devices, that drop idle connections sooner than the settings say
        and without notice: each costs a job that must not run twice. From now on no connection is used
        after three quarters of this idle time. While none breaks, the limit is doubled from time to time.
        """
        if idle >= SHORTEST_KEEP:
            self._idle_time = max(SHORTEST_KEEP, min(self._idle_time, idle * 3 // 4))
            self._idle_break_at = self._loop.now

    def drop_idle(self, server: BackendServer) -> None:
        """Closes the idle connections of a server that has moved or restarted."""
        for connection in self._idle.pop(server.number, []):
            self.close(connection)

    def _close_longest_idle(self) -> bool:
        """Closes the connection that has been idle longest; returns whether there was one."""
        oldest = [(row[0].idle_since, number) for number, row in self._idle.items() if row]
        if oldest:
            self.close(self._idle[min(oldest)[1]].pop(0))
        return bool(oldest)

    def _sweep(self) -> None:
        """Closes idle connections that are too old or broken, and raises the usable idle time again."""
        if self._idle_time < self._max_idle_time and self._loop.now - self._idle_break_at > KEEP_AGAIN:
            self._idle_time, self._idle_break_at = (
                min(2 * self._idle_time, self._max_idle_time),
                self._loop.now,
            )
        for number, row in list(self._idle.items()):
            remaining = []
            for connection in row:
                if self._loop.now - connection.idle_since < self._idle_time and connection.is_quiet():
                    remaining.append(connection)
                else:
                    self.close(connection)
            if remaining:
                self._idle[number] = remaining
            else:
                del self._idle[number]
        self._loop.at(self._loop.now + SWEEP, self._sweep)


class HttpBackend:
    """Creates dispatches and sends probes."""

    def __init__(self, config: Config, loop: Loop, dispatcher: Dispatcher, pool: ConnectionPool) -> None:
        self.loop, self.dispatcher, self.pool = loop, dispatcher, pool
        self.report_positions = config.report_slots
        self._probe_path = "/healthz" if config.settings.reports == "none" else "/load"
        self._open_probes = 0

    def dispatch(self, session: Session, server: BackendServer, index: int, until: int) -> Dispatch:
        """Creates the dispatch of one attempt."""
        return Dispatch(self, session, server, index, until)

    def probe(self, server: BackendServer) -> None:
        """Requests a load report; posts one `ProbeResult`."""
        if self._open_probes >= PROBES_AT_ONCE:
            self.dispatcher.post(i.ProbeResult(server.number, False))
            return
        self._open_probes += 1
        self.loop.spawn(self._probe(server), "probe")

    def _probe(self, server: BackendServer) -> Coroutine[None]:
        """Requests a load report and posts the `ProbeResult`."""
        started_at = self.loop.now
        until = started_at + PROBE_TIME
        ok, report = False, None
        connection: Connection | None = None
        try:
            connection = yield from self.pool.acquire(server, until)
            request = h11.Request(method="GET", target=self._probe_path, headers=[("Host", "origin.svc")])
            yield from connection.write(_serialize(connection, [request, h11.EndOfMessage()]), until)
            response = yield from self.pool.read_response(connection, until)
            body = yield from _read_body(connection, until)
            ok = response.status_code == 200
            if ok and body:
                try:
                    report = read_report(self.report_positions, ujson.loads(body))
                except ValueError:
                    raise ConnectionEnded(
                        Ending.MALFORMED, f"load report is not JSON: {body[:80]!r}"
                    ) from None
            self.pool.release(server, connection)
            connection = None
        except ConnectionEnded as ended:
            ok = False
            if ended.ending is Ending.MALFORMED:
                log_event(log, events.MALFORMED_PROBE_RESPONSE, server=server.uid, reason=str(ended))
        finally:
            self._open_probes -= 1
            if connection is not None:
                self.pool.close(connection)
            self.dispatcher.post(i.ProbeResult(server.number, ok, self.loop.now - started_at, report))


class Dispatch:
    """One attempt. It always ends with exactly one call of `dispatch_ended`."""

    def __init__(
        self, backend: HttpBackend, session: Session, server: BackendServer, index: int, until: int
    ) -> None:
        self._backend, self._session, self._server = backend, session, server
        self._index, self._until = index, until
        self._loop = backend.loop
        self._started_at = self._loop.now
        self._ended = False
        self._report: i.Report | None = None
        self._result = b""
        self._task: Task | None = None

    def start(self) -> None:
        """Starts the attempt."""
        self._task = self._loop.spawn(self._run(), "dispatch")

    def cancel(self) -> None:
        """Cancels the attempt unless its end has been reported: an answer that was read takes precedence."""
        if not self._ended:
            if self._task is not None:
                self._task.kill()
            self._end(Ending.CANCELLED)

    def _end(self, ending: Ending) -> None:
        """Reports the end of the attempt, once."""
        if not self._ended:
            self._ended = True
            self._backend.dispatcher.dispatch_ended(
                self._session,
                self._server,
                self._index,
                ending,
                self._loop.now - self._started_at,
                self._report,
                self._result,
            )

    def _run(self) -> Coroutine[None]:
        """Sends the request and reads the response."""
        pool, dispatcher, session = self._backend.pool, self._backend.dispatcher, self._session
        connection: Connection | None = None
        ending = Ending.CRASHED
        try:
            latest_start = min(self._until, dispatcher.latest_start(session))
            connection = yield from pool.acquire(self._server, latest_start)
            if dispatcher.guard is not None:
                yield from dispatcher.guard.wait_until_writable(session, self._task, latest_start)
                pool.check_writable(self._server)
            self._check_may_start()
            dispatcher.record_start(session, self._index)
            yield from connection.write(self._request_bytes(connection), self._until)
            dispatcher.record_sent()
            response = yield from pool.read_response(connection, self._until)
            ending = yield from self._read_answer(connection, response)
            self._end(ending)
            yield from _read_body(connection, self._loop.now + RESPONSE_END_TIMEOUT_US)
            pool.release(self._server, connection)
            connection = None
        except ConnectionEnded as ended:
            ending = ended.ending
            if ending is Ending.MALFORMED:
                log_event(log, events.MALFORMED_RESPONSE, server=self._server.uid, reason=str(ended))
        except Exception:
            log_event(log, events.UNEXPECTED, where=f"a dispatch to backend server {self._server.uid}")
        finally:
            if connection is not None:
                pool.close(connection)
        self._end(ending)

    def _check_may_start(self) -> None:
        """Raises ConnectionEnded if this attempt may not start any more."""
        if not self._backend.dispatcher.may_start(self._session):
            raise ConnectionEnded(Ending.WITHDRAWN, "the client has left, or it is too late to start")

    def _request_bytes(self, connection: Connection) -> bytes:
        """Returns the request, with the time that is left to the client."""
        job: Job = self._session.job
        time_left = max(0, self._until - self._loop.now) / 1e6
        headers = [
            *job.headers,
            (b"Req-Deadline", b"%.3f" % time_left),
            (b"Content-Length", b"%d" % len(job.body)),
        ]
        request = h11.Request(method=job.method, target=job.target, headers=headers)
        return _serialize(connection, [request, h11.Data(data=job.body), h11.EndOfMessage()])

    def _read_answer(self, connection: Connection, response: h11.Response) -> Coroutine[Ending]:
        """Reads the server's answer and returns the ending that it states. Raises ConnectionEnded."""
        headers = dict(response.headers)
        load = headers.get(b"srv-load")
        if load:
            try:
                self._report = read_report(self._backend.report_positions, ujson.loads(load))
            except ValueError:
                raise ConnectionEnded(Ending.MALFORMED, f"Srv-Load is not JSON: {load[:80]!r}") from None
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
        lines = LineSplitter(MAX_LINE_BYTES)
        while True:
            event = yield from connection.next_event(self._until)
            if not isinstance(event, h11.Data):
                raise ConnectionEnded(Ending.BROKEN, "the response ended before its last line")
            for line in lines.feed(bytes(event.data)):
                ending = self._handle_line(line)
                if ending is not None:
                    return ending

    def _handle_line(self, line: bytes) -> Ending | None:
        """Handles a line about the job; returns the ending if it is the last line."""
        try:
            message = ujson.loads(line)
            state, job_id = message["state"], message["id"]
        except (ValueError, TypeError, KeyError):
            raise ConnectionEnded(Ending.MALFORMED, f"not a line about a job: {line[:80]!r}") from None
        if not isinstance(state, str):
            raise ConnectionEnded(Ending.MALFORMED, f"state is not a string: {line[:80]!r}")
        # Guards against sending a client the result of another request.
        if job_id != self._session.job.id:
            raise ConnectionEnded(
                Ending.MALFORMED, f"a line about {job_id!r} in the response to {self._session.job.id!r}"
            )
        dispatcher = self._backend.dispatcher
        if state == "started":
            dispatcher.note(self._session, self._server, self._index, None)
            return None
        if state == "running":
            share = message.get("share")
            valid = isinstance(share, (int, float)) and 0 <= share <= 1
            dispatcher.note(self._session, self._server, self._index, float(share) if valid else 0.0)
            return None
        if "load" in message:
            self._report = read_report(self._backend.report_positions, message["load"])
        if state == "done":
            result = message.get("result")
            if result is None:
                raise ConnectionEnded(Ending.MALFORMED, "state done without a result")
            try:
                self._result = (result if isinstance(result, str) else ujson.dumps(result)).encode()
            except (ValueError, OverflowError):  # half a surrogate pair, or a number outside JSON
                raise ConnectionEnded(Ending.MALFORMED, f"result cannot be encoded: {line[:80]!r}") from None
            return Ending.SERVED
        return FINAL_STATES.get(state)  # unknown states are ignored


FINAL_STATES = {"failed": Ending.FAILED, "returned": Ending.RETURNED, "lost": Ending.LOST}


def _serialize(connection: Connection, events: Iterable[Any]) -> bytes:
    """Returns the bytes of h11 events."""
    send: Callable[[Any], bytes | None] = connection.parser.send
    return b"".join(send(event) or b"" for event in events)


def _read_response(connection: Connection, until: int) -> Coroutine[h11.Response]:
    """Reads the head of the final response. Raises ConnectionEnded."""
    while True:
        event = yield from connection.next_event(until)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise ConnectionEnded(Ending.BROKEN, "closed before a response")


def _read_body(connection: Connection, until: int) -> Coroutine[bytes]:
    """Reads the body up to its end. Raises ConnectionEnded."""
    body = bytearray()
    while True:
        event = yield from connection.next_event(until)
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise ConnectionEnded(Ending.MALFORMED, "body over 64 KiB")
        elif isinstance(event, h11.EndOfMessage):
            return bytes(body)
        else:
            raise ConnectionEnded(Ending.BROKEN, "closed inside a response")
