"""The transport of takeover messages: one connection to each witness's process, one from each owner's.

A link is an HTTP request and its response that do not end, over the peers' TCP port. Both carry lines of
messages in chunks; all messages of one turn of the loop share a chunk. Messages on a connection that breaks
are lost: the parties repeat them or do without.
"""

from __future__ import annotations

import logging
import random
from collections import Counter, deque
from collections.abc import Callable

import h11
import ujson

from heronstall import events
from heronstall.config import Address
from heronstall.events import log_event
from heronstall.membership.messages import State as MemberState
from heronstall.membership.swim import Swim
from heronstall.net.connection import Connection, ConnectionEnded, LineSplitter, connect
from heronstall.net.loop import READ, Coroutine, Loop, Task, sleep
from heronstall.net.takeover.coordinator import TakeoverCoordinator
from heronstall.takeover.messages import MAX_LINE_BYTES, Message, UnreadableMessage, pack, unpack

PATH = b"/v1/takeover"
CONNECT_TIMEOUT_US = 500_000
RECONNECT_DELAY_US = (50_000, 500_000)  # the range of the random delay between connection attempts
MAX_QUEUED_BYTES = 4 * 1024 * 1024  # for one witness; messages beyond it are lost
WRITE_TIMEOUT_US = 1_000_000
log = logging.getLogger("heronstall.takeover")


class WitnessLink:
    """The link to one witness, which outlives restarts of the witness's process."""

    def __init__(self, links: WitnessLinks, name: str) -> None:
        self._links, self._name, self._loop = links, name, links.loop
        self._connection: Connection | None = None
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._waiting_sender: Task | None = None  # set while the sender waits for a message
        self._sender: Task | None = None
        self._random = random.Random(name)
        self.up = False
        self._loop.spawn(self._keep_connected(), f"link to {name}")

    def send(self, message: Message) -> None:
        """Queues a message; it is sent together with the other messages of this turn of the loop."""
        if not self.up:
            return
        line = pack(message)
        self._queued_bytes += len(line)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self._queued_bytes -= len(line)
            return
        self._queue.append(line)
        if self._waiting_sender is not None:
            self._waiting_sender.wake(READ)
            self._waiting_sender = None

    def _keep_connected(self) -> Coroutine[None]:
        while True:
            address = self._links.address(self._name)
            if address is not None:
                try:
                    deadline = self._loop.now + CONNECT_TIMEOUT_US
                    connection = self._connection = yield from connect(
                        self._loop, address, deadline, self._links.host
                    )
                    headers = [("Host", "peer"), ("Transfer-Encoding", "chunked")]
                    request = h11.Request(method="POST", target=PATH, headers=headers)
                    hello = ujson.dumps(["hello", *self._links.me]).encode() + b"\n"
                    data = (connection.parser.send(request) or b"") + (
                        connection.parser.send(h11.Data(data=hello)) or b""
                    )
                    yield from connection.write(data, deadline)
                    yield from self._receive(connection)
                except ConnectionEnded:
                    pass
                finally:
                    self.up = False
                    self._queue.clear()
                    self._queued_bytes = 0
                    if self._connection is not None:
                        self._connection.close()
                        self._connection = None
                self._links.link_lost(self._name)
            yield from sleep(self._loop.now + self._random.randrange(*RECONNECT_DELAY_US))

    def _receive(self, connection: Connection) -> Coroutine[None]:
        lines, sender = (
            LineSplitter(MAX_LINE_BYTES),
            self._loop.spawn(self._send_queued(connection), "takeover's words"),
        )
        self._sender, self.up = sender, True
        try:
            while True:
                event = yield from connection.next_event(None)
                if isinstance(event, h11.Data):
                    for line in lines.feed(bytes(event.data)):
                        self._links.handle_line(self._name, line)
                elif not isinstance(event, h11.Response) or event.status_code != 200:
                    return
        finally:
            sender.kill()

    def _send_queued(self, connection: Connection) -> Coroutine[None]:
        loop = self._loop
        while True:
            if not self._queue:
                self._waiting_sender = self._sender
                yield -1, 0, None
                continue
            data = b"".join(self._queue)
            self._queue.clear()
            self._queued_bytes = 0
            try:
                yield from connection.write(
                    connection.parser.send(h11.Data(data=data)) or b"", loop.now + WRITE_TIMEOUT_US
                )
            except ConnectionEnded:
                connection.close()
                return


class WitnessLinks:
    """All links of one process, in both directions."""

    def __init__(
        self,
        coordinator: TakeoverCoordinator,
        loop: Loop,
        swim: Swim,
        host: str,
        me: tuple[str, int],
        names: list[str],
    ) -> None:
        self.coordinator, self.loop, self._swim, self.host, self.me = coordinator, loop, swim, host, me
        self._latest_lives: dict[str, int] = {}  # by owner, the latest process that has connected
        self._open_connections: Counter[tuple[str, int]] = Counter()  # by owner's process
        self._ending: set[tuple[str, int]] = set()  # processes that stop as planned and finish their jobs
        self._links = {name: WitnessLink(self, name) for name in names if name != me[0]}
        self.on_link_lost: Callable[[str], None] = lambda name: None
        coordinator.send, coordinator.is_reachable = self._send, self._is_reachable

    def address(self, name: str) -> Address | None:
        """Returns a member's address, unless the member is gone."""
        member = self._swim.members.get(name)
        return None if member is None or member.row.state > MemberState.SUSPECT else member.address

    def _is_reachable(self, name: str) -> bool:
        """Returns whether a witness can be sent messages."""
        link = self._links.get(name)
        return link is not None and link.up and self.address(name) is not None

    def _send(self, name: str, message: Message) -> None:
        link = self._links.get(name)
        if link is not None:
            link.send(message)

    def link_lost(self, name: str) -> None:
        """Reports that a witness's connection has ended, so that the witness is probed."""
        self.on_link_lost(name)

    def handle_line(self, name: str, line: bytes) -> None:
        """Processes a line that a witness has sent."""
        try:
            self.coordinator.handle_reply(name, unpack(line))
        except UnreadableMessage as error:
            log_event(log, events.TAKEOVER_UNREADABLE, peer=name, reason=str(error))

    def serve(self, connection: Connection) -> Coroutine[None]:
        """Answers an owner's messages until its connection ends. Raises ConnectionEnded."""
        loop, lines, owner = self.loop, LineSplitter(MAX_LINE_BYTES), ("", 0)
        headers = [("Transfer-Encoding", "chunked")]
        response = connection.parser.send(h11.Response(status_code=200, headers=headers)) or b""
        yield from connection.write(response, loop.now + WRITE_TIMEOUT_US)
        try:
            while True:
                event = yield from connection.next_event(None)
                if not isinstance(event, h11.Data):
                    return
                replies = []
                for line in lines.feed(bytes(event.data)):
                    if line.startswith(b'["hello"'):
                        owner = self._handle_hello(line)
                        continue
                    try:
                        replies.append(pack(self.coordinator.handle_message(unpack(line))))
                    except UnreadableMessage as error:
                        log_event(log, events.TAKEOVER_UNREADABLE, peer=owner[0], reason=str(error))
                if replies:
                    data = connection.parser.send(h11.Data(data=b"".join(replies))) or b""
                    yield from connection.write(data, loop.now + WRITE_TIMEOUT_US)
        finally:
            self._open_connections[owner] -= 1
            if owner in self._ending and not self._open_connections[owner]:
                self._ending.discard(owner)
                self.coordinator.owner_gone(*owner)

    def _handle_hello(self, line: bytes) -> tuple[str, int]:
        try:
            _, name, life, *_ = ujson.loads(line)
            name, life = str(name), int(life)
        except (ValueError, TypeError):
            return "", 0
        before = self._latest_lives.get(name)
        self._latest_lives[name] = max(life, before or 0)
        self._open_connections[name, life] += 1
        if before is not None and before < life:
            self._handle_planned_end((name, before))
        return name, life

    def _handle_planned_end(self, owner: tuple[str, int]) -> None:
        """Notes that a process stops or was replaced; it keeps its jobs for as long as it is connected."""
        if self._open_connections[owner] > 0:
            self._ending.add(owner)
        else:
            self.coordinator.owner_gone(*owner)

    def handle_member_gone(self, name: str, left: bool) -> None:
        """Handles the end of a member, as the membership reports it; `left` if the member announced it."""
        life = self._latest_lives.get(name)
        if life is not None and left:
            self._handle_planned_end((name, life))
        elif life is not None:
            self.coordinator.owner_gone(name, life)
