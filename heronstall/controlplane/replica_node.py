"""What core and storage nodes share: replicas on a disk, links to other nodes, a planned end."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from heronstall.config import NodeSettings
from heronstall.controlplane.hosting import GroupHost
from heronstall.replication.protocol import Timing
from heronstall.transport.frames import Kind
from heronstall.transport.links import Links, LinkServer, Reply

LAST_WORDS = 0.2  # seconds between handing the leaderships over and the end
MEGABYTE = 1024 * 1024


class ReplicaNode:
    """A node that holds replicas of groups."""

    def __init__(self, settings: NodeSettings, log_limit: int, disk_parts: int) -> None:
        self.settings = settings
        self.timing = Timing()
        self.links = Links()
        self.address = f"{settings.ip}:{settings.port}"
        self.log_limit = min(log_limit, settings.disk_mb * MEGABYTE // disk_parts)
        assert settings.data_dir is not None
        self.host = GroupHost(
            self.address,
            Path(settings.data_dir),
            self.links,
            self.timing,
            settings.bootstrap,
            self.log_limit,
        )
        self.host.on_applied = self._applied
        self.host.on_role = self._role
        self._server = LinkServer(self._serve, self._one_way)
        self._tasks: list[asyncio.Task[None]] = []

    async def stop(self) -> None:
        """Hand the leaderships over and end."""
        for hosted in self.host.groups.values():
            hosted.replica.transfer_leadership(self.host.now())
        self.host.flush()
        await asyncio.sleep(LAST_WORDS)
        for task in self._tasks:
            task.cancel()
        self._server.close()

    async def _begin(self, *runs: Coroutine[Any, Any, None]) -> None:
        """Write what was set up, listen to other nodes, and let time pass."""
        self.host.flush()
        await self._server.listen(self.settings.ip, self.settings.port)
        self._tasks = [asyncio.create_task(run) for run in (self.host.run(), *runs)]

    async def _serve(self, kind: Kind, body: bytes) -> Reply:
        """Answer a call of another node."""
        raise NotImplementedError

    def _one_way(self, kind: Kind, body: bytes) -> None:
        """Take a message that wants no answer."""
        if kind == Kind.GROUP:
            self.host.receive(body)

    def _applied(self, group: str) -> None:
        """Committed commands have changed a group's state."""
        raise NotImplementedError

    def _role(self, group: str, leads: bool) -> None:
        """This node has begun or ceased to lead a group."""
        raise NotImplementedError
