"""What a leader does: appends commands, sends its log, commits what a quorum has, and teaches learners."""

from __future__ import annotations

from collections.abc import Callable

from heronstall.replication.leases import Leases
from heronstall.replication.progress import Followers, Progress
from heronstall.replication.protocol import (
    APPEND_BYTES,
    MICROSECONDS,
    EntryKind,
    MessageKind,
    microseconds,
)
from heronstall.replication.state import NEVER, ReplicaState
from heronstall.transport.messages import GroupMessage, LogEntry, Snapshot


class Leading:
    """A replica's leadership. A leader that is no member any more is told `step_down`."""

    def __init__(
        self, state: ReplicaState, followers: Followers, leases: Leases, step_down: Callable[[float], None]
    ) -> None:
        self._state, self._followers, self._leases = state, followers, leases
        self._step_down = step_down
        self.dump: Callable[[], bytes] = lambda: b""
        self.tells_commit = True  # followers serve reads and want to know at once what is committed
        self.learners: dict[str, float] = {}  # by identity: when it asked to join
        self._broadcast_at = NEVER

    def begin(self, now: float) -> None:
        """An election is won: entries of former terms are committed with the first one of this term."""
        state = self._state
        self._followers.begin(state.other_voters, state.log.last + 1, now)
        self._broadcast_at = now
        state.term_start = state.log.last + 1
        self.append(now, EntryKind.EMPTY, b"")

    def append(self, now: float, kind: EntryKind, data: bytes) -> int | None:
        """Append an entry and send it; its index, or None where this is not the leader."""
        state = self._state
        if not state.leads:
            return None
        entry = LogEntry(index=state.log.last + 1, term=state.term, kind=kind, data=data)
        state.log.append(entry)
        state.record_entries([entry])
        for voter in state.other_voters:
            self._followers.others.setdefault(voter, Progress(next=entry.index, heard_at=now))
        self.broadcast(now)
        return entry.index

    def advance(self, now: float) -> None:
        """Commit what a quorum has on disk, by count only entries of the own term."""
        state = self._state
        index = self._followers.quorum_match(state.log.members, state.durable)
        if index > state.commit and state.log.term_at(index) == state.term:
            state.commit = index
            if self.tells_commit:
                self.broadcast(now)
            if state.me not in state.log.members and state.log.members_index <= state.commit:
                self._step_down(now)

    def image(self, index: int, state: bytes) -> Snapshot:
        """A snapshot message for the state as it was after an entry that is still held here."""
        log = self._state.log
        term = log.term_at(index)
        assert term is not None
        return Snapshot(index=index, term=term, voters=list(log.members_at(index)), state=state)

    # ------------------------------------------------------------------ sending

    def heartbeat_due(self, now: float) -> bool:
        """Whether a round of messages is due though nothing is new."""
        return now - self._broadcast_at >= self._state.timing.heartbeat

    def broadcast(self, now: float) -> None:
        """Send each replica what it lacks, or a heartbeat."""
        self._broadcast_at = now
        for replica, progress in self._followers.others.items():
            if self._snapshot_under_way(now, progress):
                self._send_heartbeat(now, replica)
            else:
                self.send_entries(now, replica, progress)

    def _snapshot_under_way(self, now: float, progress: Progress) -> bool:
        """Whether a replica needs a snapshot, and has been sent one not long ago."""
        missing = self._state.log.term_at(progress.next - 1) is None
        return missing and now - progress.snapshot_at < self._state.timing.resend_snapshot

    def _send_heartbeat(self, now: float, replica: str) -> None:
        """Send no entries, and nothing that the replica could accept before it has the snapshot.

        Its answer counts for the quorum: a leader whose other voters are all taking snapshots stays leader.
        """
        log = self._state.log
        self._state.send(
            replica,
            MessageKind.APPEND,
            log_index=log.base_index,
            log_term=log.base_term,
            round=microseconds(now),
            early=True,
        )

    def send_entries(self, now: float, replica: str, progress: Progress) -> None:
        """Send the entries that a replica lacks, or a snapshot where they are not held any more."""
        state = self._state
        before = progress.next - 1
        term = state.log.term_at(before)
        if term is None:
            self._send_snapshot(now, replica, progress)
            return
        entries = state.log.after(before, APPEND_BYTES)
        state.send(
            replica,
            MessageKind.APPEND,
            log_index=before,
            log_term=term,
            entries=entries,
            commit=state.commit,
            round=microseconds(now),
            confirms=progress.asked if self._leases.holds(now) else 0,
            early=True,
        )
        progress.next += len(entries)

    def _send_snapshot(self, now: float, replica: str, progress: Progress) -> None:
        if self._snapshot_under_way(now, progress):
            return
        applied = self._state.applied
        progress.snapshot_at, progress.snapshot_index = now, applied
        snapshot = self.image(applied, self.dump())
        self._state.send(
            replica, MessageKind.SNAPSHOT, snapshot=snapshot, round=microseconds(now), early=True
        )
        progress.next = applied + 1

    def on_append_reply(self, now: float, m: GroupMessage) -> None:
        """Note how far a replica is, and send it what it lacks."""
        progress = self._followers.others.get(m.sender)
        if not self._state.leads or progress is None:
            return
        progress.heard_at = now
        progress.acked_round = max(progress.acked_round, m.round / MICROSECONDS)
        progress.asked = m.asked
        if not m.granted:
            self._send_again(now, m, progress)
            return
        if m.log_index >= progress.snapshot_index:
            progress.snapshot_at = NEVER
        if m.log_index > progress.match:
            progress.match = m.log_index
            progress.next = max(progress.next, m.log_index + 1)
            self.advance(now)
        if progress.next <= self._state.log.last:
            self.send_entries(now, m.sender, progress)

    def _send_again(self, now: float, m: GroupMessage, progress: Progress) -> None:
        """A replica lacks what was sent before: go back to where its log ends."""
        if m.round / MICROSECONDS < progress.resent_at:
            return
        progress.resent_at = microseconds(now) / MICROSECONDS
        progress.next = max(1, min(progress.next - 1, m.log_index + 1))
        self.send_entries(now, m.sender, progress)

    # ------------------------------------------------------------------ learners

    def learns(self, now: float, replica: str) -> None:
        """A replica that is no member asks to be taught."""
        self.learners[replica] = now
        self.teach(now, replica)

    def teach(self, now: float, replica: str) -> None:
        """Send the log to a replica that is no member yet."""
        if self._state.leads and replica not in self._followers.others:
            progress = self._followers.others[replica] = Progress(next=self._state.log.last + 1)
            self.send_entries(now, replica, progress)

    def forget_learner(self, replica: str) -> None:
        """Stop sending to a replica that is no member."""
        self.learners.pop(replica, None)
        if replica not in self._state.log.members:
            self._followers.others.pop(replica, None)
