"""A client's connection to the tier's HTTP server, whose received and unsent bytes are counted."""

from __future__ import annotations

import asyncio
import select
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Protocol

from aiohttp import web

from heronstall.transport.connection_limits import RequestLimits
from heronstall.transport.event_waits import expire_now
from heronstall.transport.open_connections import OpenConnections

MAX_LINE_BYTES = 65536  # of one line of a request head
REQUEST_HEAD_TIMEOUT = 3.0  # seconds allowed for the rest of a request head during shutdown
REFUSAL_RETRY_AFTER = 0.5  # seconds after which a refused client may come back
BODY_TIMEOUT = 10.0  # seconds for the whole body of a request
SEND_STALL_TIMEOUT = 30.0  # seconds for which a client may read nothing of its response


class RequestRefused(Exception):
    """Raised where a request is read: there is no memory for it, and nothing of it has run."""


class ConnectionOwner(Protocol):
    """What a connection needs of its server."""

    open_connections: OpenConnections[HttpConnection]

    def request_limits(self) -> RequestLimits:
        """Returns the limits of one request."""

    def refuse_excess(self) -> None:
        """Refuses requests until the others fit."""

    def connection_blocked(self, connection: HttpConnection) -> None:
        """Called when a client does not read what was sent to it."""

    def connection_unblocked(self, connection: HttpConnection) -> None:
        """Called when a client has read on, or has gone."""


class HttpConnection(web.RequestHandler):
    """A client connection that knows whether a response is still due on it."""

    def __init__(
        self, manager: web.Server, *, loop: asyncio.AbstractEventLoop, owner: ConnectionOwner, **options: Any
    ) -> None:
        super().__init__(manager, loop=loop, **options)
        self.last_active_at = time.monotonic()  # of the last response, or of the connection's start
        self.refused = False  # the request that is being received is not wanted any more
        self._owner = owner
        self._partial_head_since: float | None = None  # steady time of receiving a partial request head
        self._partial_head_bytes = 0
        self._request: web.BaseRequest | None = None  # until its response was sent
        self._discarding = False  # what still arrives of the request is thrown away
        self._bytes_behind = 0  # received behind the whole request that is being answered
        self._reading: asyncio.Timeout | None = None  # while a handler reads the body
        self._blocked_since: float | None = None  # steady time, of a client that does not read
        self._blocked_bytes = 0  # unsent when the client last read something

    # ------------------------------------------------------------------ receiving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection as open."""
        super().connection_made(transport)
        self._owner.open_connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stops counting what the connection holds."""
        super().connection_lost(exc)
        self._owner.open_connections.remove(self)
        self._owner.connection_unblocked(self)

    def data_received(self, data: bytes) -> None:
        """Handles received bytes and counts them for as long as they are kept."""
        is_behind = self._request is not None and self._request.content.is_eof()
        awaited_request, queued_requests = self.awaits_request, len(self._messages)
        super().data_received(data)
        if self._force_close or self._close or self not in self._owner.open_connections:
            return
        if not awaited_request or len(self._messages) > queued_requests:
            self._partial_head_since, self._partial_head_bytes = None, 0
        elif data:
            self._partial_head_bytes += len(data)
            if self._partial_head_since is None:
                self._partial_head_since = time.monotonic()
        self._count_received(len(data), is_behind)

    def _count_received(self, size: int, is_behind: bool) -> None:
        connections = self._owner.open_connections
        if is_behind:
            # No more is read until the response was sent: it could not be refused without the response.
            self._bytes_behind += size
            connections.receive_behind(self, size)
            if not self._buffer_paused:
                self._pause_reading_for_buffer()
        elif not self.refused and not self._discarding:
            connections.receive(self, size)
            self._owner.refuse_excess()
            if self._partial_head_bytes > self._owner.request_limits().header_bytes + MAX_LINE_BYTES:
                self._respond_and_close(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    async def read_body(self, request: web.BaseRequest, seconds: float) -> bytes:
        """Reads a request's body.

        Raises RequestRefused if there is no memory for it, TimeoutError if it takes longer than the given
        number of seconds, and HTTPRequestEntityTooLarge.
        """
        announced, limit = request.content_length, request.client_max_size
        if announced is not None and announced > limit:
            raise web.HTTPRequestEntityTooLarge(max_size=limit, actual_size=announced)
        try:
            async with asyncio.timeout(seconds) as self._reading:
                self._check_not_refused()
                body = await request.read()
        except TimeoutError:
            self._check_not_refused()
            raise
        finally:
            self._reading = None
        self._check_not_refused()
        self._owner.open_connections.hold(self)
        return body

    def _check_not_refused(self) -> None:
        if self.refused:
            raise RequestRefused

    def refuse(self) -> None:
        """Refuses the request that is being received. Nothing of it has run."""
        self.refused = True
        self._owner.open_connections.release(self)
        if self._partial_head_since is not None:
            self._respond_and_close(HTTPStatus.SERVICE_UNAVAILABLE)
        elif self._reading is not None:
            expire_now(self._reading)

    def _respond_and_close(self, status: HTTPStatus) -> None:
        """Responds to a request whose head is not complete."""
        retry_after = f"Retry-After: {REFUSAL_RETRY_AFTER}\r\n" if status == 503 else ""
        head = f"HTTP/1.1 {status.value} {status.phrase}\r\n{retry_after}Content-Length: 0\r\n"
        if self.transport is not None:
            self.transport.write(f"{head}Connection: close\r\n\r\n".encode())
        self._owner.open_connections.release(self)
        self.force_close()

    # ------------------------------------------------------------------ responding

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Handles a request until its response was sent; aiohttp has no public hook for the latter."""
        self._request, self._discarding = request, False
        try:
            response, reset = await super()._handle_request(request, start_time, request_handler)
            _drop_body(response)
            return response, reset
        finally:
            # aiohttp keeps the last request and response of a connection until the next one ends.
            request._read_bytes = None
            self._request = None
            self.last_active_at = time.monotonic()
            self._end_request()

    def handler_begins(self, request: web.BaseRequest) -> None:
        """Marks a request as passed on if it has arrived whole."""
        if request.content.is_eof():
            self._owner.open_connections.hold(self)

    def handler_returned(self, request: web.BaseRequest) -> None:
        """Stops counting the bytes of a request whose handler has returned."""
        self.last_active_at = time.monotonic()
        self._discarding = not request.content.is_eof()
        if not self._bytes_behind:
            self._owner.open_connections.release(self)

    def _end_request(self) -> None:
        behind, self._bytes_behind = self._bytes_behind, 0
        self.refused = False
        connections = self._owner.open_connections
        if self not in connections or self._messages:
            return  # bytes of queued requests count until the last of them was answered
        connections.rest(self)
        if behind:
            connections.receive(self, behind)
            self._partial_head_since, self._partial_head_bytes = self.last_active_at, behind
        if self._buffer_paused:
            self._resume_reading_if_drained()

    def pause_writing(self) -> None:
        """Notes that the client does not read its response as fast as it is sent."""
        super().pause_writing()
        self._blocked_since, self._blocked_bytes = time.monotonic(), self.unsent_bytes
        self._owner.connection_blocked(self)

    def resume_writing(self) -> None:
        """Notes that the client has read most of what was sent."""
        super().resume_writing()
        self._blocked_since = None
        self._owner.connection_unblocked(self)

    @property
    def unsent_bytes(self) -> int:
        """The bytes of responses that the client's socket has not taken yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def abort(self) -> None:
        """Closes the connection at once, without sending what is unsent."""
        if self.transport is not None:
            self.transport.abort()

    # ------------------------------------------------------------------ between requests

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
        return self.awaits_request and not head_incoming and not self.has_unread_bytes

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes wait in the socket, or the client has closed it."""
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

    def close_if_overdue(self, limits: RequestLimits, slack: float) -> None:
        """Closes the connection if its client takes longer than allowed, by more than a slack in seconds."""
        now = time.monotonic()
        if self._blocked_since is not None:
            self._abort_if_stalled(now)
        if not self.awaits_request:
            return
        if self._partial_head_since is not None:
            is_late = now - self._partial_head_since > limits.header_timeout + slack
            if is_late and not self.has_unread_bytes:
                self._respond_and_close(HTTPStatus.REQUEST_TIMEOUT)
        elif now - self.last_active_at > limits.idle_timeout + slack and not self.has_unread_bytes:
            self.force_close()

    def _abort_if_stalled(self, now: float) -> None:
        unsent = self.unsent_bytes
        if unsent != self._blocked_bytes:
            self._blocked_since, self._blocked_bytes = now, unsent
        elif self._blocked_since is not None and now - self._blocked_since > SEND_STALL_TIMEOUT:
            self.abort()


def _drop_body(response: web.StreamResponse) -> None:
    """Releases the body of a response that was sent."""
    if isinstance(response, web.Response):
        response.body = None


async def read_body(request: web.BaseRequest, seconds: float = BODY_TIMEOUT) -> bytes:
    """Reads a request's body, as `HttpConnection.read_body` does; without its limits on other connections."""
    connection = request.protocol
    if isinstance(connection, HttpConnection):
        return await connection.read_body(request, seconds)
    return await request.read()


def refusal() -> web.Response:
    """Returns the response to a refused request, which promises that it has not run and never will."""
    response = web.Response(status=503, headers={"Retry-After": str(REFUSAL_RETRY_AFTER)})
    response.force_close()
    return response
