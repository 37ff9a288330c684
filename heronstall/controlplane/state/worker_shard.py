"""A shard of the worker registry: the workers of the services that hash to it."""

from __future__ import annotations

from enum import IntEnum

from sortedcontainers import SortedDict

from heronstall.transport.messages import Worker, WorkerChange, WorkerDelta, WorkerTable

REMOVED_KEPT = 512  # removals that are remembered, so that a late heartbeat revives nobody


class Command(IntEnum):
    """First byte of a command."""

    PUT = 1
    REMOVE = 2
    EXPIRE = 3  # removed for its silence: a heartbeat brings it back


def put(worker: Worker) -> bytes:
    """The command that adds or changes a worker."""
    return bytes([Command.PUT]) + bytes(worker)


def remove(kind: Command, worker: str) -> bytes:
    """The command that removes a worker."""
    return bytes([kind]) + worker.encode()


class WorkerShard:
    """The view folded from the log of a registry shard."""

    def __init__(self) -> None:
        self.workers: dict[str, Worker] = {}
        self.version = 0
        self._changes: SortedDict[int, WorkerChange] = SortedDict()
        self._changed_at: dict[str, int] = {}
        self._forgotten = 0  # version of the latest change that is not known any more

    def apply(self, index: int, data: bytes) -> bool:
        """Take a command; whether it changed anything."""
        kind, body = data[0], data[1:]
        if kind == Command.PUT:
            return self._put(index, Worker().parse(body))
        if kind in (Command.REMOVE, Command.EXPIRE):
            return self._remove(index, body.decode(), kind == Command.REMOVE)
        return False  # a newer node's command

    def dump(self) -> bytes:
        """The whole state."""
        return bytes(WorkerTable(list(self._changes.values()), self._forgotten))

    def restore(self, state: bytes) -> None:
        """Take a whole state."""
        self.workers.clear()
        self._changes.clear()
        self._changed_at.clear()
        self.version = 0
        table = WorkerTable().parse(state)
        self._forgotten = table.forgotten
        for change in table.changes:
            self._note(change)
            if not change.removed:
                self.workers[change.worker.id] = change.worker

    def knows(self, worker: str) -> bool:
        """Whether a worker is or was here lately: it serves, is silent, or has left."""
        return worker in self._changed_at

    def is_gone(self, worker: str) -> bool:
        """Whether a worker has said that it ends; its identity never returns."""
        change = self._latest(worker)
        return change is not None and change.removed and change.worker.state == "gone"

    def _latest(self, worker: str) -> WorkerChange | None:
        """The latest change of a worker that is known."""
        at = self._changed_at.get(worker)
        return None if at is None else self._changes[at]

    def since(self, shard: str, version: int) -> WorkerDelta | None:
        """What has changed since a version; None where nothing has."""
        if version >= self.version:
            return None
        if version < self._forgotten or not version:
            changes = [c for c in self._changes.values() if not c.removed]
            return WorkerDelta(shard, self.version, True, changes)
        return WorkerDelta(
            shard, self.version, False, [self._changes[v] for v in self._changes.irange(version + 1)]
        )

    def _put(self, index: int, worker: Worker) -> bool:
        if self.is_gone(worker.id) or worker.sequence < self._last_sequence(worker.id):
            return False
        self.workers[worker.id] = worker
        self._note(WorkerChange(version=index, worker=worker, id=worker.id))
        return True

    def _last_sequence(self, worker: str) -> int:
        """The sequence of a worker's latest news that is known; a silent one's is still held."""
        change = self._latest(worker)
        return 0 if change is None else change.worker.sequence

    def _remove(self, index: int, worker: str, said_so: bool) -> bool:
        known = self.workers.pop(worker, None)
        if known is None and not said_so:
            return False
        sequence = known.sequence if known else 0
        last = Worker(id=worker, state="gone" if said_so else "silent", sequence=sequence)
        self._note(WorkerChange(version=index, worker=last, removed=True, id=worker))
        self._prune()
        return True

    def _note(self, change: WorkerChange) -> None:
        former = self._changed_at.pop(change.id, None)
        if former is not None:
            self._changes.pop(former, None)
        self._changes[change.version] = change
        self._changed_at[change.id] = change.version
        self.version = max(self.version, change.version)

    def _prune(self) -> None:
        removed = [v for v, c in self._changes.items() if c.removed]
        for version in removed[: max(0, len(removed) - REMOVED_KEPT)]:
            change = self._changes.pop(version)
            self._changed_at.pop(change.id, None)
            self._forgotten = max(self._forgotten, version)
