"""What a leader does: appends commands, sends its log, commits what a quorum has, and teaches learners."""

from __future__ import annotations

from collections.abc import Callable

from heronstall.replication.leases import ReadLeases
from heronstall.replication.progress import Progress, ProgressTracker
from heronstall.replication.protocol import (
    MAX_APPEND_BYTES,
    MICROSECONDS_PER_SECOND,
    EntryKind,
    MessageKind,
    to_microseconds,
)
from heronstall.replication.state import NEVER, ReplicaState
from heronstall.transport.messages import GroupMessage, LogEntry, Snapshot


class Leader:
    """A replica's leadership. A leader that is no member any more is told `step_down`."""

    def __init__(
        self,
        state: ReplicaState,
        followers: ProgressTracker,
        leases: ReadLeases,
        step_down: Callable[[float], None],
    ) -> None:
        self._state, self._progress, self._leases = state, followers, leases
        self._step_down = step_down
        self.dump_state: Callable[[], bytes] = lambda: b""
        self.broadcasts_commits = True  # followers serve reads and want to know at once what is committed
        self.learners: dict[str, float] = {}  # by identity: when it asked to join
        self._last_broadcast_at = NEVER

    def start_leading(self, now: float) -> None:
        """An election is won: entries of former terms are committed with the first one of this term."""
        state = self._state
        self._progress.reset(state.other_voters, state.log.last_index + 1, now)
        self._last_broadcast_at = now
        state.term_start_index = state.log.last_index + 1
        self.append(now, EntryKind.EMPTY, b"")

    def append(self, now: float, kind: EntryKind, data: bytes) -> int | None:
        """Append an entry and send it; its index, or None where this is not the leader."""
        state = self._state
        if not state.is_leader:
            return None
        entry = LogEntry(index=state.log.last_index + 1, term=state.term, kind=kind, data=data)
        state.log.append(entry)
        state.record_entries([entry])
        for voter in state.other_voters:
            self._progress.peers.setdefault(voter, Progress(next_index=entry.index, last_contact_at=now))
        self.broadcast(now)
        return entry.index

    def advance_commit(self, now: float) -> None:
        """Commit what a quorum has on disk, by count only entries of the own term."""
        state = self._state
        index = self._progress.quorum_match_index(state.log.members, state.durable_index)
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_index = index
            if self.broadcasts_commits:
                self.broadcast(now)
            if state.identity not in state.log.members and state.log.members_index <= state.commit_index:
                self._step_down(now)

    def snapshot_at(self, index: int, state: bytes) -> Snapshot:
        """A snapshot message for the state as it was after an entry that is still held here."""
        log = self._state.log
        term = log.term_at(index)
        assert term is not None
        return Snapshot(index=index, term=term, voters=list(log.members_at(index)), state=state)

    # ------------------------------------------------------------------ sending

    def heartbeat_due(self, now: float) -> bool:
        """Whether a round of messages is due though nothing is new."""
        return now - self._last_broadcast_at >= self._state.timing.heartbeat_interval

    def broadcast(self, now: float) -> None:
        """Send each replica what it lacks, or a heartbeat."""
        self._last_broadcast_at = now
        for replica, progress in self._progress.peers.items():
            if self._snapshot_in_flight(now, progress):
                self._send_heartbeat(now, replica)
            else:
                self.send_entries(now, replica, progress)

    def _snapshot_in_flight(self, now: float, progress: Progress) -> bool:
        """Whether a replica needs a snapshot, and has been sent one not long ago."""
        missing = self._state.log.term_at(progress.next_index - 1) is None
        return missing and now - progress.snapshot_sent_at < self._state.timing.snapshot_resend_interval

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
            round=to_microseconds(now),
            early=True,
        )

    def send_entries(self, now: float, replica: str, progress: Progress) -> None:
        """Send the entries that a replica lacks, or a snapshot where they are not held any more."""
        state = self._state
        before = progress.next_index - 1
        term = state.log.term_at(before)
        if term is None:
            self._send_snapshot(now, replica, progress)
            return
        entries = state.log.entries_after(before, MAX_APPEND_BYTES)
        state.send(
            replica,
            MessageKind.APPEND,
            log_index=before,
            log_term=term,
            entries=entries,
            commit=state.commit_index,
            round=to_microseconds(now),
            confirms=progress.latest_clock_mark if self._leases.holds_lease(now) else 0,
            early=True,
        )
        progress.next_index += len(entries)

    def _send_snapshot(self, now: float, replica: str, progress: Progress) -> None:
        if self._snapshot_in_flight(now, progress):
            return
        applied = self._state.applied_index
        progress.snapshot_sent_at, progress.snapshot_index = now, applied
        snapshot = self.snapshot_at(applied, self.dump_state())
        self._state.send(
            replica, MessageKind.SNAPSHOT, snapshot=snapshot, round=to_microseconds(now), early=True
        )
        progress.next_index = applied + 1

    def on_append_reply(self, now: float, m: GroupMessage) -> None:
        """Note how far a replica is, and send it what it lacks."""
        progress = self._progress.peers.get(m.sender)
        if not self._state.is_leader or progress is None:
            return
        progress.last_contact_at = now
        progress.acked_send_time = max(progress.acked_send_time, m.round / MICROSECONDS_PER_SECOND)
        progress.latest_clock_mark = m.asked
        if not m.granted:
            self._resend_entries(now, m, progress)
            return
        if m.log_index >= progress.snapshot_index:
            progress.snapshot_sent_at = NEVER
        if m.log_index > progress.match_index:
            progress.match_index = m.log_index
            progress.next_index = max(progress.next_index, m.log_index + 1)
            self.advance_commit(now)
        if progress.next_index <= self._state.log.last_index:
            self.send_entries(now, m.sender, progress)

    def _resend_entries(self, now: float, m: GroupMessage, progress: Progress) -> None:
        """A replica lacks what was sent before: go back to where its log ends."""
        if m.round / MICROSECONDS_PER_SECOND < progress.resent_at:
            return
        progress.resent_at = to_microseconds(now) / MICROSECONDS_PER_SECOND
        progress.next_index = max(1, min(progress.next_index - 1, m.log_index + 1))
        self.send_entries(now, m.sender, progress)

    # ------------------------------------------------------------------ learners

    def add_learner(self, now: float, replica: str) -> None:
        """A replica that is no member asks to be taught."""
        self.learners[replica] = now
        self.replicate_to(now, replica)

    def replicate_to(self, now: float, replica: str) -> None:
        """Send the log to a replica that is no member yet."""
        if self._state.is_leader and replica not in self._progress.peers:
            progress = self._progress.peers[replica] = Progress(next_index=self._state.log.last_index + 1)
            self.send_entries(now, replica, progress)

    def remove_learner(self, replica: str) -> None:
        """Stop sending to a replica that is no member."""
        self.learners.pop(replica, None)
        if replica not in self._state.log.members:
            self._progress.peers.pop(replica, None)
