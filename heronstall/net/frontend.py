"""The clients' side: sessions in HTTP, /healthz, and the final answers."""

from __future__ import annotations

import contextlib
import logging
import socket
from collections.abc import Callable
from http import HTTPStatus
from itertools import islice
from typing import Any

import h11

from heronstall import events
from heronstall import interface as i
from heronstall.config import Config
from heronstall.events import log_event
from heronstall.net.backend import Job
from heronstall.net.client_request import BadRequest, RequestCheck, check_framing, job_of
from heronstall.net.connection import BODY_LIMIT, Connection, Ended, Ending, listen, shut_writing
from heronstall.net.dispatcher import Answer, Dispatcher
from heronstall.net.loop import LEFT, READ, Coroutine, Loop, Task, sleep
from heronstall.net.shutdown import GracefulShutdown, Stage

BACKLOG = 1024
IDLE_TIME = 120_000_000  # a client's connection without a request
# From a request's first byte to its last, and for a connection that has yet to bring one that can be used.
# A usual client writes a request in one go; one that cannot be read is owed its error or close within 3 s.
REQUEST_TIME = 2_000_000
WRITE_TIME = 10_000_000  # for a client to read its answer
LINGER_TIME = 1_000_000
ACCEPT_PAUSE = 20_000
ACCEPTS = 16  # in one turn of the loop: those served must not wait for a flood of new ones
PARSING = 4096  # a request's own work, in bytes: so many small ones make up a connection's share of a turn
# All bodies together, of requests half read or not yet answered, may hold a third of the memory that the
# program does not need for itself.
OWN_MEMORY, BODIES_PART = 20 * 1024 * 1024, 3
CANDIDATES = 8  # connections looked at when one is to be given up
HAND_AGAIN = 10_000  # between looks at what an heir can be handed
IDS_KEPT, IDS_TOLD = 8192, 1024  # of the latest requests; those that an heir is told
SCRAP = bytearray(64 * 1024)  # what is read only to be thrown away
READ_OFF = 4  # times that much at the most, before a close that cannot wait
DEAF_TIME = 750_000  # after closing has begun, no new connection is taken any more
QUIET_TIME = 300_000  # a connection that has idled for so long can go in a drain
# SIGKILL comes no sooner after SIGTERM than the longest deadline, taken as 3 s where it is longer, and 0.7 s
# more. What came later than 0.7 s and has no answer then is lost: so whoever comes late is answered before.
KILL_AFTER, LONGEST_DEADLINE = 700_000, 3_000_000
LATE, BEFORE_KILL = 600_000, 200_000
TEXT = (b"Content-Type", b"text/plain; charset=utf-8")
REASON = {status.value: status.phrase.encode() for status in HTTPStatus}
log = logging.getLogger("heronstall.frontend")


Incoming = tuple[h11.Request, "i.Arrival | None", bytes]


class Frontend:
    """Accepts clients, reads their requests and gives each one final answer."""

    def __init__(
        self,
        config: Config,
        loop: Loop,
        dispatcher: Dispatcher,
        ready: Callable[[], bool],
        limit: int,
        shutdown: GracefulShutdown,
        listener: socket.socket | None = None,
    ) -> None:
        self._config, self._loop, self._dispatcher = config, loop, dispatcher
        self._requests = RequestCheck(config)
        self._ready, self._shutdown = ready, shutdown
        shutdown.close_idle, shutdown.close_up = self._close_idle, self._close_up
        self._clients: dict[Connection, Task] = {}
        # In the order in which they are given up when room is wanted, each the longest waiting first: those
        # that are answered and only to be closed; those that have never brought a request that can be used,
        # or hold a part of one, or had an error last; those between requests.
        self._lingering: dict[Connection, None] = {}
        self._unproven: dict[Connection, None] = {}
        self._idle: dict[Connection, None] = {}
        self._bodies: dict[Connection, int] = {}  # bytes held for each
        self._held = 0  # their sum
        self.share(limit, False)
        self._ids: dict[bytes, None] = {}  # of the latest requests, so that none is taken for another
        self._closing = self._deaf = False
        longest = max(c.deadline for c in config.settings.classes)
        # From a signal to shortly before the kill that may follow it.
        self._last = min(longest, LONGEST_DEADLINE) + KILL_AFTER - BEFORE_KILL
        self._deaf_at = 0  # when new connections are taken no more at the latest, once closing
        self._finished: Callable[[], None] = loop.stop
        self._pass_on: Callable[[socket.socket, bool], bool] | None = None  # while clients go to an heir
        # Shared: should no process hand its listener over, a replacement can still listen beside it.
        self._listener = listener or listen(config.listen, BACKLOG, shared=config.operator is not None)
        self._listener.setblocking(False)
        self._accepting = loop.spawn(self._accept(), "accept")

    # ------------------------------------------------------------------ connections

    def _accept(self) -> Coroutine[None]:
        taken = 0  # in this turn of the loop
        while not self._deaf_at or self._loop.now < self._deaf_at:
            full = len(self._clients) > self._limit
            if taken and (full or taken >= ACCEPTS):  # those just taken are read before any is given up
                taken = 0
                yield from sleep(self._loop.now + 1)
                continue
            if full and not self._make_room():
                yield from sleep(self._loop.now + ACCEPT_PAUSE)  # the backlog holds them until one ends
                continue
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                if self._closing:
                    break  # whoever the kernel had accepted gets an answer
                taken = 0
                yield self._listener.fileno(), READ, None
            except ConnectionAbortedError:
                continue
            except OSError as error:
                # Guards against spinning when descriptors run out (EMFILE): the backlog keeps the clients.
                log_event(log, events.ACCEPT_FAILED, reason=str(error))
                self._make_room()
                yield from sleep(self._loop.now + ACCEPT_PAUSE)
            else:
                taken += 1
                self.adopt(sock)
        self._loop.close(self._listener)
        self._deaf = True
        self._ended(None)

    def share(self, limit: int, both: bool) -> None:
        """Hold so many connections at the most; `both`: two processes have the room for bodies together."""
        self._limit = limit
        room = (self._config.memory - 2 * OWN_MEMORY) // 2 if both else self._config.memory - OWN_MEMORY
        self._room = max(2 * BODY_LIMIT, room // BODIES_PART)

    def adopt(self, sock: socket.socket, proven: bool = False) -> None:
        """Serve a client's connection, new, or between requests and from the process before."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self._loop, sock, h11.SERVER)
        self._clients[connection] = self._loop.spawn(self._serve(connection, proven), "session")

    # ------------------------------------------------------------------ heirs

    @property
    def listener(self) -> socket.socket:
        """Where clients connect."""
        return self._listener

    def know(self, ids: list[str]) -> None:
        """Ids of jobs that another process has had."""
        for name in ids:
            self._remember(name.encode("latin-1", "replace"))

    def ids(self) -> list[str]:
        """The ids of the latest jobs, the newest last."""
        return [name.decode("latin-1") for name in islice(reversed(self._ids), IDS_TOLD)][::-1]

    def hand_over(self, pass_on: Callable[[socket.socket, bool], bool]) -> None:
        """Leave new clients, and the connections of all others as soon as they idle, to the heir."""
        self._pass_on = pass_on
        self._accepting.kill()
        self._deaf = True
        self._hand_again()
        self._ended(None)

    def take_back(self, alone: bool) -> None:
        """The heir has gone: go on as without one, and leave new clients to whoever else listens, if any."""
        if self._pass_on is not None:
            self._pass_on = None
            if alone:
                self._deaf = False
                self._accepting = self._loop.spawn(self._accept(), "accept")

    def _hand_again(self) -> None:
        """Hand over what idles, again and again: the way to the heir takes a few hundred at a time.

        To the end, for what is refused on the way there after an answer only idles from then on.
        """
        if self._pass_on is None:
            return
        for row in (self._idle, self._unproven):
            for connection in list(row):
                if self._hand(connection, row is self._idle):
                    self._clients[connection].kill()
        self._loop.at(self._loop.now + HAND_AGAIN, self._hand_again)

    def _hand(self, connection: Connection, proven: bool) -> bool:
        """Hand a connection to the heir if nothing of a request has been read from it; whether it has it."""
        if self._pass_on is None:
            return False
        return _between(connection) and self._pass_on(connection.sock, proven)

    def _make_room(self) -> bool:
        """Close the connection that will be missed least; False where none can be spared.

        Guards the usual clients: connections that say nothing, or never finish a request, must not keep
        them waiting in the backlog, nor cost them the connections that they keep.
        """
        for connection in self._lingering:
            _read_off(connection.sock)  # its answer may be on the way still, and a reset would overtake it
            self._clients[connection].kill()
            return True
        for row in (self._unproven, self._idle):
            for connection in list(islice(row, CANDIDATES)):
                if connection.fresh():  # else a request is there already, or the client's own close
                    self._clients[connection].kill()
                    return True
        return False

    def _retire_if_resting(self, connection: Connection) -> None:
        """End a connection between requests: what has been read of one, or lies unread, is answered first.

        It ends as one whose time is over, so that a request which crosses the end is read and thrown away:
        its client hands it in anew.
        """
        if _between(connection) and connection.fresh():
            self._clients[connection].wake(0)

    def _close_idle(self) -> None:
        """Close what has idled for a moment; who has only just come may be about to ask."""
        for connection in [*self._idle, *self._unproven]:
            if self._loop.now - connection.idle_since >= QUIET_TIME:
                self._retire_if_resting(connection)

    def _close_up(self) -> None:
        self._closing = True
        self._deaf_at = self._loop.now + DEAF_TIME
        for connection in [*self._idle, *self._unproven]:
            self._retire_if_resting(connection)
        self._accepting.step(0)

    def _ended(self, connection: Connection | None) -> None:
        if connection is not None:
            for row in (self._clients, self._lingering, self._unproven, self._idle):
                row.pop(connection, None)
            self._release(connection)
            connection.close()
        if self._deaf and not self._clients:
            self._loop.soon(self._finished)

    # ------------------------------------------------------------------ sessions

    def _serve(self, connection: Connection, proven: bool) -> Coroutine[None]:
        """`proven`: its last request for the backend servers was one that could be used."""
        parser = connection.parser
        until = self._loop.now + REQUEST_TIME  # for one that has yet to prove itself, mute or not
        try:
            while True:
                connection.spend(PARSING)
                yield from connection.pace()
                if not len(connection.buffer) and not parser.trailing_data[0]:
                    if self._hand(connection, proven):
                        return
                    row = self._idle if proven else self._unproven
                    row[connection] = None
                    connection.idle_since = self._loop.now
                    # Once closing, a connection that comes to rest only now was passed over by `_close_up`.
                    may_rest = proven and not self._closing
                    yield from connection.more(self._loop.now + IDLE_TIME if may_rest else until)
                    row.pop(connection, None)
                if proven:
                    until = self._loop.now + REQUEST_TIME
                self._unproven[connection] = None
                try:
                    read = yield from self._read(connection, until)
                    if read is None:
                        return
                    self._unproven.pop(connection, None)
                    proven = (yield from self._exchange(connection, *read)) or proven
                except BadRequest as bad:
                    self._release(connection)
                    proven, until = False, self._loop.now + REQUEST_TIME
                    self._unproven[connection] = None
                    yield from self._say(connection, bad.status, [TEXT], f"{bad}\n".encode())
                self._release(connection)
                if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
                    yield from self._linger(connection)
                    return
                parser.start_next_cycle()
        except Ended as ended:
            if ended.ending is Ending.TIMED_OUT:  # between requests
                yield from self._linger(connection)
            # Otherwise the client has gone: nobody is left to tell.
        finally:
            self._ended(connection)

    def _read(self, connection: Connection, until: int) -> Coroutine[Incoming | None]:
        """One whole request; None when the client has closed between requests."""
        request: h11.Request | None = None
        arrival: i.Arrival | None = None
        wrong: BadRequest | None = None
        body, size = bytearray(), 0
        try:
            while True:
                event = yield from connection.event(until)
                if isinstance(event, h11.Request):
                    request = event
                    check_framing(connection.head, event)
                    try:
                        arrival = self._requests.arrival(event)
                    except BadRequest as bad:
                        wrong = bad
                    if connection.parser.they_are_waiting_for_100_continue:
                        if wrong is not None:
                            raise wrong
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        yield from connection.write(connection.parser.send(go_on) or b"", until)
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    if size > BODY_LIMIT:
                        raise BadRequest(413, "body over 64 KiB")
                    # What is wrong with a head is said after its body, so that the connection can stay:
                    # one that asks wrongly again at once is cheaper so than with a new one each time.
                    if wrong is None:
                        self._hold(connection, len(event.data))
                        body += event.data
                elif isinstance(event, h11.EndOfMessage) and request is not None:
                    if wrong is not None:
                        raise wrong
                    return request, arrival, bytes(body)
                else:
                    return None
        except Ended as ended:
            if ended.ending is Ending.MALFORMED:
                raise BadRequest(400, f"malformed HTTP: {ended}") from None
            if ended.ending is Ending.TIMED_OUT:
                raise BadRequest(408, "the request did not come whole in time") from None
            raise

    def _hold(self, connection: Connection, size: int) -> None:
        """Count what is held of a body. Raises BadRequest for a large one when all hold too much together.

        Guards the memory limit, over which the program is killed. Those within an even share always pass, so
        that a few with large bodies, or many with half of one, cannot keep the others out.
        """
        self._held += size
        held = self._bodies[connection] = self._bodies.get(connection, 0) + size
        if self._held > self._room and held > self._room // self._limit:
            raise BadRequest(413, "no room for so large a body now")

    def _release(self, connection: Connection) -> None:
        self._held -= self._bodies.pop(connection, 0)

    def _exchange(
        self, connection: Connection, request: h11.Request, arrival: i.Arrival | None, body: bytes
    ) -> Coroutine[bool]:
        """Answer a whole request; whether it was one for the backend servers."""
        if arrival is None:
            good = self._ready() and not self._shutdown.unavailable
            yield from self._say(
                connection, 200 if good else 503, [TEXT], b"ready\n" if good else b"not ready\n"
            )
            return False
        job = self._job(request, body)
        task = self._clients[connection]
        session = self._dispatcher.submit(arrival, job, task.wake)
        session.client_left = connection.far_end_left
        last = session.deadline + self._config.settings.answer_grace
        shutdown = self._shutdown
        late = shutdown.stage is Stage.STOPPING and self._loop.now - shutdown.signalled_at >= LATE
        if late:
            last = min(last, shutdown.signalled_at + self._last)
        got: Any = 0
        try:
            got = yield connection.sock.fileno(), LEFT, last
        finally:
            if not isinstance(got, Answer):
                self._dispatcher.client_gone(session)
        if isinstance(got, Answer):
            yield from self._give(connection, got)
        elif got:
            raise Ended(Ending.CLOSED)
        else:
            if late:
                log_event(log, events.REQUEST_LATE_IN_DRAIN, request=job.id)
            else:
                log_event(log, events.REQUEST_UNANSWERED, request=job.id)
            yield from self._give(connection, Answer("failed"))
        return True

    def _job(self, request: h11.Request, body: bytes) -> Job:
        """What is passed on. Raises BadRequest for an id that another request had.

        Guards the backend servers against a second copy: to them, whatever bears the id is that request.
        """
        job = job_of(request, body)
        name = job.id.encode("latin-1")
        if name in self._ids:
            raise BadRequest(400, "Req-Id: another request has it")
        self._remember(name)
        return job

    def _remember(self, name: bytes) -> None:
        self._ids[name] = None
        if len(self._ids) > IDS_KEPT:
            del self._ids[next(iter(self._ids))]

    # ------------------------------------------------------------------ answers

    def _give(self, connection: Connection, answer: Answer) -> Coroutine[None]:
        if answer.kind == "served":
            yield from self._say(connection, 200, [TEXT], answer.body)
        elif answer.kind == "refused":
            wait = [(b"Retry-After", b"%.3f" % (answer.retry_after / 1e6))] if answer.retry_after else []
            yield from self._say(connection, 503, [TEXT, *wait], b"refused\n")
        elif answer.kind == "unusable":
            yield from self._say(connection, 400, [TEXT], b"no backend server can use this request\n")
        else:
            yield from self._say(connection, 500, [TEXT], b"failed\n")

    def _say(
        self, connection: Connection, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> Coroutine[None]:
        parser = connection.parser
        if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            raise Ended(Ending.CLOSED)
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        if self._parts(connection) or parser.their_state not in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            headers.append((b"Connection", b"close"))
        data = parser.send(h11.Response(status_code=status, headers=headers, reason=REASON[status])) or b""
        data += (parser.send(h11.Data(data=body)) or b"") + (parser.send(h11.EndOfMessage()) or b"")
        yield from connection.write(data, self._loop.now + WRITE_TIME)

    def _parts(self, connection: Connection) -> bool:
        """Whether an answer ends its connection: on the way out, unless the next request is there already.

        Guards requests that were sent behind another one: with the connection they would be lost.
        """
        shutdown = self._shutdown
        if not shutdown.closing_connections or self._pass_on is not None:
            return False
        due = shutdown.stage is Stage.STOPPING and self._loop.now - shutdown.signalled_at >= self._last
        return due or (not connection.parser.trailing_data[0] and connection.fresh())

    def _linger(self, connection: Connection) -> Coroutine[None]:
        """Read on for a moment after a last answer.

        Guards against a reset that overtakes the answer: closing with bytes unread would send one.
        """
        shut_writing(connection.sock)
        for row in (self._unproven, self._idle):
            row.pop(connection, None)
        self._lingering[connection] = None
        until = self._loop.now + LINGER_TIME
        while self._loop.now < until:
            try:
                got = connection.sock.recv_into(SCRAP)
            except BlockingIOError:
                yield connection.sock.fileno(), READ, until
            except OSError:
                return
            else:
                if not got:
                    return
                connection.spend(got // 4)  # to throw bytes away is less work than to read them
                yield from connection.pace()


def _between(connection: Connection) -> bool:
    """Whether nothing of a request has been read."""
    parser = connection.parser
    return parser.their_state is h11.IDLE and not parser.trailing_data[0] and not len(connection.buffer)


def _read_off(sock: socket.socket) -> None:
    """Throw away what has come and is unread, up to a bound."""
    with contextlib.suppress(OSError):
        for _ in range(READ_OFF):
            if not sock.recv_into(SCRAP):
                return
