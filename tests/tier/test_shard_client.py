"""Calls to shard owners: the timeouts of attempts, and which connections are dropped after one."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from heronstall.dataplane.shard_client import ShardClient
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import LOST, Links, LinkServer, Reply

PORT = 7741
TIMEOUT_S = 0.5


class CallAttempts(unittest.IsolatedAsyncioTestCase):
    """The client with mocked links."""

    def setUp(self) -> None:
        self.link = mock.Mock()
        self.timeouts: list[float] = []
        view = mock.Mock()
        view.replicas_of.return_value = ["store/127.0.0.1:1"]
        links = mock.Mock()
        links.to.return_value = self.link
        self.client = ShardClient(links, view)

    def reply_with(self, reply: Reply) -> None:
        async def call(kind: Kind, body: bytes, timeout: float) -> Reply:
            self.timeouts.append(timeout)
            return reply

        self.link.call = call

    async def test_no_attempt_starts_with_less_than_the_minimum_time(self) -> None:
        self.reply_with(LOST)
        min_remaining = 0.4
        reply = await self.client.call("s", Kind.LEASE, b"", TIMEOUT_S, min_remaining=min_remaining)
        self.assertEqual(reply.status, Status.FAILED)
        self.assertTrue(self.timeouts)
        self.assertGreater(min(self.timeouts), min_remaining)

    async def test_refusal_after_a_lost_attempt_is_not_returned(self) -> None:
        self.reply_with(LOST)
        calls = iter([LOST, Reply(Status.REFUSED)])

        async def call(*_: object) -> Reply:
            return next(calls)

        self.link.call = call
        reply = await self.client.call("s", Kind.SUBMIT, b"", TIMEOUT_S)
        self.assertEqual(reply.status, Status.FAILED)

    async def test_attempt_without_a_reply_drops_only_a_silent_connection(self) -> None:
        self.reply_with(LOST)
        began = time.monotonic()
        await self.client.call("s", Kind.LEASE, b"", 0.05)
        self.link.drop.assert_not_called()
        self.assertGreaterEqual(self.link.drop_if_silent.call_args.args[0], began)


class SilentConnections(unittest.IsolatedAsyncioTestCase):
    """Two ends of a connection on the loopback device."""

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

    async def start_held_call(self) -> asyncio.Task[Reply]:
        """Starts a call to which the other end replies when it is released."""
        self.assertEqual((await self.link.call(Kind.LEASE, b"first", 1.0)).status, Status.OK)
        return asyncio.create_task(self.link.call(Kind.LEASE, b"held", 5.0))

    async def test_connection_with_received_data_is_kept(self) -> None:
        began = time.monotonic()
        held = await self.start_held_call()
        self.link.drop_if_silent(began)
        self.release.set()
        self.assertEqual((await held).body, b"held")

    async def test_connection_without_received_data_is_dropped(self) -> None:
        held = await self.start_held_call()
        self.link.drop_if_silent(time.monotonic() + 1)
        self.assertIs(await held, LOST)
        self.assertEqual((await self.link.call(Kind.LEASE, b"next", 1.0)).body, b"next")


if __name__ == "__main__":
    unittest.main()
