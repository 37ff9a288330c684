"""The control state that a node has pulled, by version vector. No version ever decreases."""

from __future__ import annotations

from heronstall.sessions.loads import WorkerLoad, unpack_loads
from heronstall.transport.messages import Placement, ShardVersion, SyncReply, Worker, WorkerChange


class ControlStateView:
    """The configuration, placements and workers known to this node."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.document = b""
        self.placements: dict[str, Placement] = {}
        self.workers: dict[str, dict[str, Worker]] = {}
        self.control_addresses: tuple[str, ...] = ()
        self.dispatcher_count = 1
        self.dispatcher_rank = 0  # this dispatcher's position among the live ones, from 1; 0 if unknown
        self.loads: dict[str, WorkerLoad] = {}  # load of the other dispatchers on each worker

    def version_vector(self) -> list[ShardVersion]:
        """Returns the versions that this node holds, for its next pull."""
        return [ShardVersion(shard, version) for shard, version in self.versions.items()]

    def apply(self, reply: SyncReply) -> set[str]:
        """Applies the reply to a pull and returns the names of the parts that changed."""
        changed: set[str] = set()
        if reply.config_version > self.versions.get("config", 0) and reply.document:
            self.versions["config"] = reply.config_version
            self.document = reply.document
            changed.add("config")
        if reply.placement_version > self.versions.get("placement", 0):
            self.versions["placement"] = reply.placement_version
            self.placements = {placement.shard: placement for placement in reply.placements}
            changed.add("placement")
        for delta in reply.workers:
            if delta.version > self.versions.get(delta.shard, 0):
                self.versions[delta.shard] = delta.version
                self._apply_workers(delta.shard, delta.complete, list(delta.changes))
                changed.add("workers")
        self.control_addresses = tuple(reply.control) or self.control_addresses
        self.dispatcher_count = max(1, reply.edges)
        self.dispatcher_rank = reply.edge_number
        self.loads = {load.worker: load for load in unpack_loads(reply.loads)}
        return changed

    def all_workers(self) -> dict[str, Worker]:
        """Returns the workers of all shards by identity."""
        return {name: worker for shard in self.workers.values() for name, worker in shard.items()}

    def replicas_of(self, shard: str) -> tuple[str, ...]:
        """Returns the replicas of a batch shard."""
        placement = self.placements.get(shard)
        return tuple(placement.replicas) if placement else ()

    def _apply_workers(self, shard: str, complete: bool, changes: list[WorkerChange]) -> None:
        table = self.workers.setdefault(shard, {})
        if complete:
            table.clear()
        for change in changes:
            if change.removed:
                table.pop(change.id, None)
            else:
                table[change.worker.id] = change.worker
