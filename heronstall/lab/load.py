"""The load: clients in HTTP, open loop. Latency counts from the moment a request was due.

Each of a few processes plays a part of the clients. A client that finds no connection idle opens one; between
requests either side may close, and a request that met such a close is sent once more on a new connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import signal
from dataclasses import replace
from multiprocessing.connection import Connection
from typing import Any, NamedTuple

import h11

from heronstall.fleet import boundary as b
from heronstall.fleet.client import Try, TryResult, seconds
from heronstall.fleet.fleet import Plan
from heronstall.fleet.spec import SECOND, Scenario
from heronstall.lab.clock import RealTime, lateness
from heronstall.lab.pipe import end, listen
from heronstall.model.kernel import Due

CROSSED = 50_000  # a close so soon after a request, on a connection used before, counts as crossing it
PATIENCE = 250_000  # beyond deadline and grace, so that an answer that is too late is seen as such
CONNECT_TIME = 1.0
IDLE_KEPT = 64  # idle connections kept to one dispatcher, at the most


class End(NamedTuple):
    """A try's end, and when it came."""

    try_: Try
    came: TryResult
    at: int
    server: int


class Load:
    """The clients of one process."""

    def __init__(self, scenario: Scenario, seed: int, part: int, parts: int, pipe: Connection | None) -> None:
        self.scenario, self._pipe = scenario, pipe
        self.plan = Plan(scenario, seed)
        self.time = RealTime()
        self.mine = [r for r in self.plan.requests if r.number % parts == part]
        self.addresses: list[tuple[str, int]] = []
        self.crossings: list[b.Crossing] = []
        self.ends: list[End] = []
        self.open = len(self.mine)
        self.counts = {"served": 0, "refused": 0, "failed": 0, "tries": 0}
        self._idle: dict[int, list[ClientConnection]] = {}
        self._next = 0
        self._surge = (0, 0, 1.0)  # from, to, how many times as fast
        self._arrival: Due | None = None  # when the next one is looked for

    def message(self, what: str, value: Any) -> None:
        """A word from the run's process."""
        if what == "begin":
            origin, self.addresses = value
            self.time.begin(origin)
            self._arrivals()
        elif what == "front":
            node, up = value
            self.plan.client_balancer.known_up[node] = up
        elif what == "enough":  # no more first tries; those that are out go on to their end
            self.open -= len(self.mine) - self._next
            del self.mine[self._next :]
        elif what == "surge":
            times, length = value
            self._surge = (self.time.now, self.time.now + length, times)
            self._arrivals()
        elif what == "live" and self._pipe is not None:
            self._pipe.send(("load-live", (dict(self.counts), self.open)))
        elif what == "end" and self._pipe is not None:
            self._pipe.send(("load", (self.crossings, self.ends, lateness(self.time.late), self.open)))

    def _arrivals(self) -> None:
        if self._arrival is not None:
            self._arrival.cancel()
        now = self.time.now
        start, end, times = self._surge
        ahead = int((min(now, end) - start) * (times - 1))
        while self._next < len(self.mine) and self.mine[self._next].at - ahead <= now:
            request = self.mine[self._next]
            self._next += 1
            self.begin(self.plan.client_retries.first(replace(request, at=now) if ahead else request))
        if self._next < len(self.mine):
            wait = self.mine[self._next].at - ahead - now
            wait = max(1, int(wait / times) if now < end else wait)
            self._arrival = self.time.at(now + wait, self._arrivals)

    def begin(self, tried: Try) -> None:
        """Start a try."""
        self.counts["tries"] += 1
        # A client that is late itself has no more time for that: its deadline runs from when it was due.
        left = tried.time_left - max(0, self.time.now - tried.at)
        tried = Try(tried.request, tried.nth, tried.id, tried.at, max(1000, left))
        picked = self.plan.client_balancer.pick(tried.request.zone, tried.request.front)
        if picked is None:
            self.came(tried, "unreachable")
            return
        idle = self._idle.get(picked, [])
        while idle:
            connection = idle.pop()
            if connection.usable():
                connection.send(tried)
                return
        self.dial(picked, tried)

    def dial(self, node: int, tried: Try) -> None:
        """Open a connection for a try."""
        task = asyncio.get_running_loop().create_task(self._dial(node, tried))
        _TASKS.add(task)
        task.add_done_callback(_TASKS.discard)

    async def _dial(self, node: int, tried: Try) -> None:
        loop = asyncio.get_running_loop()
        try:
            made = loop.create_connection(lambda: ClientConnection(self, node), *self.addresses[node])
            _, connection = await asyncio.wait_for(made, CONNECT_TIME)
        except (TimeoutError, OSError):
            # Of a request that met a close nobody knows whether it was read: that is no refused connection.
            self.came(tried, "broke" if tried.resent else "unreachable")
            return
        connection.send(tried)

    def keep(self, connection: ClientConnection) -> None:
        """A connection is free."""
        row = self._idle.setdefault(connection.node, [])
        if len(row) < IDLE_KEPT:
            row.append(connection)
        else:
            connection.close()

    def came(self, tried: Try, came: TryResult, retry_after: int = 0, server: int = -1) -> None:
        """A try has ended so."""
        now = self.time.now
        self.ends.append(End(tried, came, now, server))
        again = self.plan.client_retries.next_try(tried, came, now, retry_after)
        if again is not None:
            self.time.at(again.at, lambda: self.begin(again))
            return
        self.open -= 1
        if came in self.counts:
            self.counts[came] += 1


_TASKS: set[asyncio.Task[None]] = set()  # guards running tasks against collection


class ClientConnection(asyncio.Protocol):
    """One connection of a client to a dispatcher, a request at a time."""

    def __init__(self, load: Load, node: int) -> None:
        self._load, self.node = load, node
        self._parser = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._tried: Try | None = None
        self._taken_at = 0
        self._reused = False
        self._response: h11.Response | None = None
        self._body = b""
        self._due: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def usable(self) -> bool:
        """Whether a request may be written to it."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """Close it."""
        if self._transport is not None:
            self._transport.close()

    def send(self, tried: Try) -> None:
        """Write a request."""
        assert self._transport is not None
        load, r = self._load, tried.request
        s = load.scenario
        c = s.classes[r.cls]
        body = f'{{"job":"{r.key}"}}'.encode()
        headers = [
            ("Host", "origin.svc"),
            ("Req-Id", tried.id),
            ("Req-Kind", c.name),
            ("Req-Deadline", seconds(tried.time_left)),
            ("Req-Cost", str(r.hint)),
            ("Content-Length", str(len(body))),
        ]
        if s.tenants:
            headers.append(("Req-Owner", s.tenants[r.tenant].name))
        if c.effect == "keyed":
            headers.append(("Idempotency-Key", r.key))
        request = h11.Request(method="POST", target="/api", headers=headers)
        parts = (request, h11.Data(data=body), h11.EndOfMessage())
        data = b"".join(self._parser.send(part) or b"" for part in parts)
        self._tried, self._response, self._body = tried, None, b""
        # Noted before the write: what follows from it may be noted elsewhere before this process goes on.
        self._taken_at = now = load.time.now
        load.crossings.append(b.Taken(now, self.node, tried.id, r.cls, tried.time_left))
        self._transport.write(data)
        patience = tried.time_left + s.answer_grace + PATIENCE
        self._due = load.time.at(now + patience, self._give_up)

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        try:
            self._parser.receive_data(data)
            while True:
                event = self._parser.next_event()
                if isinstance(event, h11.Response):
                    self._response = event
                elif isinstance(event, h11.Data):
                    self._body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self._answered()
                else:
                    return
        except h11.RemoteProtocolError:
            if self._transport is not None:
                self._transport.abort()

    def _answered(self) -> None:
        tried, response, load = self._tried, self._response, self._load
        if tried is None or response is None:
            return
        self._tried, self._reused = None, True
        self._due.cancel()
        status, now = response.status_code, load.time.now
        own = self._body.startswith(f"{tried.id}@s-".encode())
        load.crossings.append(b.Answered(now, self.node, tried.id, status, own))
        whole = self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE
        if whole:
            self._parser.start_next_cycle()
            load.keep(self)
        else:
            self.close()
        if status == 200:
            server = int(self._body.split(b"@s-")[1], 16) if own else -1
            load.came(tried, "served", 0, server)
        elif status in (429, 503):
            after = 0.0
            for name, value in response.headers:
                if name == b"retry-after":
                    with contextlib.suppress(ValueError):
                        after = float(value)
            load.came(tried, "refused", int(after * SECOND))
        else:
            load.came(tried, "failed")

    def _give_up(self) -> None:
        tried, load = self._tried, self._load
        if tried is not None:
            self._tried = None
            load.crossings.append(b.Left(load.time.now, self.node, tried.id))
            load.came(tried, "late")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        tried, self._tried = self._tried, None
        if tried is None:
            return
        self._due.cancel()
        load, now = self._load, self._load.time.now
        if self._reused and self._response is None and now - self._taken_at < CROSSED and not tried.resent:
            # The close crossed a request that had not been read: it is sent once more, on a new connection.
            load.crossings.append(b.Recalled(now, self.node, tried.id))
            load.dial(self.node, replace(tried, resent=True))
            return
        load.crossings.append(b.Unanswered(load.time.now, self.node, tried.id))
        load.came(tried, "broke")


def main(scenario: Scenario, seed: int, part: int, parts: int, pipe: Connection) -> None:
    """The process's own main: play until the pipe closes."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the run's process ends this one

    async def play() -> None:
        load = Load(scenario, seed, part, parts, pipe)
        gc.freeze()
        done = asyncio.get_running_loop().create_future()
        listen(pipe, load.message, lambda: end(done))
        pipe.send(("ready", None))
        await done

    asyncio.run(play())
