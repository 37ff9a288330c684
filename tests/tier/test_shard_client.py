"""Calls to owners of shards: how long a try may take, and which connections are ended after one."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from heronstall.dataplane.shard_client import ShardClient
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import LOST, Links, LinkServer, Reply

PORT = 7741
TRIES_WITHIN = 0.5


class Tries(unittest.IsolatedAsyncioTestCase):
    """The client alone: its links are mocked."""

    def setUp(self) -> None:
        self.link = mock.Mock()
        self.times: list[float] = []
        view = mock.Mock()
        view.placement_of.return_value = ["store/127.0.0.1:1"]
        links = mock.Mock()
        links.to.return_value = self.link
        self.client = ShardClient(links, view)

    def answers(self, reply: Reply) -> None:
        async def call(kind: Kind, body: bytes, within: float) -> Reply:
            self.times.append(within)
            return reply

        self.link.call = call

    async def test_no_try_has_less_time_than_the_least(self) -> None:
        self.answers(LOST)
        least = 0.4
        reply = await self.client.call("s", Kind.LEASE, b"", TRIES_WITHIN, min_remaining=least)
        self.assertEqual(reply.status, Status.FAILED)
        self.assertTrue(self.times)
        self.assertGreater(min(self.times), least)

    async def test_what_may_have_been_carried_out_is_not_refused_later(self) -> None:
        self.answers(LOST)
        calls = iter([LOST, Reply(Status.REFUSED)])

        async def call(*_: object) -> Reply:
            return next(calls)

        self.link.call = call
        reply = await self.client.call("s", Kind.SUBMIT, b"", TRIES_WITHIN)
        self.assertEqual(reply.status, Status.FAILED)

    async def test_a_try_without_an_answer_ends_a_silent_connection_alone(self) -> None:
        self.answers(LOST)
        began = time.monotonic()
        await self.client.call("s", Kind.LEASE, b"", 0.05)
        self.link.drop.assert_not_called()
        self.assertGreaterEqual(self.link.drop_if_silent.call_args.args[0], began)


class SilentConnections(unittest.IsolatedAsyncioTestCase):
    """Two ends on the loopback device."""

    async def asyncSetUp(self) -> None:
        self.release = asyncio.Event()

        async def serve(kind: Kind, body: bytes) -> Reply:
            if body == b"held":
                await self.release.wait()
            return Reply(Status.OK, body)

        self.server = LinkServer(serve, lambda kind, body: None)
        await self.server.listen("127.0.0.1", PORT)
        self.addCleanup(self.server.close)
        self.link = Links().to(f"127.0.0.1:{PORT}")
        self.addCleanup(self.link.close)

    async def held_call(self) -> asyncio.Task[Reply]:
        """A call that the other end answers when it is released."""
        self.assertEqual((await self.link.call(Kind.LEASE, b"first", 1.0)).status, Status.OK)
        return asyncio.create_task(self.link.call(Kind.LEASE, b"held", 5.0))

    async def test_a_connection_on_which_something_came_is_kept(self) -> None:
        began = time.monotonic()
        held = await self.held_call()
        self.link.drop_if_silent(began)
        self.release.set()
        self.assertEqual((await held).body, b"held")

    async def test_a_connection_on_which_nothing_came_is_ended(self) -> None:
        held = await self.held_call()
        self.link.drop_if_silent(time.monotonic() + 1)
        self.assertIs(await held, LOST)
        self.assertEqual((await self.link.call(Kind.LEASE, b"next", 1.0)).body, b"next")


if __name__ == "__main__":
    unittest.main()
