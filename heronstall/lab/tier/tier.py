"""A whole local tier: its nodes, workers with their heartbeats, and a client."""

from __future__ import annotations

import asyncio

from heronstall.lab.tier.client import Client
from heronstall.lab.tier.plan import Plan
from heronstall.lab.tier.processes import Processes
from heronstall.lab.tier.worker import Worker


class LocalTier:
    """The nodes and workers of a plan. What `start` began, `stop` ends."""

    def __init__(self, plan: Plan, bounds: dict[str, float] | None = None, pause: float = 0.0) -> None:
        self.plan = plan
        self.nodes = Processes(plan, bounds or {})
        self.client = Client(plan)
        self.workers = [
            Worker(address, f"i-{number}", pause) for number, address in enumerate(plan.workers, 1)
        ]
        self._beats: list[asyncio.Task[None]] = []

    async def start(self, first: bool = True) -> None:
        """Start all nodes, for the first time or again with their disks, and the workers."""
        for ip in self.plan.nodes:
            self.nodes.run(ip, bootstrap=first)
        for worker in self.workers:
            await worker.start()
            self._beats.append(asyncio.create_task(self.client.beat(worker)))

    async def stop(self, orderly: bool = False) -> None:
        """End everything that was started; `orderly` lets the nodes hand over what they do."""
        for beat in self._beats:
            beat.cancel()
        if orderly:
            await asyncio.to_thread(self.nodes.end_all)
        self.nodes.kill_all()
        for worker in self.workers:
            await worker.stop()
        await self.client.close()
