"""The batch API of a dispatcher that ends: readers are answered at once."""

from __future__ import annotations

import unittest
from unittest import mock

from aiohttp.test_utils import make_mocked_request

from heronstall.dataplane.batch_api import MAX_WAIT_S, BatchApi
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import Reply
from heronstall.transport.messages import ReadReply, ReadRequest

HOST = "batch.example"


class Readers(unittest.IsolatedAsyncioTestCase):
    """The owner's answer is mocked: what it is asked tells how long it may hold the call."""

    def setUp(self) -> None:
        self.ending = False
        self.asked: list[ReadRequest] = []
        self.holds: list[float] = []
        shards = mock.Mock()

        async def call(shard: str, kind: Kind, body: bytes, timeout: float, owner_wait: float) -> Reply:
            self.asked.append(ReadRequest().parse(body))
            self.holds.append(owner_wait)
            return Reply(Status.OK, bytes(ReadReply(total=1)))

        shards.call = call
        self.front = BatchApi(shards, is_stopping=lambda: self.ending)

    async def read(self, wait_ms: int) -> None:
        request = make_mocked_request("GET", "/-/lots/job", headers={"Heronstall-Wait-Ms": str(wait_ms)})
        response = await self.front.read_results(request, HOST, "job")
        self.assertEqual(response.status, 200)

    async def test_a_reader_may_wait_for_results(self) -> None:
        await self.read(1000)
        await self.read(60_000)
        self.assertEqual([asked.wait_ms for asked in self.asked], [1000, int(MAX_WAIT_S * 1000)])
        self.assertEqual(self.holds, [1.0, MAX_WAIT_S])

    async def test_a_reader_that_comes_while_the_process_ends_does_not_wait(self) -> None:
        self.ending = True
        await self.read(1000)
        self.assertEqual([asked.wait_ms for asked in self.asked], [0])
        self.assertEqual(self.holds, [0.0])


if __name__ == "__main__":
    unittest.main()
