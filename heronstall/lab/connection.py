"""One connection that a dispatcher has opened to an emulated backend server, over an emulated way."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Callable
from typing import Protocol

import h11

from heronstall.fleet import boundary as b
from heronstall.fleet.client import result_of
from heronstall.fleet.fleet import report_object
from heronstall.fleet.server import FINAL_EVENTS, AttemptUpdate, Job, Server
from heronstall.fleet.spec import Scenario
from heronstall.fleet.zone_network import ZoneNetwork
from heronstall.lab.clock import RealTime

LINGER_OFF = struct.pack("ii", 1, 0)  # close with a reset


class Host(Protocol):
    """What a connection needs of the world that hosts it."""

    scenario: Scenario
    time: RealTime
    ways: ZoneNetwork
    resets: float
    stale: int | None

    def cross(self, crossing: b.Crossing) -> None:
        """Something crossed the boundary."""

    def work_of(self, id: str) -> tuple[float, str | None] | None:
        """A try's work and key; None where no client has sent such an id."""

    def next_attempt(self) -> int:
        """A number for an attempt, given once in a run."""

    def draw(self, id: str, nth: int) -> float:
        """A number between 0 and 1 that belongs to a try's n-th question."""

    def closed(self, connection: ServerConnection) -> None:
        """It has ended."""


class ServerConnection(asyncio.Protocol):
    """Bytes in, jobs to the server, its words back in chunks; late by the way, silent while that is cut."""

    def __init__(self, host: Host, node: int, zone: int, server: Server) -> None:
        self.host, self.node, self.zone, self.server = host, node, zone, server
        self._parser = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None  # None: accepted, and not yet made
        self._job: Job | None = None
        self._request: h11.Request | None = None
        self._body_seen = False
        self._id = ""
        self._attempt = 0
        self._first = True
        self._out_at = self._in_at = 0
        self._messages = 0
        self._counted = False
        self._idle_since = host.time.now
        self.gone = False
        self.deaf = False  # its machine has vanished: nothing it is sent arrives anywhere

    # ------------------------------------------------------------------ ways

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The kernel has it."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock: socket.socket = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.gone:  # its server died in this very moment
            self._abort()
            return
        if not self.server.connect():
            self.reset()
            return
        self._counted = True
        # The kernel's handshake took no time: the way there and back is made up for before the first message.
        time = self.host.time
        self._in_at = time.now + self._way(True) + self._way(False)
        time.at(time.now + self.server.spec.idle, self._idle)

    def _way(self, inward: bool) -> int:
        self._messages += 1
        a, z = (self.zone, self.server.zone) if inward else (self.server.zone, self.zone)
        return self.host.ways.latency(a, z, self._messages * 31 + self.node * 7919 + self.server.number)

    def _carry(self, inward: bool, call: Callable[[], None]) -> None:
        """Make a call when a message gets to the other end; one that meets a cut waits for its end."""
        ways, time = self.host.ways, self.host.time
        if not time.now:  # before the run's start, dispatchers look round already: no clock delays them yet
            call()
            return
        if not ways.reachable(self.zone, self.server.zone):

            def healed(zone: int) -> None:
                ways.on_heal.remove(healed)
                self._carry(inward, call)

            ways.on_heal.append(healed)
            return
        if inward:
            # The first message starts once the connection is up; none overtakes the one before it.
            way = self._way(True)
            when = self._in_at = max(self._in_at + way * self._first, time.now + way)
            self._first = False
        else:
            when = self._out_at = max(self._out_at, time.now + self._way(False))
        time.at(when, call)

    # ------------------------------------------------------------------ in

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        if self.gone or self.deaf:
            return
        try:
            self._parser.receive_data(data)
            self._events()
        except h11.RemoteProtocolError:
            self.reset()

    def _events(self) -> None:
        while not self.gone:
            event = self._parser.next_event()
            if isinstance(event, h11.Request):
                self._begins(event)
            elif isinstance(event, h11.EndOfMessage):
                self._whole()
            elif event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return

    def _begins(self, request: h11.Request) -> None:
        self._request = request
        headers = dict(request.headers)
        self._id = headers.get(b"req-id", b"").decode("latin-1")
        if request.method == b"POST":
            self._attempt = self.host.next_attempt()
            now = self.host.time.now
            self.host.cross(b.Written(now, self.node, self.server.number, self._id, self._attempt))

    def _whole(self) -> None:
        request = self._request
        assert request is not None
        host, now = self.host, self.host.time.now
        if request.method == b"GET":
            host.cross(b.Probed(now, self.node, self.server.number))
            self._carry(True, self._probe)
            return
        host.cross(b.Arrived(now, self.node, self.server.number, self._id, self._attempt))
        known = host.work_of(self._id)
        if known is None:
            self._carry(True, lambda: self._plain(400, b"no client sent this id\n"))
            return
        if host.stale is not None and now - self._idle_since >= host.stale and self._messages > 4:
            self._over("broken")
            self.reset()
            return
        work, key = known
        job = self._job = Job(self._id, 0, key, work, self.node, self._told)
        self._carry(True, lambda: self._offer(job))
        if host.resets and host.draw(self._id, 0) < host.resets:
            wait = int(host.draw(self._id, 1) * 400_000)
            host.time.at(now + wait, lambda: self._break(job))

    def _offer(self, job: Job) -> None:
        server = self.server
        if server.up and not server.vanished and not self.gone:
            server.offer(job)

    def _break(self, job: Job) -> None:
        if self._job is job and not self.gone:
            self.reset()

    def _probe(self) -> None:
        if self.gone or not self.server.answers:
            return
        report = self.server.probe()
        body = json.dumps(report_object(report)).encode() if report is not None else b"{}"
        self._carry(False, lambda: self._plain(200, body))

    # ------------------------------------------------------------------ out

    def _told(self, word: AttemptUpdate) -> None:
        job = self._job
        if not self.gone and job is not None:
            self._carry(False, lambda: self._say(job, word))

    def _send(self, *events: h11.Event) -> None:
        if not self.gone and self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"".join(self._parser.send(event) or b"" for event in events))

    def _plain(self, status: int, body: bytes, more: list[tuple[str, str]] | None = None) -> None:
        if self.gone:
            return
        headers = [("Content-Length", str(len(body))), *(more or [])]
        self._send(h11.Response(status_code=status, headers=headers), h11.Data(data=body), h11.EndOfMessage())
        self._next()

    def _say(self, job: Job, word: AttemptUpdate) -> None:
        """One word of the server, as the protocol has it."""
        if self.gone or self._job is not job:
            return
        if word.event == "rejected":
            self._over("rejected")
            load = [("Srv-Load", json.dumps(report_object(word.report)))] if word.report else []
            self._plain(503, b"", [("Srv-Declined", "1"), *load])
            return
        if self._parser.our_state is h11.SEND_RESPONSE:
            self._send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
        line: dict[str, object] = {"id": job.id, "from": self.server.uid, "state": word.event}
        if word.event == "running":
            line["share"] = round(word.share, 3)
        elif word.event == "done":
            line["result"] = result_of(job.id, self.server.uid)
        if word.report is not None:
            line["load"] = report_object(word.report)
        self._send(h11.Data(data=json.dumps(line).encode() + b"\n"))
        if word.event in FINAL_EVENTS:
            self._over(word.event)  # type: ignore[arg-type]
            self._send(h11.EndOfMessage())
            self._next()

    def _over(self, how: b.HowEnded) -> None:
        self._job = None
        self.host.cross(
            b.Over(self.host.time.now, self.node, self.server.number, self._id, self._attempt, how)
        )

    def _next(self) -> None:
        self._request = None
        self._idle_since = self.host.time.now
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
            self._events()
        elif not self.gone:
            self._close()

    # ------------------------------------------------------------------ ends

    def _idle(self) -> None:
        """Close what has stood idle; look again later where it has not."""
        if self.gone:
            return
        left = self._idle_since + self.server.spec.idle - self.host.time.now
        if self._request is None and left <= 0:
            self._close()
        else:
            self.host.time.at(self.host.time.now + max(left, 100_000), self._idle)

    def eof_received(self) -> bool:
        """The dispatcher has ended its sending: it has given up."""
        return False

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended, whoever ended it."""
        if self.gone:
            return
        self.gone = True
        job = self._job
        if job is not None:
            self._over("closed")
            self._carry(True, lambda: self._dropped(job))
        if self._counted:
            self.server.disconnect()
        self.host.closed(self)

    def _dropped(self, job: Job) -> None:
        if self.server.up and not self.server.vanished:
            self.server.drop(job)

    def reset(self) -> None:
        """Break it."""
        if self.gone:
            return
        job, self.gone = self._job, True
        if job is not None:
            self._over("broken")
            self._dropped(job)
        if self._counted:
            self.server.disconnect()
        self._abort()
        self.host.closed(self)

    def _abort(self) -> None:
        """Reset it, if it has been made."""
        if self._transport is not None:
            sock: socket.socket = self._transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
            self._transport.abort()
