"""Handover between two processes of one dispatcher: the listening socket and the client connections.

The processes talk over a Unix socket in the shared directory, one message per packet, with file descriptors
attached (SCM_RIGHTS). A successor introduces itself and receives the listener, so there is one accept queue,
which is never closed. Once it accepts clients it announces that and puts its own socket in place of the
old one. When the old process is told to stop, each idle client connection changes its owner. The client
does not notice: what it sends meanwhile stays in the kernel until the next owner reads it.
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
from heronstall.events import log_event
from heronstall.net.loop import READ, Coroutine, Loop, Task, sleep

VERSION = 1
MAX_PACKET_BYTES = 200 * 1024  # a larger server list is not handed over
HELLO_TIMEOUT_S = (
    1.0  # how long a starting process waits for a running one's answer, before it serves anything
)
RETRY_DELAY_US = 20_000  # between checks whether this process accepts clients, and after a failed accept
IDS_PER_PACKET = 512
MAX_SOCKET_PATH_BYTES = 100  # the kernel limits the path of a Unix socket
log = logging.getLogger("heronstall.succession")


class Predecessor(NamedTuple):
    """What a running process has handed over so far."""

    channel: socket.socket
    listener: socket.socket
    server_list: Any  # in the discovery service's form, or None


def _packet(**fields: Any) -> bytes:
    return ujson.dumps({"v": VERSION, **fields}).encode()


def _parse(data: bytes) -> dict[str, Any]:
    """Parses a message. Raises ValueError."""
    message = ujson.loads(data)
    if not isinstance(message, dict) or message.get("v") != VERSION:
        raise ValueError("a message of another version")
    return message


@contextlib.contextmanager
def _socket_name(path: Path) -> Iterator[str]:
    """Yields the path, or a short alias of it where the path is too long for a Unix socket."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    directory = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


def connect_predecessor(path: Path, node: str, listen: Address) -> Predecessor | None:
    """Asks a running process, if any, for its listening socket. Blocks for at most HELLO_TIMEOUT_S."""
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel.settimeout(HELLO_TIMEOUT_S)
    fds: list[int] = []
    try:
        with _socket_name(path) as name:
            channel.connect(name)
        channel.send(_packet(node=node, listen=list(listen)))
        data, fds, _, _ = socket.recv_fds(channel, MAX_PACKET_BYTES, 1)
        message = _parse(data)
        if not fds:
            raise ValueError(str(message.get("no") or "no listening socket received"))
        return Predecessor(channel, socket.socket(fileno=fds[0]), message.get("table"))
    except (FileNotFoundError, ConnectionRefusedError):
        pass  # no process is running
    except (OSError, ValueError) as error:
        for fd in fds:
            os.close(fd)
        log_event(log, events.HANDOVER_FAILED, reason=str(error) or type(error).__name__)
    channel.close()
    return None


class Sharing(enum.Enum):
    """With which other process this one shares the dispatcher's descriptors and memory."""

    NONE = "no other process"
    WITH_SERVING_PROCESS = "a process that accepts clients as well"
    WITH_STOPPING_PROCESS = "a process that hands over its clients"


class ProcessHandover:
    """This process's part in handovers: successor of the previous process, predecessor of the next one."""

    def __init__(
        self,
        loop: Loop,
        path: Path,
        node: str,
        listen: Address,
        listener: socket.socket,
        accepting: Callable[[], bool],
        server_list: Callable[[], Any],
    ) -> None:
        self._loop, self._path, self._node, self._listen = loop, path, node, listen
        self._listener, self._accepting, self._server_list = listener, accepting, server_list
        self._own_socket: socket.socket | None = None
        self._accept_task: Task | None = None
        self._successor: socket.socket | None = None  # channel to a process that accepts clients as well
        self._predecessor: socket.socket | None = None  # channel to the previous process, while it lives
        self.adopt_connection: Callable[[socket.socket, bool], None] = lambda sock, proven: sock.close()
        self.add_known_ids: Callable[[list[str]], None] = lambda ids: None  # ids of other processes' jobs
        self.announced = False  # the previous process has been told that this one accepts clients
        self.on_successor_ready: Callable[[], None] = lambda: None  # a successor accepts clients from now on
        self.on_sharing_changed: Callable[[Sharing], None] = lambda sharing: None
        self.on_successor_lost: Callable[[bool], None] = lambda alone: (
            None
        )  # whether no other process is left

    # ------------------------------------------------------------------ as the successor

    def inherit(self, channel: socket.socket) -> None:
        """Receives what the previous process hands over from now on."""
        channel.setblocking(False)
        self._predecessor = channel
        self.on_sharing_changed(Sharing.WITH_SERVING_PROCESS)
        self._loop.spawn(self._receive_handover(channel), "inheriting")

    def _receive_handover(self, channel: socket.socket) -> Coroutine[None]:
        adopted = 0
        while True:
            try:
                data, fds, _, _ = socket.recv_fds(channel, MAX_PACKET_BYTES, 1)
            except BlockingIOError:
                yield channel.fileno(), READ, None
                continue
            except OSError:
                break
            if not data:
                break
            socks = [socket.socket(fileno=fd) for fd in fds]
            try:
                message = _parse(data)
                if "ids" in message:
                    self.add_known_ids([str(name) for name in message["ids"]])
                    self.on_sharing_changed(Sharing.WITH_STOPPING_PROCESS)
                for sock in socks:
                    self.adopt_connection(sock, message.get("proven") is True)
                    adopted += 1
            except (ValueError, TypeError) as error:
                for sock in socks:
                    sock.close()
                log_event(log, events.HANDOVER_FAILED, reason=str(error))
        self._loop.close(channel)
        self._predecessor = None
        self.on_sharing_changed(Sharing.NONE if self._successor is None else Sharing.WITH_SERVING_PROCESS)
        log_event(log, events.PREDECESSOR_ENDED, connections=adopted)

    # ------------------------------------------------------------------ as the predecessor

    def announce(self) -> None:
        """Tells the previous process once this one accepts clients, and starts listening for a successor."""
        if not self._accepting():
            self._loop.at(self._loop.now + RETRY_DELAY_US, self.announce)
            return
        if self._predecessor is not None:
            with contextlib.suppress(OSError):
                self._predecessor.send(_packet(ready=True))
        self._publish_socket()
        self.announced = True

    def _publish_socket(self) -> None:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        temporary = self._path.with_suffix(f".{os.urandom(4).hex()}")
        try:
            with _socket_name(temporary) as name:
                sock.bind(name)
            sock.listen(8)
            os.replace(temporary, self._path)
        except OSError as error:
            sock.close()
            log_event(log, events.HANDOVER_IMPOSSIBLE, reason=str(error))
            return
        if self._accept_task is not None and self._own_socket is not None:
            self._accept_task.kill()
            self._loop.close(self._own_socket)
        self._own_socket = sock
        self._accept_task = self._loop.spawn(self._accept_successors(sock), "successors")

    def _accept_successors(self, sock: socket.socket) -> Coroutine[None]:
        while True:
            try:
                channel, _ = sock.accept()
            except BlockingIOError:
                yield sock.fileno(), READ, None
            except OSError as error:  # do not spin when descriptors run out: a successor can wait
                log_event(log, events.ACCEPT_FAILED, reason=str(error))
                yield from sleep(self._loop.now + RETRY_DELAY_US)
            else:
                channel.setblocking(False)
                self._loop.spawn(self._serve_successor(channel), "a successor")

    def _serve_successor(self, channel: socket.socket) -> Coroutine[None]:
        """Serves one process that may become the successor."""
        try:
            while True:
                try:
                    data = channel.recv(MAX_PACKET_BYTES)
                except BlockingIOError:
                    yield channel.fileno(), READ, None
                    continue
                if not data:
                    break
                message = _parse(data)
                if message.get("ready") is True:
                    self._successor = channel
                    log_event(log, events.SUCCESSOR_READY)
                    self.on_sharing_changed(Sharing.WITH_SERVING_PROCESS)
                    self.on_successor_ready()
                else:
                    self._answer_hello(channel, message)
        except (OSError, ValueError) as error:
            log_event(log, events.HANDOVER_FAILED, reason=str(error))
        finally:
            self._loop.close(channel)
            if self._successor is channel:
                self._successor = None
                self.on_sharing_changed(
                    Sharing.NONE if self._predecessor is None else Sharing.WITH_SERVING_PROCESS
                )
                log_event(log, events.SUCCESSOR_LOST)
                alone = not self._socket_answers()
                if alone:  # otherwise a later process listens there already, and must not be replaced
                    self._publish_socket()
                self.on_successor_lost(alone)

    def _socket_answers(self) -> bool:
        """Returns whether some process answers at the path where a successor would connect."""
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK) as probe:
            try:
                with _socket_name(self._path) as name:
                    probe.connect(name)
            except BlockingIOError:
                return True  # it listens, and its backlog is full
            except OSError:
                return False
        return True

    def _answer_hello(self, channel: socket.socket, message: dict[str, Any]) -> None:
        if message.get("node") != self._node or message.get("listen") != list(self._listen):
            channel.send(_packet(no="another node or address"))
            return
        server_list = self._server_list()
        packet = _packet(table=server_list)
        if len(packet) > MAX_PACKET_BYTES:
            packet = _packet(table=None)
        socket.send_fds(channel, [packet], [self._listener.fileno()])

    @property
    def has_successor(self) -> bool:
        """Whether another process accepts this one's clients."""
        return self._successor is not None

    def pass_connection(self, sock: socket.socket, proven: bool) -> bool:
        """Hands a client connection to the successor and returns whether it arrived.

        The caller closes its own descriptor in either case.
        """
        if self._successor is None:
            return False
        try:
            socket.send_fds(self._successor, [_packet(proven=proven)], [sock.fileno()])
        except OSError:  # the channel is full, or the successor has gone
            return False
        return True

    def leave(self, ids: list[str]) -> None:
        """Tells the successor that this process stops, and the ids of the jobs that it had."""
        if self._successor is not None:
            for start in range(0, max(1, len(ids)), IDS_PER_PACKET):
                with contextlib.suppress(OSError):
                    self._successor.send(_packet(ids=ids[start : start + IDS_PER_PACKET]))
