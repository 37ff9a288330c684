"""The batch API during shutdown: reads of results are answered at once."""

from __future__ import annotations

import unittest
from unittest import mock

from aiohttp.test_utils import make_mocked_request

from heronstall.dataplane.batch_api import MAX_WAIT_S, BatchApi
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import Reply
from heronstall.transport.messages import ReadReply, ReadRequest

HOST = "batch.example"


class ResultReads(unittest.IsolatedAsyncioTestCase):
    """The owner is mocked. Each call states how long the owner may delay its reply."""

    def setUp(self) -> None:
        self.is_stopping = False
        self.received: list[ReadRequest] = []
        self.owner_waits: list[float] = []
        shards = mock.Mock()

        async def call(shard: str, kind: Kind, body: bytes, timeout: float, owner_wait: float) -> Reply:
            self.received.append(ReadRequest().parse(body))
            self.owner_waits.append(owner_wait)
            return Reply(Status.OK, bytes(ReadReply(total=1)))

        shards.call = call
        self.api = BatchApi(shards, is_stopping=lambda: self.is_stopping)

    async def read(self, wait_ms: int) -> None:
        request = make_mocked_request("GET", "/-/lots/job", headers={"Heronstall-Wait-Ms": str(wait_ms)})
        response = await self.api.read_results(request, HOST, "job")
        self.assertEqual(response.status, 200)

    async def test_read_waits_for_results(self) -> None:
        await self.read(1000)
        await self.read(60_000)
        self.assertEqual([request.wait_ms for request in self.received], [1000, int(MAX_WAIT_S * 1000)])
        self.assertEqual(self.owner_waits, [1.0, MAX_WAIT_S])

    async def test_read_during_shutdown_does_not_wait(self) -> None:
        self.is_stopping = True
        await self.read(1000)
        self.assertEqual([request.wait_ms for request in self.received], [0])
        self.assertEqual(self.owner_waits, [0.0])


if __name__ == "__main__":
    unittest.main()
