"""When a connection to another node is tried again, in virtual time."""

from __future__ import annotations

import asyncio
import time
import unittest
from typing import Any
from unittest import mock

from heronstall.transport.frames import Kind
from heronstall.transport.links import CALL_FAILED, FAST_RETRY_DELAY, FAST_RETRY_PERIOD, RETRY_DELAY, Link
from tests.tier.virtual_loop import VirtualLoop, run_virtually

ADDRESS = "10.1.0.1:7720"
SLACK = 1e-6


class Retries(unittest.TestCase):
    def setUp(self) -> None:
        self.tried: list[float] = []
        self.up = False

        async def connect(loop: VirtualLoop, made: Any, *_: object) -> tuple[mock.Mock, Any]:
            self.tried.append(time.monotonic())
            if not self.up:
                raise ConnectionRefusedError
            protocol = made()
            protocol.transport = mock.Mock(get_write_buffer_size=lambda: 0)
            return protocol.transport, protocol

        patched = mock.patch.object(VirtualLoop, "create_connection", connect)
        patched.start()
        self.addCleanup(patched.stop)

    def pauses(self) -> list[float]:
        return [later - before for before, later in zip(self.tried, self.tried[1:], strict=False)]

    def test_a_node_that_has_just_refused_is_tried_again_soon_and_later_less_often(self) -> None:
        self.assertIs(run_virtually(Link(ADDRESS).call(Kind.SYNC, b"", 3.0)), CALL_FAILED)
        soon = [
            p
            for at, p in zip(self.tried, self.pauses(), strict=False)
            if at - self.tried[0] < FAST_RETRY_PERIOD
        ]
        later = self.pauses()[len(soon) :]
        self.assertTrue(all(abs(p - FAST_RETRY_DELAY) < SLACK for p in soon), soon)
        self.assertTrue(later and all(abs(p - RETRY_DELAY) < SLACK for p in later), later)

    def test_a_connection_that_came_up_makes_the_next_failure_a_new_one(self) -> None:
        async def run() -> None:
            link = Link(ADDRESS)
            await link.call(Kind.SYNC, b"", 2.0)
            self.up = True
            await link.call(Kind.SYNC, b"", 0.5)
            assert link._protocol is not None
            self.up = False
            link._protocol.connection_lost(None)
            self.tried.clear()
            await link.call(Kind.SYNC, b"", 0.5)

        run_virtually(run())
        self.assertTrue(all(abs(p - FAST_RETRY_DELAY) < SLACK for p in self.pauses()), self.pauses())

    def test_a_process_that_is_back_is_reached_within_a_moment(self) -> None:
        async def run() -> float:
            link = Link(ADDRESS)
            asyncio.get_running_loop().call_later(0.5, setattr, self, "up", True)
            call = asyncio.create_task(link.call(Kind.SYNC, b"", 2.0))
            began = time.monotonic()
            while link._protocol is None:
                await asyncio.sleep(0.005)
            call.cancel()
            return time.monotonic() - began

        self.assertLess(run_virtually(run()), 0.5 + 2 * FAST_RETRY_DELAY)


if __name__ == "__main__":
    unittest.main()
