"""Requests of other processes: to follow the server list, or to read once what this process knows."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

import h11

from heronstall.membership.relays import EMPTY_RELAY_HOLD_US, HEARTBEAT_INTERVAL_US
from heronstall.net.connection import Connection, ConnectionEnded
from heronstall.net.loop import READ, Coroutine, Loop, Task

MAX_QUEUED_MESSAGES = 64  # a follower that falls further behind is disconnected
REQUEST_TIMEOUT_US = 2_000_000  # for a follower's request to arrive
WRITE_TIMEOUT_US = 2_000_000  # for a follower to accept a message
KNOWLEDGE_PATH = b"/v1/knowledge"


class Source(Protocol):
    """Provides the content of the answers."""

    def serves_list(self) -> bool:
        """Returns whether others may take the server list from this process."""

    def list_line(self, whole: bool) -> bytes:
        """Returns the whole list, or a message without changes; only a newline without a list."""

    def knowledge(self) -> bytes:
        """Returns what this process has observed of the servers."""

    def find_handler(self, target: bytes, connection: Connection) -> Coroutine[None] | None:
        """Returns the coroutine that serves another kind of request, if there is one."""


class Follower:
    """A connection of a process that follows the server list or makes a single request."""

    def __init__(self, loop: Loop, sock: socket.socket, source: Source) -> None:
        self._loop, self._source = loop, source
        self._connection = Connection(loop, sock, h11.SERVER)
        self._queue: deque[bytes] = deque()
        self.task: Task | None = None
        self._has_whole_list = self._idle = False  # idle: waiting for the next message

    def close(self) -> None:
        """Ends the connection."""
        if self.task is not None:
            self.task.kill()
        self._connection.close()  # a coroutine that has not started yet ends without its `finally`

    def send(self, line: bytes) -> None:
        """Queues a message. Before the whole list was sent none is needed: the list includes it."""
        if self._has_whole_list:
            self._queue.append(line)
        if self._idle and self.task is not None:
            self._idle = False
            self.task.wake(READ)

    def serve(self, on_closed: Callable[[Follower], None]) -> Coroutine[None]:
        """Answers the connection's one request until either side ends it."""
        connection, loop = self._connection, self._loop
        started = loop.now
        try:
            request = yield from connection.next_event(loop.now + REQUEST_TIMEOUT_US)
            if not isinstance(request, h11.Request):
                return
            if request.target.startswith(KNOWLEDGE_PATH):
                yield from self._send_body(self._source.knowledge())
                return
            handler = self._source.find_handler(request.target, connection)
            if handler is not None:
                yield from handler
                return
            if not request.target.startswith(b"/v1/servers?watch=1") or not self._source.serves_list():
                return  # the follower has to ask another process
            yield from self._send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
            while True:
                if not self._has_whole_list:
                    line = self._source.list_line(True)
                    self._has_whole_list = line != b"\n"
                    if not self._has_whole_list and loop.now > started + EMPTY_RELAY_HOLD_US:
                        return  # another relay may have the list already
                elif len(self._queue) > MAX_QUEUED_MESSAGES:
                    return
                else:
                    line = b"".join(self._queue) or self._source.list_line(False)
                self._queue.clear()
                yield from self._send(h11.Data(data=line))
                if not self._queue:
                    yield from self._wait(loop.now + HEARTBEAT_INTERVAL_US)
        except ConnectionEnded:
            pass
        finally:
            on_closed(self)
            connection.close()

    def _send_body(self, body: bytes) -> Coroutine[None]:
        headers = [("Content-Length", str(len(body)))]
        yield from self._send(h11.Response(status_code=200, headers=headers))
        yield from self._send(h11.Data(data=body))
        yield from self._send(h11.EndOfMessage())

    def _wait(self, deadline: int) -> Coroutine[None]:
        """Waits for a message, at most until the deadline."""
        self._idle = True
        yield -1, 0, deadline
        self._idle = False

    def _send(self, event: h11.Event) -> Coroutine[None]:
        data = self._connection.parser.send(event) or b""
        yield from self._connection.write(data, self._loop.now + WRITE_TIMEOUT_US)
