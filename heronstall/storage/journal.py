"""The files of a node: two slots with complete images, written alternately, and the log of later records.

Everything is checksummed. A record is durable once `sync` has returned. The tail of a log that was never
synced may be truncated, torn or contain holes: reading stops at the first record that is not intact.

A slot is valid from the moment its own log exists in the folder. Until then the previous slot and its log are
valid, so that a slot whose writing failed at its last step never hides records written later.
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
    """The folder cannot be used; the message gives the reason."""


@dataclass(frozen=True)
class RecoveredJournal:
    """What was found on disk. `parts` is None if no slot is intact."""

    parts: tuple[bytes, ...] | None
    records: tuple[bytes, ...]
    damaged: bool  # a slot exists, but none is intact


def encode_slot(sequence: int, parts: list[bytes]) -> bytes:
    """Returns the bytes of a slot file."""
    body = b"".join(RECORD_HEADER.pack(len(part), zlib.crc32(part)) + part for part in parts)
    return SLOT_HEADER.pack(MAGIC, FORMAT_VERSION, len(parts), sequence, len(body), zlib.crc32(body)) + body


def decode_slot(data: bytes) -> tuple[int, tuple[bytes, ...]] | None:
    """Returns the sequence number and the parts of a slot file, or None if it is not intact."""
    if len(data) < SLOT_HEADER.size:
        return None
    magic, version, count, sequence, length, checksum = SLOT_HEADER.unpack_from(data)
    body = data[SLOT_HEADER.size : SLOT_HEADER.size + length]
    if magic != MAGIC or version != FORMAT_VERSION or len(body) != length or zlib.crc32(body) != checksum:
        return None
    parts, _ = decode_records(body)
    return (sequence, tuple(parts)) if len(parts) == count else None


def encode_record(payload: bytes) -> bytes:
    """Returns the bytes of a record in a log."""
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def decode_records(data: bytes) -> tuple[list[bytes], int]:
    """Returns the intact records from the start of a log and the length that they occupy."""
    records: list[bytes] = []
    offset = 0
    while len(data) - offset >= RECORD_HEADER.size:
        length, checksum = RECORD_HEADER.unpack_from(data, offset)
        payload = data[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + length]
        if length == 0 or len(payload) != length or zlib.crc32(payload) != checksum:
            break
        records.append(payload)
        offset += RECORD_HEADER.size + length
    return records, offset


class Journal:
    """The files of one process. All calls block on the disk."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._sequence = 0
        self._log_descriptor: int | None = None
        self._log_length = 0  # of the intact records in the log
        self._synced_length = 0  # the part of it covered by a sync
        self._unconfirmed_slot = False  # the log of a slot that failed to be written may exist in the folder

    @property
    def log_bytes(self) -> int:
        """Length of the log since the last slot."""
        return self._log_length

    def recover(self) -> RecoveredJournal:
        """Reads the files and prepares the log for new records."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            slots = [self._read_if_present(self._slot_path(number)) for number in (0, 1)]
        except OSError as error:
            raise StorageError(f"{self._folder}: {error}") from error
        valid = [decoded for data in slots if data and (decoded := decode_slot(data))]
        if not valid:
            return RecoveredJournal(None, (), damaged=any(slots))
        self._sequence, parts = max([slot for slot in valid if self._log_path(slot[0]).exists()] or valid)
        data = self._read_if_present(self._log_path(self._sequence)) or b""
        records, self._log_length = decode_records(data)
        self._log_descriptor = self._open_log(self._sequence, self._log_length)
        self._synced_length = self._log_length
        return RecoveredJournal(parts, tuple(records), damaged=False)

    def append(self, payloads: list[bytes]) -> None:
        """Writes records. Raises OSError and leaves the log as it was before if that fails."""
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
        """Waits until all records are on disk.

        Raises OSError if that fails. All records since the last sync are then removed and must be appended
        again. A second sync would not help: the operating system may have dropped the pages that it could not
        write, and it does not report that twice.
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
        """Writes an image that replaces everything before it, and starts a new log.

        Raises OSError if that fails; the previous slot and its log then stay valid.
        """
        next_sequence = self._sequence + 1
        self._write_image(next_sequence, parts)
        self._unconfirmed_slot = True
        try:
            log = self._open_log(next_sequence, 0)
        except OSError:
            with contextlib.suppress(OSError):
                self._discard_slot(next_sequence)
            raise
        self._unconfirmed_slot = False
        previous_sequence, previous_log = self._sequence, self._log_descriptor
        self._sequence, self._log_descriptor = next_sequence, log
        self._log_length = self._synced_length = 0
        if previous_log is not None:
            os.close(previous_log)
        with contextlib.suppress(OSError):
            self._log_path(previous_sequence).unlink(missing_ok=True)

    def _write_image(self, sequence: int, parts: list[bytes]) -> None:
        descriptor = os.open(self._slot_path(sequence % 2), os.O_CREAT | os.O_WRONLY | os.O_TRUNC, 0o644)
        try:
            data = encode_slot(sequence, parts)
            written = 0
            while written < len(data):
                written += os.write(descriptor, data[written:])
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self._sync_folder()

    def _open_log(self, sequence: int, length: int) -> int:
        """Returns the descriptor of a log, cut to `length` bytes, once its file is durably in the folder."""
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
        """Ensures that a slot whose writing failed is not valid. Raises OSError."""
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
