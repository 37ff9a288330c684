"""Truncated responses of workers over a real socket: none is forwarded as a complete one."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from unittest import mock

import aiohttp
from multidict import CIMultiDict

from heronstall.batch.outcomes import Outcome
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.forwarding import REQUEST_ID_HEADER, Forwarder, RequestContext
from heronstall.dataplane.framing import is_framed
from heronstall.dataplane.item_attempts import ItemAttempts, RunningItem
from heronstall.dataplane.workers import WorkerPool
from heronstall.routing.routes import Route, RouteType
from heronstall.transport.messages import BatchItem, LeasedItem, Worker

PORT = 7743
HEAD = (
    b"HTTP/1.1 200 OK\r\nHeronstall-Request-Id: r\r\nHeronstall-Response-Signature: s\r\n"
    b"Content-Type: text/event-stream\r\nConnection: close\r\n"
)
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
COMPLETE = HEAD + b"Content-Length: %d\r\n\r\n" % len(EVENTS) + EVENTS
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(EVENTS), EVENTS)
UNFRAMED = HEAD + b"\r\n" + EVENTS
TRUNCATED_LENGTH = HEAD + b"Content-Length: 90\r\n\r\n" + EVENTS
TRUNCATED_CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(EVENTS), EVENTS)
TRUNCATED = {"no length": UNFRAMED, "length": TRUNCATED_LENGTH, "chunks": TRUNCATED_CHUNKS}


class WorkerResponses(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.payload = COMPLETE
        server = await asyncio.start_server(self.serve, "127.0.0.1", PORT)
        self.addCleanup(server.close)
        self.pool = WorkerPool()
        entry = Worker(id="w", service="lm", address=f"127.0.0.1:{PORT}", state="ready", capacity=4)
        self.pool.update({"w": entry})
        self.worker = self.pool.by_id["w"]
        self.admission = Admission(self.pool, random.Random(1))

    async def asyncTearDown(self) -> None:
        await self.worker.session().close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads a request, sends the payload and closes the connection."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.payload)
        await writer.drain()
        writer.close()

    async def fetch(self) -> aiohttp.ClientResponse:
        """Sends a request and returns the response as aiohttp parses it."""
        return await self.worker.request("POST", "/p", CIMultiDict({"Host": "h"}), b"")

    async def test_length_or_chunks_delimit_a_response(self) -> None:
        for name, payload in {"complete": COMPLETE, "complete in chunks": CHUNKED, **TRUNCATED}.items():
            self.payload = payload
            with self.subTest(name):
                response = await self.fetch()
                self.assertEqual(is_framed(response), name != "no length")
                response.close()

    async def test_response_without_a_length_is_not_forwarded(self) -> None:
        self.payload = UNFRAMED
        for kind in (RouteType.IDEMPOTENT, RouteType.STREAMING, RouteType.NON_IDEMPOTENT):
            with self.subTest(kind):
                self.worker.avoid_until = 0.0
                response = await Forwarder(self.pool, self.admission).forward(self.context(kind))
                self.assertEqual((response.status, response.prepared), (502, False))

    def context(self, kind: RouteType) -> RequestContext:
        """Returns a request of a route of this kind."""
        route = Route("r", "h", "/", kind, (("lm", 1.0),), 5.0, 0.5, 1, 2, False, 0.25, 8.0, 60.0, 0)
        request = mock.Mock(
            method="POST", raw_path="/p", headers=CIMultiDict({REQUEST_ID_HEADER: "r", "Host": "h"})
        )
        now = time.monotonic()
        return RequestContext(request, route, "lm", b"", now + 5, now)

    async def test_item_is_done_only_by_a_complete_response(self) -> None:
        for name, payload in {"complete": COMPLETE, "complete in chunks": CHUNKED, **TRUNCATED}.items():
            self.payload = payload
            with self.subTest(name):
                attempts = ItemAttempts(self.admission)
                item = RunningItem(LeasedItem(job="j", host="h"), BatchItem(id="r", path="/p"), "batch-0")
                outcome = await attempts.make(item, self.worker)
                self.assertEqual(outcome, Outcome.DONE if name.startswith("complete") else None)


if __name__ == "__main__":
    unittest.main()
