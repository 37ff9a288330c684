"""A journal on disk: records appended, synced before anybody acts on them. Its form is `rollout.journal`."""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from pathlib import Path
from types import TracebackType

from heronstall.rollout.journal import JournalError, Record, decode_records, encode_record


class Busy(OSError):
    """Another process holds the journal."""


def unix_us() -> int:
    """Now, in Unix time."""
    return time.time_ns() // 1000


class Log:
    """One journal, held by one process at a time. Raises Busy, OSError and JournalError at the opening."""

    def __init__(self, path: Path) -> None:
        self.path = path
        fresh = not path.exists()
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
        try:
            try:
                fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise Busy(f"{path} is held by another process") from None
            if fresh:
                self._sync_folder()
            data = path.read_bytes()
            self.records, whole = decode_records(data)
            if whole < len(data):  # a record that was never written whole: nobody has acted on it
                os.ftruncate(self._fd, whole)
                os.fsync(self._fd)
        except BaseException:
            os.close(self._fd)
            raise

    def _sync_folder(self) -> None:
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def append(self, kind: str, fields: Record) -> Record:
        """Write a record; it is on the disk when this returns. Raises OSError: then it is not there."""
        at = max(unix_us(), self.records[-1]["at"] if self.records else 0)
        line = encode_record(len(self.records), at, kind, fields)
        whole = os.fstat(self._fd).st_size
        written = 0
        try:
            while written < len(line):
                written += os.write(self._fd, line[written:])
            os.fsync(self._fd)
        except OSError:
            # Guards what is written next: behind half a line it would be damage in the middle.
            os.ftruncate(self._fd, whole)
            raise
        record = {"n": len(self.records), "at": at, "kind": kind, **fields}
        self.records.append(record)
        return record

    def rewrite(self, rows: list[tuple[str, Record]]) -> None:
        """Put shorter records that come to the same in the place of all, at once or not at all."""
        aside = self.path.with_suffix(".aside")
        with contextlib.suppress(FileNotFoundError):
            aside.unlink()
        new = Log(aside)
        for kind, fields in rows:
            new.append(kind, fields)
        os.replace(aside, self.path)
        self._sync_folder()
        os.close(self._fd)
        self._fd, self.records = new._fd, new.records

    def close(self) -> None:
        """Let go of it."""
        os.close(self._fd)

    def __enter__(self) -> Log:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()


def read(path: Path) -> list[Record]:
    """The records of a journal that another process may be writing. Raises OSError, JournalError."""
    return decode_records(path.read_bytes())[0]


__all__ = ["Busy", "JournalError", "Log", "read", "unix_us"]
