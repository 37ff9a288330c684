"""Runs the replicas of one node: connects the I/O-free replicas to disk, network and clock."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

import structlog

from heronstall.replication.log import PersistentState
from heronstall.replication.protocol import (
    MICROSECONDS_PER_SECOND,
    EntryKind,
    MessageKind,
    RecordKind,
    Timing,
    address_of,
    to_microseconds,
)
from heronstall.replication.replica import Replica
from heronstall.replication.state import ReplicaOutput
from heronstall.storage.journal import Journal, RecoveredJournal
from heronstall.transport.frames import Kind
from heronstall.transport.links import Links
from heronstall.transport.messages import DiskRecord, GroupBatch, GroupImage, GroupMessage

log = structlog.get_logger()

TICK_INTERVAL = 0.06  # seconds
RETAINED_ENTRIES = 128  # log entries kept before a snapshot, for replicas that are slightly behind
DISK_RETRY_DELAY = 0.25  # seconds until a failed write is retried
CONFIRM_POLL_INTERVAL = 0.002  # seconds between checks for a majority's answers
BOOTSTRAP_INCARNATION = "0"


class StateMachine(Protocol):
    """The state that a group's committed commands are applied to."""

    def apply(self, index: int, data: bytes) -> Any:
        """Applies a committed command."""

    def dump(self) -> bytes:
        """Returns the encoded state."""

    def restore(self, state: bytes) -> None:
        """Replaces the state by an encoded one; empty bytes are the state before the first command."""


class Superseded(Exception):
    """Raised when a proposed command will certainly never be committed."""


class Undecided(TimeoutError):
    """Raised when this node cannot determine whether a proposed command was committed."""


@dataclass(frozen=True)
class EntryId:
    """Identifies a log entry. Another leader may write a different entry at the same index."""

    index: int
    term: int


@dataclass
class HostedReplica:
    """A replica with its state machine and the proposals that await their outcome."""

    replica: Replica
    state_machine: StateMachine
    pending_proposals: dict[EntryId, asyncio.Future[Any]] = field(default_factory=dict)
    reported_as_leader: bool = False


def _retrieve_exception(future: asyncio.Future[Any]) -> None:
    """Retrieves the exception of an abandoned future, which the event loop would log otherwise."""
    if not future.cancelled():
        future.exception()


class GroupHost:
    """All replicas of a node, which share one journal."""

    def __init__(
        self, address: str, directory: Path, links: Links, timing: Timing, bootstrap: bool, log_limit: int
    ) -> None:
        self.links = links
        self.groups: dict[str, HostedReplica] = {}
        self.on_applied: Callable[[str], None] = lambda group: None
        self.on_role_change: Callable[[str, bool], None] = lambda group, leads: None
        self._journal = Journal(directory)
        self._timing = timing
        self._log_limit = log_limit
        self._random = random.Random()
        self._recovered_images: dict[str, PersistentState] = {}
        self._unwritten_records: list[DiskRecord] = []
        self._withheld_messages: list[GroupMessage] = []
        self._flush_scheduled = False
        self._next_write_at = 0.0
        self._incarnation = self._recover(bootstrap)
        self.replica_id = f"{address}#{self._incarnation}"

    @property
    def recovered_groups(self) -> list[str]:
        """The groups found on this node's disk that have not been added yet."""
        return list(self._recovered_images)

    def add(self, group: str, state_machine: StateMachine, announces_commit: bool = True) -> Replica:
        """Adds a replica of a group, with the state that was recovered from disk."""
        image = self._recovered_images.pop(group, None)
        replica = Replica(group, self.replica_id, self._timing, self._random, self.now(), image)
        replica.configure(state_machine.dump, announces_commit)
        state_machine.restore(image.snapshot.state if image and image.snapshot else b"")
        self.groups[group] = HostedReplica(replica, state_machine)
        return replica

    @staticmethod
    def now() -> float:
        """Returns the steady time in seconds."""
        return time.monotonic()

    def receive(self, body: bytes) -> None:
        """Handles an encoded batch of messages from other replicas."""
        now = self.now()
        for message in GroupBatch().parse(body).messages:
            hosted = self.groups.get(message.group)
            if hosted is not None:
                hosted.replica.receive(now, message)
        self.flush_soon()

    async def run(self) -> None:
        """Advances the replicas' clocks until cancelled."""
        while True:
            now = self.now()
            for hosted in self.groups.values():
                hosted.replica.tick(now)
            self.flush()
            await asyncio.sleep(TICK_INTERVAL)

    async def propose(self, group: str, data: bytes, timeout_seconds: float) -> Any:
        """Commits a command and returns the result of applying it.

        Raises Superseded if the command will certainly never be committed, TimeoutError if that is not known.
        """
        async with asyncio.timeout(timeout_seconds):
            return await asyncio.shield(self.submit(group, data))

    def submit(self, group: str, data: bytes) -> asyncio.Future[Any]:
        """Proposes a command. Returns a future for the result of applying it, without a time limit.

        The future fails with Superseded if the command will certainly never be committed, and with Undecided
        if this node cannot determine that. Raises Superseded if this node is not the leader.
        """
        hosted = self.groups[group]
        index = hosted.replica.propose(self.now(), data)
        if index is None:
            raise Superseded(group)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        future.add_done_callback(_retrieve_exception)
        hosted.pending_proposals[EntryId(index, hosted.replica.term)] = future
        self.flush_soon()
        return future

    async def confirm(self, group: str, timeout_seconds: float) -> None:
        """Returns when a majority confirmed that the local state has all writes acknowledged before the call.

        Raises TimeoutError if no majority confirms in time.
        """
        replica = self.groups[group].replica
        requested_at = to_microseconds(self.now()) / MICROSECONDS_PER_SECOND
        replica.probe_quorum(requested_at)
        self.flush_soon()
        async with asyncio.timeout(timeout_seconds):
            while replica.fresh_as_of(self.now()) < requested_at:
                await asyncio.sleep(CONFIRM_POLL_INTERVAL)

    def flush_soon(self) -> None:
        """Schedules a flush in the next iteration of the event loop."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Performs the replicas' outputs: sends messages, writes records and applies entries."""
        self._flush_scheduled = False
        for _ in range(8):
            outputs = [(h, h.replica.take_output()) for h in self.groups.values()]
            has_output = any(
                o.messages_before_sync
                or o.records
                or o.messages_after_sync
                or o.snapshot_to_install
                or o.entries_to_apply
                for _, o in outputs
            )
            if not has_output and not self._write_retry_due():
                break
            self._send([m for _, o in outputs for m in o.messages_before_sync])
            self._unwritten_records += [r for _, o in outputs for r in o.records]
            self._withheld_messages += [m for _, o in outputs for m in o.messages_after_sync]
            self._write_records()
            for hosted, output in outputs:
                self._apply(hosted, output)
        if self._journal.log_bytes > self._log_limit:
            self._compact()
        self._report_role_changes()

    # ------------------------------------------------------------------ disk

    def _recover(self, bootstrap: bool) -> str:
        found = self._journal.recover()
        if found.parts is None:
            if found.damaged:
                log.error("both slots damaged, treated as a lost disk")
            new_incarnation = BOOTSTRAP_INCARNATION if bootstrap else f"{self._random.getrandbits(48):x}"
            self._journal.write_slot([new_incarnation.encode()])
            return new_incarnation
        self._read_images(found)
        assert found.parts
        return found.parts[0].decode()

    def _read_images(self, found: RecoveredJournal) -> None:
        assert found.parts is not None
        for part in found.parts[1:]:
            image = GroupImage().parse(part)
            snapshot = image.snapshot if image.snapshot.index else None
            self._recovered_images[image.group] = PersistentState(
                image.term, image.vote, snapshot, list(image.entries)
            )
        for payload in found.records:
            self._replay(DiskRecord().parse(payload))

    def _replay(self, record: DiskRecord) -> None:
        image = self._recovered_images.setdefault(record.group, PersistentState())
        if record.kind == RecordKind.VOTE:
            image.term, image.vote = record.term, record.vote
        elif record.kind == RecordKind.SNAPSHOT:
            image.snapshot, image.entries = record.snapshot, []
        elif record.kind == RecordKind.ENTRIES and record.entries:
            first = record.entries[0].index
            while image.entries and image.entries[-1].index >= first:
                image.entries.pop()
            image.entries.extend(record.entries)

    def _write_retry_due(self) -> bool:
        """Whether a failed write is due for a retry, which may be the only thing to do."""
        return bool(self._unwritten_records) and self.now() >= self._next_write_at

    def _write_records(self) -> None:
        if self._unwritten_records:
            if self.now() < self._next_write_at:
                return
            try:
                self._journal.append([bytes(r) for r in self._unwritten_records])
                self._journal.sync()
            except OSError as error:
                log.warning("disk refuses writes", error=str(error))
                self._next_write_at = self.now() + DISK_RETRY_DELAY
                return
            self._unwritten_records.clear()
            now = self.now()
            for hosted in self.groups.values():
                hosted.replica.on_records_synced(now)
        withheld, self._withheld_messages = self._withheld_messages, []
        self._send(withheld)

    def _compact(self) -> None:
        if self._unwritten_records or self.now() < self._next_write_at:
            return
        parts = [self._incarnation.encode()]
        for group, hosted in self.groups.items():
            parts.append(bytes(self._group_image(group, hosted)))
        try:
            self._journal.write_slot(parts)
        except OSError as error:
            log.warning("disk refuses a slot", error=str(error))
            self._next_write_at = self.now() + DISK_RETRY_DELAY
            return
        for hosted in self.groups.values():
            hosted.replica.log.discard_up_to(hosted.replica.applied_index - RETAINED_ENTRIES)

    @staticmethod
    def _group_image(group: str, hosted: HostedReplica) -> GroupImage:
        replica = hosted.replica
        image = GroupImage(group=group, term=replica.term, vote=replica.vote)
        if replica.applied_index:
            image.snapshot = replica.snapshot_at(replica.applied_index, hosted.state_machine.dump())
        image.entries = [e for e in replica.log.entries() if e.index > replica.applied_index]
        return image

    # ------------------------------------------------------------------ messages and state

    def _send(self, messages: list[GroupMessage]) -> None:
        batches: dict[str, list[GroupMessage]] = {}
        for message in messages:
            if message.kind == MessageKind.SNAPSHOT:
                size = len(message.snapshot.state)
                log.info("snapshot sent", group=message.group, to=message.recipient, bytes=size)
            batches.setdefault(address_of(message.recipient), []).append(message)
        for address, batch in batches.items():
            self.links.to(address).send(Kind.GROUP, bytes(GroupBatch(messages=batch)))

    def _apply(self, hosted: HostedReplica, output: ReplicaOutput) -> None:
        if output.snapshot_to_install is not None:
            hosted.state_machine.restore(output.snapshot_to_install.state)
            self._fail_undecided(hosted, output.snapshot_to_install.index)
        for entry in output.entries_to_apply:
            result = None
            if entry.kind == EntryKind.COMMAND:
                result = hosted.state_machine.apply(entry.index, entry.data)
            self._resolve_proposals(hosted, EntryId(entry.index, entry.term), result)
        if output.snapshot_to_install is not None or output.entries_to_apply:
            self.on_applied(hosted.replica.group)

    @staticmethod
    def _resolve_proposals(hosted: HostedReplica, applied: EntryId, result: Any) -> None:
        """Resolves the proposals at an applied index: with the result, or as superseded by another entry."""
        for entry in [e for e in hosted.pending_proposals if e.index == applied.index]:
            future = hosted.pending_proposals.pop(entry)
            if future.done():
                continue
            if entry == applied:
                future.set_result(result)
            else:
                future.set_exception(Superseded(hosted.replica.group))

    @staticmethod
    def _fail_undecided(hosted: HostedReplica, snapshot_index: int) -> None:
        """Fails the proposals covered by a snapshot, which does not tell which entries were applied."""
        for entry in [e for e in hosted.pending_proposals if e.index <= snapshot_index]:
            hosted.pending_proposals.pop(entry).set_exception(Undecided(hosted.replica.group))

    def _report_role_changes(self) -> None:
        for group, hosted in self.groups.items():
            leads = hosted.replica.established
            if leads != hosted.reported_as_leader:
                hosted.reported_as_leader = leads
                log.info("role", group=group, leads=leads, term=hosted.replica.term)
                self.on_role_change(group, leads)
