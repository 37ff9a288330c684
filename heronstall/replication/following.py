"""What a follower does with a leader's messages: entries, what is committed, snapshots."""

from __future__ import annotations

from heronstall.replication.leases import Leases
from heronstall.replication.protocol import MessageKind
from heronstall.replication.state import ReplicaState
from heronstall.transport.messages import GroupMessage, LogEntry, Snapshot


class Following:
    """A replica that follows a leader."""

    def __init__(self, state: ReplicaState, leases: Leases) -> None:
        self._state, self._leases = state, leases

    def on_append(self, now: float, m: GroupMessage) -> None:
        """Take entries that follow one that is held here; say how far the log reaches where none does."""
        state = self._state
        known = state.log.term_at(m.log_index)
        if m.log_index < state.log.base_index:
            self.reply(now, m, True, state.commit)
            return
        if known != m.log_term:
            hint = min(state.log.last, m.log_index - 1)
            self.reply(now, m, False, hint)
            return
        self._take_entries(m.entries)
        last = m.log_index + len(m.entries)
        state.commit = max(state.commit, min(m.commit, last))
        if m.confirms and m.commit <= state.commit:
            self._leases.confirm(now, m.confirms)
        self.reply(now, m, True, last)

    def _take_entries(self, entries: list[LogEntry]) -> None:
        state = self._state
        new: list[LogEntry] = []
        for entry in entries:
            known = state.log.term_at(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                state.log.cut(entry.index)
            state.log.append(entry)
            new.append(entry)
        if new:
            state.record_entries(new)

    def on_snapshot(self, now: float, m: GroupMessage) -> None:
        """Take a snapshot. A log that holds its last entry stays: what lies beyond may be acknowledged."""
        state, snapshot = self._state, m.snapshot
        if snapshot.index > state.commit:
            if state.log.term_at(snapshot.index) == snapshot.term:
                state.commit = snapshot.index
            else:
                self.install(snapshot)
        self.reply(now, m, True, state.commit)

    def install(self, snapshot: Snapshot) -> None:
        """Hold a snapshot in place of a log that is too short for it, or differs from it."""
        state = self._state
        state.log.replace(snapshot)
        state.commit = state.applied = snapshot.index
        state.output.install = snapshot
        state.output.apply = []
        state.record_snapshot(snapshot)

    def reply(self, now: float, m: GroupMessage, granted: bool, index: int) -> None:
        """Answer a leader, with a mark of this replica's clock."""
        self._state.send(
            m.sender,
            MessageKind.APPEND_REPLY,
            granted=granted,
            log_index=index,
            round=m.round,
            asked=self._leases.mark(now),
        )
