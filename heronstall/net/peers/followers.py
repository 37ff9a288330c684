"""Those who ask this process: for the server list, until they go, or once for what it has seen."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

import h11

from heronstall.membership.relays import BEAT, HOLD
from heronstall.net.connection import Connection, ConnectionEnded
from heronstall.net.loop import READ, Coroutine, Loop, Task

QUEUE = 64  # messages that a follower may be behind
REQUEST_TIME = 2_000_000  # for a follower's request to come
WRITE_TIME = 2_000_000  # for a follower to take a message
KNOWLEDGE = b"/v1/knowledge"


class Source(Protocol):
    """What is told to others."""

    def tells(self) -> bool:
        """Whether the list may be taken from here."""

    def line(self, whole: bool) -> bytes:
        """The whole list, or that nothing has changed; only a line's end without a list."""

    def knowledge(self) -> bytes:
        """What this process has seen of the servers."""

    def other(self, target: bytes, connection: Connection) -> Coroutine[None] | None:
        """Whoever else answers a request, until it ends."""


class Follower:
    """One who takes the list from us, or asks once what we have seen."""

    def __init__(self, loop: Loop, sock: socket.socket, source: Source) -> None:
        self._loop, self._source = loop, source
        self._connection = Connection(loop, sock, h11.SERVER)
        self._waiting: deque[bytes] = deque()
        self.task: Task | None = None
        self._told = self._resting = False  # it has had the whole list; it waits for news

    def dismiss(self) -> None:
        """Let go of it."""
        if self.task is not None:
            self.task.kill()
        self._connection.close()  # a coroutine that has yet to begin ends without its `finally`

    def tell(self, line: bytes) -> None:
        """A message for it; the first one is the whole list, which holds whatever came before."""
        if self._told:
            self._waiting.append(line)
        if self._resting and self.task is not None:
            self._resting = False
            self.task.wake(READ)

    def serve(self, gone: Callable[[Follower], None]) -> Coroutine[None]:
        """Answer its one request until either side ends."""
        connection, loop = self._connection, self._loop
        begun = loop.now
        try:
            request = yield from connection.next_event(loop.now + REQUEST_TIME)
            if not isinstance(request, h11.Request):
                return
            if request.target.startswith(KNOWLEDGE):
                yield from self._answer(self._source.knowledge())
                return
            other = self._source.other(request.target, connection)
            if other is not None:
                yield from other
                return
            if not request.target.startswith(b"/v1/servers?watch=1") or not self._source.tells():
                return  # somebody else is to be asked
            yield from self._send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
            while True:
                if not self._told:
                    line = self._source.line(True)
                    self._told = line != b"\n"
                    if not self._told and loop.now > begun + HOLD:
                        return  # another relay may have it already
                elif len(self._waiting) > QUEUE:
                    return
                else:
                    line = b"".join(self._waiting) or self._source.line(False)
                self._waiting.clear()
                yield from self._send(h11.Data(data=line))
                if not self._waiting:
                    yield from self._pause(loop.now + BEAT)
        except ConnectionEnded:
            pass
        finally:
            gone(self)
            connection.close()

    def _answer(self, body: bytes) -> Coroutine[None]:
        headers = [("Content-Length", str(len(body)))]
        yield from self._send(h11.Response(status_code=200, headers=headers))
        yield from self._send(h11.Data(data=body))
        yield from self._send(h11.EndOfMessage())

    def _pause(self, until: int) -> Coroutine[None]:
        """Wait for a message or a moment."""
        self._resting = True
        yield -1, 0, until
        self._resting = False

    def _send(self, event: h11.Event) -> Coroutine[None]:
        data = self._connection.parser.send(event) or b""
        yield from self._connection.write(data, self._loop.now + WRITE_TIME)
