"""One replica of a group: election, replication, membership, leases.

Free of I/O: `tick`, `receive`, `propose` and `synced` take the time and change the state; `take_output`
hands out what is to be written, sent and applied. The order that its driver must keep: send the early
messages, write and sync the records, call `synced`, then send the late messages.

Safety rests on four rules. A vote and an entry are on disk before they are told of. A replica without its
disk has a new identity, thus no vote until it is made a member. A leader commits by count only entries of
its own term. One member is added or removed at a time, the former change committed first.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from heronstall.replication.log import Image, Log
from heronstall.replication.protocol import (
    APPEND_BYTES,
    MICROSECONDS,
    EntryKind,
    MessageKind,
    RecordKind,
    Timing,
    address_of,
    microseconds,
    quorum,
)
from heronstall.transport.messages import DiskRecord, GroupMessage, LogEntry, Members, Snapshot

NEVER = -1e9
CONTACTS_MOST = 8
MARK_BITS = 62  # random bits that tell the marks of one life of a replica from those of another


class Role(Enum):
    """What a replica is in its group."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass
class Progress:
    """What a leader knows of another replica."""

    next: int
    match: int = 0
    acked_round: float = NEVER  # latest time of sending of a message that it has answered
    heard_at: float = NEVER
    snapshot_at: float = NEVER  # when a snapshot was sent that it has not acknowledged
    snapshot_index: int = 0  # the last entry that this snapshot covers
    resent_at: float = NEVER  # when entries were last sent again; earlier messages' refusals say nothing new
    asked: int = 0  # the mark in its latest reply, sent back to it with what is committed


@dataclass
class Output:
    """What a driver has to do, in this order."""

    early: list[GroupMessage] = field(default_factory=list)
    records: list[DiskRecord] = field(default_factory=list)
    late: list[GroupMessage] = field(default_factory=list)
    install: Snapshot | None = None
    apply: list[LogEntry] = field(default_factory=list)


class Replica:
    """A member, or a learner, of a replica group."""

    def __init__(
        self, group: str, me: str, timing: Timing, rng: random.Random, now: float, image: Image | None = None
    ) -> None:
        image = image or Image()
        self.group, self.me = group, me
        self.term, self.vote = image.term, image.vote
        self.log = Log(image.snapshot, image.entries)
        self.commit = self.applied = self.log.base_index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.others: dict[str, Progress] = {}
        self.learners: dict[str, float] = {}  # by identity: when it asked to join
        self.dump: Callable[[], bytes] = lambda: b""
        self.tells_commit = True  # followers serve reads and want to know at once what is committed
        self._timing, self._random = timing, rng
        self._votes: set[str] = set()
        self._leaderless: set[str] = set()  # voters that can no longer lead in the present term
        self._durable = self.log.last  # last entry known to be on this disk
        self._confirmed_at = NEVER  # own time before which nothing was acknowledged that is not applied here
        self._confirming = NEVER  # the same, once what is committed has been applied
        self._started_at = now
        self._first_mark = rng.getrandbits(MARK_BITS)  # marks of an earlier life are none of this one's
        self._term_start = 0  # index of the first entry of the own leadership
        self._broadcast_at = NEVER
        self._heard_at = now  # a restarted replica may have promised a lease
        self._contacts: tuple[str, ...] = ()  # members that take this replica for a former one
        # one that holds a log waits for its leader first; an empty one has none
        self._join_at = now + 2 * timing.election_most if self.log.last else now
        self._restarted_until = now + timing.election_least
        self._elect_at = 0.0
        self._out = Output()
        self._put_off(now)
        self._put_forward(now)

    # ------------------------------------------------------------------ what the driver calls

    def tick(self, now: float) -> None:
        """Let time pass."""
        if self.role is Role.LEADER:
            if now - self._quorum_round(now) > self._timing.election_most:
                self._step_down(now)
            elif now - self._broadcast_at >= self._timing.heartbeat:
                self._broadcast(now)
        elif now >= self._elect_at:
            if self.me in self.log.members:
                self._pre_campaign(now)
            else:
                self._put_off(now)

    def receive(self, now: float, m: GroupMessage) -> None:
        """Take a message of another replica."""
        if m.group != self.group:
            return
        if m.recipient != self.me and m.kind != MessageKind.JOIN:
            self._note_contact(m)
            return
        if m.kind == MessageKind.PRE_VOTE:
            self._on_pre_vote(now, m)
        elif m.kind == MessageKind.JOIN:
            self._on_join(now, m)
        elif m.kind == MessageKind.PRE_VOTE_REPLY:
            self._on_pre_vote_reply(now, m)
        elif m.kind == MessageKind.VOTE:
            self._on_vote(now, m)
        elif m.term < self.term:
            if m.kind in (MessageKind.APPEND, MessageKind.SNAPSHOT):
                self._reply(now, m, False, self.log.last)
        else:
            self._on_current(now, m)

    def propose(self, now: float, data: bytes) -> int | None:
        """Append a command; its index, or None where this is not the leader."""
        return self._append_own(now, EntryKind.COMMAND, data)

    def propose_members(self, now: float, voters: tuple[str, ...]) -> bool:
        """Add or remove one voter. False where that is not possible now."""
        if not self.established or self.log.members_index > self.commit:
            return False
        if len(set(voters) ^ set(self.log.members)) != 1:
            return False
        return self._append_own(now, EntryKind.MEMBERS, bytes(Members(list(voters)))) is not None

    def synced(self, now: float) -> None:
        """All records taken so far are on disk."""
        self._durable = self.log.last
        if self.role is Role.LEADER:
            self._advance(now)

    def take_output(self) -> Output:
        """What is to be done now; nothing of it comes twice."""
        out, self._out = self._out, Output()
        while self.applied < self.commit:
            self.applied += 1
            out.apply.append(self.log.entry(self.applied))
        self._confirmed_at = max(self._confirmed_at, self._confirming)
        return out

    def form(self, now: float, voters: tuple[str, ...]) -> None:
        """Begin a new group: all its first members are told the same voters."""
        snapshot = Snapshot(index=1, term=0, voters=list(voters), state=b"")
        self.log.replace(snapshot)
        self.commit = self.applied = 1
        self._durable = 1
        self._out.records.append(DiskRecord(group=self.group, kind=RecordKind.SNAPSHOT, snapshot=snapshot))
        self._elect_at = now + self._random.random() * 0.3

    def _note_contact(self, m: GroupMessage) -> None:
        """Remember who writes to a former replica at this address: a member of the group to be joined."""
        if address_of(m.recipient) == address_of(self.me):
            self._contacts = (*(c for c in self._contacts if c != m.sender), m.sender)[-CONTACTS_MOST:]

    def ask_to_join(self, now: float, replicas: list[str]) -> None:
        """Tell members that this replica is none of the group's and wants to learn, if it is so."""
        silent = now - self._heard_at > 2 * self._timing.election_most
        if not silent and (self.me in self.log.members or self.leader):
            return
        if now < self._join_at:
            return
        self._join_at = now + self._timing.join
        for replica in dict.fromkeys((*replicas, *self._contacts)):
            self._send(replica, MessageKind.JOIN)

    def hand_over(self, now: float) -> None:
        """Have the best-informed other member take over, before a planned end."""
        if self.role is not Role.LEADER:
            return
        able = [r for r in self.log.members if r in self.others]
        best = max(able, key=lambda r: (self.others[r].match, self.others[r].heard_at), default=None)
        if best is not None:
            self._send(best, MessageKind.TAKE_OVER, early=True)
            self._step_down(now)  # no lease is held beside the new leader's

    # ------------------------------------------------------------------ what others ask

    @property
    def established(self) -> bool:
        """Leader, and an entry of the own term is applied: all that was acknowledged before is in the state.

        Committed is not enough: between the message that commits and the driver's next turn, the state
        that a caller would be answered from lacks the entry.
        """
        return self.role is Role.LEADER and self.applied >= self._term_start

    def holds_lease(self, now: float) -> bool:
        """Whether reads here see all that any leader has acknowledged."""
        return self.established and now - self._quorum_round(now) < self._timing.lease

    def confirmed_at(self, now: float) -> float:
        """Own time up to which the state here holds all that any leader had acknowledged.

        A leader knows by the sending time of messages that a quorum has answered. A follower knows by its
        own clock, which it tells with each reply and a leader under a lease sends back with what is
        committed: a message that was held up on its way, or that a frozen node finds when it wakes,
        brings back an old time.
        """
        if self.role is Role.LEADER:
            return self._quorum_round(now) if self.established else NEVER
        return self._confirmed_at

    def in_touch(self, now: float, within: float) -> bool:
        """Whether the state here holds all that was acknowledged until `within` seconds ago."""
        return now - self.confirmed_at(now) < within

    def ask_quorum(self, now: float) -> None:
        """Send a round of messages now, so that `confirmed_at` moves on after one exchange."""
        if self.role is Role.LEADER:
            self._broadcast(now)

    def leader_hint(self, now: float) -> str:
        """The leader's identity, where one was heard of lately."""
        if self.role is Role.LEADER:
            return self.me
        return self.leader if now - self._heard_at < self._timing.election_least else ""

    def image(self, index: int, state: bytes) -> Snapshot:
        """A snapshot message for the state as it was after an entry that is still held here."""
        term = self.log.term_at(index)
        assert term is not None
        return Snapshot(index=index, term=term, voters=list(self.log.members_at(index)), state=state)

    # ------------------------------------------------------------------ election

    def _put_off(self, now: float) -> None:
        t = self._timing
        self._elect_at = now + t.election_least + self._random.random() * (t.election_most - t.election_least)

    def _become_follower(self, now: float, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self._record_vote()
        if self.role is not Role.FOLLOWER:
            self.others.clear()
        self.role = Role.FOLLOWER
        self.leader = leader
        self._put_off(now)

    def _step_down(self, now: float) -> None:
        self._become_follower(now, self.term, "")

    def _record_vote(self) -> None:
        record = DiskRecord(group=self.group, kind=RecordKind.VOTE, term=self.term, vote=self.vote)
        self._out.records.append(record)

    def _put_forward(self, now: float) -> None:
        """Ask for votes soon after a start. Voters take turns, so that two seldom ask at one moment."""
        members = sorted(self.log.members)
        if self.me in members:
            turn = (members.index(self.me) + 1) / len(members)
            self._elect_at = now + turn * self._timing.restart_round

    def _pre_campaign(self, now: float) -> None:
        self.role, self.leader = Role.PRE_CANDIDATE, ""
        self._votes = {self.me}
        self._leaderless = set()
        self._put_off(now)
        if now < self._restarted_until:
            self._elect_at = now + self._timing.restart_round
        if self._won():
            self._campaign(now, False)
            return
        for voter in self._other_voters():
            self._send(voter, MessageKind.PRE_VOTE, term=self.term + 1)

    def _campaign(self, now: float, ordered: bool) -> None:
        self.role, self.leader = Role.CANDIDATE, ""
        self.term += 1
        self.vote = self.me
        self._record_vote()
        self._votes = {self.me}
        self._put_off(now)
        if self._won():
            self._lead(now)
            return
        for voter in self._other_voters():
            self._send(voter, MessageKind.VOTE, granted=ordered)

    def _won(self) -> bool:
        members = self.log.members
        return sum(v in self._votes for v in members) >= quorum(len(members))

    def _lead(self, now: float) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self.others = {r: Progress(next=self.log.last + 1, heard_at=now) for r in self._other_voters()}
        self._broadcast_at = now
        for progress in self.others.values():
            progress.acked_round = now  # a quorum voted just now; no lease follows before it answers
        self._term_start = self.log.last + 1
        self._append_own(now, EntryKind.EMPTY, b"")

    def _current_enough(self, m: GroupMessage) -> bool:
        return (m.log_term, m.log_index) >= (self.log.last_term, self.log.last)

    def _on_pre_vote(self, now: float, m: GroupMessage) -> None:
        quiet = self.role is not Role.LEADER and now - self._heard_at >= self._timing.election_least
        granted = quiet and m.term > self.term and self._current_enough(m)
        leaderless = self._cannot_lead_before(m.term) and self._current_enough(m)
        if leaderless and now < self._restarted_until:
            self._elect_at = max(self._elect_at, now + self._timing.restart_round)
        if granted or leaderless or m.term <= self.term:
            self._send(
                m.sender,
                MessageKind.PRE_VOTE_REPLY,
                granted=granted,
                leaderless=leaderless,
                term=m.term if granted else self.term,
            )

    def _cannot_lead_before(self, term: int) -> bool:
        """Whether this replica will lead in no term before one, which follows its own.

        Its own term is on its disk before the answer goes out, and whoever is no candidate in it must begin
        a later one to lead.
        """
        return term == self.term + 1 and self.role in (Role.FOLLOWER, Role.PRE_CANDIDATE)

    def _nobody_leads(self) -> bool:
        """Whether every voter has said that it cannot lead before the next term: then no lease is held."""
        return self._leaderless.issuperset(self._other_voters())

    def _on_pre_vote_reply(self, now: float, m: GroupMessage) -> None:
        if not m.granted and m.term > self.term:
            self._become_follower(now, m.term, "")
        asked = m.term == self.term + m.granted
        if self.role is not Role.PRE_CANDIDATE or not asked:
            return
        if m.granted:
            self._votes.add(m.sender)
        if m.leaderless:
            self._leaderless.add(m.sender)
        if self._nobody_leads():
            self._campaign(now, True)
        elif self._won():
            self._campaign(now, False)

    def _on_vote(self, now: float, m: GroupMessage) -> None:
        ordered = m.granted  # the old leader wants it so, or there is none: no lease is held
        if not ordered and (self.role is Role.LEADER or now - self._heard_at < self._timing.election_least):
            return  # a leader may hold a lease
        if m.term > self.term:
            self._become_follower(now, m.term, "")
        granted = m.term == self.term and self.vote in ("", m.sender) and self._current_enough(m)
        if granted and not self.vote:
            self.vote = m.sender
            self._record_vote()
            self._put_off(now)
        self._send(m.sender, MessageKind.VOTE_REPLY, granted=granted)

    # ------------------------------------------------------------------ messages of this term or a later

    def _on_current(self, now: float, m: GroupMessage) -> None:
        if m.term > self.term:
            self._become_follower(now, m.term, "")
        if m.kind == MessageKind.VOTE_REPLY:
            if self.role is Role.CANDIDATE and m.granted:
                self._votes.add(m.sender)
                if self._won():
                    self._lead(now)
        elif m.kind == MessageKind.APPEND:
            self._follow(now, m)
            self._on_append(now, m)
        elif m.kind == MessageKind.SNAPSHOT:
            self._follow(now, m)
            self._on_snapshot(now, m)
        elif m.kind == MessageKind.APPEND_REPLY:
            self._on_append_reply(now, m)
        elif m.kind == MessageKind.TAKE_OVER:
            self._on_take_over(now, m)

    def _on_take_over(self, now: float, m: GroupMessage) -> None:
        if self.role is not Role.LEADER and self.me in self.log.members and m.sender == self.leader:
            self._campaign(now, True)

    def _follow(self, now: float, m: GroupMessage) -> None:
        if self.role is not Role.FOLLOWER:
            self._become_follower(now, m.term, m.sender)
        self.leader = m.sender
        self._heard_at = now
        self._put_off(now)

    def _on_append(self, now: float, m: GroupMessage) -> None:
        known = self.log.term_at(m.log_index)
        if m.log_index < self.log.base_index:
            self._reply(now, m, True, self.commit)
            return
        if known != m.log_term:
            hint = min(self.log.last, m.log_index - 1)
            self._reply(now, m, False, hint)
            return
        self._take_entries(m.entries)
        last = m.log_index + len(m.entries)
        self.commit = max(self.commit, min(m.commit, last))
        if m.confirms and m.commit <= self.commit:
            self._confirming = max(self._confirming, self._marked_at(now, m.confirms))
        self._reply(now, m, True, last)

    def _take_entries(self, entries: list[LogEntry]) -> None:
        new: list[LogEntry] = []
        for entry in entries:
            known = self.log.term_at(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                self.log.cut(entry.index)
            self.log.append(entry)
            new.append(entry)
        if new:
            self._out.records.append(DiskRecord(group=self.group, kind=RecordKind.ENTRIES, entries=new))

    def _on_snapshot(self, now: float, m: GroupMessage) -> None:
        """Take a snapshot. A log that holds its last entry stays: what lies beyond may be acknowledged."""
        snapshot = m.snapshot
        if snapshot.index > self.commit:
            if self.log.term_at(snapshot.index) == snapshot.term:
                self.commit = snapshot.index
            else:
                self._install(snapshot)
        self._reply(now, m, True, self.commit)

    def _install(self, snapshot: Snapshot) -> None:
        """Hold a snapshot in place of a log that is too short for it, or differs from it."""
        self.log.replace(snapshot)
        self.commit = self.applied = snapshot.index
        self._out.install = snapshot
        self._out.apply = []
        record = DiskRecord(group=self.group, kind=RecordKind.SNAPSHOT, snapshot=snapshot)
        self._out.records.append(record)

    def _on_append_reply(self, now: float, m: GroupMessage) -> None:
        progress = self.others.get(m.sender)
        if self.role is not Role.LEADER or progress is None:
            return
        progress.heard_at = now
        progress.acked_round = max(progress.acked_round, m.round / MICROSECONDS)
        progress.asked = m.asked
        if not m.granted:
            if m.round / MICROSECONDS < progress.resent_at:
                return
            progress.resent_at = microseconds(now) / MICROSECONDS
            progress.next = max(1, min(progress.next - 1, m.log_index + 1))
            self._send_entries(now, m.sender, progress)
            return
        if m.log_index >= progress.snapshot_index:
            progress.snapshot_at = NEVER
        if m.log_index > progress.match:
            progress.match = m.log_index
            progress.next = max(progress.next, m.log_index + 1)
            self._advance(now)
        if progress.next <= self.log.last:
            self._send_entries(now, m.sender, progress)

    def _on_join(self, now: float, m: GroupMessage) -> None:
        if self.role is Role.LEADER and m.sender not in self.log.members:
            self.learners[m.sender] = now
            self.teach(now, m.sender)
        elif self.role is not Role.LEADER and not m.granted and self.leader_hint(now):
            self._out.late.append(
                GroupMessage(
                    group=self.group,
                    sender=m.sender,
                    recipient=self.leader,
                    term=m.term,
                    kind=MessageKind.JOIN,
                    granted=True,
                )
            )

    def teach(self, now: float, replica: str) -> None:
        """Send the log to a replica that is no member yet."""
        if self.role is Role.LEADER and replica not in self.others:
            self.others[replica] = Progress(next=self.log.last + 1)
            self._send_entries(now, replica, self.others[replica])

    def forget_learner(self, replica: str) -> None:
        """Stop sending to a replica that is no member."""
        self.learners.pop(replica, None)
        if replica not in self.log.members:
            self.others.pop(replica, None)

    # ------------------------------------------------------------------ leading

    def _append_own(self, now: float, kind: EntryKind, data: bytes) -> int | None:
        if self.role is not Role.LEADER:
            return None
        entry = LogEntry(index=self.log.last + 1, term=self.term, kind=kind, data=data)
        self.log.append(entry)
        self._out.records.append(DiskRecord(group=self.group, kind=RecordKind.ENTRIES, entries=[entry]))
        for voter in self._other_voters():
            self.others.setdefault(voter, Progress(next=entry.index, heard_at=now))
        self._broadcast(now)
        return entry.index

    def _broadcast(self, now: float) -> None:
        self._broadcast_at = now
        for replica, progress in self.others.items():
            if self._snapshot_under_way(now, progress):
                self._send_heartbeat(now, replica)
            else:
                self._send_entries(now, replica, progress)

    def _snapshot_under_way(self, now: float, progress: Progress) -> bool:
        """Whether a replica needs a snapshot, and has been sent one not long ago."""
        missing = self.log.term_at(progress.next - 1) is None
        return missing and now - progress.snapshot_at < self._timing.resend_snapshot

    def _send_heartbeat(self, now: float, replica: str) -> None:
        """Send no entries, and nothing that the replica could accept before it has the snapshot.

        Its answer counts for the quorum: a leader whose other voters are all taking snapshots stays leader.
        """
        self._send(
            replica,
            MessageKind.APPEND,
            log_index=self.log.base_index,
            log_term=self.log.base_term,
            round=microseconds(now),
            early=True,
        )

    def _send_entries(self, now: float, replica: str, progress: Progress) -> None:
        before = progress.next - 1
        term = self.log.term_at(before)
        if term is None:
            self._send_snapshot(now, replica, progress)
            return
        entries = self.log.after(before, APPEND_BYTES)
        self._send(
            replica,
            MessageKind.APPEND,
            log_index=before,
            log_term=term,
            entries=entries,
            commit=self.commit,
            round=microseconds(now),
            confirms=progress.asked if self.holds_lease(now) else 0,
            early=True,
        )
        progress.next += len(entries)

    def _send_snapshot(self, now: float, replica: str, progress: Progress) -> None:
        if self._snapshot_under_way(now, progress):
            return
        progress.snapshot_at, progress.snapshot_index = now, self.applied
        snapshot = self.image(self.applied, self.dump())
        self._send(replica, MessageKind.SNAPSHOT, snapshot=snapshot, round=microseconds(now), early=True)
        progress.next = self.applied + 1

    def _advance(self, now: float) -> None:
        matches = [self._durable if v == self.me else self._match(v) for v in self.log.members]
        matches.sort(reverse=True)
        index = matches[quorum(len(matches)) - 1] if matches else 0
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index
            if self.tells_commit:
                self._broadcast(now)
            if self.me not in self.log.members and self.log.members_index <= self.commit:
                self._step_down(now)

    def _match(self, replica: str) -> int:
        progress = self.others.get(replica)
        return progress.match if progress else 0

    def _quorum_round(self, now: float) -> float:
        """Sending time of the latest messages that a quorum has answered."""
        voters = self.log.members
        rounds = [now if v == self.me else self._round(v) for v in voters]
        rounds.sort(reverse=True)
        return rounds[quorum(len(rounds)) - 1] if rounds else NEVER

    def _round(self, replica: str) -> float:
        progress = self.others.get(replica)
        return progress.acked_round if progress else NEVER

    # ------------------------------------------------------------------ sending

    def _other_voters(self) -> list[str]:
        return [v for v in self.log.members if v != self.me]

    def _reply(self, now: float, m: GroupMessage, granted: bool, index: int) -> None:
        self._send(
            m.sender,
            MessageKind.APPEND_REPLY,
            granted=granted,
            log_index=index,
            round=m.round,
            asked=self._first_mark + microseconds(now - self._started_at),
        )

    def _marked_at(self, now: float, mark: int) -> float:
        """Own time at which a mark was sent; NEVER for one that this life has not sent."""
        since_start = (mark - self._first_mark) / MICROSECONDS
        return self._started_at + since_start if 0 <= since_start <= now - self._started_at else NEVER

    def _send(
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
        message = GroupMessage(
            group=self.group,
            sender=self.me,
            recipient=recipient,
            term=self.term if term is None else term,
            kind=kind,
            log_index=self.log.last if log_index is None else log_index,
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
        (self._out.early if early else self._out.late).append(message)
