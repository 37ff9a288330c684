"""A new process learns what running ones have seen of the servers: one question to a few, at the start.

Who began at about the same moment is not asked, since it knows nothing either; so a fleet that starts at
once asks nobody. What comes is one event each server for the decisions (`interface.Hearsay`).
"""

from __future__ import annotations

import logging

import h11

from heronstall import events
from heronstall.config import Address
from heronstall.events import say
from heronstall.knowledge.book import Book
from heronstall.knowledge.sights import LARGEST, Unreadable, Witness, Word, pack, unpack
from heronstall.membership.messages import Row
from heronstall.membership.relays import order
from heronstall.membership.swim import Swim
from heronstall.net.connection import Connection, ConnectionEnded, Ending, connect
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.loop import Coroutine, Loop, sleep
from heronstall.net.peers.followers import KNOWLEDGE
from heronstall.net.server_table import BackendServer, ServerTable

LOOK = 50_000
WITHIN = 2_000_000  # of the start: later one's own attempts have told as much
ENOUGH = 3  # processes that are asked; of three one alone can neither lie nor be wrong to any effect
OLDER = 2_000  # milliseconds that one has to have begun before us
ASK_TIME = 500_000  # for the whole of an answer
log = logging.getLogger("heronstall.peers")


class Learning:
    """One process's: what it asks at its start, and what it answers from then on."""

    def __init__(self, wanted: bool, loop: Loop, host: str) -> None:
        self._wanted, self._loop, self._host = wanted, loop, host
        self._begun = loop.now
        self._witness = Witness()
        self._told = 0  # words of ours so far
        self._book = Book()
        self._asked: set[str] = set()

    def begin(self, swim: Swim, table: ServerTable, dispatcher: Dispatcher) -> None:
        """Keep in mind what is seen from now on, and ask others what they have seen."""
        self._swim, self._table, self._dispatcher = swim, table, dispatcher
        dispatcher.observers.append(self._witness)
        moved = table.moved

        def gone(server: BackendServer) -> None:
            self._witness.forget(server.number)
            moved(server)

        table.moved = gone
        if self._wanted:
            self._loop.spawn(self._ask_some(), "learning")

    def answer(self, me: Row) -> bytes:
        """What this process has seen itself."""
        self._told += 1
        servers = [(s.number, s.uid, s.boot_ms) for s in self._table.listed()]
        sights = self._witness.sights(self._loop.now, servers)
        return pack(Word(me.name, (me.incarnation, self._told), tuple(sights)))

    def _elders(self) -> list[Row]:
        """Whom to ask, the best first: of one's own zone, each newcomer in an order of its own."""
        me = self._swim.me
        rows = [r for r in self._swim.living() if r.name != me.name and r.name not in self._asked]
        elders = order(me.name, (r for r in rows if r.incarnation < me.incarnation - OLDER))
        return sorted(elders, key=lambda r: r.zone != me.zone)

    def _ask_some(self) -> Coroutine[None]:
        while len(self._book.words) < ENOUGH and self._loop.now - self._begun < WITHIN:
            for row in self._elders()[: ENOUGH - len(self._book.words)]:
                self._asked.add(row.name)
                try:
                    word = yield from self._ask((row.host, row.port))
                except (ConnectionEnded, Unreadable) as error:
                    say(log, events.KNOWLEDGE_IGNORED, peer=row.name, reason=str(error))
                    continue
                if word.sights and word.node == row.name:
                    self._tell()
            yield from sleep(self._loop.now + LOOK)

    def _tell(self) -> None:
        """Tell the decisions what all who answered have said; more may come."""
        numbers = {(s.uid, s.boot_ms): s.number for s in self._table.listed()}
        told = self._book.hearsay(self._loop.now, lambda uid, boot_ms: numbers.get((uid, boot_ms)))
        for event in told:
            self._dispatcher.post(event)
        shunned = sum(event.shun > 0 for event in told)
        say(log, events.KNOWLEDGE_HEARD, peers=len(self._book.words), servers=len(told), shunned=shunned)

    def _ask(self, to: Address) -> Coroutine[Word]:
        """One process's word, merged. Raises ConnectionEnded, Unreadable."""
        asked, until = self._loop.now, self._loop.now + ASK_TIME
        connection = yield from connect(self._loop, to, until, self._host)
        try:
            request = h11.Request(method="GET", target=KNOWLEDGE, headers=[("Host", "peer")])
            for event in (request, h11.EndOfMessage()):
                yield from connection.write(connection.parser.send(event) or b"", until)
            word = unpack((yield from _body(connection, until)))
        finally:
            connection.close()
        self._book.merge(word, asked)
        return word


def _body(connection: Connection, until: int) -> Coroutine[bytes]:
    body = bytearray()
    while True:
        event = yield from connection.next_event(until)
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > LARGEST:
                raise Unreadable(f"over {LARGEST} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return bytes(body)
        elif not isinstance(event, h11.Response) or event.status_code != 200:
            raise ConnectionEnded(Ending.BROKEN, "no answer")
