"""State of a worker registry shard: the workers of the services that hash to it."""

from __future__ import annotations

from enum import IntEnum

from sortedcontainers import SortedDict

from heronstall.transport.messages import Worker, WorkerChange, WorkerDelta, WorkerTable

MAX_KNOWN_REMOVALS = 512  # latest removals remembered, so that a late heartbeat restores no worker


class Command(IntEnum):
    """The type of a command, its first byte."""

    PUT = 1
    REMOVE = 2
    EXPIRE = 3  # removal for missing heartbeats; the next heartbeat restores the worker


def encode_put(worker: Worker) -> bytes:
    """Returns the command that adds or changes a worker."""
    return bytes([Command.PUT]) + bytes(worker)


def encode_removal(kind: Command, worker: str) -> bytes:
    """Returns the command that removes a worker."""
    return bytes([kind]) + worker.encode()


class WorkerShard:
    """The state machine of a registry shard."""

    def __init__(self) -> None:
        self.workers: dict[str, Worker] = {}
        self.version = 0
        self._changes: SortedDict[int, WorkerChange] = SortedDict()
        self._changed_at: dict[str, int] = {}
        self._pruned_version = 0  # version of the latest change that was discarded

    def apply(self, index: int, data: bytes) -> bool:
        """Applies a command. Returns whether the state changed."""
        kind, body = data[0], data[1:]
        if kind == Command.PUT:
            return self._put(index, Worker().parse(body))
        if kind in (Command.REMOVE, Command.EXPIRE):
            return self._remove(index, body.decode(), kind == Command.REMOVE)
        return False  # an unknown command of a newer release

    def dump(self) -> bytes:
        """Returns the encoded state."""
        return bytes(WorkerTable(list(self._changes.values()), self._pruned_version))

    def restore(self, state: bytes) -> None:
        """Replaces the state by an encoded one."""
        self.workers.clear()
        self._changes.clear()
        self._changed_at.clear()
        self.version = 0
        table = WorkerTable().parse(state)
        self._pruned_version = table.forgotten
        for change in table.changes:
            self._record_change(change)
            if not change.removed:
                self.workers[change.worker.id] = change.worker

    def knows(self, worker: str) -> bool:
        """Whether a worker is registered, or was removed recently."""
        return worker in self._changed_at

    def is_gone(self, worker: str) -> bool:
        """Whether a worker has deregistered. Its identity is never registered again."""
        change = self._latest_change(worker)
        return change is not None and change.removed and change.worker.state == "gone"

    def _latest_change(self, worker: str) -> WorkerChange | None:
        """Returns the latest known change of a worker."""
        latest = self._changed_at.get(worker)
        return None if latest is None else self._changes[latest]

    def changes_since(self, shard: str, version: int) -> WorkerDelta | None:
        """Returns the changes since a version, or None if there are none."""
        if version >= self.version:
            return None
        if version < self._pruned_version or not version:
            changes = [c for c in self._changes.values() if not c.removed]
            return WorkerDelta(shard, self.version, True, changes)
        return WorkerDelta(
            shard, self.version, False, [self._changes[v] for v in self._changes.irange(version + 1)]
        )

    def _put(self, index: int, worker: Worker) -> bool:
        if self.is_gone(worker.id) or worker.sequence < self._last_sequence(worker.id):
            return False
        self.workers[worker.id] = worker
        self._record_change(WorkerChange(version=index, worker=worker, id=worker.id))
        return True

    def _last_sequence(self, worker: str) -> int:
        """Returns the sequence of a worker's latest known change, also of one removed for silence."""
        change = self._latest_change(worker)
        return 0 if change is None else change.worker.sequence

    def _remove(self, index: int, worker: str, requested: bool) -> bool:
        known = self.workers.pop(worker, None)
        if known is None and not requested:
            return False
        sequence = known.sequence if known else 0
        last = Worker(id=worker, state="gone" if requested else "silent", sequence=sequence)
        self._record_change(WorkerChange(version=index, worker=last, removed=True, id=worker))
        self._prune_removals()
        return True

    def _record_change(self, change: WorkerChange) -> None:
        previous_version = self._changed_at.pop(change.id, None)
        if previous_version is not None:
            self._changes.pop(previous_version, None)
        self._changes[change.version] = change
        self._changed_at[change.id] = change.version
        self.version = max(self.version, change.version)

    def _prune_removals(self) -> None:
        removed = [v for v, c in self._changes.items() if c.removed]
        for version in removed[: max(0, len(removed) - MAX_KNOWN_REMOVALS)]:
            change = self._changes.pop(version)
            self._changed_at.pop(change.id, None)
            self._pruned_version = max(self._pruned_version, version)
