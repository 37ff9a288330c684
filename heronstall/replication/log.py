"""A replica's log in memory: the entries after a snapshot, and the membership that they define."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from heronstall.replication.protocol import EntryKind
from heronstall.transport.messages import LogEntry, Members, Snapshot


@dataclass
class PersistentState:
    """What a replica has on disk when it starts."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)


class Log:
    """The entries after a snapshot, which replaces all earlier ones."""

    def __init__(self, snapshot: Snapshot | None, entries: Sequence[LogEntry]) -> None:
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self._entries = [entry for entry in entries if entry.index > self.base_index]
        voters = tuple(snapshot.voters) if snapshot else ()
        self._members: list[tuple[int, tuple[str, ...]]] = [(self.base_index, voters)]
        for entry in self._entries:
            self._track_members(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> tuple[str, ...]:
        """The voters according to the latest membership entry, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the latest membership entry."""
        return self._members[-1][0]

    def members_at(self, index: int) -> tuple[str, ...]:
        """Returns the voters according to the latest membership entry up to an index."""
        return next(
            voters
            for members_index, voters in reversed(self._members)
            if members_index <= index or members_index == self.base_index
        )

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if the entry is not in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> LogEntry:
        """Returns the entry at an index, which must be in the log."""
        return self._entries[index - self.base_index - 1]

    def entries_after(self, index: int, max_bytes: int) -> list[LogEntry]:
        """Returns the entries after an index, up to `max_bytes` but at least one if there is any."""
        found: list[LogEntry] = []
        size = 0
        for entry in self._entries[index - self.base_index :]:
            size += len(entry.data) + 16
            if found and size > max_bytes:
                break
            found.append(entry)
        return found

    def append(self, entry: LogEntry) -> None:
        """Appends the next entry."""
        self._entries.append(entry)
        self._track_members(entry)

    def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on."""
        del self._entries[index - self.base_index - 1 :]
        while len(self._members) > 1 and self._members[-1][0] >= index:
            self._members.pop()

    def discard_up_to(self, index: int) -> None:
        """Removes the entries up to an index, which a snapshot covers."""
        if index <= self.base_index:
            return
        voters = self.members_at(index)
        term = self.term_at(index)
        assert term is not None
        later = [
            (members_index, members) for members_index, members in self._members if members_index > index
        ]
        self._entries = self._entries[index - self.base_index :]
        self.base_index, self.base_term = index, term
        self._members = [(index, voters), *later]

    def reset_to_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces the whole log by a snapshot."""
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self._entries = []
        self._members = [(snapshot.index, tuple(snapshot.voters))]

    def entries(self) -> list[LogEntry]:
        """Returns all entries in the log."""
        return list(self._entries)

    def _track_members(self, entry: LogEntry) -> None:
        if entry.kind == EntryKind.MEMBERS:
            self._members.append((entry.index, tuple(Members().parse(entry.data).voters)))
