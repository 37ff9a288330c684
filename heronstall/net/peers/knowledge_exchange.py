"""Exchange of what dispatchers have observed of the servers: a new process asks a few others at its start.

Processes that started at about the same time are not asked, since they know nothing either; so in a fleet
that starts at once nobody is asked. The answers become one event per server for the decisions
(`interface.Hearsay`).
"""

from __future__ import annotations

import logging

import h11

from heronstall import events
from heronstall.config import Address
from heronstall.events import log_event
from heronstall.knowledge.observations import (
    MAX_MESSAGE_BYTES,
    Message,
    ServerObserver,
    UnreadableMessage,
    pack,
    unpack,
)
from heronstall.knowledge.store import ObservationStore
from heronstall.membership.messages import Row
from heronstall.membership.relays import rendezvous_order
from heronstall.membership.swim import Swim
from heronstall.net.connection import Connection, ConnectionEnded, Ending, connect
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.loop import Coroutine, Loop, sleep
from heronstall.net.peers.followers import KNOWLEDGE_PATH
from heronstall.net.server_table import BackendServer, ServerTable

RETRY_DELAY_US = 50_000
ASKING_PERIOD_US = 2_000_000  # after the start; later a process's own attempts have told it as much
WANTED_ANSWERS = 3  # with three, a single process that is wrong or lies has no effect
MIN_AGE_DIFFERENCE_MS = 2_000  # how much earlier than this process an asked one has to have started
ANSWER_TIMEOUT_US = 500_000  # for a complete answer
log = logging.getLogger("heronstall.peers")


class KnowledgeExchange:
    """One process's part: what it asks at its start, and what it answers from then on."""

    def __init__(self, ask_others: bool, loop: Loop, host: str) -> None:
        self._ask_others, self._loop, self._host = ask_others, loop, host
        self._started_at = loop.now
        self._observer = ServerObserver()
        self._answer_count = 0  # numbers this process's answers
        self._store = ObservationStore()
        self._asked: set[str] = set()

    def start(self, swim: Swim, table: ServerTable, dispatcher: Dispatcher) -> None:
        """Records observations from now on, and asks others for theirs."""
        self._swim, self._table, self._dispatcher = swim, table, dispatcher
        dispatcher.observers.append(self._observer)
        previous_callback = table.moved

        def on_moved(server: BackendServer) -> None:
            self._observer.forget(server.number)
            previous_callback(server)

        table.moved = on_moved
        if self._ask_others:
            self._loop.spawn(self._ask_members(), "learning")

    def answer(self, me: Row) -> bytes:
        """Returns what this process has observed itself, encoded."""
        self._answer_count += 1
        servers = [(s.number, s.uid, s.boot_ms) for s in self._table.listed()]
        observations = self._observer.observations(self._loop.now, servers)
        return pack(Message(me.name, (me.incarnation, self._answer_count), tuple(observations)))

    def _candidates(self) -> list[Row]:
        """Returns the members to ask: those of the own zone first, each process in an order of its own."""
        me = self._swim.me
        rows = [r for r in self._swim.living() if r.name != me.name and r.name not in self._asked]
        older = rendezvous_order(
            me.name, (r for r in rows if r.incarnation < me.incarnation - MIN_AGE_DIFFERENCE_MS)
        )
        return sorted(older, key=lambda r: r.zone != me.zone)

    def _ask_members(self) -> Coroutine[None]:
        while (
            len(self._store.messages) < WANTED_ANSWERS
            and self._loop.now - self._started_at < ASKING_PERIOD_US
        ):
            for row in self._candidates()[: WANTED_ANSWERS - len(self._store.messages)]:
                self._asked.add(row.name)
                try:
                    answer = yield from self._ask((row.host, row.port))
                except (ConnectionEnded, UnreadableMessage) as error:
                    log_event(log, events.OBSERVATIONS_IGNORED, peer=row.name, reason=str(error))
                    continue
                if answer.observations and answer.node == row.name:
                    self._post_events()
            yield from sleep(self._loop.now + RETRY_DELAY_US)

    def _post_events(self) -> None:
        """Posts the combined answers received so far to the decisions; more may follow."""
        numbers = {(s.uid, s.boot_ms): s.number for s in self._table.listed()}
        hearsay = self._store.hearsay(self._loop.now, lambda uid, boot_ms: numbers.get((uid, boot_ms)))
        for event in hearsay:
            self._dispatcher.post(event)
        shunned = sum(event.shun > 0 for event in hearsay)
        log_event(
            log,
            events.OBSERVATIONS_RECEIVED,
            peers=len(self._store.messages),
            servers=len(hearsay),
            shunned=shunned,
        )

    def _ask(self, address: Address) -> Coroutine[Message]:
        """Fetches and merges one process's answer. Raises ConnectionEnded, UnreadableMessage."""
        asked_at, deadline = self._loop.now, self._loop.now + ANSWER_TIMEOUT_US
        connection = yield from connect(self._loop, address, deadline, self._host)
        try:
            request = h11.Request(method="GET", target=KNOWLEDGE_PATH, headers=[("Host", "peer")])
            for event in (request, h11.EndOfMessage()):
                yield from connection.write(connection.parser.send(event) or b"", deadline)
            answer = unpack((yield from _read_body(connection, deadline)))
        finally:
            connection.close()
        self._store.merge(answer, asked_at)
        return answer


def _read_body(connection: Connection, deadline: int) -> Coroutine[bytes]:
    body = bytearray()
    while True:
        event = yield from connection.next_event(deadline)
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_MESSAGE_BYTES:
                raise UnreadableMessage(f"over {MAX_MESSAGE_BYTES} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return bytes(body)
        elif not isinstance(event, h11.Response) or event.status_code != 200:
            raise ConnectionEnded(Ending.BROKEN, "no answer")
