"""A non-blocking connection: its buffer, the HTTP parser (h11), and every way in which it can end."""

from __future__ import annotations

import contextlib
import enum
import select
import socket
from typing import Any

import h11

from heronstall import interface as i
from heronstall.config import Address
from heronstall.net.loop import READ, WRITE, Coroutine, Loop

INITIAL_BUFFER_SIZE, PARSER_CHUNK_SIZE = 4096, 16 * 1024  # bytes
MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_BYTES_PER_TURN = 64 * 1024  # that one connection may receive in one turn of the event loop


class Ending(enum.Enum):
    """Every way in which a connection, or one exchange on it, can end."""

    SERVED = "the backend server returned a result"
    FAILED = "the backend server reported a failure"
    RETURNED = "the backend server rejected the job or returned it unstarted"
    UNUSABLE = "the backend server could not use the request"
    LOST = "the backend server lost the running job"
    REFUSED = "no connection: refused, unreachable or timed out"
    UNSENT = "the connection broke before the last byte of the request was written"
    BROKEN = "the connection broke after the last byte of the request was written"
    CLOSED = "the remote end closed the connection between messages"
    MALFORMED = "malformed data received"
    TIMED_OUT = "timed out waiting for data"
    UNSENT_IN_TIME = "timed out before the last byte of the request was written"
    CANCELLED = "cancelled"
    WITHDRAWN = "not started: the server is draining or gone, the client left, or no descriptor is available"
    CRASHED = "an unexpected error in this process"


# The status that the decision module receives for each ending. A break before the last byte of the request
# proves that the job has not run. After the last byte a break proves nothing, whatever either side was doing.
STATUS_BY_ENDING: dict[Ending, i.Status] = {
    Ending.SERVED: "ok",
    Ending.FAILED: "error",
    Ending.RETURNED: "rejected",
    Ending.UNUSABLE: "cancelled",  # the fault of the request: no evidence about the server's health
    Ending.LOST: "reset",
    Ending.REFUSED: "no_connection",
    Ending.UNSENT: "no_connection",
    Ending.BROKEN: "reset",
    Ending.CLOSED: "reset",
    Ending.MALFORMED: "reset",
    Ending.TIMED_OUT: "timeout",
    Ending.UNSENT_IN_TIME: "not_sent",
    Ending.CANCELLED: "cancelled",
    Ending.WITHDRAWN: "not_sent",
    Ending.CRASHED: "reset",
}


class ConnectionEnded(Exception):
    """Raised in a coroutine when its connection, or the exchange on it, has ended."""

    def __init__(self, ending: Ending, detail: str = "") -> None:
        super().__init__(detail or ending.value)
        self.ending = ending


class Buffer:
    """Bytes received and not yet parsed. Grows as needed and is compacted in place."""

    __slots__ = ("_bytes", "_start", "_end")

    def __init__(self) -> None:
        self._bytes = bytearray(INITIAL_BUFFER_SIZE)
        self._start = self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    def fill(self, sock: socket.socket) -> int:
        """Receives what fits; returns its size, 0 at the end of the stream. Raises as `recv_into` does."""
        if self._end == len(self._bytes):
            if self._start:
                size = len(self)
                self._bytes[:size] = self._bytes[self._start : self._end]
                self._start, self._end = 0, size
            else:
                self._bytes.extend(bytes(len(self._bytes)))
        with memoryview(self._bytes) as whole, whole[self._end :] as free:
            received = sock.recv_into(free)
        self._end += received
        return received

    def take_line(self) -> bytes | None:
        """Removes and returns the next line without its newline; None while no line is complete."""
        newline = self._bytes.find(b"\n", self._start, self._end)
        if newline < 0:
            return None
        line = bytes(self._bytes[self._start : newline])
        self._start = newline + 1
        return line

    def take_all(self) -> bytes:
        """Removes and returns all bytes."""
        data = bytes(self._bytes[self._start : self._end])
        self._start = self._end = 0
        return data

    def feed(self, parser: h11.Connection) -> None:
        """Moves the next bytes to the parser, at most one chunk."""
        size = min(len(self), PARSER_CHUNK_SIZE)
        with memoryview(self._bytes) as whole, whole[self._start : self._start + size] as chunk:
            parser.receive_data(chunk)  # type: ignore[arg-type]  # h11 accepts any bytes-like object
        self._start += size
        if self._start == self._end:
            self._start = self._end = 0
            # A large message must not hold memory for the connection's lifetime.
            if len(self._bytes) > PARSER_CHUNK_SIZE:
                self._bytes = bytearray(INITIAL_BUFFER_SIZE)


class Stream:
    """A non-blocking socket with its receive buffer. Its creator must close it."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.loop, self.sock = loop, sock
        self.buffer = Buffer()

    def write(self, data: bytes, until: int | None) -> Coroutine[None]:
        """Writes all of the data. Raises ConnectionEnded (UNSENT or UNSENT_IN_TIME) if that fails."""
        with memoryview(data) as view:
            sent = 0
            while sent < len(view):
                try:
                    sent += self.sock.send(view[sent:])
                except BlockingIOError:
                    if not (yield self.sock.fileno(), WRITE, until):
                        raise ConnectionEnded(Ending.UNSENT_IN_TIME) from None
                except OSError as error:
                    raise ConnectionEnded(Ending.UNSENT, str(error)) from None

    def close(self) -> None:
        """Closes the socket at the end of the current turn of the event loop."""
        self.loop.close(self.sock)

    def remote_closed(self) -> bool:
        """Returns whether the remote end has closed or reset the connection, even if data is still unread."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))


class Connection(Stream):
    """A stream that carries HTTP, with its parser."""

    def __init__(self, loop: Loop, sock: socket.socket, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        super().__init__(loop, sock)
        self.parser = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.at_eof = False  # the remote end will send nothing more
        self.raw_head = b""  # of a server's connection: the bytes from which the last request head was parsed
        self.idle_since = self._turn_at = loop.now
        self._turn_bytes = 0  # charged in the turn that began at `_turn_at`

    def next_event(self, until: int | None) -> Coroutine[Any]:
        """Returns the next h11 event. Raises ConnectionEnded on timeout, a broken connection or bad data."""
        while True:
            try:
                if self.parser.our_role is h11.SERVER and self.parser.their_state is h11.IDLE:
                    self.raw_head = self.parser.trailing_data[0]
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                broken = self.at_eof and not len(self.buffer)
                raise ConnectionEnded(Ending.BROKEN if broken else Ending.MALFORMED, str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            yield from self.receive(until)

    def receive(self, until: int | None) -> Coroutine[None]:
        """Passes more bytes, or the end of the stream, to the parser."""
        yield from self.throttle(until)
        while not len(self.buffer):
            try:
                received = self.buffer.fill(self.sock)
            except BlockingIOError:
                if not (yield self.sock.fileno(), READ, until):
                    raise ConnectionEnded(Ending.TIMED_OUT) from None
            except OSError as error:
                raise ConnectionEnded(Ending.BROKEN, str(error)) from None
            else:
                self.charge(received)
                if not received:
                    self.at_eof = True
                    self.parser.receive_data(b"")
                    return
        self.buffer.feed(self.parser)

    def charge(self, size: int) -> None:
        """Counts bytes, or work that costs as much as that many bytes, against the limit of this turn."""
        if self._turn_at != self.loop.now:
            self._turn_at, self._turn_bytes = self.loop.now, 0
        self._turn_bytes += size

    def throttle(self, until: int | None = None) -> Coroutine[None]:
        """Continues in the next turn of the event loop if the limit of this turn is used up.

        Guards the other connections, and `loop.now`, against a remote end that sends as fast as it is read.
        """
        if self._turn_at == self.loop.now and self._turn_bytes >= MAX_BYTES_PER_TURN:
            if until is not None and self.loop.now >= until:
                raise ConnectionEnded(Ending.TIMED_OUT)
            yield -1, 0, self.loop.now + 1

    def is_quiet(self) -> bool:
        """Returns whether this idle connection is still open and the remote end has sent nothing."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not len(self.buffer)
        except OSError:
            return False
        return False


def listen(address: Address, backlog: int, reuse_port: bool = False) -> socket.socket:
    """Returns a non-blocking listening socket; `reuse_port` allows others at the address. Raises OSError."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def connect(loop: Loop, address: Address, until: int, source_host: str = "") -> Coroutine[Connection]:
    """Opens a client connection, bound to `source_host` if it is given.

    Raises ConnectionEnded: REFUSED if the connection is not established in time, WITHDRAWN if this process
    cannot create a socket.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:  # no descriptor or memory: no evidence about the remote end
        raise ConnectionEnded(Ending.WITHDRAWN, str(error)) from None
    connected = False
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if source_host:
            sock.bind((source_host, 0))
        try:
            sock.connect(address)
        except BlockingIOError:
            if not (yield sock.fileno(), WRITE, until):
                raise ConnectionEnded(Ending.REFUSED, "connect timed out") from None
            error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error_number:
                raise OSError(error_number, "connect failed") from None
        connected = True
        return Connection(loop, sock, h11.CLIENT)
    except OSError as error:
        raise ConnectionEnded(Ending.REFUSED, str(error)) from None
    finally:
        if not connected:
            loop.close(sock)


class LineSplitter:
    """Splits a stream that arrives in pieces into lines."""

    def __init__(self, limit: int, keep_blank: bool = False) -> None:
        self._partial = bytearray()  # the line that is not complete yet
        self._limit = limit
        self._keep_blank = keep_blank  # whether empty lines are returned

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines completed by the data. Raises ConnectionEnded (MALFORMED) over the limit."""
        self._partial += data
        if b"\n" not in data:
            complete: list[bytes] = []
        else:
            *complete, partial = bytes(self._partial).split(b"\n")
            self._partial[:] = partial
        if len(self._partial) > self._limit or any(len(line) > self._limit for line in complete):
            raise ConnectionEnded(Ending.MALFORMED, f"a line of over {self._limit} bytes")
        return [line for line in (part.strip() for part in complete) if line or self._keep_blank]


def shutdown_write(sock: socket.socket) -> None:
    """Tells the remote end that nothing more will be sent."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
