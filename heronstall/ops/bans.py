"""Servers that operators took out of service. Free of I/O: per server the newest command wins.

Two processes that serve as one dispatcher combine their records with `merge`. Whatever the order and the
number of merges, both arrive at the same records. Times are Unix time in microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_RECORDS = 4096  # server ids with a record; beyond it the oldest records of servers in service are dropped


class TimedFlag(NamedTuple):
    """The newest command on a server or on the drain: when it was given, and whether it took it out."""

    at_us: int
    out: bool


class Bans:
    """The newest command on each server, by server id."""

    def __init__(self) -> None:
        self._records: dict[str, TimedFlag] = {}

    def banned_since(self, uid: str) -> int | None:
        """Returns since when the server is banned; None when it is not."""
        record = self._records.get(uid)
        return record.at_us if record is not None and record.out else None

    def readmitted_at(self, uid: str) -> int | None:
        """Returns when the server's last ban ended; None where none has."""
        record = self._records.get(uid)
        return record.at_us if record is not None and not record.out else None

    def has_record(self, uid: str) -> bool:
        """Returns whether there is a command on this server, banning or readmitting it."""
        return uid in self._records

    def set_banned(self, uid: str, out: bool, now: int) -> bool:
        """Records a command and returns whether it changes anything.

        A repeated ban keeps the time of the first one.
        """
        record = self._records.get(uid)
        if (record is not None and record.out) == out:
            return False
        # The clock may have been set back: the newer record must compare as newer everywhere.
        self._records[uid] = TimedFlag(now if record is None else max(now, record.at_us + 1), out)
        self._drop_oldest()
        return True

    def merge(self, rows: Iterable[tuple[str, TimedFlag]]) -> list[str]:
        """Merges another process's records and returns the ids whose records were newer there."""
        changed = []
        for uid, record in rows:
            own = self._records.get(uid)
            if own is None or (record.at_us, record.out) > own:
                self._records[uid] = record
                changed.append(uid)
        self._drop_oldest()
        return changed

    def rows(self) -> list[tuple[str, TimedFlag]]:
        """Returns all records, ordered by id."""
        return sorted(self._records.items())

    def _drop_oldest(self) -> None:
        if len(self._records) > MAX_RECORDS:
            in_service = sorted(
                (record.at_us, uid) for uid, record in self._records.items() if not record.out
            )
            for _, uid in in_service[: len(self._records) - MAX_RECORDS]:
                del self._records[uid]
