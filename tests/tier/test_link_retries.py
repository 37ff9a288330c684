"""The retry schedule of connections to another node, in virtual time."""

from __future__ import annotations

import asyncio
import time
import unittest
from typing import Any
from unittest import mock

from heronstall.transport.frames import Kind
from heronstall.transport.links import LOST, RETRY_AFTER, RETRY_SOON, RETRY_SOON_FOR, Link
from tests.tier.virtual_loop import VirtualLoop, run_virtually

ADDRESS = "10.1.0.1:7720"
TOLERANCE_S = 1e-6


class Retries(unittest.TestCase):
    def setUp(self) -> None:
        self.attempted_at: list[float] = []
        self.accepting = False

        async def connect(loop: VirtualLoop, protocol_factory: Any, *_: object) -> tuple[mock.Mock, Any]:
            self.attempted_at.append(time.monotonic())
            if not self.accepting:
                raise ConnectionRefusedError
            protocol = protocol_factory()
            protocol.transport = mock.Mock(get_write_buffer_size=lambda: 0)
            return protocol.transport, protocol

        patched = mock.patch.object(VirtualLoop, "create_connection", connect)
        patched.start()
        self.addCleanup(patched.stop)

    def delays(self) -> list[float]:
        return [
            later - before for before, later in zip(self.attempted_at, self.attempted_at[1:], strict=False)
        ]

    def test_retries_are_frequent_after_a_refusal_and_rarer_later(self) -> None:
        self.assertIs(run_virtually(Link(ADDRESS).call(Kind.SYNC, b"", 3.0)), LOST)
        soon = [
            p
            for at, p in zip(self.attempted_at, self.delays(), strict=False)
            if at - self.attempted_at[0] < RETRY_SOON_FOR
        ]
        later = self.delays()[len(soon) :]
        self.assertTrue(all(abs(p - RETRY_SOON) < TOLERANCE_S for p in soon), soon)
        self.assertTrue(later and all(abs(p - RETRY_AFTER) < TOLERANCE_S for p in later), later)

    def test_a_successful_connection_resets_the_retry_schedule(self) -> None:
        async def run() -> None:
            link = Link(ADDRESS)
            await link.call(Kind.SYNC, b"", 2.0)
            self.accepting = True
            await link.call(Kind.SYNC, b"", 0.5)
            assert link._protocol is not None
            self.accepting = False
            link._protocol.connection_lost(None)
            self.attempted_at.clear()
            await link.call(Kind.SYNC, b"", 0.5)

        run_virtually(run())
        self.assertTrue(all(abs(p - RETRY_SOON) < TOLERANCE_S for p in self.delays()), self.delays())

    def test_a_restarted_process_is_reached_soon(self) -> None:
        async def run() -> float:
            link = Link(ADDRESS)
            asyncio.get_running_loop().call_later(0.5, setattr, self, "accepting", True)
            call = asyncio.create_task(link.call(Kind.SYNC, b"", 2.0))
            began = time.monotonic()
            while link._protocol is None:
                await asyncio.sleep(0.005)
            call.cancel()
            return time.monotonic() - began

        self.assertLess(run_virtually(run()), 0.5 + 2 * RETRY_SOON)


if __name__ == "__main__":
    unittest.main()
