"""A replica's log in memory: entries after a snapshot, and the membership that they set."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from heronstall.replication.protocol import EntryKind
from heronstall.transport.messages import LogEntry, Members, Snapshot


@dataclass
class PersistentState:
    """What a replica has on disk at its start."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)


class Log:
    """Entries `first` to `last`; what came before stands in a snapshot of the state."""

    def __init__(self, snapshot: Snapshot | None, entries: Sequence[LogEntry]) -> None:
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self._entries = [e for e in entries if e.index > self.base_index]
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
        """Voters by the latest membership entry, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the latest membership entry."""
        return self._members[-1][0]

    def members_at(self, index: int) -> tuple[str, ...]:
        """Voters by the latest membership entry up to an index."""
        return next(voters for at, voters in reversed(self._members) if at <= index or at == self.base_index)

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is not known here."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> LogEntry:
        """The entry of an index that is held here."""
        return self._entries[index - self.base_index - 1]

    def entries_after(self, index: int, most_bytes: int) -> list[LogEntry]:
        """Entries that follow an index, at least one if there is one, up to so many bytes."""
        found: list[LogEntry] = []
        size = 0
        for entry in self._entries[index - self.base_index :]:
            size += len(entry.data) + 16
            if found and size > most_bytes:
                break
            found.append(entry)
        return found

    def append(self, entry: LogEntry) -> None:
        """Add the next entry."""
        self._entries.append(entry)
        self._track_members(entry)

    def truncate_from(self, index: int) -> None:
        """Forget the entries from an index on."""
        del self._entries[index - self.base_index - 1 :]
        while len(self._members) > 1 and self._members[-1][0] >= index:
            self._members.pop()

    def discard_up_to(self, index: int) -> None:
        """Forget the entries up to an index, which a snapshot covers."""
        if index <= self.base_index:
            return
        voters = self.members_at(index)
        term = self.term_at(index)
        assert term is not None
        later = [(at, v) for at, v in self._members if at > index]
        self._entries = self._entries[index - self.base_index :]
        self.base_index, self.base_term = index, term
        self._members = [(index, voters), *later]

    def reset_to_snapshot(self, snapshot: Snapshot) -> None:
        """Hold nothing but a snapshot."""
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self._entries = []
        self._members = [(snapshot.index, tuple(snapshot.voters))]

    def entries(self) -> list[LogEntry]:
        """All entries that are held."""
        return list(self._entries)

    def _track_members(self, entry: LogEntry) -> None:
        if entry.kind == EntryKind.MEMBERS:
            self._members.append((entry.index, tuple(Members().parse(entry.data).voters)))
