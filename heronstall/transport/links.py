"""TCP connections between nodes, which carry calls with replies and one-way messages.

A node opens one connection to each node that it sends to; a reply arrives on the connection of its call.
A connection on which sent bytes stay unacknowledged is closed and opened again.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from heronstall.transport.frames import Frame, FrameError, FrameReader, Kind, Status, encode

CONNECT_TIMEOUT = 0.6  # seconds
FAST_RETRY_DELAY = 0.03  # seconds until a failed connection is retried, for a process that restarts quickly
FAST_RETRY_PERIOD = 1.0  # seconds of consecutive failures during which FAST_RETRY_DELAY applies
RETRY_DELAY = 0.15  # seconds until a connection is retried after FAST_RETRY_PERIOD
UNACKNOWLEDGED_TIMEOUT_MS = 1_200  # time without acknowledgement of sent bytes that closes a connection
MAX_BUFFERED_BYTES = 32 * 1024 * 1024  # bytes queued for a peer; further messages are dropped


class Reply(NamedTuple):
    """The reply to a call."""

    status: Status
    body: bytes = b""


class LargeReply(NamedTuple):
    """A successful reply that is encoded only when the connection can take it."""

    encode_body: Callable[[], bytes]

    def encoded(self) -> Reply:
        """Returns the reply to be sent."""
        return Reply(Status.OK, self.encode_body())


CALL_FAILED = Reply(Status.FAILED)
CallHandler = Callable[[Kind, bytes], Awaitable[Reply | LargeReply]]
OneWayHandler = Callable[[Kind, bytes], None]


def _configure_socket(transport: asyncio.BaseTransport) -> None:
    sock: socket.socket = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


class _FrameConnection(asyncio.Protocol):
    """One end of a connection that carries frames."""

    def __init__(self) -> None:
        self._reader = FrameReader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        _configure_socket(transport)

    def data_received(self, data: bytes) -> None:
        try:
            frames = self._reader.feed(data)
        except FrameError:
            self.abort()
            return
        for frame in frames:
            self.handle_frame(frame)

    def handle_frame(self, frame: Frame) -> None:
        """Handles a complete frame."""
        raise NotImplementedError

    def abort(self) -> None:
        """Closes the connection immediately, without sending buffered bytes."""
        if self.transport is not None:
            self.transport.abort()


class _OutgoingConnection(_FrameConnection):
    """The client side of a connection."""

    def __init__(self, on_connection_lost: Callable[[], None]) -> None:
        super().__init__()
        self._on_connection_lost = on_connection_lost
        self.pending_calls: dict[int, asyncio.Future[Reply]] = {}
        self.last_received_at = time.monotonic()

    def data_received(self, data: bytes) -> None:
        self.last_received_at = time.monotonic()
        super().data_received(data)

    def handle_frame(self, frame: Frame) -> None:
        """Passes a reply to the call that awaits it."""
        waiter = self.pending_calls.pop(frame.call_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(Reply(frame.status, frame.body))

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        for waiter in self.pending_calls.values():
            if not waiter.done():
                waiter.set_result(CALL_FAILED)
        self.pending_calls.clear()
        self._on_connection_lost()


class Link:
    """The channel to one other node, connected when a message is to be sent."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._protocol: _OutgoingConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._unsent: list[bytes] = []
        self._failing_since: float | None = None  # steady time of the first failure since the last success
        self._last_call_id = 0
        self._closed = False

    def send(self, kind: Kind, body: bytes) -> None:
        """Sends a one-way message, which is lost if the connection breaks."""
        self._write(encode(Frame(kind, Status.CALL, 0, body)))

    async def call(self, kind: Kind, body: bytes, timeout_seconds: float) -> Reply:
        """Calls the node and waits up to `timeout_seconds` for the reply.

        A reply with status FAILED does not tell whether the call was executed.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                while self._protocol is None:
                    await self._await_connection()
                protocol = self._protocol
                self._last_call_id = self._last_call_id % 0xFFFFFFF0 + 1
                call_id = self._last_call_id
                waiter: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
                protocol.pending_calls[call_id] = waiter
                try:
                    self._write(encode(Frame(kind, Status.CALL, call_id, body)))
                    return await waiter
                finally:
                    protocol.pending_calls.pop(call_id, None)
        except TimeoutError:
            return CALL_FAILED

    def disconnect(self) -> None:
        """Closes the connection; the next message opens a new one."""
        if self._protocol is not None:
            self._protocol.abort()

    def disconnect_if_silent(self, since: float) -> None:
        """Closes the connection if nothing was received on it since the given steady time.

        A connection that still receives data is kept: it carries other calls to a node that is only slow.
        """
        if self._protocol is not None and self._protocol.last_received_at < since:
            self._protocol.abort()

    def close(self) -> None:
        """Closes the connection permanently."""
        self._closed = True
        if self._connecting is not None:
            self._connecting.cancel()
        self.disconnect()

    def _write(self, data: bytes) -> None:
        protocol = self._protocol
        if protocol is not None and protocol.transport is not None:
            if protocol.transport.get_write_buffer_size() < MAX_BUFFERED_BYTES:
                protocol.transport.write(data)
            return
        if sum(map(len, self._unsent)) < MAX_BUFFERED_BYTES:
            self._unsent.append(data)
        if self._connecting is None and not self._closed:
            self._connecting = asyncio.get_running_loop().create_task(self._open_connection())

    async def _await_connection(self) -> None:
        if self._connecting is None:
            self._connecting = asyncio.get_running_loop().create_task(self._open_connection())
        await asyncio.shield(self._connecting)

    async def _open_connection(self) -> None:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, protocol = await loop.create_connection(
                    lambda: _OutgoingConnection(self._clear_connection), host, int(port)
                )
            self._protocol, self._failing_since = protocol, None
            unsent, self._unsent = self._unsent, []
            for data in unsent:
                self._write(data)
        except (OSError, TimeoutError):
            self._unsent.clear()
            await asyncio.sleep(self._retry_delay())
        finally:
            self._connecting = None
        if self._protocol is None and self._unsent:  # queued during the delay, maybe the last messages
            self._connecting = asyncio.get_running_loop().create_task(self._open_connection())

    def _retry_delay(self) -> float:
        """Returns the seconds until a failed connection is retried."""
        now = time.monotonic()
        if self._failing_since is None:
            self._failing_since = now
        return FAST_RETRY_DELAY if now - self._failing_since < FAST_RETRY_PERIOD else RETRY_DELAY

    def _clear_connection(self) -> None:
        self._protocol = None


class Links:
    """The links of a node, by the address of the other node."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}

    def to(self, address: str) -> Link:
        """Returns the link to a node, created on first use."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = Link(address)
        return link


class _IncomingConnection(_FrameConnection):
    """The server side of a connection."""

    def __init__(
        self,
        handle_call: CallHandler,
        handle_one_way: OneWayHandler,
        open_connections: set[_IncomingConnection],
    ) -> None:
        super().__init__()
        self._handle_call, self._handle_one_way, self._open_connections = (
            handle_call,
            handle_one_way,
            open_connections,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._writable = asyncio.Event()  # the other node reads what is sent to it
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._open_connections.add(self)

    def handle_frame(self, frame: Frame) -> None:
        """Answers a call or handles a one-way message."""
        if frame.call_id == 0:
            self._handle_one_way(frame.kind, frame.body)
            return
        task = asyncio.get_running_loop().create_task(self._answer(frame))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self._open_connections.discard(self)
        self._writable.set()

    def pause_writing(self) -> None:
        """Holds large replies back: the other node does not read as fast as is sent to it."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets large replies go on."""
        self._writable.set()

    async def _answer(self, frame: Frame) -> None:
        reply = await self._handle_call(frame.kind, frame.body)
        while isinstance(reply, LargeReply) and not self._writable.is_set():
            await self._writable.wait()
        if self.transport is None:
            return
        if isinstance(reply, LargeReply):
            reply = reply.encoded()
        self.transport.write(encode(Frame(frame.kind, reply.status, frame.call_id, reply.body)))


class LinkServer:
    """Accepts connections from other nodes."""

    def __init__(self, handle_call: CallHandler, handle_one_way: OneWayHandler) -> None:
        self._handle_call, self._handle_one_way = handle_call, handle_one_way
        self._open_connections: set[_IncomingConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _IncomingConnection(self._handle_call, self._handle_one_way, self._open_connections),
            host,
            port,
            reuse_address=True,
        )

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._open_connections):
            connection.abort()
