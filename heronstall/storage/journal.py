"""A node's files: two slots with whole images, written in turn, and the log of what came since.

Everything is checksummed. A record is kept once `sync` has returned. The tail of a log that was never
synced may be cut, torn or full of holes: reading stops at the first record that is not whole.

A slot holds from the moment at which its own log stands in the folder. Until then the slot before it and that
one's log hold, so that a slot whose writing failed on its last step never hides records that came later.
"""

from __future__ import annotations

import contextlib
import os
import struct
import zlib
from dataclasses import dataclass
from pathlib import Path

MAGIC = b"HSTL"
FORMAT_VERSION = 1
SLOT_HEADER = struct.Struct("!4sHHQQI")  # magic, format, number of parts, sequence, length, checksum
RECORD_HEADER = struct.Struct("!II")  # length, checksum


class StorageError(Exception):
    """The folder cannot be used; the message says why."""


@dataclass(frozen=True)
class RecoveredJournal:
    """What was found on disk. `parts` is None on a disk without a whole slot."""

    parts: tuple[bytes, ...] | None
    records: tuple[bytes, ...]
    damaged: bool  # a slot was there, and none is whole


def encode_slot(sequence: int, parts: list[bytes]) -> bytes:
    """The bytes of a slot file."""
    body = b"".join(RECORD_HEADER.pack(len(p), zlib.crc32(p)) + p for p in parts)
    return SLOT_HEADER.pack(MAGIC, FORMAT_VERSION, len(parts), sequence, len(body), zlib.crc32(body)) + body


def decode_slot(data: bytes) -> tuple[int, tuple[bytes, ...]] | None:
    """Sequence and parts of a slot file; None where it is not whole."""
    if len(data) < SLOT_HEADER.size:
        return None
    magic, version, count, sequence, length, checksum = SLOT_HEADER.unpack_from(data)
    body = data[SLOT_HEADER.size : SLOT_HEADER.size + length]
    if magic != MAGIC or version != FORMAT_VERSION or len(body) != length or zlib.crc32(body) != checksum:
        return None
    parts, _ = decode_records(body)
    return (sequence, tuple(parts)) if len(parts) == count else None


def encode_record(payload: bytes) -> bytes:
    """The bytes of a record in a log."""
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def decode_records(data: bytes) -> tuple[list[bytes], int]:
    """The whole records from the start of a log, and the length that they take up."""
    found: list[bytes] = []
    at = 0
    while len(data) - at >= RECORD_HEADER.size:
        length, checksum = RECORD_HEADER.unpack_from(data, at)
        payload = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + length]
        if length == 0 or len(payload) != length or zlib.crc32(payload) != checksum:
            break
        found.append(payload)
        at += RECORD_HEADER.size + length
    return found, at


class Journal:
    """The files of one process. All calls wait for the disk."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._sequence = 0
        self._log_descriptor: int | None = None
        self._log_length = 0  # of what is whole in the log
        self._synced_length = 0  # of that, what a sync has covered
        self._unconfirmed_slot = False  # the log of a slot that failed may stand in the folder

    @property
    def log_bytes(self) -> int:
        """Length of the log since the last slot."""
        return self._log_length

    def recover(self) -> RecoveredJournal:
        """Read what is there and make the log ready for more."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            slots = [self._read_if_present(self._slot_path(n)) for n in (0, 1)]
        except OSError as error:
            raise StorageError(f"{self._folder}: {error}") from error
        whole = [decoded for data in slots if data and (decoded := decode_slot(data))]
        if not whole:
            return RecoveredJournal(None, (), damaged=any(slots))
        self._sequence, parts = max([s for s in whole if self._log_path(s[0]).exists()] or whole)
        data = self._read_if_present(self._log_path(self._sequence)) or b""
        records, self._log_length = decode_records(data)
        self._log_descriptor = self._open_log(self._sequence, self._log_length)
        self._synced_length = self._log_length
        return RecoveredJournal(parts, tuple(records), damaged=False)

    def append(self, payloads: list[bytes]) -> None:
        """Write records. Raises OSError; the log is then as it was before."""
        assert self._log_descriptor is not None
        if self._unconfirmed_slot:
            self._discard_slot(self._sequence + 1)
        data = b"".join(map(encode_record, payloads))
        try:
            written = 0
            while written < len(data):
                written += os.pwrite(self._log_descriptor, data[written:], self._log_length + written)
        except OSError:
            os.ftruncate(self._log_descriptor, self._log_length)
            raise
        self._log_length += len(data)

    def sync(self) -> None:
        """Wait until all records are on the disk.

        Raises OSError; all records since the last sync are then taken back, and are to be appended again.
        Another sync would not do: the system may have dropped what it could not write, and not say so twice.
        """
        if self._synced_length == self._log_length or self._log_descriptor is None:
            return
        try:
            os.fdatasync(self._log_descriptor)
        except OSError:
            self._log_length = self._synced_length
            os.ftruncate(self._log_descriptor, self._log_length)
            raise
        self._synced_length = self._log_length

    def write_slot(self, parts: list[bytes]) -> None:
        """Write an image that replaces all before it, and begin a new log.

        Raises OSError; the slot and the log before it then hold on.
        """
        following = self._sequence + 1
        self._write_image(following, parts)
        self._unconfirmed_slot = True
        try:
            log = self._open_log(following, 0)
        except OSError:
            with contextlib.suppress(OSError):
                self._discard_slot(following)
            raise
        self._unconfirmed_slot = False
        former, former_log = self._sequence, self._log_descriptor
        self._sequence, self._log_descriptor = following, log
        self._log_length = self._synced_length = 0
        if former_log is not None:
            os.close(former_log)
        with contextlib.suppress(OSError):
            self._log_path(former).unlink(missing_ok=True)

    def _write_image(self, following: int, parts: list[bytes]) -> None:
        descriptor = os.open(self._slot_path(following % 2), os.O_CREAT | os.O_WRONLY | os.O_TRUNC, 0o644)
        try:
            data = encode_slot(following, parts)
            written = 0
            while written < len(data):
                written += os.write(descriptor, data[written:])
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self._sync_folder()

    def _open_log(self, sequence: int, length: int) -> int:
        """The descriptor of a log of so many bytes that stands in the folder for good."""
        descriptor = os.open(self._log_path(sequence), os.O_CREAT | os.O_RDWR, 0o644)
        try:
            os.ftruncate(descriptor, length)
            os.fsync(descriptor)
            self._sync_folder()
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def _discard_slot(self, sequence: int) -> None:
        """Make sure that the slot whose writing failed does not hold. Raises OSError."""
        self._log_path(sequence).unlink(missing_ok=True)
        self._sync_folder()
        self._unconfirmed_slot = False

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _slot_path(self, number: int) -> Path:
        return self._folder / f"slot-{number}"

    def _log_path(self, sequence: int) -> Path:
        return self._folder / f"log-{sequence}"

    @staticmethod
    def _read_if_present(path: Path) -> bytes | None:
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None
