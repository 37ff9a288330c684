"""The base of core and storage nodes: replicas on disk, links to other nodes, graceful shutdown."""

from __future__ import annotations

import asyncio
from pathlib import Path

from heronstall.background_tasks import BackgroundTasks, Run
from heronstall.config import NodeSettings
from heronstall.controlplane.hosting import GroupHost
from heronstall.replication.protocol import Timing
from heronstall.transport.frames import Kind
from heronstall.transport.links import LargeReply, Links, LinkServer, Reply

HANDOVER_SEND_TIME = 0.2  # seconds for sending the handover messages before the node stops
BYTES_PER_MB = 1024 * 1024


class ReplicaNode:
    """A node with replicas of groups.

    The log of its replicas may take 1 / `log_disk_divisor` of the disk.
    """

    def __init__(self, settings: NodeSettings, max_log_bytes: int, log_disk_divisor: int) -> None:
        self.settings = settings
        self.timing = Timing()
        self.links = Links()
        self.address = f"{settings.ip}:{settings.port}"
        self.max_log_bytes = min(max_log_bytes, settings.disk_mb * BYTES_PER_MB // log_disk_divisor)
        assert settings.data_dir is not None
        self.host = GroupHost(
            self.address,
            Path(settings.data_dir),
            self.links,
            self.timing,
            settings.bootstrap,
            self.max_log_bytes,
        )
        self.host.on_applied = self._on_applied
        self.host.on_role_change = self._on_role_change
        self._server = LinkServer(self._handle_call, self._handle_one_way)
        self._background = BackgroundTasks()

    async def stop(self) -> None:
        """Hands over its leaderships and stops."""
        for hosted in self.host.groups.values():
            hosted.replica.transfer_leadership(self.host.now())
        self.host.flush()
        await asyncio.sleep(HANDOVER_SEND_TIME)
        self._background.cancel()
        self._server.close()

    async def _start_serving(self, **loops: Run) -> None:
        """Writes the initial state, listens to other nodes and starts the background tasks, given by name."""
        self.host.flush()
        await self._server.listen(self.settings.ip, self.settings.port)
        self._background.start_once("replicas", self.host.run)  # a replica may have been left half changed
        for name, run in loops.items():
            self._background.start(name, run)

    async def _handle_call(self, kind: Kind, body: bytes) -> Reply | LargeReply:
        """Answers a call of another node."""
        raise NotImplementedError

    def _handle_one_way(self, kind: Kind, body: bytes) -> None:
        """Handles a one-way message."""
        if kind == Kind.GROUP:
            self.host.receive(body)

    def _on_applied(self, group: str) -> None:
        """Called after committed commands were applied to a group's state."""
        raise NotImplementedError

    def _on_role_change(self, group: str, leads: bool) -> None:
        """Called when this node becomes leader of a group, or stops being it."""
        raise NotImplementedError
