"""Answers of workers that are cut, by a real socket: nothing that may be cut is passed on as whole."""

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
from heronstall.dataplane.batch_runner import BatchRunner, RunningItem
from heronstall.dataplane.forwarding import REQUEST_ID_HEADER, Forwarder, RequestContext
from heronstall.dataplane.framing import is_framed
from heronstall.dataplane.routing import Route, RouteType
from heronstall.dataplane.workers import WorkerPool
from heronstall.transport.messages import BatchItem, LeasedItem, Worker

PORT = 7743
HEAD = (
    b"HTTP/1.1 200 OK\r\nHeronstall-Request-Id: r\r\nHeronstall-Response-Signature: s\r\n"
    b"Content-Type: text/event-stream\r\nConnection: close\r\n"
)
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
WHOLE = HEAD + b"Content-Length: %d\r\n\r\n" % len(EVENTS) + EVENTS
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(EVENTS), EVENTS)
UNFRAMED = HEAD + b"\r\n" + EVENTS
CUT_LENGTH = HEAD + b"Content-Length: 90\r\n\r\n" + EVENTS
CUT_CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(EVENTS), EVENTS)
CUT = {"no length": UNFRAMED, "length": CUT_LENGTH, "chunks": CUT_CHUNKS}


class Answers(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.answer = WHOLE
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
        """Read a request, send the answer, close."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        await writer.drain()
        writer.close()

    async def asked(self) -> aiohttp.ClientResponse:
        """The answer as the library gives it."""
        return await self.worker.request("POST", "/p", CIMultiDict({"Host": "h"}), b"")

    async def test_a_length_or_chunks_say_where_an_answer_ends(self) -> None:
        for name, answer in {"whole": WHOLE, "whole in chunks": CHUNKED, **CUT}.items():
            self.answer = answer
            with self.subTest(name):
                got = await self.asked()
                self.assertEqual(is_framed(got), name != "no length")
                got.close()

    async def test_a_client_gets_nothing_of_an_answer_without_a_length(self) -> None:
        self.answer = UNFRAMED
        for kind in (RouteType.IDEMPOTENT, RouteType.STREAMING, RouteType.NON_IDEMPOTENT):
            with self.subTest(kind):
                self.worker.avoid_until = 0.0
                answer = await Forwarder(self.pool, self.admission).forward(self.context(kind))
                self.assertEqual((answer.status, answer.prepared), (502, False))

    def context(self, kind: RouteType) -> RequestContext:
        """A request of a route of this kind."""
        route = Route("r", "h", "/", kind, (("lm", 1.0),), 5.0, 0.5, 1, 2, False, 0.25, 8.0, 60.0, 0)
        request = mock.Mock(
            method="POST", raw_path="/p", headers=CIMultiDict({REQUEST_ID_HEADER: "r", "Host": "h"})
        )
        now = time.monotonic()
        return RequestContext(request, route, "lm", b"", now + 5, now)

    async def test_an_item_is_done_by_a_whole_answer_alone(self) -> None:
        for name, answer in {"whole": WHOLE, "whole in chunks": CHUNKED, **CUT}.items():
            self.answer = answer
            with self.subTest(name):
                runner = BatchRunner("edge", mock.Mock(), self.admission, mock.Mock(), mock.Mock())
                item = RunningItem(LeasedItem(job="j", host="h"), BatchItem(id="r", path="/p"), "batch-0")
                outcome = await runner._attempt(item, self.worker)
                self.assertEqual(outcome, Outcome.DONE if name.startswith("whole") else None)


if __name__ == "__main__":
    unittest.main()
