"""The HTTP frontend: clients' connections and requests, /healthz, and the final answers."""

from __future__ import annotations

import contextlib
import logging
import socket
from collections.abc import Callable
from http import HTTPStatus
from itertools import islice
from typing import Any

import h11

from heronstall import events
from heronstall import interface as i
from heronstall.config import Config
from heronstall.events import log_event
from heronstall.net.backend import Job
from heronstall.net.client_request import BadRequest, RequestParser, check_framing, make_job
from heronstall.net.connection import (
    MAX_BODY_BYTES,
    Connection,
    ConnectionEnded,
    Ending,
    listen,
    shutdown_write,
)
from heronstall.net.dispatcher import Answer, Dispatcher
from heronstall.net.loop import READ, REMOTE_CLOSED, Coroutine, Loop, Task, sleep
from heronstall.net.shutdown import GracefulShutdown, Stage

BACKLOG = 1024
IDLE_TIMEOUT_US = 120_000_000  # of a client's connection without a request
# From the first to the last byte of a request, and for a connection that has not sent a usable request yet. A
# usual client writes a request in one piece. For an unreadable request an error or a close is due within 3 s.
REQUEST_TIMEOUT_US = 2_000_000
WRITE_TIMEOUT_US = 10_000_000  # for a client to read its answer
LINGER_TIME_US = 1_000_000  # of reading on after a last answer
ACCEPT_RETRY_DELAY_US = 20_000
MAX_ACCEPTS_PER_TURN = 16  # so that a flood of new connections does not delay the requests of existing ones
REQUEST_COST_BYTES = 4096  # the work for one request, charged to its connection's limit per turn
# The bodies of all incomplete and unanswered requests may use a third of the memory that the program does not
# need for itself.
PROCESS_MEMORY_BYTES, BODY_MEMORY_DIVISOR = 20 * 1024 * 1024, 3
EVICTION_CANDIDATES = 8  # connections examined to find one to close
HANDOVER_INTERVAL_US = 10_000  # between checks for connections that can be handed over
# Ids of the latest requests, and how many of them the successor receives.
MAX_REMEMBERED_IDS, MAX_HANDED_OVER_IDS = 8192, 1024
DISCARD_BUFFER = bytearray(64 * 1024)  # receives data that is thrown away
MAX_DISCARD_READS = 4  # buffers read before a connection is closed without waiting
ACCEPT_GRACE_US = 750_000  # after closing has begun, until new connections are not accepted any more
MIN_DRAIN_IDLE_US = 300_000  # idle time after which a drain may close a connection
# SIGKILL follows SIGTERM no sooner than after the longest deadline (at most 3 s of it) and 0.7 s. A request
# that arrives later than 0.7 s after SIGTERM and has no answer then is lost, so late requests are answered
# before the kill.
KILL_MARGIN_US, MAX_KILL_DEADLINE_US = 700_000, 3_000_000
LATE_AFTER_US, ANSWER_BEFORE_KILL_US = 600_000, 200_000
PLAIN_TEXT = (b"Content-Type", b"text/plain; charset=utf-8")
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
log = logging.getLogger("heronstall.frontend")


ParsedRequest = tuple[h11.Request, "i.Arrival | None", bytes]


class Frontend:
    """Accepts clients, reads their requests and sends one final answer to each."""

    def __init__(
        self,
        config: Config,
        loop: Loop,
        dispatcher: Dispatcher,
        ready: Callable[[], bool],
        limit: int,
        shutdown: GracefulShutdown,
        listener: socket.socket | None = None,
    ) -> None:
        self._config, self._loop, self._dispatcher = config, loop, dispatcher
        self._requests = RequestParser(config)
        self._ready, self._shutdown = ready, shutdown
        shutdown.close_idle, shutdown.close_all = self._close_idle, self._begin_closing
        self._clients: dict[Connection, Task] = {}
        # In the order in which they are closed to make room, each from the longest waiting: connections that
        # have got their last answer; connections that have never sent a usable request, have sent a part of a
        # request, or had an error last; connections between requests.
        self._lingering: dict[Connection, None] = {}
        self._unproven: dict[Connection, None] = {}
        self._idle: dict[Connection, None] = {}
        self._body_bytes: dict[Connection, int] = {}  # held for each connection
        self._total_body_bytes = 0
        self.set_limits(limit, False)
        self._ids: dict[bytes, None] = {}  # of the latest requests, to reject repeated ids
        self._closing = self._accepting_ended = False
        longest = max(c.deadline for c in config.settings.classes)
        # From a signal to shortly before the SIGKILL that may follow it.
        self._answer_within = min(longest, MAX_KILL_DEADLINE_US) + KILL_MARGIN_US - ANSWER_BEFORE_KILL_US
        self._accept_until = 0  # while closing: when new connections are not accepted any more
        self._on_finished: Callable[[], None] = loop.stop
        # While clients are handed over: passes a connection to the successor.
        self._pass_on: Callable[[socket.socket, bool], bool] | None = None
        # With reuse_port a replacement can listen even if no process hands its listener over.
        self._listener = listener or listen(config.listen, BACKLOG, reuse_port=config.operator is not None)
        self._listener.setblocking(False)
        self._accepting = loop.spawn(self._accept(), "accept")

    # ------------------------------------------------------------------ connections

    def _accept(self) -> Coroutine[None]:
        """Accepts connections until the frontend closes."""
        accepted = 0  # in this turn of the event loop
        while not self._accept_until or self._loop.now < self._accept_until:
            full = len(self._clients) > self._limit
            # New connections are read before any of them is closed to make room.
            if accepted and (full or accepted >= MAX_ACCEPTS_PER_TURN):
                accepted = 0
                yield from sleep(self._loop.now + 1)
                continue
            if full and not self._make_room():
                # The backlog holds new clients until a connection ends.
                yield from sleep(self._loop.now + ACCEPT_RETRY_DELAY_US)
                continue
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                if self._closing:
                    break  # all clients in the backlog have been accepted
                accepted = 0
                yield self._listener.fileno(), READ, None
            except ConnectionAbortedError:
                continue
            except OSError as error:
                # Guards against a busy loop without free descriptors (EMFILE): the backlog holds the clients.
                log_event(log, events.ACCEPT_FAILED, reason=str(error))
                self._make_room()
                yield from sleep(self._loop.now + ACCEPT_RETRY_DELAY_US)
            else:
                accepted += 1
                self.adopt(sock)
        self._loop.close(self._listener)
        self._accepting_ended = True
        self._end_connection(None)

    def set_limits(self, limit: int, shared: bool) -> None:
        """Sets the maximum number of connections; `shared` if two processes share the memory for bodies."""
        self._limit = limit
        free = (
            (self._config.memory - 2 * PROCESS_MEMORY_BYTES) // 2
            if shared
            else self._config.memory - PROCESS_MEMORY_BYTES
        )
        self._max_total_body_bytes = max(2 * MAX_BODY_BYTES, free // BODY_MEMORY_DIVISOR)

    def adopt(self, sock: socket.socket, proven: bool = False) -> None:
        """Serves a client's connection: a new one, or an idle one from the previous process."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self._loop, sock, h11.SERVER)
        self._clients[connection] = self._loop.spawn(self._serve(connection, proven), "session")

    # ------------------------------------------------------------------ handover to a successor

    @property
    def listener(self) -> socket.socket:
        """The socket to which clients connect."""
        return self._listener

    def remember_ids(self, ids: list[str]) -> None:
        """Remembers ids of jobs that another process has received."""
        for job_id in ids:
            self._remember(job_id.encode("latin-1", "replace"))

    def recent_ids(self) -> list[str]:
        """Returns the ids of the latest jobs, the newest last."""
        return [job_id.decode("latin-1") for job_id in islice(reversed(self._ids), MAX_HANDED_OVER_IDS)][::-1]

    def hand_over(self, pass_on: Callable[[socket.socket, bool], bool]) -> None:
        """Leaves new clients to the successor, and existing connections as soon as they are idle."""
        self._pass_on = pass_on
        self._accepting.kill()
        self._accepting_ended = True
        self._hand_over_idle()
        self._end_connection(None)

    def resume(self, alone: bool) -> None:
        """Ends the handover after the successor has gone; accepts new clients if no other process does."""
        if self._pass_on is not None:
            self._pass_on = None
            if alone:
                self._accepting_ended = False
                self._accepting = self._loop.spawn(self._accept(), "accept")

    def _hand_over_idle(self) -> None:
        """Hands over idle connections, repeatedly: the successor's queue takes a few hundred at a time.

        This goes on to the end, since a connection that is rejected after its answer is idle from then on.
        """
        if self._pass_on is None:
            return
        for row in (self._idle, self._unproven):
            for connection in list(row):
                if self._hand_over_connection(connection, row is self._idle):
                    self._clients[connection].kill()
        self._loop.at(self._loop.now + HANDOVER_INTERVAL_US, self._hand_over_idle)

    def _hand_over_connection(self, connection: Connection, proven: bool) -> bool:
        """Hands a connection without a partial request to the successor; returns whether that succeeded."""
        if self._pass_on is None:
            return False
        return _is_between_requests(connection) and self._pass_on(connection.sock, proven)

    def _make_room(self) -> bool:
        """Closes the least useful connection; returns False if there is none.

        Guards the usual clients: connections without requests, or with requests that are never completed,
        must not keep other clients waiting in the backlog, nor take the place of their connections.
        """
        for connection in self._lingering:
            _discard_received(connection.sock)  # a reset would overtake an answer that is still being sent
            self._clients[connection].kill()
            return True
        for row in (self._unproven, self._idle):
            for connection in list(islice(row, EVICTION_CANDIDATES)):
                if connection.is_quiet():  # otherwise a request has arrived, or the client has closed
                    self._clients[connection].kill()
                    return True
        return False

    def _close_if_idle(self, connection: Connection) -> None:
        """Closes a connection between requests; a request that has begun to arrive is answered first.

        The connection ends as after a timeout, so that a request which crosses the close is read and
        discarded, and its client sends it again.
        """
        if _is_between_requests(connection) and connection.is_quiet():
            self._clients[connection].wake(0)

    def _close_idle(self) -> None:
        """Closes connections that have been idle for a while; new ones may be about to send a request."""
        for connection in [*self._idle, *self._unproven]:
            if self._loop.now - connection.idle_since >= MIN_DRAIN_IDLE_US:
                self._close_if_idle(connection)

    def _begin_closing(self) -> None:
        """Closes idle connections, and stops accepting new ones after a while."""
        self._closing = True
        self._accept_until = self._loop.now + ACCEPT_GRACE_US
        for connection in [*self._idle, *self._unproven]:
            self._close_if_idle(connection)
        self._accepting.step(0)

    def _end_connection(self, connection: Connection | None) -> None:
        """Closes a connection, if one is given; once accepting has ended, reports the end of the last one."""
        if connection is not None:
            for row in (self._clients, self._lingering, self._unproven, self._idle):
                row.pop(connection, None)
            self._release_body(connection)
            connection.close()
        if self._accepting_ended and not self._clients:
            self._loop.soon(self._on_finished)

    # ------------------------------------------------------------------ sessions

    def _serve(self, connection: Connection, proven: bool) -> Coroutine[None]:
        """Serves a connection until it ends; `proven` if its last request for backend servers was usable."""
        parser = connection.parser
        until = self._loop.now + REQUEST_TIMEOUT_US  # for an unproven connection, with or without data
        try:
            while True:
                connection.charge(REQUEST_COST_BYTES)
                yield from connection.throttle()
                if not len(connection.buffer) and not parser.trailing_data[0]:
                    if self._hand_over_connection(connection, proven):
                        return
                    row = self._idle if proven else self._unproven
                    row[connection] = None
                    connection.idle_since = self._loop.now
                    # `_begin_closing` did not close a connection that becomes idle only now.
                    may_idle = proven and not self._closing
                    yield from connection.receive(self._loop.now + IDLE_TIMEOUT_US if may_idle else until)
                    row.pop(connection, None)
                if proven:
                    until = self._loop.now + REQUEST_TIMEOUT_US
                self._unproven[connection] = None
                try:
                    request = yield from self._read_request(connection, until)
                    if request is None:
                        return
                    self._unproven.pop(connection, None)
                    proven = (yield from self._answer_request(connection, *request)) or proven
                except BadRequest as error:
                    self._release_body(connection)
                    proven, until = False, self._loop.now + REQUEST_TIMEOUT_US
                    self._unproven[connection] = None
                    yield from self._send_response(
                        connection, error.status, [PLAIN_TEXT], f"{error}\n".encode()
                    )
                self._release_body(connection)
                if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
                    yield from self._linger(connection)
                    return
                parser.start_next_cycle()
        except ConnectionEnded as ended:
            if ended.ending is Ending.TIMED_OUT:  # between requests
                yield from self._linger(connection)
            # Otherwise the client has gone, and no answer can be sent.
        finally:
            self._end_connection(connection)

    def _read_request(self, connection: Connection, until: int) -> Coroutine[ParsedRequest | None]:
        """Reads a complete request; None if the client closes between requests. Raises BadRequest."""
        request: h11.Request | None = None
        arrival: i.Arrival | None = None
        head_error: BadRequest | None = None
        body, size = bytearray(), 0
        try:
            while True:
                event = yield from connection.next_event(until)
                if isinstance(event, h11.Request):
                    request = event
                    check_framing(connection.raw_head, event)
                    try:
                        arrival = self._requests.parse(event)
                    except BadRequest as error:
                        head_error = error
                    if connection.parser.they_are_waiting_for_100_continue:
                        if head_error is not None:
                            raise head_error
                        response = h11.InformationalResponse(status_code=100, headers=[])
                        yield from connection.write(connection.parser.send(response) or b"", until)
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    if size > MAX_BODY_BYTES:
                        raise BadRequest(413, "body over 64 KiB")
                    # An error in the head is answered after the body, so that the connection can stay open: a
                    # client that repeats a bad request costs less than with a new connection each time.
                    if head_error is None:
                        self._charge_body(connection, len(event.data))
                        body += event.data
                elif isinstance(event, h11.EndOfMessage) and request is not None:
                    if head_error is not None:
                        raise head_error
                    return request, arrival, bytes(body)
                else:
                    return None
        except ConnectionEnded as ended:
            if ended.ending is Ending.MALFORMED:
                raise BadRequest(400, f"malformed HTTP: {ended}") from None
            if ended.ending is Ending.TIMED_OUT:
                raise BadRequest(408, "the request did not come whole in time") from None
            raise

    def _charge_body(self, connection: Connection, size: int) -> None:
        """Counts received bytes of a body. Raises BadRequest for a large body if all together are too large.

        Guards the memory limit, above which the program is killed. Bodies within an even share always pass,
        so that a few large bodies, or many incomplete ones, cannot keep other requests out.
        """
        self._total_body_bytes += size
        received = self._body_bytes[connection] = self._body_bytes.get(connection, 0) + size
        if (
            self._total_body_bytes > self._max_total_body_bytes
            and received > self._max_total_body_bytes // self._limit
        ):
            raise BadRequest(413, "no room for so large a body now")

    def _release_body(self, connection: Connection) -> None:
        """Stops counting the body of a connection's request."""
        self._total_body_bytes -= self._body_bytes.pop(connection, 0)

    def _answer_request(
        self, connection: Connection, request: h11.Request, arrival: i.Arrival | None, body: bytes
    ) -> Coroutine[bool]:
        """Answers a complete request; returns whether it was one for the backend servers."""
        if arrival is None:
            healthy = self._ready() and not self._shutdown.unavailable
            yield from self._send_response(
                connection, 200 if healthy else 503, [PLAIN_TEXT], b"ready\n" if healthy else b"not ready\n"
            )
            return False
        job = self._make_job(request, body)
        task = self._clients[connection]
        session = self._dispatcher.submit(arrival, job, task.wake)
        session.client_left = connection.remote_closed
        answer_by = session.deadline + self._config.settings.answer_grace
        shutdown = self._shutdown
        late = shutdown.stage is Stage.STOPPING and self._loop.now - shutdown.signalled_at >= LATE_AFTER_US
        if late:
            answer_by = min(answer_by, shutdown.signalled_at + self._answer_within)
        result: Any = 0
        try:
            result = yield connection.sock.fileno(), REMOTE_CLOSED, answer_by
        finally:
            if not isinstance(result, Answer):
                self._dispatcher.client_gone(session)
        if isinstance(result, Answer):
            yield from self._send_answer(connection, result)
        elif result:
            raise ConnectionEnded(Ending.CLOSED)
        else:
            if late:
                log_event(log, events.REQUEST_LATE_IN_DRAIN, request=job.id)
            else:
                log_event(log, events.REQUEST_UNANSWERED, request=job.id)
            never_run = self._dispatcher.was_never_run(session)
            yield from self._send_answer(connection, Answer("refused" if never_run else "failed"))
        return True

    def _make_job(self, request: h11.Request, body: bytes) -> Job:
        """Returns the job to forward. Raises BadRequest if another request had the same id.

        Guards against a second copy: to backend servers, requests with the same id are the same request.
        """
        job = make_job(request, body)
        job_id = job.id.encode("latin-1")
        if job_id in self._ids:
            raise BadRequest(400, "Req-Id: another request has it")
        self._remember(job_id)
        return job

    def _remember(self, job_id: bytes) -> None:
        self._ids[job_id] = None
        if len(self._ids) > MAX_REMEMBERED_IDS:
            del self._ids[next(iter(self._ids))]

    # ------------------------------------------------------------------ answers

    def _send_answer(self, connection: Connection, answer: Answer) -> Coroutine[None]:
        """Sends the final answer to a session."""
        if answer.kind == "served":
            yield from self._send_response(connection, 200, [PLAIN_TEXT], answer.body)
        elif answer.kind == "refused":
            retry_after = (
                [(b"Retry-After", b"%.3f" % (answer.retry_after / 1e6))] if answer.retry_after else []
            )
            yield from self._send_response(connection, 503, [PLAIN_TEXT, *retry_after], b"refused\n")
        elif answer.kind == "unusable":
            yield from self._send_response(
                connection, 400, [PLAIN_TEXT], b"no backend server can use this request\n"
            )
        else:
            yield from self._send_response(connection, 500, [PLAIN_TEXT], b"failed\n")

    def _send_response(
        self, connection: Connection, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> Coroutine[None]:
        """Sends a response. Raises ConnectionEnded."""
        parser = connection.parser
        if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            raise ConnectionEnded(Ending.CLOSED)
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        if self._closes_after_answer(connection) or parser.their_state not in (
            h11.DONE,
            h11.MUST_CLOSE,
            h11.CLOSED,
        ):
            headers.append((b"Connection", b"close"))
        data = (
            parser.send(h11.Response(status_code=status, headers=headers, reason=REASON_PHRASES[status]))
            or b""
        )
        data += (parser.send(h11.Data(data=body)) or b"") + (parser.send(h11.EndOfMessage()) or b"")
        yield from connection.write(data, self._loop.now + WRITE_TIMEOUT_US)

    def _closes_after_answer(self, connection: Connection) -> bool:
        """Returns whether an answer ends its connection: in a shutdown, if no further request has arrived.

        Guards pipelined requests, which would be lost with the connection.
        """
        shutdown = self._shutdown
        if not shutdown.closing_connections or self._pass_on is not None:
            return False
        time_over = (
            shutdown.stage is Stage.STOPPING and self._loop.now - shutdown.signalled_at >= self._answer_within
        )
        return time_over or (not connection.parser.trailing_data[0] and connection.is_quiet())

    def _linger(self, connection: Connection) -> Coroutine[None]:
        """Reads and discards data for a while after the last answer.

        Guards the answer against a reset that overtakes it: closing a socket with unread data sends a reset.
        """
        shutdown_write(connection.sock)
        for row in (self._unproven, self._idle):
            row.pop(connection, None)
        self._lingering[connection] = None
        until = self._loop.now + LINGER_TIME_US
        while self._loop.now < until:
            try:
                received = connection.sock.recv_into(DISCARD_BUFFER)
            except BlockingIOError:
                yield connection.sock.fileno(), READ, until
            except OSError:
                return
            else:
                if not received:
                    return
                connection.charge(received // 4)  # discarding bytes is less work than parsing them
                yield from connection.throttle()


def _is_between_requests(connection: Connection) -> bool:
    """Returns whether no part of a request has been read."""
    parser = connection.parser
    return parser.their_state is h11.IDLE and not parser.trailing_data[0] and not len(connection.buffer)


def _discard_received(sock: socket.socket) -> None:
    """Discards unread data, up to a limit."""
    with contextlib.suppress(OSError):
        for _ in range(MAX_DISCARD_READS):
            if not sock.recv_into(DISCARD_BUFFER):
                return
