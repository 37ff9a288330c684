"""Connections between nodes: calls with replies and one-way messages over TCP.

Each node opens one connection to each other node that it talks to; replies come back on the connection
of their call. A connection on which sent bytes stay unacknowledged is dropped and opened anew.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from heronstall.transport.frames import Frame, FrameError, FrameReader, Kind, Status, encode

CONNECT_WITHIN = 0.6  # seconds
RETRY_SOON = 0.03  # seconds before a failed connection is tried again: a process that restarts is back soon
RETRY_SOON_FOR = 1.0  # seconds of failing
RETRY_AFTER = 0.15  # seconds before it is tried again from then on
UNACKED_MS = 1_200  # sent bytes unacknowledged for so long end the connection
ONE_WAY_LIMIT = 32 * 1024 * 1024  # bytes that may wait for a peer; one-way messages beyond are dropped


class Reply(NamedTuple):
    """The answer to a call."""

    status: Status
    body: bytes = b""


LOST = Reply(Status.FAILED)
Handler = Callable[[Kind, bytes], Awaitable[Reply]]
OneWay = Callable[[Kind, bytes], None]


def _tune(transport: asyncio.BaseTransport) -> None:
    sock: socket.socket = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS)


class _Framed(asyncio.Protocol):
    """One end of a connection that carries frames."""

    def __init__(self) -> None:
        self._reader = FrameReader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        _tune(transport)

    def data_received(self, data: bytes) -> None:
        try:
            frames = self._reader.feed(data)
        except FrameError:
            self.abort()
            return
        for frame in frames:
            self.take(frame)

    def take(self, frame: Frame) -> None:
        """A whole frame has come."""
        raise NotImplementedError

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class _Outgoing(_Framed):
    """The calling side of a connection."""

    def __init__(self, lost: Callable[[], None]) -> None:
        super().__init__()
        self._lost = lost
        self.waiting: dict[int, asyncio.Future[Reply]] = {}
        self.heard_at = time.monotonic()

    def data_received(self, data: bytes) -> None:
        self.heard_at = time.monotonic()
        super().data_received(data)

    def take(self, frame: Frame) -> None:
        """Hand a reply to the call that waits for it."""
        waiter = self.waiting.pop(frame.call, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(Reply(frame.status, frame.body))

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        for waiter in self.waiting.values():
            if not waiter.done():
                waiter.set_result(LOST)
        self.waiting.clear()
        self._lost()


class Link:
    """The way to one other node, connected when there is something to say."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._protocol: _Outgoing | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._held: list[bytes] = []
        self._failing_since: float | None = None  # steady time
        self._numbers = 0
        self._closed = False

    def send(self, kind: Kind, body: bytes) -> None:
        """Send a message that wants no reply; it is lost when the connection is."""
        self._write(encode(Frame(kind, Status.CALL, 0, body)))

    async def call(self, kind: Kind, body: bytes, within: float) -> Reply:
        """Call and wait `within` seconds. A lost call may have been carried out: FAILED says nothing."""
        try:
            async with asyncio.timeout(within):
                while self._protocol is None:
                    await self._connect()
                protocol = self._protocol
                self._numbers = self._numbers % 0xFFFFFFF0 + 1
                number = self._numbers
                waiter: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
                protocol.waiting[number] = waiter
                try:
                    self._write(encode(Frame(kind, Status.CALL, number, body)))
                    return await waiter
                finally:
                    protocol.waiting.pop(number, None)
        except TimeoutError:
            return LOST

    def drop(self) -> None:
        """End the connection; the next message opens another."""
        if self._protocol is not None:
            self._protocol.abort()

    def drop_if_silent(self, since: float) -> None:
        """End the connection if nothing came on it since then; one to a slow node carries other calls."""
        if self._protocol is not None and self._protocol.heard_at < since:
            self._protocol.abort()

    def close(self) -> None:
        """End the connection for good."""
        self._closed = True
        if self._connecting is not None:
            self._connecting.cancel()
        self.drop()

    def _write(self, data: bytes) -> None:
        protocol = self._protocol
        if protocol is not None and protocol.transport is not None:
            if protocol.transport.get_write_buffer_size() < ONE_WAY_LIMIT:
                protocol.transport.write(data)
            return
        if sum(map(len, self._held)) < ONE_WAY_LIMIT:
            self._held.append(data)
        if self._connecting is None and not self._closed:
            self._connecting = asyncio.get_running_loop().create_task(self._open())

    async def _connect(self) -> None:
        if self._connecting is None:
            self._connecting = asyncio.get_running_loop().create_task(self._open())
        await asyncio.shield(self._connecting)

    async def _open(self) -> None:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                _, protocol = await loop.create_connection(lambda: _Outgoing(self._on_lost), host, int(port))
            self._protocol, self._failing_since = protocol, None
            held, self._held = self._held, []
            for data in held:
                self._write(data)
        except (OSError, TimeoutError):
            self._held.clear()
            await asyncio.sleep(self._pause())
        finally:
            self._connecting = None
        if self._protocol is None and self._held:  # said meanwhile, and nothing more may be
            self._connecting = asyncio.get_running_loop().create_task(self._open())

    def _pause(self) -> float:
        """Seconds before a connection that has failed is tried again."""
        now = time.monotonic()
        if self._failing_since is None:
            self._failing_since = now
        return RETRY_SOON if now - self._failing_since < RETRY_SOON_FOR else RETRY_AFTER

    def _on_lost(self) -> None:
        self._protocol = None


class Links:
    """All links of a node, by address."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}

    def to(self, address: str) -> Link:
        """The link to a node."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = Link(address)
        return link


class _Incoming(_Framed):
    """The serving side of a connection."""

    def __init__(self, serve: Handler, one_way: OneWay, open_now: set[_Incoming]) -> None:
        super().__init__()
        self._serve, self._one_way, self._open_now = serve, one_way, open_now
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._open_now.add(self)

    def take(self, frame: Frame) -> None:
        """Answer a call, or take a one-way message."""
        if frame.call == 0:
            self._one_way(frame.kind, frame.body)
            return
        task = asyncio.get_running_loop().create_task(self._answer(frame))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self._open_now.discard(self)

    async def _answer(self, frame: Frame) -> None:
        reply = await self._serve(frame.kind, frame.body)
        if self.transport is not None:
            self.transport.write(encode(Frame(frame.kind, reply.status, frame.call, reply.body)))


class LinkServer:
    """Listens for other nodes."""

    def __init__(self, serve: Handler, one_way: OneWay) -> None:
        self._serve, self._one_way = serve, one_way
        self._open_now: set[_Incoming] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Begin to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Incoming(self._serve, self._one_way, self._open_now), host, port, reuse_address=True
        )

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._open_now):
            connection.abort()
