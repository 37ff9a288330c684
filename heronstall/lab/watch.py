"""Discovery's agent of one dispatcher: the list, the watch, and silence."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11

from heronstall.fleet import boundary as b
from heronstall.fleet.discovery import DiscoveryService
from heronstall.fleet.list_service import ListService
from heronstall.lab.clock import RealTime

HEARTBEAT = 2.0  # seconds between empty lines


class Agent:
    """What one dispatcher can ask, and all its watches."""

    def __init__(
        self,
        node: int,
        roster: DiscoveryService,
        time: RealTime,
        cross: Callable[[b.Crossing], None],
        desk: ListService,
    ) -> None:
        self.node, self.roster, self.time, self._cross, self.desk = node, roster, time, cross, desk
        self.watches: dict[WatchConnection, None] = {}

    def tell(self, message: dict[str, Any]) -> None:
        """News for whoever watches."""
        if self.watches:
            self.note(message)
        for watch in list(self.watches):
            watch.line(message)

    def note(self, message: dict[str, Any]) -> None:
        """What is written counts as told."""
        for row in message["targets"]:
            server, boot_ms = int(row["uid"][2:], 16), int(row.get("boot_ms") or 0)
            self._cross(b.ToldOf(self.time.now, self.node, server, row["state"], boot_ms))

    def whole(self) -> dict[str, Any]:
        """The whole list, told now."""
        message = self.roster.full_state(self.node)
        self.note(message)
        return message

    def __call__(self) -> WatchConnection:
        """A protocol for a new connection."""
        return WatchConnection(self)


class WatchConnection(asyncio.Protocol):
    """One connection of a dispatcher to its agent."""

    def __init__(self, agent: Agent) -> None:
        self._agent = agent
        self._parser = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport
        self._beat: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The kernel has it."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        try:
            self._parser.receive_data(data)
            while True:
                event = self._parser.next_event()
                if isinstance(event, h11.Request):
                    self._asked(event.target.decode("latin-1"))
                elif not isinstance(event, (h11.Data, h11.EndOfMessage)):
                    return
        except h11.RemoteProtocolError:
            self._transport.close()

    def _asked(self, target: str) -> None:
        agent = self._agent
        if agent.roster.silent:
            return  # neither answer nor close: it says nothing at all
        url = urlsplit(target)
        query = parse_qs(url.query)
        if url.path != "/v1/servers":
            self._send(h11.Response(status_code=404, headers=[("Content-Length", "0")]), h11.EndOfMessage())
            return
        now = agent.time.now  # 0 before the run's start: its first lists are no part of what is measured
        ready = agent.desk.request(now, agent.node) if now else 0
        if ready is None:
            busy = h11.Response(status_code=503, headers=[("Content-Length", "0")])
            self._send(busy, h11.EndOfMessage())
        elif ready <= agent.time.now:
            self._served(query)
        else:
            agent.time.at(ready, lambda: self._served(query))

    def _served(self, query: dict[str, list[str]]) -> None:
        agent = self._agent
        if self._transport.is_closing():
            return
        if "watch" not in query:
            body = json.dumps(agent.whole()).encode()
            head = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
            self._send(head, h11.Data(data=body), h11.EndOfMessage())
            return
        self._send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
        rev = agent.roster.agent_revisions[agent.node]
        known = query.get("after", [""])[0] == str(rev)
        self.line({"rev": rev, "all": False, "targets": []} if known else agent.whole())
        agent.watches[self] = None
        self._later()

    def _later(self) -> None:
        self._beat = asyncio.get_running_loop().call_later(HEARTBEAT, self._heartbeat)

    def _heartbeat(self) -> None:
        if not self._agent.roster.silent:
            self._send(h11.Data(data=b"\n"))
        self._later()

    def line(self, message: dict[str, Any]) -> None:
        """One object."""
        self._send(h11.Data(data=json.dumps(message).encode() + b"\n"))

    def _send(self, *events: h11.Event) -> None:
        if not self._transport.is_closing():
            self._transport.write(b"".join(self._parser.send(event) or b"" for event in events))

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        self._agent.watches.pop(self, None)
        if self._beat is not None:
            self._beat.cancel()
