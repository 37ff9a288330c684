"""What a follower does with a leader's messages: entries, what is committed, snapshots."""

from __future__ import annotations

from heronstall.replication.leases import ReadLeases
from heronstall.replication.protocol import MessageKind
from heronstall.replication.state import ReplicaState
from heronstall.transport.messages import GroupMessage, LogEntry, Snapshot


class Follower:
    """A replica that follows a leader."""

    def __init__(self, state: ReplicaState, leases: ReadLeases) -> None:
        self._state, self._leases = state, leases

    def on_append(self, now: float, m: GroupMessage) -> None:
        """Take entries that follow one that is held here; say how far the log reaches where none does."""
        state = self._state
        known = state.log.term_at(m.log_index)
        if m.log_index < state.log.base_index:
            self.send_reply(now, m, True, state.commit_index)
            return
        if known != m.log_term:
            hint = min(state.log.last_index, m.log_index - 1)
            self.send_reply(now, m, False, hint)
            return
        self._store_entries(m.entries)
        last = m.log_index + len(m.entries)
        state.commit_index = max(state.commit_index, min(m.commit, last))
        if m.confirms and m.commit <= state.commit_index:
            self._leases.record_confirmation(now, m.confirms)
        self.send_reply(now, m, True, last)

    def _store_entries(self, entries: list[LogEntry]) -> None:
        state = self._state
        new: list[LogEntry] = []
        for entry in entries:
            known = state.log.term_at(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                state.log.truncate_from(entry.index)
            state.log.append(entry)
            new.append(entry)
        if new:
            state.record_entries(new)

    def on_snapshot(self, now: float, m: GroupMessage) -> None:
        """Take a snapshot. A log that holds its last entry stays: what lies beyond may be acknowledged."""
        state, snapshot = self._state, m.snapshot
        if snapshot.index > state.commit_index:
            if state.log.term_at(snapshot.index) == snapshot.term:
                state.commit_index = snapshot.index
            else:
                self.install_snapshot(snapshot)
        self.send_reply(now, m, True, state.commit_index)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Hold a snapshot in place of a log that is too short for it, or differs from it."""
        state = self._state
        state.log.reset_to_snapshot(snapshot)
        state.commit_index = state.applied_index = snapshot.index
        state.output.snapshot_to_install = snapshot
        state.output.entries_to_apply = []
        state.record_snapshot(snapshot)

    def send_reply(self, now: float, m: GroupMessage, granted: bool, index: int) -> None:
        """Answer a leader, with a mark of this replica's clock."""
        self._state.send(
            m.sender,
            MessageKind.APPEND_REPLY,
            granted=granted,
            log_index=index,
            round=m.round,
            asked=self._leases.clock_mark(now),
        )
