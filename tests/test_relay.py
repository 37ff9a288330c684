"""The lab's relay of TCP: what a broken connection leaves behind in the event loop."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import unittest

from heronstall.lab.relay import LINGER_OFF, Carried, Way

LOOPBACK = "127.0.0.1"
TURNS = 20  # of the event loop, within which what has ended is cleaned up
OPENED = 64  # sockets among which one gets a number that was given up


class BrokenConnections(unittest.IsolatedAsyncioTestCase):
    """One direction breaks while the other waits for bytes; then other sockets get the same numbers."""

    async def asyncSetUp(self) -> None:
        self.taken: list[socket.socket] = []
        self.target = socket.create_server((LOOPBACK, 0))
        self.target.setblocking(False)
        self.addCleanup(self.target.close)
        ways = Way(random.Random(1)), Way(random.Random(2))
        self.carried = Carried(self.target.getsockname(), *ways)
        self.addCleanup(self.carried.close)
        self.near, self.client = socket.socketpair()
        self.addCleanup(self.client.close)
        self.near.setblocking(False)

    async def carry(self) -> socket.socket:
        """Have the connection carried; the far end, once both directions wait for bytes."""
        self.carried.accepted(self.near)
        far, _ = await asyncio.get_running_loop().sock_accept(self.target)
        for _ in range(TURNS):
            await asyncio.sleep(0)
        return far

    async def all_numbers_can_be_waited_on(self, numbers: set[int]) -> None:
        """Open sockets until each of the numbers is taken again, and have the loop wait on each."""
        loop = asyncio.get_running_loop()
        opened: list[socket.socket] = []
        try:
            while numbers and len(opened) < OPENED:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
                opened.append(sock)
                numbers.discard(sock.fileno())
                await loop.sock_connect(sock, self.target.getsockname())
            self.assertEqual(numbers, set())
        finally:
            for sock in opened:
                sock.close()

    async def test_a_direction_that_breaks_leaves_no_number_that_the_loop_knows(self) -> None:
        number = self.near.fileno()
        far = await self.carry()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
        far.close()  # a reset: the way back breaks, the way there still waits for the client
        for _ in range(TURNS):
            await asyncio.sleep(0.001)
        self.assertEqual(self.near.fileno(), -1)
        await self.all_numbers_can_be_waited_on({number})

    async def test_the_client_sees_that_it_is_broken(self) -> None:
        far = await self.carry()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
        far.close()
        self.client.setblocking(False)
        self.assertEqual(await asyncio.get_running_loop().sock_recv(self.client, 1), b"")

    async def test_the_end_of_a_relay_leaves_none_either(self) -> None:
        number = self.near.fileno()
        far = await self.carry()
        self.addCleanup(far.close)
        self.carried.close()
        for _ in range(TURNS):
            await asyncio.sleep(0)
        self.assertEqual(self.near.fileno(), -1)
        await self.all_numbers_can_be_waited_on({number})

    async def test_a_connection_that_was_cancelled_before_it_began_is_closed(self) -> None:
        self.carried.accepted(self.near)
        self.carried.close()
        for _ in range(TURNS):
            await asyncio.sleep(0)
        self.assertEqual(self.near.fileno(), -1)

    async def test_both_directions_carry_until_both_have_ended(self) -> None:
        far = await self.carry()
        self.addCleanup(far.close)
        far.setblocking(False)
        loop = asyncio.get_running_loop()
        self.client.setblocking(False)
        await loop.sock_sendall(self.client, struct.pack("!I", 7))
        self.assertEqual(await loop.sock_recv(far, 4), struct.pack("!I", 7))
        self.client.shutdown(socket.SHUT_WR)
        self.assertEqual(await loop.sock_recv(far, 1), b"")
        await loop.sock_sendall(far, b"answer")
        self.assertEqual(await loop.sock_recv(self.client, 6), b"answer")


if __name__ == "__main__":
    unittest.main()
