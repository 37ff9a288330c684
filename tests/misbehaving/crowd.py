"""Clients on raw sockets that send part of what they announce, read nothing, and keep their connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterable, Sequence

CONNECT_TIMEOUT_S = 10.0
STAY_S = 3.0  # in which the server handles what it was sent last
RECEIVE_BUFFER_BYTES = 4096  # small, so that an answer that is not read stays at its sender


class Crowd:
    """Connections to one address. Each sends its bytes as far as they are taken and then stays open."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._sockets: list[socket.socket] = []
        self._senders: list[asyncio.Task[None]] = []

    def join(self, count: int, pieces: Sequence[bytes]) -> None:
        """Starts clients that each send these pieces, one after the other."""
        for _ in range(count):
            self._senders.append(asyncio.create_task(self._send(pieces)))

    async def sent(self, seconds: float) -> None:
        """Returns when all clients have sent what they will, or after a time if some are not read."""
        await asyncio.wait(self._senders, timeout=seconds)

    async def settle(self, seconds: float) -> None:
        """Returns some time after all clients have sent what they will, or sooner if some are not read."""
        await self.sent(seconds)
        await asyncio.sleep(STAY_S)

    async def leave(self) -> None:
        """Closes all connections."""
        for sender in self._senders:
            sender.cancel()
        await asyncio.gather(*self._senders, return_exceptions=True)
        for sock in self._sockets:
            sock.close()

    async def _send(self, pieces: Iterable[bytes]) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        with contextlib.suppress(OSError, TimeoutError):  # the server may refuse or close the connection
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, self._address)
            for piece in pieces:
                await loop.sock_sendall(sock, piece)


def sized_body(head: str, announced_bytes: int, sent_bytes: int) -> list[bytes]:
    """Returns a request with a Content-Length, and the part of its body that is sent."""
    return [f"{head}Content-Length: {announced_bytes}\r\n\r\n".encode(), b"x" * sent_bytes]


def whole_body(head: str, body: bytes) -> list[bytes]:
    """Returns a complete request with a Content-Length."""
    return [f"{head}Content-Length: {len(body)}\r\n\r\n".encode(), body]


def chunked_body(head: str, chunk_bytes: int, chunks: int) -> list[bytes]:
    """Returns a request whose chunked body lacks its last chunk."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return [f"{head}Transfer-Encoding: chunked\r\n\r\n".encode(), *[chunk] * chunks]


def partial_head(head: str, fields: int, field_bytes: int) -> list[bytes]:
    """Returns a request head that lacks its end."""
    field = b"X-Field: " + b"x" * field_bytes + b"\r\n"
    return [head.encode(), *[field] * fields]
