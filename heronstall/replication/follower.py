"""How a follower handles a leader's messages: log entries, the commit index and snapshots."""

from __future__ import annotations

from heronstall.replication.leases import ReadLeases
from heronstall.replication.protocol import MessageKind
from heronstall.replication.state import ReplicaState
from heronstall.transport.messages import GroupMessage, LogEntry, Snapshot


class Follower:
    """The follower role of a replica."""

    def __init__(self, state: ReplicaState, leases: ReadLeases) -> None:
        self._state, self._leases = state, leases

    def on_append(self, now: float, message: GroupMessage) -> None:
        """Appends entries that continue the local log.

        If they do not continue it, replies with the last index from which the leader may try again.
        """
        state = self._state
        local_term = state.log.term_at(message.log_index)
        if message.log_index < state.log.base_index:
            self.send_reply(now, message, True, state.commit_index)
            return
        if local_term != message.log_term:
            last_usable_index = min(state.log.last_index, message.log_index - 1)
            self.send_reply(now, message, False, last_usable_index)
            return
        self._store_entries(message.entries)
        last_index = message.log_index + len(message.entries)
        state.commit_index = max(state.commit_index, min(message.commit, last_index))
        if message.confirms and message.commit <= state.commit_index:
            self._leases.record_confirmation(now, message.confirms)
        self.send_reply(now, message, True, last_index)

    def _store_entries(self, entries: list[LogEntry]) -> None:
        state = self._state
        new_entries: list[LogEntry] = []
        for entry in entries:
            local_term = state.log.term_at(entry.index)
            if local_term == entry.term:
                continue
            if local_term is not None:
                state.log.truncate_from(entry.index)
            state.log.append(entry)
            new_entries.append(entry)
        if new_entries:
            state.record_entries(new_entries)

    def on_snapshot(self, now: float, message: GroupMessage) -> None:
        """Accepts a snapshot.

        A log that already contains the snapshot's last entry is kept: entries after it may have been
        acknowledged.
        """
        state, snapshot = self._state, message.snapshot
        if snapshot.index > state.commit_index:
            if state.log.term_at(snapshot.index) == snapshot.term:
                state.commit_index = snapshot.index
            else:
                self.install_snapshot(snapshot)
        self.send_reply(now, message, True, state.commit_index)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces a log that is too short for a snapshot, or conflicts with it, by the snapshot."""
        state = self._state
        state.log.reset_to_snapshot(snapshot)
        state.commit_index = state.applied_index = snapshot.index
        state.output.snapshot_to_install = snapshot
        state.output.entries_to_apply = []
        state.record_snapshot(snapshot)

    def send_reply(self, now: float, message: GroupMessage, granted: bool, index: int) -> None:
        """Replies to a leader, including a mark of this replica's clock."""
        self._state.send(
            message.sender,
            MessageKind.APPEND_REPLY,
            granted=granted,
            log_index=index,
            sent_at_us=message.round,
            clock_mark=self._leases.clock_mark(now),
        )
