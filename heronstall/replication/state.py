"""What all parts of a replica share: identity, term, vote, log, role, and what its driver has to do."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from heronstall.replication.log import Log, PersistentState
from heronstall.replication.protocol import MessageKind, RecordKind, Timing
from heronstall.transport.messages import DiskRecord, GroupMessage, LogEntry, Snapshot

NEVER = -1e9  # a time before any


class Role(Enum):
    """What a replica is in its group."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass
class ReplicaOutput:
    """What a driver has to do, in this order."""

    messages_before_sync: list[GroupMessage] = field(default_factory=list)
    records: list[DiskRecord] = field(default_factory=list)
    messages_after_sync: list[GroupMessage] = field(default_factory=list)
    snapshot_to_install: Snapshot | None = None
    entries_to_apply: list[LogEntry] = field(default_factory=list)


class ReplicaState:
    """The state of one replica, its records on disk and its messages. Times are seconds of its own clock."""

    def __init__(
        self, group: str, me: str, timing: Timing, rng: random.Random, now: float, image: PersistentState
    ) -> None:
        self.group, self.identity = group, me
        self.timing, self.rng = timing, rng
        self.term, self.vote = image.term, image.vote
        self.log = Log(image.snapshot, image.entries)
        self.commit_index = self.applied_index = self.log.base_index
        self.durable_index = self.log.last_index  # last entry known to be on this disk
        self.role = Role.FOLLOWER
        self.leader_identity = ""
        self.last_leader_contact_at = now  # of the leader; a restarted replica may have promised a lease
        self.term_start_index = 0  # index of the first entry of the own leadership
        self.output = ReplicaOutput()

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it leads."""
        return self.role is Role.LEADER

    @property
    def other_voters(self) -> list[str]:
        """The members but this replica."""
        return [voter for voter in self.log.members if voter != self.identity]

    def take_output(self) -> ReplicaOutput:
        """What is to be done now; nothing of it comes twice."""
        out, self.output = self.output, ReplicaOutput()
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            out.entries_to_apply.append(self.log.entry(self.applied_index))
        return out

    # ------------------------------------------------------------------ on disk

    def record_vote(self) -> None:
        """Write term and vote."""
        record = DiskRecord(group=self.group, kind=RecordKind.VOTE, term=self.term, vote=self.vote)
        self.output.records.append(record)

    def record_entries(self, entries: list[LogEntry]) -> None:
        """Write entries of the log."""
        self.output.records.append(DiskRecord(group=self.group, kind=RecordKind.ENTRIES, entries=entries))

    def record_snapshot(self, snapshot: Snapshot) -> None:
        """Write a snapshot in place of the log before it."""
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
        round: int = 0,
        asked: int = 0,
        confirms: int = 0,
        snapshot: Snapshot | None = None,
        early: bool = False,
    ) -> None:
        """Send a message: `early` before what is recorded is on disk, otherwise after it."""
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
            round=round,
            asked=asked,
            confirms=confirms,
        )
        if snapshot is not None:
            message.snapshot = snapshot
        (self.output.messages_before_sync if early else self.output.messages_after_sync).append(message)
