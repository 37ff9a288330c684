"""Runs the replicas of one node: its disk, its messages and its clock round the I/O-free replicas."""

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

TICK = 0.06  # seconds
KEPT_ENTRIES = 128  # entries before a snapshot that are kept for replicas a little behind
DISK_RETRY = 0.25  # seconds until a refused write is tried again
CONFIRM_LOOK = 0.002  # seconds between looks for the answers of a majority
BOOTSTRAP_INCARNATION = "0"


class StateMachine(Protocol):
    """What a group's log is folded into."""

    def apply(self, index: int, data: bytes) -> Any:
        """Take a committed command."""

    def dump(self) -> bytes:
        """The whole state."""

    def restore(self, state: bytes) -> None:
        """Take a whole state; empty bytes are the state before the first command."""


class Superseded(Exception):
    """A proposed command will never be committed."""


class Undecided(TimeoutError):
    """Whether a proposed command was committed is not known, and will not be known here."""


@dataclass(frozen=True)
class EntryId:
    """A log entry: another leader may put another one at the same index."""

    index: int
    term: int


@dataclass
class Hosted:
    """A replica and what belongs to it."""

    replica: Replica
    machine: StateMachine
    waiting: dict[EntryId, asyncio.Future[Any]] = field(default_factory=dict)
    was_leader: bool = False


def _retrieved(future: asyncio.Future[Any]) -> None:
    """Take a failure that nobody waits for any more: the loop would log it."""
    if not future.cancelled():
        future.exception()


class GroupHost:
    """All replicas of a node over one journal."""

    def __init__(
        self, address: str, folder: Path, links: Links, timing: Timing, bootstrap: bool, log_limit: int
    ) -> None:
        self.links = links
        self.groups: dict[str, Hosted] = {}
        self.on_applied: Callable[[str], None] = lambda group: None
        self.on_role: Callable[[str, bool], None] = lambda group, leads: None
        self._journal = Journal(folder)
        self._timing = timing
        self._limit = log_limit
        self._random = random.Random()
        self._images: dict[str, PersistentState] = {}
        self._pending: list[DiskRecord] = []
        self._held: list[GroupMessage] = []
        self._flush_due = False
        self._disk_after = 0.0
        self._incarnation = self._recover(bootstrap)
        self.me = f"{address}#{self._incarnation}"

    @property
    def recovered_groups(self) -> list[str]:
        """Groups that this node's disk knows of."""
        return list(self._images)

    def add(self, group: str, machine: StateMachine, tells_commit: bool = True) -> Replica:
        """Run a replica of a group, from what the disk holds of it."""
        image = self._images.pop(group, None)
        replica = Replica(group, self.me, self._timing, self._random, self.now(), image)
        replica.configure(machine.dump, tells_commit)
        machine.restore(image.snapshot.state if image and image.snapshot else b"")
        self.groups[group] = Hosted(replica, machine)
        return replica

    @staticmethod
    def now() -> float:
        """Steady time in seconds."""
        return time.monotonic()

    def receive(self, body: bytes) -> None:
        """Take a frame with messages of other replicas."""
        now = self.now()
        for message in GroupBatch().parse(body).messages:
            hosted = self.groups.get(message.group)
            if hosted is not None:
                hosted.replica.receive(now, message)
        self.flush_soon()

    async def run(self) -> None:
        """Let time pass until cancelled."""
        while True:
            now = self.now()
            for hosted in self.groups.values():
                hosted.replica.tick(now)
            self.flush()
            await asyncio.sleep(TICK)

    async def propose(self, group: str, data: bytes, within: float) -> Any:
        """Commit a command and return what applying it gave.

        Raises Superseded where it is certain that it will never be committed, TimeoutError where not.
        """
        async with asyncio.timeout(within):
            return await asyncio.shield(self.submit(group, data))

    def submit(self, group: str, data: bytes) -> asyncio.Future[Any]:
        """Propose a command; the future has what applying it gives, whenever that is.

        It fails with Superseded where it is certain that the command will never be committed, and with
        Undecided where this node will not learn it. Raises Superseded where this is not the leader.
        """
        hosted = self.groups[group]
        index = hosted.replica.propose(self.now(), data)
        if index is None:
            raise Superseded(group)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        future.add_done_callback(_retrieved)
        hosted.waiting[EntryId(index, hosted.replica.term)] = future
        self.flush_soon()
        return future

    async def confirm(self, group: str, within: float) -> None:
        """Return once the state here holds all that was acknowledged before this call.

        Raises TimeoutError where no majority says so in time.
        """
        replica = self.groups[group].replica
        asked_at = to_microseconds(self.now()) / MICROSECONDS_PER_SECOND
        replica.probe_quorum(asked_at)
        self.flush_soon()
        async with asyncio.timeout(within):
            while replica.fresh_as_of(self.now()) < asked_at:
                await asyncio.sleep(CONFIRM_LOOK)

    def flush_soon(self) -> None:
        """Write, send and apply before the loop waits again."""
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Carry out what the replicas want done."""
        self._flush_due = False
        for _ in range(8):
            outputs = [(h, h.replica.take_output()) for h in self.groups.values()]
            busy = any(
                o.messages_before_sync
                or o.records
                or o.messages_after_sync
                or o.snapshot_to_install
                or o.entries_to_apply
                for _, o in outputs
            )
            if not busy and not self._write_due():
                break
            self._send([m for _, o in outputs for m in o.messages_before_sync])
            self._pending += [r for _, o in outputs for r in o.records]
            self._held += [m for _, o in outputs for m in o.messages_after_sync]
            self._write_pending()
            for hosted, output in outputs:
                self._apply(hosted, output)
        if self._journal.log_bytes > self._limit:
            self._compact()
        self._tell_roles()

    # ------------------------------------------------------------------ disk

    def _recover(self, bootstrap: bool) -> str:
        found = self._journal.recover()
        if found.parts is None:
            if found.damaged:
                log.error("both slots damaged, treated as a lost disk")
            fresh = BOOTSTRAP_INCARNATION if bootstrap else f"{self._random.getrandbits(48):x}"
            self._journal.write_slot([fresh.encode()])
            return fresh
        self._read_images(found)
        assert found.parts
        return found.parts[0].decode()

    def _read_images(self, found: RecoveredJournal) -> None:
        assert found.parts is not None
        for part in found.parts[1:]:
            image = GroupImage().parse(part)
            snapshot = image.snapshot if image.snapshot.index else None
            self._images[image.group] = PersistentState(image.term, image.vote, snapshot, list(image.entries))
        for payload in found.records:
            self._replay(DiskRecord().parse(payload))

    def _replay(self, record: DiskRecord) -> None:
        image = self._images.setdefault(record.group, PersistentState())
        if record.kind == RecordKind.VOTE:
            image.term, image.vote = record.term, record.vote
        elif record.kind == RecordKind.SNAPSHOT:
            image.snapshot, image.entries = record.snapshot, []
        elif record.kind == RecordKind.ENTRIES and record.entries:
            first = record.entries[0].index
            while image.entries and image.entries[-1].index >= first:
                image.entries.pop()
            image.entries.extend(record.entries)

    def _write_due(self) -> bool:
        """Whether a write that was refused is to be tried again, though there may be nothing new to write."""
        return bool(self._pending) and self.now() >= self._disk_after

    def _write_pending(self) -> None:
        if self._pending:
            if self.now() < self._disk_after:
                return
            try:
                self._journal.append([bytes(r) for r in self._pending])
                self._journal.sync()
            except OSError as error:
                log.warning("disk refuses writes", error=str(error))
                self._disk_after = self.now() + DISK_RETRY
                return
            self._pending.clear()
            now = self.now()
            for hosted in self.groups.values():
                hosted.replica.on_records_synced(now)
        held, self._held = self._held, []
        self._send(held)

    def _compact(self) -> None:
        if self._pending or self.now() < self._disk_after:
            return
        parts = [self._incarnation.encode()]
        for group, hosted in self.groups.items():
            parts.append(bytes(self._group_image(group, hosted)))
        try:
            self._journal.write_slot(parts)
        except OSError as error:
            log.warning("disk refuses a slot", error=str(error))
            self._disk_after = self.now() + DISK_RETRY
            return
        for hosted in self.groups.values():
            hosted.replica.log.discard_up_to(hosted.replica.applied_index - KEPT_ENTRIES)

    @staticmethod
    def _group_image(group: str, hosted: Hosted) -> GroupImage:
        replica = hosted.replica
        image = GroupImage(group=group, term=replica.term, vote=replica.vote)
        if replica.applied_index:
            image.snapshot = replica.snapshot_at(replica.applied_index, hosted.machine.dump())
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

    def _apply(self, hosted: Hosted, output: ReplicaOutput) -> None:
        if output.snapshot_to_install is not None:
            hosted.machine.restore(output.snapshot_to_install.state)
            self._drop_unknown(hosted, output.snapshot_to_install.index)
        for entry in output.entries_to_apply:
            result = None
            if entry.kind == EntryKind.COMMAND:
                result = hosted.machine.apply(entry.index, entry.data)
            self._settle(hosted, EntryId(entry.index, entry.term), result)
        if output.snapshot_to_install is not None or output.entries_to_apply:
            self.on_applied(hosted.replica.group)

    @staticmethod
    def _settle(hosted: Hosted, applied: EntryId, result: Any) -> None:
        """Tell those who proposed an entry of this index: it was applied, or another one was."""
        for entry in [e for e in hosted.waiting if e.index == applied.index]:
            future = hosted.waiting.pop(entry)
            if future.done():
                continue
            if entry == applied:
                future.set_result(result)
            else:
                future.set_exception(Superseded(hosted.replica.group))

    @staticmethod
    def _drop_unknown(hosted: Hosted, covered: int) -> None:
        """A snapshot does not say which of the entries that it covers were applied."""
        for entry in [e for e in hosted.waiting if e.index <= covered]:
            hosted.waiting.pop(entry).set_exception(Undecided(hosted.replica.group))

    def _tell_roles(self) -> None:
        for group, hosted in self.groups.items():
            leads = hosted.replica.established
            if leads != hosted.was_leader:
                hosted.was_leader = leads
                log.info("role", group=group, leads=leads, term=hosted.replica.term)
                self.on_role(group, leads)
