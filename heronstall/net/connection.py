"""A connection: its buffer, h11 on top of it, and the one list of the ways in which a connection can end."""

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

FIRST_SIZE, FEED = 4096, 16 * 1024
BODY_LIMIT = 64 * 1024
HEAD_LIMIT = 16 * 1024
TURN_SHARE = 64 * 1024  # bytes that one connection may bring in one turn of the loop


class Ending(enum.Enum):
    """Every way in which a connection, or one exchange on it, can end."""

    SERVED = "the answer came"
    FAILED = "the backend server said that it failed"
    RETURNED = "the backend server turned it away or handed it back unstarted"
    UNUSABLE = "the backend server could not use the request"
    LOST = "the backend server lost the running job"
    REFUSED = "no connection: refused, unreachable or no answer within the connect time-out"
    UNSENT = "broken before the request's last byte was written"
    BROKEN = "broken after the request's last byte was written"
    CLOSED = "closed by the far end between messages"
    MALFORMED = "what came was malformed"
    TIMED_OUT = "no answer in time"
    UNSENT_IN_TIME = "time ran out before the request's last byte was written"
    CANCELLED = "called off"
    WITHDRAWN = "not begun: the backend server drains or is gone, nobody waits, or no descriptor is left"
    CRASHED = "an unexpected error of our own"


# The one place where an ending becomes an outcome of the decision module. A break before the last byte
# proves that the job has not run; after it, nothing does, whatever the backend server or we were at.
OUTCOME: dict[Ending, i.Status] = {
    Ending.SERVED: "ok",
    Ending.FAILED: "error",
    Ending.RETURNED: "rejected",
    Ending.UNUSABLE: "cancelled",  # the request's fault: says nothing of the server's health
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


class Ended(Exception):
    """Raised in a coroutine when its connection has ended."""

    def __init__(self, ending: Ending, detail: str = "") -> None:
        super().__init__(detail or ending.value)
        self.ending = ending


class Buffer:
    """Bytes received and not yet parsed: grows as needed and is compacted in place."""

    __slots__ = ("_bytes", "_start", "_end")

    def __init__(self) -> None:
        self._bytes = bytearray(FIRST_SIZE)
        self._start = self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    def fill(self, sock: socket.socket) -> int:
        """Receive what fits; 0 at the end of the stream. Raises as `recv_into` does."""
        if self._end == len(self._bytes):
            if self._start:
                held = len(self)
                self._bytes[:held] = self._bytes[self._start : self._end]
                self._start, self._end = 0, held
            else:
                self._bytes.extend(bytes(len(self._bytes)))
        with memoryview(self._bytes) as whole, whole[self._end :] as room:
            got = sock.recv_into(room)
        self._end += got
        return got

    def line(self) -> bytes | None:
        """The next line without its end, taken out; None while there is none that is whole."""
        at = self._bytes.find(b"\n", self._start, self._end)
        if at < 0:
            return None
        line = bytes(self._bytes[self._start : at])
        self._start = at + 1
        return line

    def rest(self) -> bytes:
        """All that is left, taken out."""
        rest = bytes(self._bytes[self._start : self._end])
        self._start = self._end = 0
        return rest

    def feed(self, parser: h11.Connection) -> None:
        """Hand the parser the next bytes, not more than it can want for one message part."""
        step = min(len(self), FEED)
        with memoryview(self._bytes) as whole, whole[self._start : self._start + step] as part:
            parser.receive_data(part)  # type: ignore[arg-type]  # any bytes-like object will do
        self._start += step
        if self._start == self._end:
            self._start = self._end = 0
            if len(self._bytes) > FEED:  # one large message must not hold memory for the connection's life
                self._bytes = bytearray(FIRST_SIZE)


class Stream:
    """A non-blocking socket with its buffer. Whoever makes it closes it."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.loop, self.sock = loop, sock
        self.buffer = Buffer()

    def write(self, data: bytes, until: int | None) -> Coroutine[None]:
        """Write all of it. Raises Ended UNSENT or UNSENT_IN_TIME if that cannot be."""
        with memoryview(data) as view:
            at = 0
            while at < len(view):
                try:
                    at += self.sock.send(view[at:])
                except BlockingIOError:
                    if not (yield self.sock.fileno(), WRITE, until):
                        raise Ended(Ending.UNSENT_IN_TIME) from None
                except OSError as error:
                    raise Ended(Ending.UNSENT, str(error)) from None

    def close(self) -> None:
        """Close it, at the end of the batch in hand."""
        self.loop.close(self.sock)

    def far_end_left(self) -> bool:
        """Whether the far end has closed or reset the connection, whatever lies unread before that."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))


class Connection(Stream):
    """A stream of HTTP, with its parser."""

    def __init__(self, loop: Loop, sock: socket.socket, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        super().__init__(loop, sock)
        self.parser = h11.Connection(role, max_incomplete_event_size=HEAD_LIMIT)
        self.ended = False  # the far end will send nothing more
        self.head = b""  # a server's: the raw bytes that the last request's head was read from
        self.idle_since = self._turn = loop.now
        self._spent = 0  # bytes in the turn that began then

    def event(self, until: int | None) -> Coroutine[Any]:
        """The next h11 event. Raises Ended when none comes in time, or connection or bytes are bad."""
        while True:
            try:
                if self.parser.our_role is h11.SERVER and self.parser.their_state is h11.IDLE:
                    self.head = self.parser.trailing_data[0]
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                broken = self.ended and not len(self.buffer)
                raise Ended(Ending.BROKEN if broken else Ending.MALFORMED, str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            yield from self.more(until)

    def more(self, until: int | None) -> Coroutine[None]:
        """Bring more bytes, or the end of the stream, to the parser."""
        yield from self.pace(until)
        while not len(self.buffer):
            try:
                got = self.buffer.fill(self.sock)
            except BlockingIOError:
                if not (yield self.sock.fileno(), READ, until):
                    raise Ended(Ending.TIMED_OUT) from None
            except OSError as error:
                raise Ended(Ending.BROKEN, str(error)) from None
            else:
                self.spend(got)
                if not got:
                    self.ended = True
                    self.parser.receive_data(b"")
                    return
        self.buffer.feed(self.parser)

    def spend(self, amount: int) -> None:
        """Count bytes, or work as dear as so many bytes, against this turn's share."""
        if self._turn != self.loop.now:
            self._turn, self._spent = self.loop.now, 0
        self._spent += amount

    def pace(self, until: int | None = None) -> Coroutine[None]:
        """Go on in the next turn of the loop if this turn's share is spent.

        Guards everybody else, and `loop.now`, against a far end that sends as fast as it is read.
        """
        if self._turn == self.loop.now and self._spent >= TURN_SHARE:
            if until is not None and self.loop.now >= until:
                raise Ended(Ending.TIMED_OUT)
            yield -1, 0, self.loop.now + 1

    def fresh(self) -> bool:
        """Whether the far end still holds this idle connection open and has said nothing out of turn."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not len(self.buffer)
        except OSError:
            return False
        return False


def listen(at: Address, backlog: int, shared: bool = False) -> socket.socket:
    """A listening socket that does not block; `shared` lets others listen beside it. Raises OSError."""
    family = socket.AF_INET6 if ":" in at[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(at)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def connect(loop: Loop, to: Address, until: int, host: str = "") -> Coroutine[Connection]:
    """Open a client's connection, from `host` where one is named.

    Raises Ended REFUSED when it does not come up in time, WITHDRAWN when no socket can be had here.
    """
    family = socket.AF_INET6 if ":" in to[0] else socket.AF_INET
    try:
        sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as none_left:  # no descriptor or memory: the far end has no part in that
        raise Ended(Ending.WITHDRAWN, str(none_left)) from None
    done = False
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if host:
            sock.bind((host, 0))
        try:
            sock.connect(to)
        except BlockingIOError:
            if not (yield sock.fileno(), WRITE, until):
                raise Ended(Ending.REFUSED, "connect timed out") from None
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                raise OSError(error, "connect failed") from None
        done = True
        return Connection(loop, sock, h11.CLIENT)
    except OSError as error:
        raise Ended(Ending.REFUSED, str(error)) from None
    finally:
        if not done:
            loop.close(sock)


class Lines:
    """Splits a stream that comes in pieces into lines."""

    def __init__(self, limit: int, blanks: bool = False) -> None:
        self._held = bytearray()
        self._limit = limit
        self._blanks = blanks  # whether empty lines are told

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now. Raises Ended MALFORMED for one that is too long."""
        self._held += data
        if b"\n" not in data:
            whole: list[bytes] = []
        else:
            *whole, rest = bytes(self._held).split(b"\n")
            self._held[:] = rest
        if len(self._held) > self._limit or any(len(line) > self._limit for line in whole):
            raise Ended(Ending.MALFORMED, f"a line of over {self._limit} bytes")
        return [line for line in (part.strip() for part in whole) if line or self._blanks]


def shut_writing(sock: socket.socket) -> None:
    """Say that nothing more will be sent."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
