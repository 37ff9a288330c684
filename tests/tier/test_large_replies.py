"""Large replies between nodes wait until the other node reads."""

from __future__ import annotations

import asyncio
import random
import socket
import unittest

from heronstall.transport.frames import Frame, Kind, Status, encode
from heronstall.transport.links import LargeReply, Links, LinkServer, Reply

HOST = f"127.{random.randrange(10, 250)}.{random.randrange(250)}.1"
PORT = 7720
CALLS, REPLY_BYTES = 40, 1024 * 1024
ANSWER_WITHIN_S = 30.0


class LargeReplies(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.encoded = 0
        self.server = LinkServer(self.handle, lambda kind, body: None)
        await self.server.listen(HOST, PORT)
        self.addCleanup(self.server.close)

    async def handle(self, kind: Kind, body: bytes) -> Reply | LargeReply:
        """Replies to reads with much, and to all else with nothing."""
        return LargeReply(self.encode) if kind is Kind.READ else Reply(Status.OK)

    def encode(self) -> bytes:
        """Counts a reply that is encoded."""
        self.encoded += 1
        return bytes(REPLY_BYTES)

    async def test_replies_are_not_encoded_for_a_node_that_does_not_read(self) -> None:
        """Guards against replies that pile up in the memory of the node that sends them."""
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setblocking(False)
            await loop.sock_connect(caller, (HOST, PORT))
            for number in range(1, CALLS + 1):
                await loop.sock_sendall(caller, encode(Frame(Kind.READ, Status.CALL, number, b"")))
            await asyncio.sleep(0.5)
            self.assertGreater(self.encoded, 0)
            self.assertLess(self.encoded, CALLS // 2)

    async def test_all_replies_arrive_at_a_node_that_reads(self) -> None:
        """Guards against replies that are held back for good."""
        link = Links().to(f"{HOST}:{PORT}")
        self.addCleanup(link.close)
        replies = await asyncio.gather(*(link.call(Kind.READ, b"", ANSWER_WITHIN_S) for _ in range(CALLS)))
        self.assertEqual([(r.status, len(r.body)) for r in replies], [(Status.OK, REPLY_BYTES)] * CALLS)
        self.assertEqual((await link.call(Kind.SYNC, b"", ANSWER_WITHIN_S)).status, Status.OK)
