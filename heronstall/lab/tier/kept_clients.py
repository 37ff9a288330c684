"""Clients that keep a connection to a dispatcher and use it until it is gone, and a judge of their requests.

Around planned work alone a request that a worker ran must have its whole answer, and one that a dispatcher
has read an answer at all. A request that crosses the close of its connection may end without one.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

import h11

from heronstall.lab.tier.client import HOST, STREAM
from heronstall.lab.tier.plan import FRONT
from heronstall.lab.tier.worker import text_of

CONNECT_WITHIN = 1.0  # seconds
ANSWER_WITHIN = 8.0  # seconds; the request's own deadline is shorter
DEADLINE_MS = 5_000
TIME_OUT = (
    3.9  # seconds: a little less than the least time-out of the route, after which an answer may be cut
)
CLOSE_WITHIN = 1.5  # seconds from the last byte of a request to its connection's end without an answer
SPLIT_SHARE = 0.3  # requests that are sent in two pieces
SPLIT_PAUSE = 0.12  # seconds between them at the most
THINK = 0.08  # seconds between an answer and the next request, on average
REST_SHARE = 0.05  # answers after which a client rests
REST = 2.5  # seconds that it rests at the most
BODY = b"p" * 400
TOLD = 20  # broken promises that are kept in full


class End(Enum):
    """How a request ended for its client."""

    WHOLE = "whole"
    REFUSED = "refused"  # 503 with the time to come back: it has not run
    FAILED = "failed"  # another whole answer: nothing is promised
    CLOSED = "closed"  # no byte of an answer
    CUT = "cut"  # an answer that is not whole
    SILENT = "silent"  # nothing within the time


@dataclass(frozen=True)
class Ended:
    """One request's end."""

    name: str
    edge: str
    end: End
    detail: str
    after: float  # seconds since its last byte was sent
    at: float = 0.0  # steady time


@dataclass
class Judge:
    """Counts ends, and finds those that break a promise once it is known what the workers ran."""

    counts: Counter[End] = field(default_factory=Counter)
    open_ends: list[Ended] = field(default_factory=list)  # to be set against what the workers ran
    kills: dict[str, list[float]] = field(default_factory=dict)  # steady times, by dispatcher

    def take(self, ended: Ended) -> None:
        """A request has ended."""
        self.counts[ended.end] += 1
        if ended.end is not End.WHOLE:
            self.open_ends.append(ended)

    def killed(self, edge: str, at: float) -> None:
        """A dispatcher was killed: what it had in hand may end in any way."""
        self.kills.setdefault(edge, []).append(at)

    def broken(self, runs: Mapping[str, int]) -> list[str]:
        """Broken promises, given how often workers ran each request."""
        found = [
            f"{e.name} at {e.edge}: {why} ({e.detail}, {e.after:.2f} s)"
            for e in self.open_ends
            if not self._in_hand(e) and (why := _broken(e, runs.get(e.name, 0)))
        ]
        return found[:TOLD]

    def _in_hand(self, ended: Ended) -> bool:
        """Whether a dispatcher was killed while it had a request that got no whole answer."""
        if ended.end not in (End.CUT, End.CLOSED, End.SILENT):
            return False
        sent_at = ended.at - ended.after - SPLIT_PAUSE
        return any(sent_at <= at <= ended.at for at in self.kills.get(ended.edge, ()))


def _broken(ended: Ended, runs: int) -> str:
    """What is wrong with an end; nothing for those that are allowed."""
    match ended.end:
        case End.CUT if ended.after < TIME_OUT:
            return "its answer was cut"
        case End.SILENT:
            return "it had no answer"
        case End.REFUSED if runs:
            return "it was refused, and a worker ran it"
        case End.CLOSED if runs:
            return "a worker ran it, and its connection was closed without an answer"
        case End.CLOSED if ended.after > CLOSE_WITHIN:
            return "its connection was closed late without an answer"
    return ""


class KeptClient:
    """One client: a request after the other, on one connection for as long as that lasts."""

    def __init__(self, name: str, edges: list[str], judge: Judge, rng: random.Random) -> None:
        self._name, self._edges, self._judge, self._random = name, edges, judge, rng
        self._sent = 0
        self._edge = ""
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, stopping: asyncio.Event) -> None:
        """Send requests until told to stop; the one in hand is ended first."""
        while not stopping.is_set():
            if self._streams is None and not await self._connect():
                await asyncio.sleep(0.05)
                continue
            self._judge.take(await self._request())
            rests = self._random.random() < REST_SHARE
            pause = self._random.uniform(0, REST) if rests else self._random.expovariate(1 / THINK)
            await asyncio.sleep(pause)
        self._drop()

    async def _connect(self) -> bool:
        self._edge = self._random.choice(self._edges)
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                self._streams = await asyncio.open_connection(self._edge, FRONT)
        except (OSError, TimeoutError):
            return False
        return True

    def _drop(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _request(self) -> Ended:
        """Send one request and take its end."""
        self._sent += 1
        name = f"{self._name}-{self._sent}"
        assert self._streams is not None
        reader, writer = self._streams
        sent_at = time.monotonic()
        answer = _Answer()
        try:
            async with asyncio.timeout(ANSWER_WITHIN):
                await self._send(writer, _request_bytes(name))
                sent_at = time.monotonic()
                while not answer.whole:
                    if not answer.take(await reader.read(1 << 16)):
                        break
        except TimeoutError:
            self._drop()
            return self._ended(name, End.SILENT, answer, sent_at)
        except ConnectionError:
            pass
        if not answer.whole:
            self._drop()
        return self._ended(name, answer.end(name), answer, sent_at)

    def _ended(self, name: str, end: End, answer: _Answer, sent_at: float) -> Ended:
        now = time.monotonic()
        return Ended(name, self._edge, end, answer.detail, now - sent_at, now)

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        at = self._random.randrange(1, len(data)) if self._random.random() < SPLIT_SHARE else len(data)
        writer.write(data[:at])
        await writer.drain()
        if at < len(data):
            await asyncio.sleep(self._random.uniform(0, SPLIT_PAUSE))
            writer.write(data[at:])
            await writer.drain()


class _Answer:
    """An answer as its bytes come."""

    def __init__(self) -> None:
        self._parser = h11.Connection(h11.CLIENT)
        self._parser.send(h11.Request(method="GET", target="/", headers=[("Host", HOST)]))
        self._parser.send(h11.EndOfMessage())
        self._head: h11.Response | None = None
        self._body = b""
        self.whole = False

    @property
    def detail(self) -> str:
        """For people."""
        status = self._head.status_code if self._head is not None else "no status"
        return f"{status}, {len(self._body)} bytes of a body"

    def take(self, data: bytes) -> bool:
        """Take bytes, none where the connection has ended; whether more may come."""
        try:
            self._parser.receive_data(data)
            while True:
                event = self._parser.next_event()
                if isinstance(event, h11.Response):
                    self._head = event
                elif isinstance(event, h11.Data):
                    self._body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self.whole = True
                    return False
                else:
                    return bool(data)
        except h11.RemoteProtocolError:
            return False

    def end(self, name: str) -> End:
        """What it was for the request of this name."""
        if self._head is None:
            return End.CLOSED
        if not self.whole:
            return End.CUT
        headers = {key: value.decode() for key, value in self._head.headers}
        if self._head.status_code == 503 and b"retry-after" in headers:
            return End.REFUSED
        if self._head.status_code != 200:
            return End.FAILED
        lines = [line[6:] for line in self._body.decode().splitlines() if line.startswith("data: ")]
        signed = headers.get(b"heronstall-response-signature") == f"sig-{name}"
        return End.WHOLE if signed and "\n".join(lines) == text_of(name) else End.CUT


def _request_bytes(name: str) -> bytes:
    head = (
        f"POST {STREAM}x HTTP/1.1\r\nHost: {HOST}\r\nHeronstall-Request-Id: {name}\r\n"
        f"Heronstall-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(BODY)}\r\n\r\n"
    )
    return head.encode() + BODY
