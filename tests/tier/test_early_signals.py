"""Signals that arrive while a program of the tier is still being loaded.

A program that sets its signal handlers only after its imports is killed by a SIGHUP that arrives during them,
since the default action still applies; this has ended a dispatcher that had just been started. The tests fail
if a process has loaded its first library, with most of its startup still ahead, while both signals have their
default actions.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
import unittest
from pathlib import Path

from heronstall.lab.tier.plan import Plan, drawn
from heronstall.lab.tier.processes import Processes

STARTUP_S = 1.0  # time in which a program loads on a busy machine
STEPS = 10
FIRST_LIBRARY = "ujson"  # imported with the settings


class EarlySignals(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="heronstall-")
        self.addCleanup(folder.cleanup)
        self.plan: Plan = drawn(Path(folder.name))
        self.nodes = Processes(self.plan, {})
        self.addCleanup(self.nodes.kill_all)

    async def start_node(self, ip: str, after: float) -> None:
        """Starts a node and returns `after` seconds after its program has replaced the process image."""
        self.nodes.run(ip, bootstrap=True)
        while True:
            # Checked first, so that a delay between the two checks cannot fail the test.
            loaded = self.nodes.has_loaded(ip, FIRST_LIBRARY)
            if self.nodes.minds_signals(ip):
                break
            self.assertFalse(loaded, f"{ip} loads libraries while signals have their default action")
            await asyncio.sleep(0.002)
        await asyncio.sleep(after)

    async def test_sighup_kills_no_process_during_startup(self) -> None:
        ips = [self.plan.edges[0], self.plan.cores[0], self.plan.stores[0]]
        for step in range(STEPS):
            for ip in ips:
                await self.start_node(ip, STARTUP_S * step / STEPS / len(ips))
                self.nodes.signal(ip, signal.SIGHUP)
            await asyncio.sleep(STARTUP_S / 4)
            self.assertEqual(self.nodes.ended(), {}, f"step {step}")
            self.nodes.kill_all()

    async def test_sigterm_ends_a_process_during_startup_at_once(self) -> None:
        for ip in (self.plan.edges[0], self.plan.cores[0], self.plan.stores[0]):
            await self.start_node(ip, 0.0)
            began = time.monotonic()
            self.assertEqual(await self.nodes.end(ip), 0)
            self.assertLess(time.monotonic() - began, STARTUP_S)


if __name__ == "__main__":
    unittest.main()
