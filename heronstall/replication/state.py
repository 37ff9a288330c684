"""State shared by all parts of a replica: identity, term, vote, log, role and pending output."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from heronstall.replication.log import Log, PersistentState
from heronstall.replication.protocol import MessageKind, RecordKind, Timing
from heronstall.transport.messages import DiskRecord, GroupMessage, LogEntry, Snapshot

NEVER = -1e9  # earlier than any time


class Role(Enum):
    """The role of a replica in its group."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass
class ReplicaOutput:
    """What the driver has to do, in the order of the fields."""

    messages_before_sync: list[GroupMessage] = field(default_factory=list)
    records: list[DiskRecord] = field(default_factory=list)
    messages_after_sync: list[GroupMessage] = field(default_factory=list)
    snapshot_to_install: Snapshot | None = None
    entries_to_apply: list[LogEntry] = field(default_factory=list)


class ReplicaState:
    """The state of one replica, its records to write and its messages. Times are seconds of its own clock."""

    def __init__(
        self,
        group: str,
        identity: str,
        timing: Timing,
        rng: random.Random,
        now: float,
        persisted: PersistentState,
    ) -> None:
        self.group, self.identity = group, identity
        self.timing, self.rng = timing, rng
        self.term, self.vote = persisted.term, persisted.vote
        self.log = Log(persisted.snapshot, persisted.entries)
        self.commit_index = self.applied_index = self.log.base_index
        self.durable_index = self.log.last_index  # last entry known to be on the local disk
        self.role = Role.FOLLOWER
        self.leader_identity = ""
        self.last_leader_contact_at = now  # also set at the start: it may have promised a lease before
        self.term_start_index = 0  # index of the first entry of its own leadership
        self.output = ReplicaOutput()

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it leads."""
        return self.role is Role.LEADER

    @property
    def other_voters(self) -> list[str]:
        """The voters except this replica."""
        return [voter for voter in self.log.members if voter != self.identity]

    def take_output(self) -> ReplicaOutput:
        """Returns what the driver has to do now. Nothing is returned twice."""
        output, self.output = self.output, ReplicaOutput()
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            output.entries_to_apply.append(self.log.entry(self.applied_index))
        return output

    # ------------------------------------------------------------------ records on disk

    def record_vote(self) -> None:
        """Queues a record of the term and the vote."""
        record = DiskRecord(group=self.group, kind=RecordKind.VOTE, term=self.term, vote=self.vote)
        self.output.records.append(record)

    def record_entries(self, entries: list[LogEntry]) -> None:
        """Queues a record of log entries."""
        self.output.records.append(DiskRecord(group=self.group, kind=RecordKind.ENTRIES, entries=entries))

    def record_snapshot(self, snapshot: Snapshot) -> None:
        """Queues a record of a snapshot that replaces the log before it."""
        record = DiskRecord(group=self.group, kind=RecordKind.SNAPSHOT, snapshot=snapshot)
        self.output.records.append(record)

    # ------------------------------------------------------------------ messages

    def send(
        self,
        recipient: str,
        kind: MessageKind,
        *,
        term: int | None = None,
        log_index: int | None = None,
        log_term: int | None = None,
        entries: list[LogEntry] | None = None,
        commit: int = 0,
        granted: bool = False,
        leaderless: bool = False,
        sent_at_us: int = 0,
        clock_mark: int = 0,
        confirmed_mark: int = 0,
        snapshot: Snapshot | None = None,
        before_sync: bool = False,
    ) -> None:
        """Queues a message.

        With `before_sync` it may be sent before the queued records are on disk, otherwise only after that.
        """
        message = GroupMessage(
            group=self.group,
            sender=self.identity,
            recipient=recipient,
            term=self.term if term is None else term,
            kind=kind,
            log_index=self.log.last_index if log_index is None else log_index,
            log_term=self.log.last_term if log_term is None else log_term,
            entries=entries or [],
            commit=commit,
            granted=granted,
            leaderless=leaderless,
            round=sent_at_us,
            asked=clock_mark,
            confirms=confirmed_mark,
        )
        if snapshot is not None:
            message.snapshot = snapshot
        (self.output.messages_before_sync if before_sync else self.output.messages_after_sync).append(message)
