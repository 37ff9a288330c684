"""The HTTP server of the tier's programs, which can shut down without truncating a response.

Whether a response is still due is derived from the open connections alone. A count of running request
handlers would miss a request whose bytes have been read, or lie in the socket, before its handler starts.

What all connections hold together is limited. Where it is too much, requests that are still being received
are refused.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from heronstall.transport.connection_limits import RequestLimits, ServerLimits
from heronstall.transport.http_connection import MAX_LINE_BYTES, HttpConnection, RequestRefused, refusal
from heronstall.transport.open_connections import OpenConnections

BACKLOG = 1024  # connections waiting to be accepted
ACCEPT_LOOP_ITERATIONS = 3  # event loop iterations from an accepted socket to its registered connection
LINGERING_TIME = 1.0  # seconds for which the rest of a request is discarded after an early response
DRAIN_POLL_INTERVAL = 0.02  # seconds between checks for idle connections during shutdown
SWEEP_INTERVAL = 1.0  # seconds between checks for clients that take too long

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


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
        self._handle_request, self._body_limit = handle, body_limit
        self._server = _ConnectionFactory(
            self._handle,
            request_factory=self._create_request,
            access_log=None,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            lingering_time=LINGERING_TIME,
            owner=self,
            **options,
        )
        self._listener: asyncio.Server | None = None
        self._sweeping: asyncio.Task[None] | None = None

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
        self._sweeping = asyncio.create_task(self._sweep())

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

    async def _sweep(self) -> None:
        """Closes connections whose clients take longer than the request limits allow."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            limits = self.request_limits()
            for connection in self.connections:
                connection.close_if_overdue(limits, SWEEP_INTERVAL)

    async def _stop_listening(self) -> None:
        """Closes the listener after every accepted socket became a registered connection."""
        if self._sweeping is not None:
            self._sweeping.cancel()
        if self._listener is None:
            return
        loop = asyncio.get_running_loop()
        for listening in self._listener.sockets:
            loop.remove_reader(listening.fileno())
        for _ in range(ACCEPT_LOOP_ITERATIONS):
            await asyncio.sleep(0)
        self._listener.close()
        self._listener = None

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
