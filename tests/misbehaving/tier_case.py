"""A small local tier with lowered limits, and what must hold in it whatever clients send."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from collections.abc import Sequence
from pathlib import Path

from heronstall.lab.tier.client import TROUBLES, configuration, until
from heronstall.lab.tier.plan import CONTROL, FRONT, READY, Sizes, drawn
from heronstall.lab.tier.tier import LocalTier
from tests.misbehaving.crowd import Crowd
from tests.misbehaving.process_usage import UsageMonitor

MEMORY_MB, DESCRIPTORS = 128, 400  # of each machine
BODY_BYTES = 4 * 1024 * 1024  # the largest body that clients may send
SHORT_BY_BYTES = 1024  # what a body that stops short lacks
MANY_BODIES = 48  # 192 MB in all
MANY_HEADS, HEAD_FIELDS, HEAD_FIELD_BYTES = 48, 120, 60_000  # 7 MB each
MANY_CONNECTIONS = 600
SETTLE_S = 8.0  # for which a crowd is given time to send
ANSWER_WITHIN_S = 60.0  # ample on a slow machine: a caller that is not served at all is what it finds
BYTES_PER_MB = 1024 * 1024


class TierCase(unittest.IsolatedAsyncioTestCase):
    """Checks the limits of each process, and that ordinary callers are served while the crowd stays."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="heronstall-")
        self.addCleanup(folder.cleanup)
        limits = {"memory_mb": MEMORY_MB, "max_fds": DESCRIPTORS}
        self.tier = LocalTier(drawn(Path(folder.name), Sizes(edges=1), limits))
        self.addAsyncCleanup(self.tier.stop)
        await self.tier.start()
        self.client, self.edge = self.tier.client, self.tier.plan.edges[0]
        self.assertEqual(await self.client.configure(configuration(2), 0), 200)
        await self.client.ready()
        self.monitor = UsageMonitor({ip: self.tier.nodes.pid(ip) for ip in self.tier.plan.nodes})
        self.addCleanup(self.monitor.stop)
        self._calls = 0

    @property
    def front(self) -> str:
        """The address for clients."""
        return f"{self.edge}:{FRONT}"

    @property
    def readiness(self) -> str:
        """The address for readiness checks."""
        return f"{self.edge}:{READY}"

    @property
    def control(self) -> str:
        """The control address of the first core node."""
        return f"{self.tier.plan.cores[0]}:{CONTROL}"

    def crowd(self, address: str) -> Crowd:
        """Returns a crowd that leaves at the end of the test."""
        crowd = Crowd(address)
        self.addAsyncCleanup(crowd.leave)
        return crowd

    async def send_from_crowd(self, address: str, count: int, pieces: Sequence[bytes]) -> None:
        """Has so many clients send these pieces to an address and stay, until the server has handled them."""
        crowd = self.crowd(address)
        crowd.join(count, pieces)
        await crowd.settle(SETTLE_S)

    def next_id(self) -> str:
        """Returns a new request id."""
        self._calls += 1
        return f"ordinary-{self._calls}"

    async def check_limits(self) -> None:
        """Asserts that each process lives and stayed within its machine's limits."""
        self.assertEqual(self.tier.nodes.ended(), {})
        beyond = [fault for ip in self.tier.plan.nodes for fault in self._faults(ip)]
        self.assertEqual(beyond, [])

    def _faults(self, ip: str) -> list[str]:
        node = f"{self.tier.plan.machine_class(ip)} {ip}"
        peak_mb = self.monitor.peak_memory(ip) / BYTES_PER_MB
        descriptors = self.monitor.peak_descriptors(ip)
        faults = [f"{node}: {peak_mb:.1f} MB of {MEMORY_MB}"] if peak_mb > MEMORY_MB else []
        if descriptors > DESCRIPTORS:
            faults.append(f"{node}: {descriptors} descriptors of {DESCRIPTORS}")
        return faults

    async def check_served(self) -> None:
        """Asserts that an ordinary request is answered in full."""

        async def served() -> bool:
            name = self.next_id()
            async with asyncio.timeout(ANSWER_WITHIN_S / 4):
                return (await self.client.stream(self.edge, name)).whole(name)

        self.assertTrue(await until(served, ANSWER_WITHIN_S))

    async def check_configurable(self, base: int) -> None:
        """Asserts that the first core node takes an operator's order and a worker's heartbeat."""
        revision = base + 1
        document = configuration(revision)

        async def taken() -> bool:
            url = f"http://{self.control}/-/config"
            async with asyncio.timeout(ANSWER_WITHIN_S / 4):
                answer = await self.client.calls.put(url, json=document, headers={"If-Match": str(base)})
                return answer.status == 200

        self.assertTrue(await until(taken, ANSWER_WITHIN_S))
        self.assertEqual((await self.client.configured())["revision"], revision)

    async def is_ready(self) -> bool:
        """Whether the dispatcher answers that it is ready."""
        try:
            async with asyncio.timeout(ANSWER_WITHIN_S / 4):
                answer = await self.client.calls.get(f"http://{self.readiness}/-/readyz")
                return answer.status == 200
        except TROUBLES:
            return False
