"""The clients' side: sessions in HTTP, /healthz, and the final answers."""

from __future__ import annotations

import logging
import re
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import h11

from heronstall import interface as i
from heronstall.config import Config
from heronstall.net.backend import Job
from heronstall.net.connection import BODY_LIMIT, Connection, Ended, Ending, shut_writing
from heronstall.net.dispatcher import Answer, Dispatcher
from heronstall.net.loop import LEFT, READ, Coroutine, Loop, Task, sleep

BACKLOG = 1024
IDLE_TIME = 120_000_000  # a client's connection without a request
REQUEST_TIME = 10_000_000  # from a request's first byte to its last
WRITE_TIME = 10_000_000  # for a client to read its answer
LINGER_TIME = 1_000_000
ACCEPT_PAUSE = 20_000
DRAIN_TIME = 750_000  # clients find their way to the others meanwhile
PATH, HEALTH = b"/api", b"/healthz"
DEADLINE = re.compile(rb"[0-9]{1,7}(\.[0-9]*)?\Z")
# Framing and hop-by-hop headers are ours to set; everything else passes through.
OWN = frozenset(
    b"connection content-length transfer-encoding keep-alive te trailer upgrade proxy-connection expect"
    b" req-deadline".split()
)
TEXT = (b"Content-Type", b"text/plain; charset=utf-8")
REASON = {status.value: status.phrase.encode() for status in HTTPStatus}
log = logging.getLogger("heronstall.frontend")


class BadRequest(Exception):
    """Input that never reaches a backend server."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Frontend:
    """Accepts clients, reads their requests and gives each one final answer."""

    def __init__(
        self, config: Config, loop: Loop, dispatcher: Dispatcher, ready: Callable[[], bool], limit: int
    ) -> None:
        self._config, self._loop, self._dispatcher = config, loop, dispatcher
        self._ready, self._limit = ready, limit
        self._clients: dict[Connection, Task] = {}
        self._idle: dict[Connection, None] = {}  # those between requests, longest first
        self._draining = self._closing = False
        self._finished: Callable[[], None] = loop.stop
        host, port = config.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._listener = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, port))
        self._listener.listen(BACKLOG)
        self._accepting = loop.spawn(self._accept(), "accept")

    # ------------------------------------------------------------------ connections

    def _accept(self) -> Coroutine[None]:
        while True:
            if len(self._clients) >= self._limit and not self._idle:
                yield from sleep(self._loop.now + ACCEPT_PAUSE)  # the backlog holds them until one ends
                continue
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                yield self._listener.fileno(), READ, None
            except ConnectionAbortedError:
                continue
            except OSError as error:
                # Guards against spinning when descriptors run out (EMFILE): the backlog keeps the clients.
                log.warning("cannot accept: %s", error)
                self._close_idlest()
                yield from sleep(self._loop.now + ACCEPT_PAUSE)
            else:
                if len(self._clients) >= self._limit:
                    self._close_idlest()
                self._admit(sock)

    def _admit(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self._loop, sock, h11.SERVER)
        self._clients[connection] = self._loop.spawn(self._serve(connection), "session")

    def _close_idlest(self) -> bool:
        return any(self._close_if_idle(connection) for connection in list(self._idle))

    def _close_if_idle(self, connection: Connection) -> bool:
        if not connection.fresh():  # a request is there already, or the client's own close
            return False
        self._clients[connection].kill()
        return True

    def drain(self) -> None:
        """Stop in an orderly way: first as ever, then closing what idles, at last when all is answered."""
        if not self._draining:
            self._draining = True
            self._loop.at(self._loop.now + DRAIN_TIME, self._close_up)

    def _close_up(self) -> None:
        self._closing = True
        self._accepting.step(0)  # whoever the kernel has accepted gets an answer
        self._accepting.kill()
        self._loop.close(self._listener)
        for connection in list(self._idle):
            self._close_if_idle(connection)
        self._ended(None)

    def _ended(self, connection: Connection | None) -> None:
        if connection is not None:
            self._clients.pop(connection, None)
            self._idle.pop(connection, None)
            connection.close()
        if self._closing and not self._clients:
            self._loop.soon(self._finished)

    # ------------------------------------------------------------------ sessions

    def _serve(self, connection: Connection) -> Coroutine[None]:
        parser = connection.parser
        try:
            while True:
                if not len(connection.buffer) and not parser.trailing_data[0]:
                    self._idle[connection] = None
                    yield from connection.more(self._loop.now + IDLE_TIME)
                    self._idle.pop(connection, None)
                try:
                    read = yield from self._read(connection, self._loop.now + REQUEST_TIME)
                    if read is None:
                        return
                    yield from self._exchange(connection, *read)
                except BadRequest as bad:
                    yield from self._say(connection, bad.status, [TEXT], f"{bad}\n".encode())
                if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
                    yield from self._linger(connection)
                    return
                parser.start_next_cycle()
        except Ended:
            pass  # between requests, or the client has gone: nobody is left to tell
        finally:
            self._ended(connection)

    def _read(self, connection: Connection, until: int) -> Coroutine[tuple[h11.Request, bytes] | None]:
        """One whole request; None when the client has closed between requests."""
        request: h11.Request | None = None
        body = bytearray()
        try:
            while True:
                event = yield from connection.event(until)
                if isinstance(event, h11.Request):
                    request = event
                    length = dict(event.headers).get(b"content-length", b"0")
                    if len(length) > 9 or int(length) > BODY_LIMIT:
                        raise BadRequest(413, "body over 64 KiB")
                    if connection.parser.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        yield from connection.write(connection.parser.send(go_on) or b"", until)
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > BODY_LIMIT:
                        raise BadRequest(413, "body over 64 KiB")
                elif isinstance(event, h11.EndOfMessage) and request is not None:
                    return request, bytes(body)
                else:
                    return None
        except Ended as ended:
            if ended.ending is Ending.MALFORMED:
                raise BadRequest(400, f"malformed HTTP: {ended}") from None
            if ended.ending is Ending.TIMED_OUT:
                raise BadRequest(408, "the request did not come whole in time") from None
            raise

    def _exchange(self, connection: Connection, request: h11.Request, body: bytes) -> Coroutine[None]:
        path = request.target.partition(b"?")[0]
        if path == HEALTH:
            if request.method != b"GET":
                raise BadRequest(405, "GET only")
            good = self._ready() and not self._draining
            yield from self._say(
                connection, 200 if good else 503, [TEXT], b"ready\n" if good else b"not ready\n"
            )
            return
        if path != PATH:
            raise BadRequest(404, "no such path")
        if request.method != b"POST":
            raise BadRequest(405, "POST only")
        arrival, job = self._arrival(request, body)
        task = self._clients[connection]
        session = self._dispatcher.submit(arrival, job, task.wake)
        last = session.deadline + self._config.settings.answer_grace
        got: Any = 0
        try:
            got = yield connection.sock.fileno(), LEFT, last
        finally:
            if not isinstance(got, Answer):
                self._dispatcher.client_gone(session)
        if isinstance(got, Answer):
            yield from self._give(connection, got)
        elif got:
            raise Ended(Ending.CLOSED)
        else:
            log.error("session %s had no answer by its deadline", job.id)
            yield from self._give(connection, Answer("failed"))

    def _arrival(self, request: h11.Request, body: bytes) -> tuple[i.Arrival, Job]:
        headers = dict(request.headers)
        config = self._config
        cls = config.classes.get(headers.get(b"req-kind", b"").decode("latin-1"))
        if cls is None:
            raise BadRequest(400, "Req-Kind: no known class")
        deadline = headers.get(b"req-deadline", b"")
        if not DEADLINE.match(deadline):
            raise BadRequest(400, "Req-Deadline: seconds are wanted")
        name = headers.get(b"req-id", b"")
        if not name:
            raise BadRequest(400, "Req-Id: missing")
        if config.settings.classes[cls].effect == "keyed" and not headers.get(b"idempotency-key"):
            raise BadRequest(400, "Idempotency-Key: missing, and the class is keyed")
        extra = dict(part.partition(b"=")[::2] for part in headers.get(b"req-extra", b"").split(b","))
        cookies = (part.strip().partition(b"=") for part in headers.get(b"cookie", b"").split(b";"))
        key = next((value.decode("latin-1") for crumb, _, value in cookies if crumb == b"obj"), None)
        arrival = i.Arrival(
            request=0,
            cls=cls,
            time_left=int(float(deadline) * 1e6),
            tenant=config.tenants.get(headers.get(b"req-owner", b"").decode("latin-1"), -1),
            key=key,
            work=int(_figure(headers.get(b"req-cost"), 0.0)) or None,
            slots=_figure(extra.get(b"slots"), 0.0) or 1.0,
            memory=_figure(extra.get(b"memory"), 0.0),
            retry=headers.get(b"req-retry") == b"1",
        )
        passed = [(field, value) for field, value in request.headers.raw_items() if field.lower() not in OWN]
        return arrival, Job(name.decode("latin-1"), request.method, request.target, passed, body)

    # ------------------------------------------------------------------ answers

    def _give(self, connection: Connection, answer: Answer) -> Coroutine[None]:
        if answer.kind == "served":
            yield from self._say(connection, 200, [TEXT], answer.body)
        elif answer.kind == "refused":
            wait = [(b"Retry-After", b"%.3f" % (answer.retry_after / 1e6))] if answer.retry_after else []
            yield from self._say(connection, 503, [TEXT, *wait], b"refused\n")
        else:
            yield from self._say(connection, 500, [TEXT], b"failed\n")

    def _say(
        self, connection: Connection, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> Coroutine[None]:
        parser = connection.parser
        if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            raise Ended(Ending.CLOSED)
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        if self._closing or parser.their_state not in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            headers.append((b"Connection", b"close"))
        data = parser.send(h11.Response(status_code=status, headers=headers, reason=REASON[status])) or b""
        data += (parser.send(h11.Data(data=body)) or b"") + (parser.send(h11.EndOfMessage()) or b"")
        yield from connection.write(data, self._loop.now + WRITE_TIME)

    def _linger(self, connection: Connection) -> Coroutine[None]:
        """Read on for a moment after a last answer.

        Guards against a reset that overtakes the answer: closing with bytes unread would send one.
        """
        shut_writing(connection.sock)
        until, room = self._loop.now + LINGER_TIME, bytearray(16 * 1024)
        while True:
            try:
                if not connection.sock.recv_into(room):
                    return
            except BlockingIOError:
                if not (yield connection.sock.fileno(), READ, until):
                    return
            except OSError:
                return
            if self._loop.now >= until:
                return


def _figure(text: bytes | None, default: float) -> float:
    """A figure that is only a help: what is not one counts as absent."""
    return float(text) if text is not None and DEADLINE.match(text) else default
