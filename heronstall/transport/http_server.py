"""The HTTP server of the tier's programs, which can shut down without truncating a response.

Whether a response is still due is derived from the open connections alone. A count of running request
handlers would miss a request whose bytes have been read, or lie in the socket, before its handler starts.

What all connections hold together is limited. Where it is too much, requests that are still being received
are refused, then connections closed whose clients read nothing or have no request under way.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import structlog
from aiohttp import web

from heronstall.background_tasks import BackgroundTasks
from heronstall.transport.connection_limits import RequestLimits, ServerLimits
from heronstall.transport.http_connection import MAX_LINE_BYTES, HttpConnection, RequestRefused, refusal
from heronstall.transport.open_connections import OpenConnections

BACKLOG = 1024  # connections waiting to be accepted
ACCEPTS_PER_TURN = 16  # connections accepted before those accepted earlier are read
ACCEPT_RETRY_DELAY = 0.02  # seconds until accepting is tried again where there is no room
RECEIVE_BUFFER_BYTES = 64 * 1024  # of a connection, in the system: what may wait unread
LINGERING_TIME = 1.0  # seconds for which the rest of a request is discarded after an early response
DRAIN_POLL_INTERVAL = 0.02  # seconds between checks for idle connections during shutdown
SWEEP_INTERVAL = 1.0  # seconds between checks for clients that take too long

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

log = structlog.get_logger()


class _ConnectionFactory(web.Server):
    """Creates HttpConnection objects for accepted sockets."""

    def __call__(self) -> web.RequestHandler:
        return HttpConnection(self, loop=self._loop, **self._kwargs)


class HttpServer:
    """Serves HTTP on one address. `options` are passed to aiohttp for each connection.

    `request_limits` are looked up for each request; `body_limit` returns the largest body for a path, where
    it is not that of the request limits.
    """

    def __init__(
        self,
        handle: Handler,
        limits: ServerLimits,
        request_limits: Callable[[], RequestLimits] = RequestLimits,
        body_limit: Callable[[str], int] | None = None,
        **options: Any,
    ) -> None:
        self.draining = False  # while set, a connection is closed after its next response
        self.open_connections: OpenConnections[HttpConnection] = OpenConnections(limits.received_bytes)
        self.request_limits = request_limits
        self._limits, self._handle_request, self._body_limit = limits, handle, body_limit
        self._blocked: dict[HttpConnection, None] = {}  # their clients do not read; the longest first
        self._server = _ConnectionFactory(
            self._handle,
            request_factory=self._create_request,
            access_log=None,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            lingering_time=LINGERING_TIME,
            auto_decompress=False,  # bodies are passed on as they are, and limits are of what was sent
            owner=self,
            **options,
        )
        self._listener: socket.socket | None = None
        self._starting: set[asyncio.Task[Any]] = set()  # accepted sockets without a connection yet
        self._background = BackgroundTasks()

    @property
    def connections(self) -> list[HttpConnection]:
        """The open connections, including those with response bytes still to be sent."""
        return [c for c in self._server.connections if isinstance(c, HttpConnection)]

    async def listen(self, address: str) -> None:
        """Starts to accept connections."""
        host, _, port = address.rpartition(":")
        self._listener = listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)  # of its connections
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        self._resume_accepting()
        self._background.start("close overdue connections", self._sweep)

    def closes_connection_after(self, request: web.BaseRequest) -> bool:
        """Whether a connection is to be closed after a response that starts now."""
        connection = request.protocol
        return self.draining and not (
            isinstance(connection, HttpConnection) and connection.has_queued_request
        )

    async def drain(self, deadline: float) -> None:
        """Stops accepting connections and returns when all are closed, or at the deadline (steady time).

        Idle connections are closed at once, all others after their responses are sent.
        """
        self.draining = True
        await self._stop_listening()
        while self.connections and time.monotonic() < deadline:
            for connection in self.connections:
                connection.close_if_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL)

    # ------------------------------------------------------------------ limits of all connections

    def refuse_excess(self) -> None:
        """Refuses requests that are being received until the others fit."""
        while (connection := self.open_connections.next_to_refuse()) is not None:
            connection.refuse()

    def connection_blocked(self, connection: HttpConnection) -> None:
        """Aborts the connections blocked longest if clients leave too much unread."""
        self._blocked[connection] = None
        unsent = sum(blocked.unsent_bytes for blocked in self._blocked)
        while unsent > self._limits.unsent_bytes and len(self._blocked) > 1:
            longest = next(iter(self._blocked))
            unsent -= longest.unsent_bytes
            del self._blocked[longest]
            longest.abort()

    def connection_unblocked(self, connection: HttpConnection) -> None:
        """Notes that a client has read on, or has gone."""
        self._blocked.pop(connection, None)

    def _make_room(self) -> bool:
        """Closes the least useful connection. Returns False if there is none that may be closed."""
        for connection in self.open_connections.candidates_to_close():
            if not connection.has_unread_bytes:
                self.open_connections.remove(connection)
                connection.abort()
                return True
        return False

    async def _sweep(self) -> None:
        """Closes connections whose clients take longer than the request limits allow."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            limits = self.request_limits()
            for connection in self.connections:
                connection.close_if_overdue(limits, SWEEP_INTERVAL)

    # ------------------------------------------------------------------ accepting

    def _resume_accepting(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().add_reader(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        """Accepts some of the connections that wait."""
        assert self._listener is not None
        for turn in range(ACCEPTS_PER_TURN):
            if len(self.open_connections) + len(self._starting) >= self._limits.connections:
                if turn:
                    return  # it is not known whether another client waits
                if not self._make_room():
                    self._pause_accepting()
                    return
            try:
                accepted, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # no descriptor or memory
                log.warning("accept failed", why=str(error))
                self._make_room()
                self._pause_accepting()
                return
            self._start_connection(accepted)

    def _pause_accepting(self) -> None:
        """Leaves clients in the backlog for a moment."""
        assert self._listener is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener.fileno())
        loop.call_later(ACCEPT_RETRY_DELAY, self._resume_accepting)

    def _start_connection(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        loop = asyncio.get_running_loop()
        starting = loop.create_task(loop.connect_accepted_socket(self._server, accepted))
        self._starting.add(starting)
        starting.add_done_callback(self._connection_started)

    def _connection_started(self, starting: asyncio.Task[Any]) -> None:
        self._starting.discard(starting)
        if not starting.cancelled() and starting.exception() is not None:
            log.warning("accept failed", why=str(starting.exception()))

    async def _stop_listening(self) -> None:
        """Closes the listener after every accepted socket became a registered connection."""
        listener, self._listener = self._listener, None
        self._background.cancel()
        if listener is None:
            return
        asyncio.get_running_loop().remove_reader(listener.fileno())
        await asyncio.gather(*self._starting, return_exceptions=True)
        listener.close()

    # ------------------------------------------------------------------ requests

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, HttpConnection)
        try:
            if connection.refused:
                raise RequestRefused
            connection.handler_begins(request)
            response = await self._handle_request(request)
        except RequestRefused:
            response = refusal()
        finally:
            connection.handler_returned(request)
        if not response.prepared and self.closes_connection_after(request):
            response.force_close()
        return response

    def _create_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        limit = self._body_limit(message.path) if self._body_limit else self.request_limits().body_bytes
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=limit)
