"""The HTTP server of the tier's programs, which can shut down without truncating a response.

Whether a response is still due is derived from the open connections alone. A count of running request
handlers would miss a request whose bytes have been read, or lie in the socket, before its handler starts.
"""

from __future__ import annotations

import asyncio
import select
import time
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

MAX_LINE_BYTES = 65536  # of one line of a request head
BACKLOG = 1024  # connections waiting to be accepted
ACCEPT_LOOP_ITERATIONS = 3  # event loop iterations from an accepted socket to its registered connection
REQUEST_HEAD_TIMEOUT = 3.0  # seconds allowed for the rest of a request head during shutdown
DRAIN_POLL_INTERVAL = 0.02  # seconds between checks for idle connections during shutdown

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpConnection(web.RequestHandler):
    """A client connection that knows whether a response is still due on it."""

    def __init__(self, manager: web.Server, *, loop: asyncio.AbstractEventLoop, **options: Any) -> None:
        super().__init__(manager, loop=loop, **options)
        self.last_active_at = time.monotonic()  # of the last response, or of the connection's start
        self._partial_head_since: float | None = None  # steady time of receiving a partial request head

    def data_received(self, data: bytes) -> None:
        """Handles received bytes and records whether they leave a request head incomplete."""
        awaited_request, queued_requests = self.awaits_request, len(self._messages)
        super().data_received(data)
        if not awaited_request or len(self._messages) > queued_requests:
            self._partial_head_since = None
        elif data and self._partial_head_since is None:
            self._partial_head_since = time.monotonic()

    @property
    def awaits_request(self) -> bool:
        """Whether no complete request head was received since the last response.

        aiohttp has no public attribute for this.
        """
        return self._waiter is not None and not self._waiter.done()

    @property
    def has_queued_request(self) -> bool:
        """Whether a request was read that is queued behind the current one."""
        return bool(self._messages)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being handled, being received, or unread in the socket."""
        head_incoming = (
            self._partial_head_since is not None
            and time.monotonic() - self._partial_head_since < REQUEST_HEAD_TIMEOUT
        )
        return self.awaits_request and not head_incoming and not self._has_unread_bytes

    @property
    def _has_unread_bytes(self) -> bool:
        if self.transport is None:
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def close_if_idle(self) -> bool:
        """Closes the connection if it is idle. Returns whether it was closed."""
        is_idle = self.is_idle
        if is_idle:
            self.force_close()  # close() would discard further input and leave the connection open
        return is_idle


class _ConnectionFactory(web.Server):
    """Creates HttpConnection objects for accepted sockets."""

    def __call__(self) -> web.RequestHandler:
        return HttpConnection(self, loop=self._loop, **self._kwargs)


class HttpServer:
    """Serves HTTP on one address. `options` are passed to aiohttp for each connection."""

    def __init__(self, handle: Handler, body_limit: Callable[[], int], **options: Any) -> None:
        self.draining = False  # while set, a connection is closed after its next response
        self._handle_request, self._body_limit = handle, body_limit
        self._server = _ConnectionFactory(
            self._handle,
            request_factory=self._create_request,
            access_log=None,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            **options,
        )
        self._listener: asyncio.Server | None = None

    @property
    def connections(self) -> list[HttpConnection]:
        """The open connections, including those with response bytes still to be sent."""
        return [c for c in self._server.connections if isinstance(c, HttpConnection)]

    async def listen(self, address: str) -> None:
        """Starts to accept connections."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host, int(port), reuse_address=True, backlog=BACKLOG
        )

    def closes_connection_after(self, request: web.BaseRequest) -> bool:
        """Whether a connection is to be closed after a response that starts now."""
        connection = request.protocol
        return self.draining and not (
            isinstance(connection, HttpConnection) and connection.has_queued_request
        )

    def close_idle_connections(self, seconds: float) -> None:
        """Closes connections that received no complete request head for the given time."""
        now = time.monotonic()
        for connection in self.connections:
            if (
                now - connection.last_active_at > seconds
                and connection.awaits_request
                and not connection._has_unread_bytes
            ):
                connection.force_close()

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

    async def _stop_listening(self) -> None:
        """Closes the listener after every accepted socket became a registered connection."""
        if self._listener is None:
            return
        loop = asyncio.get_running_loop()
        for listening in self._listener.sockets:
            loop.remove_reader(listening.fileno())
        for _ in range(ACCEPT_LOOP_ITERATIONS):
            await asyncio.sleep(0)
        self._listener.close()
        self._listener = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            response = await self._handle_request(request)
        finally:
            if isinstance(request.protocol, HttpConnection):
                request.protocol.last_active_at = time.monotonic()
        if not response.prepared and self.closes_connection_after(request):
            response.force_close()
        return response

    def _create_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        limit = self._body_limit()
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=limit)
