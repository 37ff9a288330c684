"""What stands between two parties of a run and can go wrong: a relay of TCP, and one of UDP datagrams.

Each direction is a `Way` of its own. What befalls it is set from outside at any moment, or in the very
moment in which a counted byte or message arrives, before it goes on: so a test reaches a point without
sleeping. A message is a line. Every fault counts what it did; one that did nothing did not happen.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable
from typing import Literal, cast

from heronstall.lab.listener import Listener

Direction = Literal["there", "back"]
CHUNK = 64 * 1024
LINGER_OFF = b"\x01\x00\x00\x00\x00\x00\x00\x00"
Trap = Callable[[], None]


class Way:
    """One direction of a link, over all its connections."""

    def __init__(self, draw: random.Random) -> None:
        self._draw = draw
        self.delay = self.jitter = 0.0  # seconds
        self.rate = 0.0  # bytes a second; 0: unbounded
        self.loss = self.reorder = self.garble = 0.0  # parts: of datagrams, and of chunks that are spoilt
        self._open = asyncio.Event()
        self._open.set()
        self.took: dict[str, int] = {}
        self.bytes = 0
        self._traps: list[tuple[bytes, str, int, Trap]] = []
        self._seen: dict[int, int] = {}

    @property
    def silent(self) -> bool:
        """Whether nothing comes through."""
        return not self._open.is_set()

    def silence(self, on: bool) -> None:
        """Let nothing through; what comes meanwhile waits, as the network's own repeats would have it."""
        if on:
            self._open.clear()
        else:
            self._open.set()

    def trap(self, says: bytes, unit: str, nth: int, call: Trap) -> None:
        """Have `call` made when the nth message that holds `says`, or the nth byte, is about to go on."""
        self._traps.append((says, unit, nth, call))

    def count(self, what: str, by: int = 1) -> None:
        """A fault did something."""
        self.took[what] = self.took.get(what, 0) + by

    def arrived(self, data: bytes) -> int:
        """Bytes have come; how many of them go on before a trap that they spring."""
        upto = len(data)
        for trap in list(self._traps):
            says, unit, nth, call = trap
            if unit == "bytes":
                if self.bytes + len(data) < nth:
                    continue
                upto = min(upto, max(0, nth - self.bytes - 1))
            else:
                at, seen = 0, self._seen.get(id(trap), 0)
                for row in data.splitlines(keepends=True):
                    if says in row:
                        seen += 1
                        if seen == nth:
                            break
                    at += len(row)
                self._seen[id(trap)] = seen
                if seen < nth:
                    continue
                upto = min(upto, at)
            self._traps.remove(trap)
            self.count("sprung")
            call()
        self.bytes += len(data)
        return upto

    async def pass_on(self, data: bytes) -> bytes:
        """Wait as this way has it; the bytes as they come out."""
        if self.silent:
            self.count("silence", len(data))
            await self._open.wait()
        if self.delay or self.jitter:
            self.count("delay", len(data))
            await asyncio.sleep(self.delay + self._draw.random() * self.jitter)
        if self.rate:
            self.count("rate", len(data))
            await asyncio.sleep(len(data) / self.rate)
        if self.garble and self._draw.random() < self.garble:
            self.count("garble")
            data = bytes(byte ^ 0x5A for byte in data)
        return data


class Carried:
    """What one party says to another over TCP, whoever took the connection, carried on to its target."""

    def __init__(self, target: tuple[str, int], there: Way, back: Way) -> None:
        self.target, self.there, self.back = target, there, back
        self._pairs: dict[Pair, None] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._held: list[socket.socket] = []
        self._state: Literal["open", "refuse", "mute"] = "open"
        self.connections = 0

    def way(self, direction: Direction) -> Way:
        """One direction."""
        return self.there if direction == "there" else self.back

    def door(self, state: Literal["open", "refuse", "mute"]) -> None:
        """What becomes of new connections: a mute one takes them and says nothing."""
        self._state = state

    def accepted(self, sock: socket.socket) -> None:
        """A connection has come."""
        if self._state == "refuse":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
            sock.close()
            return
        if self._state == "mute":
            self._held.append(sock)
            return
        self.connections += 1
        task = asyncio.get_running_loop().create_task(self._serve(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: sock.close())  # of one that was cancelled before it began, too

    async def _serve(self, near: socket.socket) -> None:
        """Carry both directions until both have ended, or one has broken.

        Neither socket is closed while a direction waits on it: the event loop would keep its number as one
        that it knows, and the next socket that gets this number could not be waited on (ENOENT).
        """
        loop = asyncio.get_running_loop()
        far = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        task = asyncio.current_task()
        assert task is not None
        pair = Pair(near, far, task)
        self._pairs[pair] = None
        try:
            await loop.sock_connect(far, self.target)
            async with asyncio.TaskGroup() as directions:  # where one breaks, the other is ended first
                directions.create_task(self._pump(pair, near, far, self.there))
                directions.create_task(self._pump(pair, far, near, self.back))
        except* OSError:
            pair.reset()  # the far end cannot be reached, or has broken: the near one sees that
        finally:
            self._pairs.pop(pair, None)
            pair.close()

    async def _pump(self, pair: Pair, source: socket.socket, sink: socket.socket, way: Way) -> None:
        loop = asyncio.get_running_loop()
        while True:
            data = await loop.sock_recv(source, CHUNK)
            if not data:
                await way.pass_on(b"")
                with contextlib.suppress(OSError):
                    sink.shutdown(socket.SHUT_WR)
                return
            upto = way.arrived(data)
            for part in (data[:upto], data[upto:]):
                if part and not pair.over:
                    if part is not data and upto < len(data):
                        await asyncio.sleep(0)
                    out = await way.pass_on(part)
                    if not pair.over:
                        await loop.sock_sendall(sink, out)

    def reset(self) -> int:
        """Break every connection; how many there were."""
        pairs = list(self._pairs)
        for pair in pairs:
            pair.reset()
        self.there.count("reset", len(pairs))
        return len(pairs)

    def half_close(self, direction: Direction) -> int:
        """End one direction of every connection, as its sender would."""
        for pair in self._pairs:
            sock = pair.far if direction == "there" else pair.near
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)
        self.way(direction).count("half-close", len(self._pairs))
        return len(self._pairs)

    def close(self) -> None:
        """End it: each connection's task closes its sockets."""
        for task in self._tasks:
            task.cancel()
        for sock in self._held:
            sock.close()


class Relay(Carried):
    """A link over TCP: listens at an address of its own and connects onwards for each who comes."""

    def __init__(self, target: tuple[str, int], seed: int) -> None:
        draw = random.Random(seed)
        super().__init__(target, Way(draw), Way(draw))
        self._listener = Listener(self.accepted)

    @property
    def address(self) -> str:
        """host:port."""
        return self._listener.address

    def door(self, state: Literal["open", "refuse", "mute"]) -> None:
        """What becomes of new connections, as the kernel would have it."""
        self._listener.set(state)

    def close(self) -> None:
        """End it."""
        super().close()
        self._listener.close()


class Pair:
    """The two sockets of one connection, and the task that serves it."""

    def __init__(self, near: socket.socket, far: socket.socket, task: asyncio.Task[None]) -> None:
        self.near, self.far, self._task, self.over = near, far, task, False

    def reset(self) -> None:
        """Break both."""
        for sock in (self.near, self.far):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
        self.over = True
        self._task.cancel()  # closes them where it waits

    def close(self) -> None:
        """Let go of both."""
        self.over = True
        self.near.close()
        self.far.close()


class Datagrams(asyncio.DatagramProtocol):
    """A link over UDP: datagrams to its address go to the target, and answers back to whoever spoke last."""

    def __init__(self, target: tuple[str, int], seed: int) -> None:
        self._target = target
        self._draw = random.Random(seed)
        self.there, self.back = Way(self._draw), Way(self._draw)
        self._sender: tuple[str, int] | None = None
        self._transport: asyncio.DatagramTransport
        self._held: dict[Way, bytes] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> str:
        """Listen; the address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        host, port = self._transport.get_extra_info("sockname")
        return f"{host}:{port}"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The kernel has it."""
        self._transport = cast(asyncio.DatagramTransport, transport)  # by its methods; not by its class

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """One has come, from either side."""
        if addr == self._target:
            way, to = self.back, self._sender
        else:
            way, to, self._sender = self.there, self._target, addr
        if to is not None:
            self.carry(way, data, to)

    def carry(self, way: Way, data: bytes, to: tuple[str, int]) -> None:
        """One goes on, or does not, as its way has it."""
        if way.silent:
            way.count("silence", len(data))
            return
        if way.loss and self._draw.random() < way.loss:
            way.count("loss")
            return
        held = self._held.pop(way, None)
        if held is None and way.reorder and self._draw.random() < way.reorder:
            way.count("reorder")
            self._held[way] = data  # goes behind the next one
            return
        for one in (data, held):
            if one is not None:
                task = asyncio.get_running_loop().create_task(self._pass(way, one, to))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _pass(self, way: Way, data: bytes, to: tuple[str, int]) -> None:
        way.arrived(data)
        out = await way.pass_on(data)
        if not self._transport.is_closing():
            self._transport.sendto(out, to)

    def close(self) -> None:
        """End it."""
        for task in self._tasks:
            task.cancel()
        self._transport.close()
