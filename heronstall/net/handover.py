"""Two processes, one dispatcher: a running process hands its successor the listening socket and its clients.

A Unix socket in the shared folder, one message a packet, descriptors beside it (SCM_RIGHTS). The successor
says hello and gets the listener: there is one accept queue, which nobody ever closes. Once it takes clients
it says so and puts its own socket in the place of the old one. When the old process is told to stop, each
client connection that idles changes its owner: its client sees nothing, and what it sends meanwhile waits in
the kernel for whoever reads next.
"""

from __future__ import annotations

import contextlib
import enum
import logging
import os
import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import ujson

from heronstall import events
from heronstall.config import Address
from heronstall.events import say
from heronstall.net.loop import READ, Coroutine, Loop, Task, sleep

VERSION = 1
PACKET = 200 * 1024  # bytes of a message at the most; a server list beyond it stays behind
HELLO_TIME = 1.0  # seconds that a successor waits, before it serves anything, for a running process
LOOK = 20_000  # between looks at whether this process takes clients by now
IDS_AT_ONCE = 512
NAME_LIMIT = 100  # bytes of a Unix socket's path
log = logging.getLogger("heronstall.succession")


class Predecessor(NamedTuple):
    """What a running process has handed over so far."""

    channel: socket.socket
    listener: socket.socket
    table: Any  # its server list in discovery's form, or None


def _packet(**told: Any) -> bytes:
    return ujson.dumps({"v": VERSION, **told}).encode()


def _read(data: bytes) -> dict[str, Any]:
    """A message. Raises ValueError."""
    told = ujson.loads(data)
    if not isinstance(told, dict) or told.get("v") != VERSION:
        raise ValueError("a message of another version")
    return told


@contextlib.contextmanager
def _reachable(path: Path) -> Iterator[str]:
    """The path, or a short one to the same place: a Unix socket's may not be long."""
    if len(os.fsencode(path)) <= NAME_LIMIT:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def claim(path: Path, node: str, listen: Address) -> Predecessor | None:
    """Ask the process that runs, if any, for its listening socket. Blocks, for HELLO_TIME at the most."""
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel.settimeout(HELLO_TIME)
    fds: list[int] = []
    try:
        with _reachable(path) as name:
            channel.connect(name)
        channel.send(_packet(node=node, listen=list(listen)))
        data, fds, _, _ = socket.recv_fds(channel, PACKET, 1)
        told = _read(data)
        if not fds:
            raise ValueError(str(told.get("no") or "no listening socket came"))
        return Predecessor(channel, socket.socket(fileno=fds[0]), told.get("table"))
    except (FileNotFoundError, ConnectionRefusedError):
        pass  # nobody runs
    except (OSError, ValueError) as error:
        for fd in fds:
            os.close(fd)
        say(log, events.NOT_HANDED, reason=str(error) or type(error).__name__)
    channel.close()
    return None


class Sharing(enum.Enum):
    """With whom this process shares what the dispatcher may hold."""

    ALONE = "nobody"
    BESIDE = "a process that takes clients as well"
    AFTER = "a process that hands its clients over"


class ProcessHandover:
    """This process's part: heir of the one before, and predecessor of the next."""

    def __init__(
        self,
        loop: Loop,
        path: Path,
        node: str,
        listen: Address,
        listener: socket.socket,
        taking: Callable[[], bool],
        table: Callable[[], Any],
    ) -> None:
        self._loop, self._path, self._node, self._listen = loop, path, node, listen
        self._listener, self._taking, self._table = listener, taking, table
        self._own: socket.socket | None = None
        self._serving: Task | None = None
        self._heir: socket.socket | None = None  # a process that takes clients as well
        self._before: socket.socket | None = None  # the process that we have come after, while it lives
        self.adopt: Callable[[socket.socket, bool], None] = lambda sock, proven: sock.close()
        self.know: Callable[[list[str]], None] = lambda ids: None  # ids of jobs that others had
        self.begun = False  # this process has told the one before that it takes clients
        self.heired: Callable[[], None] = lambda: None  # an heir takes clients from now on
        self.shared: Callable[[Sharing], None] = lambda share: None  # with whom this process shares the room
        self.orphaned: Callable[[bool], None] = lambda alone: None  # the heir has gone; whether all have

    # ------------------------------------------------------------------ heir

    def inherit(self, channel: socket.socket) -> None:
        """Go on with what the process before hands over."""
        channel.setblocking(False)
        self._before = channel
        self.shared(Sharing.BESIDE)
        self._loop.spawn(self._inherit(channel), "inheriting")

    def _inherit(self, channel: socket.socket) -> Coroutine[None]:
        taken = 0
        while True:
            try:
                data, fds, _, _ = socket.recv_fds(channel, PACKET, 1)
            except BlockingIOError:
                yield channel.fileno(), READ, None
                continue
            except OSError:
                break
            if not data:
                break
            socks = [socket.socket(fileno=fd) for fd in fds]
            try:
                told = _read(data)
                if "ids" in told:
                    self.know([str(name) for name in told["ids"]])
                    self.shared(Sharing.AFTER)
                for sock in socks:
                    self.adopt(sock, told.get("proven") is True)
                    taken += 1
            except (ValueError, TypeError) as error:
                for sock in socks:
                    sock.close()
                say(log, events.NOT_HANDED, reason=str(error))
        self._loop.close(channel)
        self._before = None
        self.shared(Sharing.ALONE if self._heir is None else Sharing.BESIDE)
        say(log, events.INHERITED, connections=taken)

    # ------------------------------------------------------------------ predecessor

    def begin(self) -> None:
        """Once this process takes clients, say so to the one before and stand where the next will ask."""
        if not self._taking():
            self._loop.at(self._loop.now + LOOK, self.begin)
            return
        if self._before is not None:
            with contextlib.suppress(OSError):
                self._before.send(_packet(ready=True))
        self._publish()
        self.begun = True

    def _publish(self) -> None:
        own = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        aside = self._path.with_suffix(f".{os.urandom(4).hex()}")
        try:
            with _reachable(aside) as name:
                own.bind(name)
            own.listen(8)
            os.replace(aside, self._path)
        except OSError as error:
            own.close()
            say(log, events.NO_SUCCESSION, reason=str(error))
            return
        if self._serving is not None and self._own is not None:
            self._serving.kill()
            self._loop.close(self._own)
        self._own = own
        self._serving = self._loop.spawn(self._heirs(own), "heirs")

    def _heirs(self, own: socket.socket) -> Coroutine[None]:
        while True:
            try:
                channel, _ = own.accept()
            except BlockingIOError:
                yield own.fileno(), READ, None
            except OSError as error:  # guards against spinning when descriptors run out: an heir can wait
                say(log, events.ACCEPT_FAILED, reason=str(error))
                yield from sleep(self._loop.now + LOOK)
            else:
                channel.setblocking(False)
                self._loop.spawn(self._meet(channel), "an heir")

    def _meet(self, channel: socket.socket) -> Coroutine[None]:
        """One process that may become the heir."""
        try:
            while True:
                try:
                    data = channel.recv(PACKET)
                except BlockingIOError:
                    yield channel.fileno(), READ, None
                    continue
                if not data:
                    break
                told = _read(data)
                if told.get("ready") is True:
                    self._heir = channel
                    say(log, events.HEIR)
                    self.shared(Sharing.BESIDE)
                    self.heired()
                else:
                    self._answer(channel, told)
        except (OSError, ValueError) as error:
            say(log, events.NOT_HANDED, reason=str(error))
        finally:
            self._loop.close(channel)
            if self._heir is channel:
                self._heir = None
                self.shared(Sharing.ALONE if self._before is None else Sharing.BESIDE)
                say(log, events.HEIR_LOST)
                alone = not self._answered()
                if alone:  # guards whoever has come after the heir and stands there by now
                    self._publish()
                self.orphaned(alone)

    def _answered(self) -> bool:
        """Whether some process answers where an heir would ask."""
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK) as ask:
            try:
                with _reachable(self._path) as name:
                    ask.connect(name)
            except BlockingIOError:
                return True  # and is asked by many
            except OSError:
                return False
        return True

    def _answer(self, channel: socket.socket, told: dict[str, Any]) -> None:
        if told.get("node") != self._node or told.get("listen") != list(self._listen):
            channel.send(_packet(no="another node or address"))
            return
        table = self._table()
        packet = _packet(table=table)
        if len(packet) > PACKET:
            packet = _packet(table=None)
        socket.send_fds(channel, [packet], [self._listener.fileno()])

    @property
    def heir(self) -> bool:
        """Whether another process takes this one's clients."""
        return self._heir is not None

    def pass_on(self, sock: socket.socket, proven: bool) -> bool:
        """Hand a client's connection to the heir; whether it has it. It is ours to close in either case."""
        if self._heir is None:
            return False
        try:
            socket.send_fds(self._heir, [_packet(proven=proven)], [sock.fileno()])
        except OSError:  # its queue is full, or it has gone
            return False
        return True

    def leave(self, ids: list[str]) -> None:
        """Tell the heir that this process leaves, and the ids of the jobs that it had."""
        if self._heir is not None:
            for at in range(0, max(1, len(ids)), IDS_AT_ONCE):
                with contextlib.suppress(OSError):
                    self._heir.send(_packet(ids=ids[at : at + IDS_AT_ONCE]))
