"""The leader role: appends commands, replicates the log, commits what a quorum stores and feeds learners."""

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
    """The leader role of a replica. Calls `step_down` once the leader is no longer a member."""

    def __init__(
        self,
        state: ReplicaState,
        progress: ProgressTracker,
        leases: ReadLeases,
        step_down: Callable[[float], None],
    ) -> None:
        self._state, self._progress, self._leases = state, progress, leases
        self._step_down = step_down
        self.dump_state: Callable[[], bytes] = lambda: b""
        self.broadcasts_commits = True  # whether followers learn of commits at once, to serve reads
        self.learners: dict[str, float] = {}  # by replica identity: time of the join request
        self._last_broadcast_at = NEVER

    def start_leading(self, now: float) -> None:
        """Starts leading after a won election.

        Appends an empty entry; committing it also commits the entries of earlier terms.
        """
        state = self._state
        self._progress.reset(state.other_voters, state.log.last_index + 1, now)
        self._last_broadcast_at = now
        state.term_start_index = state.log.last_index + 1
        self.append(now, EntryKind.EMPTY, b"")

    def append(self, now: float, kind: EntryKind, data: bytes) -> int | None:
        """Appends and replicates an entry. Returns its index, or None if this replica does not lead."""
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
        """Commits the entries that a quorum has on disk.

        Only entries of the current term are committed by counting replicas.
        """
        state = self._state
        index = self._progress.quorum_match_index(state.log.members, state.durable_index)
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_index = index
            if self.broadcasts_commits:
                self.broadcast(now)
            if state.identity not in state.log.members and state.log.members_index <= state.commit_index:
                self._step_down(now)

    def snapshot_at(self, index: int, state: bytes) -> Snapshot:
        """Returns a snapshot of `state` as of the entry at `index`, which must still be in the log."""
        log = self._state.log
        term = log.term_at(index)
        assert term is not None
        return Snapshot(index=index, term=term, voters=list(log.members_at(index)), state=state)

    # ------------------------------------------------------------------ replication

    def heartbeat_due(self, now: float) -> bool:
        """Returns whether a heartbeat is due."""
        return now - self._last_broadcast_at >= self._state.timing.heartbeat_interval

    def broadcast(self, now: float) -> None:
        """Sends each replica the entries that it lacks, or a heartbeat."""
        self._last_broadcast_at = now
        for replica, progress in self._progress.peers.items():
            if self._snapshot_in_flight(now, progress):
                self._send_heartbeat(now, replica)
            else:
                self.send_entries(now, replica, progress)

    def _snapshot_in_flight(self, now: float, progress: Progress) -> bool:
        """Returns whether a replica needs a snapshot and was sent one recently."""
        missing = self._state.log.term_at(progress.next_index - 1) is None
        return missing and now - progress.snapshot_sent_at < self._state.timing.snapshot_resend_interval

    def _send_heartbeat(self, now: float, replica: str) -> None:
        """Sends a heartbeat without entries that the replica can accept before it has its snapshot.

        Its reply counts towards the quorum, so a leader stays leader while all its other voters receive
        snapshots.
        """
        log = self._state.log
        self._state.send(
            replica,
            MessageKind.APPEND,
            log_index=log.base_index,
            log_term=log.base_term,
            sent_at_us=to_microseconds(now),
            before_sync=True,
        )

    def send_entries(self, now: float, replica: str, progress: Progress) -> None:
        """Sends the entries that a replica lacks, or a snapshot if they are no longer in the log."""
        state = self._state
        previous_index = progress.next_index - 1
        previous_term = state.log.term_at(previous_index)
        if previous_term is None:
            self._send_snapshot(now, replica, progress)
            return
        entries = state.log.entries_after(previous_index, MAX_APPEND_BYTES)
        state.send(
            replica,
            MessageKind.APPEND,
            log_index=previous_index,
            log_term=previous_term,
            entries=entries,
            commit=state.commit_index,
            sent_at_us=to_microseconds(now),
            confirmed_mark=progress.latest_clock_mark if self._leases.holds_lease(now) else 0,
            before_sync=True,
        )
        progress.next_index += len(entries)

    def _send_snapshot(self, now: float, replica: str, progress: Progress) -> None:
        if self._snapshot_in_flight(now, progress):
            return
        applied_index = self._state.applied_index
        progress.snapshot_sent_at, progress.snapshot_index = now, applied_index
        snapshot = self.snapshot_at(applied_index, self.dump_state())
        self._state.send(
            replica,
            MessageKind.SNAPSHOT,
            snapshot=snapshot,
            sent_at_us=to_microseconds(now),
            before_sync=True,
        )
        progress.next_index = applied_index + 1

    def on_append_reply(self, now: float, message: GroupMessage) -> None:
        """Updates the progress of a replica and sends it the entries that it still lacks."""
        progress = self._progress.peers.get(message.sender)
        if not self._state.is_leader or progress is None:
            return
        progress.last_contact_at = now
        progress.acked_send_time = max(progress.acked_send_time, message.round / MICROSECONDS_PER_SECOND)
        progress.latest_clock_mark = message.asked
        if not message.granted:
            self._resend_entries(now, message, progress)
            return
        if message.log_index >= progress.snapshot_index:
            progress.snapshot_sent_at = NEVER
        if message.log_index > progress.match_index:
            progress.match_index = message.log_index
            progress.next_index = max(progress.next_index, message.log_index + 1)
            self.advance_commit(now)
        if progress.next_index <= self._state.log.last_index:
            self.send_entries(now, message.sender, progress)

    def _resend_entries(self, now: float, message: GroupMessage, progress: Progress) -> None:
        """Resends entries from the end of a replica's log after it has rejected an append."""
        if message.round / MICROSECONDS_PER_SECOND < progress.resent_at:
            return
        progress.resent_at = to_microseconds(now) / MICROSECONDS_PER_SECOND
        progress.next_index = max(1, min(progress.next_index - 1, message.log_index + 1))
        self.send_entries(now, message.sender, progress)

    # ------------------------------------------------------------------ learners

    def add_learner(self, now: float, replica: str) -> None:
        """Starts replicating to a replica that asked to join and is not a member."""
        self.learners[replica] = now
        self.replicate_to(now, replica)

    def replicate_to(self, now: float, replica: str) -> None:
        """Starts replicating the log to a replica that is not a member."""
        if self._state.is_leader and replica not in self._progress.peers:
            progress = self._progress.peers[replica] = Progress(next_index=self._state.log.last_index + 1)
            self.send_entries(now, replica, progress)

    def remove_learner(self, replica: str) -> None:
        """Stops replicating to a replica that is not a member."""
        self.learners.pop(replica, None)
        if replica not in self._state.log.members:
            self._progress.peers.pop(replica, None)
