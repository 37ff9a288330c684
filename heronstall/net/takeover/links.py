"""The words of takeover on their way: one connection to each witness's process, one from each owner's.

A request and its answer that do not end, over the peers' TCP port: lines of words in chunks, all that a turn
of the loop has said in one chunk. What a broken connection loses is lost: parties say it again or do without.
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
from heronstall.events import say
from heronstall.membership.messages import State as MemberState
from heronstall.membership.swim import Swim
from heronstall.net.connection import Connection, ConnectionEnded, LineSplitter, connect
from heronstall.net.loop import READ, Coroutine, Loop, Task, sleep
from heronstall.net.takeover.guard import Guard
from heronstall.takeover.words import LARGEST, Unreadable, Word, pack, unpack

PATH = b"/v1/takeover"
CONNECT_TIME = 500_000
AGAIN = (50_000, 500_000)  # between attempts at a connection
QUEUE = 4 * 1024 * 1024  # bytes that wait for a witness; beyond them words are lost
WRITE_TIME = 1_000_000
log = logging.getLogger("heronstall.takeover")


class Link:
    """To one witness, over the lives of its process."""

    def __init__(self, links: Links, name: str) -> None:
        self._links, self._name, self._loop = links, name, links.loop
        self._connection: Connection | None = None
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self._writer: Task | None = None  # while it waits
        self._sender: Task | None = None
        self._draw = random.Random(name)
        self.up = False
        self._loop.spawn(self._keep_up(), f"link to {name}")

    def say(self, word: Word) -> None:
        """A word goes with all that this turn of the loop says."""
        if not self.up:
            return
        line = pack(word)
        self._size += len(line)
        if self._size > QUEUE:
            self._size -= len(line)
            return
        self._waiting.append(line)
        if self._writer is not None:
            self._writer.wake(READ)
            self._writer = None

    def _keep_up(self) -> Coroutine[None]:
        while True:
            to = self._links.address(self._name)
            if to is not None:
                try:
                    until = self._loop.now + CONNECT_TIME
                    connection = self._connection = yield from connect(
                        self._loop, to, until, self._links.host
                    )
                    headers = [("Host", "peer"), ("Transfer-Encoding", "chunked")]
                    request = h11.Request(method="POST", target=PATH, headers=headers)
                    hello = ujson.dumps(["hello", *self._links.me]).encode() + b"\n"
                    data = (connection.parser.send(request) or b"") + (
                        connection.parser.send(h11.Data(data=hello)) or b""
                    )
                    yield from connection.write(data, until)
                    yield from self._hear(connection)
                except ConnectionEnded:
                    pass
                finally:
                    self.up = False
                    self._waiting.clear()
                    self._size = 0
                    if self._connection is not None:
                        self._connection.close()
                        self._connection = None
                self._links.broke(self._name)
            yield from sleep(self._loop.now + self._draw.randrange(*AGAIN))

    def _hear(self, connection: Connection) -> Coroutine[None]:
        lines, sender = LineSplitter(LARGEST), self._loop.spawn(self._write(connection), "takeover's words")
        self._sender, self.up = sender, True
        try:
            while True:
                event = yield from connection.next_event(None)
                if isinstance(event, h11.Data):
                    for line in lines.feed(bytes(event.data)):
                        self._links.heard(self._name, line)
                elif not isinstance(event, h11.Response) or event.status_code != 200:
                    return
        finally:
            sender.kill()

    def _write(self, connection: Connection) -> Coroutine[None]:
        loop = self._loop
        while True:
            if not self._waiting:
                self._writer = self._sender
                yield -1, 0, None
                continue
            data = b"".join(self._waiting)
            self._waiting.clear()
            self._size = 0
            try:
                yield from connection.write(
                    connection.parser.send(h11.Data(data=data)) or b"", loop.now + WRITE_TIME
                )
            except ConnectionEnded:
                connection.close()
                return


class Links:
    """All of one process."""

    def __init__(
        self, guard: Guard, loop: Loop, swim: Swim, host: str, me: tuple[str, int], names: list[str]
    ) -> None:
        self.guard, self.loop, self._swim, self.host, self.me = guard, loop, swim, host, me
        self._lives: dict[str, int] = {}  # the latest of each owner's processes that has spoken here
        self._speaking: Counter[tuple[str, int]] = Counter()  # connections of processes that are open
        self._ending: set[tuple[str, int]] = set()  # processes that go as planned, and finish what they have
        self._links = {name: Link(self, name) for name in names if name != me[0]}
        self.asks: Callable[[str], None] = lambda name: None
        guard.tell, guard.lives = self._tell, self.lives

    def address(self, name: str) -> Address | None:
        """Where a member is, if it is there."""
        member = self._swim.members.get(name)
        return None if member is None or member.row.state > MemberState.SUSPECT else member.address

    def lives(self, name: str) -> bool:
        """Whether a witness can be spoken to."""
        link = self._links.get(name)
        return link is not None and link.up and self.address(name) is not None

    def _tell(self, name: str, word: Word) -> None:
        link = self._links.get(name)
        if link is not None:
            link.say(word)

    def broke(self, name: str) -> None:
        """A witness's connection has ended: is it there?"""
        self.asks(name)

    def heard(self, name: str, line: bytes) -> None:
        """A witness's line."""
        try:
            self.guard.reply(name, unpack(line))
        except Unreadable as error:
            say(log, events.TAKEOVER_UNREADABLE, peer=name, reason=str(error))

    def serve(self, connection: Connection) -> Coroutine[None]:
        """Answer an owner's words until its connection ends. Raises ConnectionEnded."""
        loop, lines, who = self.loop, LineSplitter(LARGEST), ("", 0)
        headers = [("Transfer-Encoding", "chunked")]
        response = connection.parser.send(h11.Response(status_code=200, headers=headers)) or b""
        yield from connection.write(response, loop.now + WRITE_TIME)
        try:
            while True:
                event = yield from connection.next_event(None)
                if not isinstance(event, h11.Data):
                    return
                said = []
                for line in lines.feed(bytes(event.data)):
                    if line.startswith(b'["hello"'):
                        who = self._hello(line)
                        continue
                    try:
                        said.append(pack(self.guard.heard(unpack(line))))
                    except Unreadable as error:
                        say(log, events.TAKEOVER_UNREADABLE, peer=who[0], reason=str(error))
                if said:
                    data = connection.parser.send(h11.Data(data=b"".join(said))) or b""
                    yield from connection.write(data, loop.now + WRITE_TIME)
        finally:
            self._speaking[who] -= 1
            if who in self._ending and not self._speaking[who]:
                self._ending.discard(who)
                self.guard.owner_gone(*who)

    def _hello(self, line: bytes) -> tuple[str, int]:
        try:
            _, name, life, *_ = ujson.loads(line)
            name, life = str(name), int(life)
        except (ValueError, TypeError):
            return "", 0
        before = self._lives.get(name)
        self._lives[name] = max(life, before or 0)
        self._speaking[name, life] += 1
        if before is not None and before < life:
            self._goes((name, before))
        return name, life

    def _goes(self, who: tuple[str, int]) -> None:
        """A process ends, or is replaced: what it has in hand is its own while it is there."""
        if self._speaking[who] > 0:
            self._ending.add(who)
        else:
            self.guard.owner_gone(*who)

    def member_gone(self, name: str, left: bool) -> None:
        """Members say that it is; `left`, by its own word."""
        life = self._lives.get(name)
        if life is not None and left:
            self._goes((name, life))
        elif life is not None:
            self.guard.owner_gone(name, life)
