"""Every end of an attempt over a real socket: whether another attempt follows and what the client gets."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from unittest import mock

from aiohttp import web
from multidict import CIMultiDict

from heronstall.batch.outcomes import Outcome
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.attempt_ends import END_RULES, AttemptEnd, EndRule, Refusal, may_retry
from heronstall.dataplane.forwarding import REQUEST_ID_HEADER, Forwarder, RequestContext
from heronstall.dataplane.item_attempts import ItemAttempts, RunningItem
from heronstall.dataplane.workers import WorkerPool, WorkerState
from heronstall.routing.routes import Route, RouteType
from heronstall.transport.messages import BatchItem, LeasedItem, Worker

FIRST_PORT, SECOND_PORT, CLOSED_PORT = 7751, 7752, 7753
ID = "9c41d07be2a35f68"
OTHER = "0000000000000000"
BODY = b"b" * 200_000  # more than the socket buffers hold
SIGNED = "Heronstall-Response-Signature: s\r\n"
PROOF = "Heronstall-Not-Executed: 1\r\n"
WHOLE_EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
DEADLINE = 3.0  # seconds
SHORT_DEADLINE = 0.15


def answer(status: int, headers: str = "", name: str | None = ID, body: bytes = b"x") -> bytes:
    """Returns the bytes of a worker's response."""
    id_header = f"{REQUEST_ID_HEADER}: {name}\r\n" if name else ""
    head = f"HTTP/1.1 {status} S\r\n{id_header}{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


GOOD = answer(200, SIGNED)


@dataclass
class Behaviour:
    """How a worker handles a request."""

    reply: bytes = b""
    read_body: bool = True
    early: bool = False  # respond before reading the body
    reset: bool = False
    stay: bool = False  # keep the connection open afterwards without sending anything


@dataclass
class Server:
    """A worker on a socket, with a behaviour for each request; counts the requests received completely."""

    behave: Callable[[int], Behaviour]
    requests: int = 0
    connections: int = 0
    server: asyncio.Server | None = None
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def listen(self, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        self.connections += 1
        try:
            while await self._one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        behaviour = self.behave(self.requests)
        if behaviour.early:
            writer.write(behaviour.reply)
        if behaviour.read_body:
            length = next((int(h[15:]) for h in head.split(b"\r\n") if h.startswith(b"content-length:")), 0)
            await reader.readexactly(length)
        self.requests += 1
        if behaviour.reset:
            writer.transport.abort()
            return False
        if not behaviour.early:
            writer.write(behaviour.reply)
        await writer.drain()
        if behaviour.stay:
            return True
        writer.close()
        return False

    def close(self) -> None:
        """Closes all connections."""
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


@dataclass(frozen=True)
class Row:
    """How one end is caused, and the result on a route that allows no repeats."""

    end: AttemptEnd
    name: str
    behaviour: Behaviour | None  # None if nothing listens
    status: int  # that the client of a non-idempotent request gets
    deadline: float = DEADLINE
    resumed: bool = False  # whether the client has begun to receive the stream


CUT = answer(200, SIGNED)[:-1]
EARLY_REFUSAL = Behaviour(answer(503, PROOF), early=True, stay=True)
ROWS = (
    Row(AttemptEnd.NO_CONNECTION, "nothing listens", None, 200),
    Row(AttemptEnd.FULL, "503 with proof", Behaviour(answer(503, PROOF)), 200),
    Row(
        AttemptEnd.FULL,
        "503 before the body is read",
        Behaviour(answer(503, PROOF), early=True, stay=True),
        200,
    ),
    Row(AttemptEnd.TURNED_AWAY, "429 with proof", Behaviour(answer(429, PROOF)), 200),
    Row(AttemptEnd.WRONG_WORKER, "421 with proof", Behaviour(answer(421, PROOF)), 200),
    Row(AttemptEnd.WRONG_WORKER, "421 alone", Behaviour(answer(421)), 200),
    Row(AttemptEnd.UNPROVEN_REFUSAL, "503 without proof", Behaviour(answer(503, SIGNED)), 502),
    Row(AttemptEnd.UNPROVEN_REFUSAL, "429 without proof", Behaviour(answer(429, SIGNED)), 502),
    Row(AttemptEnd.UNPROVEN_REFUSAL, "408 without proof", Behaviour(answer(408, SIGNED)), 502),
    Row(AttemptEnd.NO_ANSWER, "reset before the body is read", Behaviour(read_body=False, reset=True), 502),
    Row(AttemptEnd.NO_ANSWER, "reset after the body is read", Behaviour(reset=True), 502),
    Row(AttemptEnd.NO_ANSWER, "closed before the first byte", Behaviour(), 502),
    Row(AttemptEnd.NO_ANSWER, "closed within the head", Behaviour(b"HTTP/1.1 200 OK\r\nHer"), 502),
    Row(AttemptEnd.NO_ANSWER, "bytes that are not HTTP", Behaviour(b"\0\1rubbish\r\n\r\n"), 502),
    Row(AttemptEnd.OTHER_ID, "another request's response", Behaviour(answer(200, SIGNED, OTHER)), 502),
    Row(AttemptEnd.OTHER_ID, "another request's 503 with proof", Behaviour(answer(503, PROOF, OTHER)), 502),
    Row(AttemptEnd.OTHER_ID, "another request's 429 with proof", Behaviour(answer(429, PROOF, OTHER)), 502),
    Row(AttemptEnd.OTHER_ID, "another request's 421", Behaviour(answer(421, PROOF, OTHER)), 502),
    Row(AttemptEnd.OTHER_ID, "421 without an id", Behaviour(answer(421, PROOF, None)), 502),
    Row(
        AttemptEnd.NO_LENGTH,
        "no length",
        Behaviour(f"HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: {ID}\r\n{SIGNED}\r\nall".encode()),
        502,
    ),
    Row(AttemptEnd.CUT_SHORT, "closed within the response", Behaviour(CUT), 502),
    Row(AttemptEnd.FAILED_RESUMPTION, "500 instead of the rest", Behaviour(answer(500)), 0, resumed=True),
    Row(AttemptEnd.TIMED_OUT, "silence until the deadline", Behaviour(stay=True), 504, SHORT_DEADLINE),
)


class SocketCase(unittest.IsolatedAsyncioTestCase):
    """A dispatcher's forwarder with two workers, of which the first is always tried first."""

    async def asyncSetUp(self) -> None:
        self.servers: list[Server] = []
        self.pool = WorkerPool()
        self.admission = Admission(self.pool, random.Random(1))
        self.admission.pick = self.pick  # type: ignore[assignment]

    async def asyncTearDown(self) -> None:
        for worker in self.pool.by_id.values():
            await worker.session().close()
        for server in self.servers:
            server.close()

    async def workers(self, first: Behaviour | None, second: Behaviour) -> tuple[Server, Server]:
        """Starts two workers that handle every request alike."""
        for server in self.servers:
            server.close()
        made = Server(lambda _: first or Behaviour()), Server(lambda _: second)
        self.servers = list(made)
        for server, port in zip(made, (FIRST_PORT, SECOND_PORT), strict=True):
            await server.listen(port)
        self.register(FIRST_PORT if first else CLOSED_PORT)
        return made

    def register(self, first_port: int) -> None:
        entries = {
            name: Worker(id=name, service="lm", address=f"127.0.0.1:{port}", state="ready", capacity=4)
            for name, port in (("w1", first_port), ("w2", SECOND_PORT))
        }
        self.pool.update({})
        self.pool.update(entries)

    def pick(self, service: str, prefix: object, tried: set[str]) -> WorkerState | None:
        return next((w for name, w in sorted(self.pool.by_id.items()) if name not in tried), None)

    def context(
        self,
        kind: RouteType,
        deadline: float = DEADLINE,
        attempts: int = 2,
        resumable: bool | None = None,
    ) -> RequestContext:
        """Returns a request of a route of this kind; `resumable` is set on streaming ones by default."""
        resumable = kind is RouteType.STREAMING if resumable is None else resumable
        route = Route(
            "r", "h", "/", kind, (("lm", 1.0),), 5.0, 0.5, 1, attempts, resumable, 0.25, 8.0, 60.0, 0
        )
        request = mock.Mock(
            method="POST", raw_path="/p", headers=CIMultiDict({REQUEST_ID_HEADER: ID, "Host": "h"})
        )
        now = time.monotonic()
        return RequestContext(request, route, "lm", BODY, now + deadline, now)

    async def client_status(self, context: RequestContext) -> int:
        """Returns the status that the client gets."""
        with mock.patch("heronstall.dataplane.forwarding.ForwardedResponse", RecordedResponse):
            return (await Forwarder(self.pool, self.admission).forward(context)).status


class RecordedResponse(web.StreamResponse):
    """A response that is recorded instead of being sent to a client."""

    def __init__(self, status: int, reason: str | None, headers: CIMultiDict[str]) -> None:
        super().__init__(status=status, reason=reason, headers=headers)
        self.data = b""

    async def prepare(self, request: object) -> None:
        """Skips sending the head."""

    async def write(self, data: bytes) -> None:  # type: ignore[override]
        self.data += data

    async def write_eof(self, data: bytes = b"") -> None:
        self.data += data


class AllEnds(SocketCase):
    async def row_status(self, row: Row, kind: RouteType, resumable: bool | None = None) -> tuple[int, int]:
        """Returns the client's status and the number of requests that reached the second worker."""
        _, second = await self.workers(row.behaviour, Behaviour(GOOD, stay=True))
        status = await self.client_status(self.context(kind, row.deadline, resumable=resumable))
        return status, second.requests

    async def assert_only_proofs_are_followed(self, resumable: bool) -> None:
        """Asserts that a non-idempotent request is sent again only after a proof that it was not executed."""
        for row in ROWS:
            if row.resumed:
                continue
            with self.subTest(row.name, end=row.end):
                status, again = await self.row_status(row, RouteType.NON_IDEMPOTENT, resumable)
                self.assertEqual((status, again), (row.status, int(END_RULES[row.end].not_run)))

    async def test_without_repeats_another_attempt_follows_only_a_proof_of_non_execution(self) -> None:
        await self.assert_only_proofs_are_followed(resumable=False)

    async def test_a_non_idempotent_request_is_not_repeated_though_its_route_has_resumable(self) -> None:
        """Guards against a second run where a resumable streaming route was turned into such a one."""
        await self.assert_only_proofs_are_followed(resumable=True)

    async def test_a_silent_worker_ends_no_non_idempotent_request_though_its_route_has_resumable(
        self,
    ) -> None:
        """Guards against the same second run at a worker that is merely slow to answer."""
        first, second = await self.workers(Behaviour(stay=True), Behaviour(GOOD, stay=True))
        context = self.context(RouteType.NON_IDEMPOTENT, resumable=True)
        sending = asyncio.create_task(self.client_status(context))
        async with asyncio.timeout(DEADLINE):
            while not first.requests:
                await asyncio.sleep(0)
        self.assertEqual(self.pool.by_id["w1"].attempts.end_silent(time.monotonic() + DEADLINE), 0)
        first.writers[0].write(GOOD)
        self.assertEqual((await sending, second.requests), (200, 0))

    async def test_with_repeats_another_attempt_follows_every_end(self) -> None:
        for row in ROWS:
            if row.resumed or row.end is AttemptEnd.TIMED_OUT:
                continue  # no attempt follows after the deadline
            with self.subTest(row.name, end=row.end):
                self.assertEqual(await self.row_status(row, RouteType.IDEMPOTENT), (200, 1))

    async def test_each_row_causes_its_end(self) -> None:
        for row in ROWS:
            await self.workers(row.behaviour, Behaviour(GOOD, stay=True))
            context = self.context(RouteType.STREAMING if row.resumed else RouteType.IDEMPOTENT, row.deadline)
            if row.resumed:
                context.response, context.last_event = mock.Mock(), 1
            with self.subTest(row.name):
                forwarder = Forwarder(self.pool, self.admission)
                self.assertIs(await forwarder._attempt(context, self.pool.by_id["w1"]), row.end)

    def test_every_end_has_a_row_and_a_rule(self) -> None:
        self.assertEqual({row.end for row in ROWS}, set(AttemptEnd))
        self.assertEqual(set(END_RULES), set(AttemptEnd))

    async def test_a_cancelled_request_is_not_sent_again(self) -> None:
        first, second = await self.workers(Behaviour(stay=True), Behaviour(GOOD, stay=True))
        task = asyncio.create_task(self.client_status(self.context(RouteType.IDEMPOTENT)))
        async with asyncio.timeout(DEADLINE):
            while not first.requests:
                await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertTrue(task.cancelled())
        self.assertEqual((second.requests, self.pool.by_id["w1"].inflight), (0, 0))

    async def test_a_truncated_stream_resumes_at_another_worker_without_duplicate_events(self) -> None:
        events = f"Content-Type: text/event-stream\r\n{SIGNED}"
        whole = answer(200, events, body=WHOLE_EVENTS)
        for cut in (whole[:-1], whole[: -len(WHOLE_EVENTS)], whole[:-20]):
            _, second = await self.workers(Behaviour(cut), Behaviour(whole, stay=True))
            with self.subTest(len(cut)):
                context = self.context(RouteType.STREAMING)
                self.assertEqual(await self.client_status(context), 200)
                assert isinstance(context.response, RecordedResponse)
                self.assertEqual((context.response.data, second.requests), (WHOLE_EVENTS, 1))

    def test_executions_are_limited_by_the_route(self) -> None:
        for end, rule in END_RULES.items():
            self.assertEqual(may_retry(end, True, 2, 2), rule.not_run)
            self.assertTrue(may_retry(end, True, 1, 2))

    def test_other_responses_are_passed_on_to_the_client(self) -> None:
        for status in (200, 400, 404, 422, 500, 504):
            self.assertIsNone(Refusal(status, proven=False).end)
        self.assertIsNone(Refusal(400, proven=True).end)


class WrongRules(SocketCase):
    """Wrong rules, each of which a row detects."""

    async def assert_detected(self, end: AttemptEnd) -> None:
        with mock.patch.dict(END_RULES, {end: EndRule(not_run=True, worker_failed=True)}):
            for row in (r for r in ROWS if r.end is end):
                _, second = await self.workers(row.behaviour, Behaviour(GOOD, stay=True))
                await self.client_status(self.context(RouteType.NON_IDEMPOTENT, row.deadline))
                self.assertEqual(second.requests, 1, row.name)

    async def test_trusting_a_response_with_another_id_is_detected(self) -> None:
        await self.assert_detected(AttemptEnd.OTHER_ID)

    async def test_trusting_a_refusal_without_proof_is_detected(self) -> None:
        await self.assert_detected(AttemptEnd.UNPROVEN_REFUSAL)


class SurplusResponses(SocketCase):
    """A worker sends a surplus response: at once, on an idle connection, or to the next request."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.first = Server(lambda _: Behaviour(GOOD, stay=True))
        self.servers = [self.first]
        await self.first.listen(FIRST_PORT)
        self.register(FIRST_PORT)
        self.worker = self.pool.by_id["w1"]

    async def send(self, name: str) -> web.StreamResponse | AttemptEnd:
        context = self.context(RouteType.NON_IDEMPOTENT)
        context.request.headers[REQUEST_ID_HEADER] = name  # type: ignore[index]
        with mock.patch("heronstall.dataplane.forwarding.ForwardedResponse", RecordedResponse):
            return await Forwarder(self.pool, self.admission)._attempt(context, self.worker)

    async def test_an_immediate_surplus_response_makes_the_connection_unusable(self) -> None:
        self.first.behave = lambda _: Behaviour(GOOD + answer(503, PROOF), stay=True)
        await self.send(ID)
        self.assertFalse(self.worker.has_idle_connection(time.monotonic()))

    async def test_a_surplus_response_on_an_idle_connection_makes_it_unusable(self) -> None:
        await self.send(ID)
        self.first.writers[0].write(answer(503, PROOF))
        connector = self.worker._connector
        assert connector is not None
        idle = next(iter(connector._conns.values()))[0][0]
        async with asyncio.timeout(DEADLINE):
            while not idle.should_close:
                await asyncio.sleep(0)
        self.first.behave = lambda _: Behaviour(answer(200, SIGNED, OTHER), stay=True)
        outcome = await self.send(OTHER)
        self.assertIsInstance(outcome, RecordedResponse)
        self.assertEqual(self.first.connections, 2)

    async def test_a_surplus_response_to_the_next_request_proves_nothing(self) -> None:
        for surplus in (answer(503, PROOF), answer(421, PROOF), answer(429, PROOF), GOOD):
            self.first.behave = lambda _, s=surplus: Behaviour(s, stay=True)  # type: ignore[misc]
            with self.subTest(surplus[:30]):
                self.assertIs(await self.send(OTHER), AttemptEnd.OTHER_ID)
                self.assertFalse(self.worker.has_idle_connection(time.monotonic()))


class Items(SocketCase):
    """Batch items: a worker's response counts only for the item that it names."""

    async def outcome(self, reply: bytes) -> Outcome | None:
        await self.workers(Behaviour(reply), Behaviour())
        attempts = ItemAttempts(self.admission)
        item = RunningItem(LeasedItem(job="j", host="h"), BatchItem(id=ID, path="/p", body=BODY), "batch-0")
        return await attempts.make(item, self.pool.by_id["w1"])

    async def test_a_response_with_another_id_says_nothing_about_an_item(self) -> None:
        for status, own in ((422, Outcome.UNPROCESSABLE), (500, Outcome.FAILED), (503, None), (421, None)):
            with self.subTest(status):
                self.assertEqual(await self.outcome(answer(status)), own)
                self.assertIsNone(await self.outcome(answer(status, name=OTHER)))
                self.assertIsNone(await self.outcome(answer(status, name=None)))


if __name__ == "__main__":
    unittest.main()
