"""A journal on disk; records are synced before they are acted upon. Its format is `rollout.journal`."""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from pathlib import Path
from types import TracebackType

from heronstall.rollout.journal import JournalError, Record, decode_records, encode_record


class JournalLocked(OSError):
    """Another process has locked the journal."""


def unix_us() -> int:
    """Returns the current Unix time in microseconds."""
    return time.time_ns() // 1000


class JournalFile:
    """A journal, locked by one process at a time. Opening raises JournalLocked, OSError and JournalError."""

    def __init__(self, path: Path) -> None:
        self.path = path
        created = not path.exists()
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
        try:
            try:
                fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise JournalLocked(f"{path} is locked by another process") from None
            if created:
                self._sync_directory()
            data = path.read_bytes()
            self.records, complete = decode_records(data)
            if complete < len(data):  # an incomplete record, which was never acted upon
                os.ftruncate(self._fd, complete)
                os.fsync(self._fd)
        except BaseException:
            os.close(self._fd)
            raise

    def _sync_directory(self) -> None:
        directory = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def append(self, kind: str, fields: Record) -> Record:
        """Writes and syncs a record. Raises OSError, in which case the record is not in the journal."""
        at = max(unix_us(), self.records[-1]["at"] if self.records else 0)
        line = encode_record(len(self.records), at, kind, fields)
        complete = os.fstat(self._fd).st_size
        written = 0
        try:
            while written < len(line):
                written += os.write(self._fd, line[written:])
            os.fsync(self._fd)
        except OSError:
            # A partial line before later records would be damage.
            os.ftruncate(self._fd, complete)
            raise
        record = {"n": len(self.records), "at": at, "kind": kind, **fields}
        self.records.append(record)
        return record

    def rewrite(self, rows: list[tuple[str, Record]]) -> None:
        """Atomically replaces all records by fewer equivalent ones."""
        temporary_path = self.path.with_suffix(".aside")
        with contextlib.suppress(FileNotFoundError):
            temporary_path.unlink()
        replacement = JournalFile(temporary_path)
        for kind, fields in rows:
            replacement.append(kind, fields)
        os.replace(temporary_path, self.path)
        self._sync_directory()
        os.close(self._fd)
        self._fd, self.records = replacement._fd, replacement.records

    def close(self) -> None:
        """Closes the journal and releases its lock."""
        os.close(self._fd)

    def __enter__(self) -> JournalFile:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()


def read_records(path: Path) -> list[Record]:
    """Returns the records of a journal that may be in use. Raises OSError and JournalError."""
    return decode_records(path.read_bytes())[0]


__all__ = ["JournalError", "JournalFile", "JournalLocked", "read_records", "unix_us"]
