"""A dispatcher of the tier under clients that send much, stop short, read nothing, or only connect."""

from __future__ import annotations

from heronstall.lab.tier.client import HOST, LOTS, STREAM, until
from tests.misbehaving.crowd import chunked_body, partial_head, sized_body, whole_body
from tests.misbehaving.tier_case import (
    ANSWER_WITHIN_S,
    BODY_BYTES,
    HEAD_FIELD_BYTES,
    HEAD_FIELDS,
    MANY_BODIES,
    MANY_CONNECTIONS,
    MANY_HEADS,
    SETTLE_S,
    SHORT_BY_BYTES,
    TierCase,
)

POST_HEAD = (
    f"POST {STREAM}x HTTP/1.1\r\nHost: {HOST}\r\n"
    "Heronstall-Request-Id: crowd\r\nHeronstall-Deadline-Ms: 60000\r\n"
)
CHUNK_BYTES = 64 * 1024
WORKER_PAUSE_S = 2.0  # between two events, so that a request is under way for long
READERS, RESULT_ITEMS, EVENT_BYTES = 150, 16, 10_000  # a page of some 800 kB for each read
READS = 12  # on one connection, more than the buffers of the system take
STREAMED_EVENT_BYTES = 1024 * 1024
WAITING_READ = f"GET /-/lots/none HTTP/1.1\r\nHost: {HOST}\r\nHeronstall-Wait-Ms: 2000\r\n\r\n"


class Bodies(TierCase):
    async def test_sized_bodies_that_stop_short(self) -> None:
        """Guards against bodies that are read without a bound for all connections together."""
        await self.send_from_crowd(
            self.front, MANY_BODIES, sized_body(POST_HEAD, BODY_BYTES, BODY_BYTES - SHORT_BY_BYTES)
        )
        await self.check_served()
        await self.check_limits()

    async def test_chunked_bodies_that_stop_short(self) -> None:
        """Guards against a bound that only knows announced lengths."""
        await self.send_from_crowd(
            self.front, MANY_BODIES, chunked_body(POST_HEAD, CHUNK_BYTES, BODY_BYTES // CHUNK_BYTES - 1)
        )
        await self.check_served()
        await self.check_limits()

    async def test_whole_bodies_at_a_slow_worker(self) -> None:
        """Guards against whole bodies that are held for their answer without a bound."""
        self.tier.workers[0].pause = WORKER_PAUSE_S
        await self.send_from_crowd(self.front, MANY_BODIES, whole_body(POST_HEAD, b"x" * BODY_BYTES))
        self.tier.workers[0].pause = 0.0
        await self.check_served()
        await self.check_limits()

    async def test_connections_that_rest_after_a_large_body(self) -> None:
        """Guards against requests that are kept by their connections after they were answered."""
        crowd = self.crowd(self.front)
        for _ in range(MANY_BODIES):
            crowd.join(1, whole_body(POST_HEAD, b"x" * BODY_BYTES))
            await crowd.sent(SETTLE_S)
        await crowd.settle(SETTLE_S)
        await self.check_served()
        await self.check_limits()

    async def test_bodies_to_paths_without_a_route(self) -> None:
        """Guards against a bound that holds on routes alone."""
        head = POST_HEAD.replace(STREAM, "/nowhere/")
        await self.send_from_crowd(
            self.front, MANY_BODIES, sized_body(head, BODY_BYTES, BODY_BYTES - SHORT_BY_BYTES)
        )
        await self.check_served()
        await self.check_limits()

    async def test_a_single_body_of_the_largest_size_is_served(self) -> None:
        """Guards against bounds that refuse what is legal when nothing else is going on."""
        name = self.next_id()
        headers = {"Host": HOST, "Heronstall-Request-Id": name, "Heronstall-Deadline-Ms": "5000"}
        url, body = f"http://{self.front}{STREAM}x", b"x" * BODY_BYTES
        async with self.client.calls.post(url, headers=headers, data=body) as answer:
            text = await answer.text()
        self.assertEqual(
            (answer.status, answer.headers["Heronstall-Response-Signature"]), (200, f"sig-{name}")
        )
        self.assertIn(f"data: {name}-5\n", text)
        await self.check_limits()


class Heads(TierCase):
    async def test_heads_that_stop_short(self) -> None:
        """Guards against heads that are kept far beyond the configured size while they arrive."""
        await self.send_from_crowd(
            self.front, MANY_HEADS, partial_head(POST_HEAD, HEAD_FIELDS, HEAD_FIELD_BYTES)
        )
        await self.check_served()
        await self.check_limits()

    async def test_heads_behind_a_request_that_is_being_answered(self) -> None:
        """Guards against bytes that are read and kept while an earlier request is answered."""
        await self.send_from_crowd(
            self.front, MANY_HEADS, partial_head(WAITING_READ + POST_HEAD, HEAD_FIELDS, HEAD_FIELD_BYTES)
        )
        await self.check_served()
        await self.check_limits()


class Connections(TierCase):
    async def test_connections_that_send_nothing(self) -> None:
        """Guards against connections that take all descriptors."""
        await self.send_from_crowd(self.front, MANY_CONNECTIONS, [])
        await self.check_served()
        await self.check_limits()

    async def test_connections_that_send_part_of_a_head(self) -> None:
        """Guards against connections that seem to be in use."""
        await self.send_from_crowd(self.front, MANY_CONNECTIONS, [POST_HEAD.encode()])
        await self.check_served()
        await self.check_limits()

    async def test_connections_to_the_readiness_address(self) -> None:
        """Guards against an address of the same process that has no limit of its own."""
        await self.send_from_crowd(self.readiness, MANY_CONNECTIONS, [])
        self.assertTrue(await until(self.is_ready, ANSWER_WITHIN_S))
        await self.check_served()
        await self.check_limits()

    async def test_heads_and_bodies_at_the_readiness_address(self) -> None:
        """Guards against bytes that are kept at an address that takes no bodies."""
        head = "GET /-/readyz HTTP/1.1\r\nHost: ready\r\n"
        crowd = self.crowd(self.readiness)
        crowd.join(MANY_HEADS, partial_head(head, HEAD_FIELDS, HEAD_FIELD_BYTES))
        crowd.join(MANY_BODIES, sized_body(head, BODY_BYTES, BODY_BYTES - SHORT_BY_BYTES))
        await crowd.settle(SETTLE_S)
        self.assertTrue(await until(self.is_ready, ANSWER_WITHIN_S))
        await self.check_served()
        await self.check_limits()


class Answers(TierCase):
    async def test_results_that_are_not_read(self) -> None:
        """Guards against answers that are kept for clients that do not read them."""
        self.tier.workers[0].padding = "y" * EVENT_BYTES
        self.assertEqual(await self.client.submit(self.edge, "job", RESULT_ITEMS), 202)
        await self.client.results(self.edge, "job", RESULT_ITEMS)
        crowd = self.crowd(self.front)
        read = f"GET /-/lots/job HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
        crowd.join(READERS, [read * READS])
        await crowd.settle(SETTLE_S)
        self.tier.workers[0].padding = ""
        await self.check_served()
        await self.check_limits()
        self.assertEqual(len((await self.client.read(self.edge, "job"))[1]), RESULT_ITEMS)

    async def test_streams_that_are_not_read(self) -> None:
        """Guards against streams that are kept for clients that do not read them."""
        self.tier.workers[0].padding = "y" * STREAMED_EVENT_BYTES
        await self.send_from_crowd(self.front, MANY_BODIES, whole_body(POST_HEAD, b"prompt"))
        self.tier.workers[0].padding = ""
        await self.check_served()
        await self.check_limits()


class Jobs(TierCase):
    head = f"POST {LOTS}x HTTP/1.1\r\nHost: {HOST}\r\n"

    async def submit_all(self, bodies: list[bytes]) -> None:
        """Submits a job for each body, all at once."""
        crowd = self.crowd(self.front)
        for number, body in enumerate(bodies):
            crowd.join(1, whole_body(f"{self.head}Heronstall-Request-Id: crowd-{number}\r\n", body))
        await crowd.settle(SETTLE_S)

    async def test_whole_jobs_of_the_largest_size(self) -> None:
        """Guards against jobs that are taken beyond the memory of dispatchers and storage nodes."""
        encoded = "A" * (BODY_BYTES - 1024)
        bodies = [
            f'{{"requests":[{{"id":"c{n}","path":"{LOTS}c","body":"{encoded}","tokens":0}}]}}'.encode()
            for n in range(MANY_BODIES)
        ]
        await self.submit_all(bodies)
        self.assertIn(await self.client.submit(self.edge, "small", 2), (202, 429, 503))
        await self.check_served()
        await self.check_limits()

    async def test_jobs_that_decode_to_many_times_their_size(self) -> None:
        """Guards against the decoded form of a submission."""
        entries = b",".join([b"[]"] * (BODY_BYTES // 3 - 100))
        await self.submit_all([b'{"requests":[' + entries + b"]}"] * 8)
        await self.check_served()
        await self.check_limits()

    async def test_items_with_very_many_headers(self) -> None:
        """Guards against headers of items, which take many times their size when decoded."""
        headers = ",".join(f'"{n:x}":""' for n in range(300_000))
        item = f'{{"id":"c","path":"{LOTS}c","body":"","tokens":0,"headers":{{{headers}}}}}'
        body = f'{{"requests":[{item}]}}'.encode()
        self.assertLess(len(body), BODY_BYTES)
        await self.submit_all([body] * 4)
        await self.check_served()
        await self.check_limits()
