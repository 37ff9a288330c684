"""Signals that come while a program of the tier is still being loaded.

Seen in a run of planned work in series: a dispatcher that had just been started got SIGHUP, and ended by it.
The programs set their handlers when all was loaded; until then SIGHUP has its default action.
Proof: a process has loaded its first library, with most of its start before it, while both signals still have
their default actions.
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

START = 1.0  # seconds in which a program is loaded, on a busy machine
MOMENTS = 10
FIRST_LIBRARY = "ujson"  # with the settings


class EarlySignals(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="heronstall-")
        self.addCleanup(folder.cleanup)
        self.plan: Plan = drawn(Path(folder.name))
        self.nodes = Processes(self.plan, {})
        self.addCleanup(self.nodes.kill_all)

    async def started(self, ip: str, after: float) -> None:
        """Start a node and return so long after its program took the process over."""
        self.nodes.run(ip, bootstrap=True)
        while True:
            loaded = self.nodes.has_loaded(ip, FIRST_LIBRARY)  # looked at first: a late look blames nobody
            if self.nodes.minds_signals(ip):
                break
            self.assertFalse(loaded, f"{ip} loads libraries, and a signal would end it")
            await asyncio.sleep(0.002)
        await asyncio.sleep(after)

    async def test_sighup_ends_no_process_that_is_being_loaded(self) -> None:
        ips = [self.plan.edges[0], self.plan.cores[0], self.plan.stores[0]]
        for moment in range(MOMENTS):
            for ip in ips:
                await self.started(ip, START * moment / MOMENTS / len(ips))
                self.nodes.signal(ip, signal.SIGHUP)
            await asyncio.sleep(START / 4)
            self.assertEqual(self.nodes.ended(), {}, f"moment {moment}")
            self.nodes.kill_all()

    async def test_sigterm_ends_a_process_that_is_being_loaded_at_once(self) -> None:
        for ip in (self.plan.edges[0], self.plan.cores[0], self.plan.stores[0]):
            await self.started(ip, 0.0)
            began = time.monotonic()
            self.assertEqual(await self.nodes.end(ip), 0)
            self.assertLess(time.monotonic() - began, START)


if __name__ == "__main__":
    unittest.main()
