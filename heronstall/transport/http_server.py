"""An HTTP server of the tier's programs that can end without cutting an answer.

Whether anything is owed is read off the open connections alone. A count of requests in hand knows nothing of
one whose bytes have been read, or lie in the socket, while its handler has yet to begin.
"""

from __future__ import annotations

import asyncio
import select
import time
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

LINE_LIMIT = 65536  # bytes of a line of a head
BACKLOG = 1024  # connections that may wait to be accepted
ACCEPTING_TURNS = 3  # of the event loop, from an accepted socket to its listed connection
HEAD_WITHIN = 3.0  # seconds in which the rest of a head may come while the server ends
LOOK = 0.02  # seconds between looks for connections that have come to rest

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpConnection(web.RequestHandler):
    """A caller's connection, which knows whether anything is owed on it."""

    def __init__(self, manager: web.Server, *, loop: asyncio.AbstractEventLoop, **options: Any) -> None:
        super().__init__(manager, loop=loop, **options)
        self.active_at = time.monotonic()  # of its latest answer, or when it came up
        self._head_since: float | None = None  # steady time at which a part of a head had come

    def data_received(self, data: bytes) -> None:
        """Take bytes, and note whether they leave a request's head half read."""
        waited, known = self.waits, len(self._messages)
        super().data_received(data)
        if not waited or len(self._messages) > known:
            self._head_since = None
        elif data and self._head_since is None:
            self._head_since = time.monotonic()

    @property
    def waits(self) -> bool:
        """Whether no whole head has come since the last answer; the library has no public word for it."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def holds_request(self) -> bool:
        """Whether a request has been read that waits behind the one in hand."""
        return bool(self._messages)

    @property
    def rests(self) -> bool:
        """Whether nothing is owed: no request is in hand, on its way in, or unread in the socket."""
        comes_in = self._head_since is not None and time.monotonic() - self._head_since < HEAD_WITHIN
        return self.waits and not comes_in and not self._unread

    @property
    def _unread(self) -> bool:
        if self.transport is None:
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def end_if_resting(self) -> bool:
        """Close the connection if nothing is owed on it; whether it was closed."""
        rests = self.rests
        if rests:
            self.force_close()  # close() alone drops what comes, and leaves the connection open
        return rests


class _Connections(web.Server):
    """Makes connections of this module's kind."""

    def __call__(self) -> web.RequestHandler:
        return HttpConnection(self, loop=self._loop, **self._kwargs)


class HttpServer:
    """Listens on one address. `options` are the library's, of each connection."""

    def __init__(self, handle: Handler, body_limit: Callable[[], int], **options: Any) -> None:
        self.ending = False  # each answer is its connection's last
        self._handle_request, self._body_limit = handle, body_limit
        self._server = _Connections(
            self._handle,
            request_factory=self._request,
            access_log=None,
            max_line_size=LINE_LIMIT,
            max_field_size=LINE_LIMIT,
            **options,
        )
        self._listener: asyncio.Server | None = None

    @property
    def connections(self) -> list[HttpConnection]:
        """Open connections, those included on which the end of an answer waits to be sent."""
        return [c for c in self._server.connections if isinstance(c, HttpConnection)]

    async def listen(self, address: str) -> None:
        """Begin to accept connections."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host, int(port), reuse_address=True, backlog=BACKLOG
        )

    def closes_after(self, request: web.BaseRequest) -> bool:
        """Whether an answer that begins now is to be its connection's last."""
        connection = request.protocol
        return self.ending and not (isinstance(connection, HttpConnection) and connection.holds_request)

    def close_idle(self, seconds: float) -> None:
        """Close connections on which no whole head has come for so long."""
        now = time.monotonic()
        for connection in self.connections:
            if now - connection.active_at > seconds and connection.waits and not connection._unread:
                connection.force_close()

    async def finish(self, until: float) -> None:
        """Accept nothing more and return when all connections have ended, or at a steady time.

        A connection that rests is ended; any other one when its answers are sent.
        """
        self.ending = True
        await self._stop_listening()
        while self.connections and time.monotonic() < until:
            for connection in self.connections:
                connection.end_if_resting()
            await asyncio.sleep(LOOK)

    async def _stop_listening(self) -> None:
        """Sockets that were accepted become listed connections before the listener is closed."""
        if self._listener is None:
            return
        loop = asyncio.get_running_loop()
        for listening in self._listener.sockets:
            loop.remove_reader(listening.fileno())
        for _ in range(ACCEPTING_TURNS):
            await asyncio.sleep(0)
        self._listener.close()
        self._listener = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            response = await self._handle_request(request)
        finally:
            if isinstance(request.protocol, HttpConnection):
                request.protocol.active_at = time.monotonic()
        if not response.prepared and self.closes_after(request):
            response.force_close()
        return response

    def _request(self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        limit = self._body_limit()
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=limit)
