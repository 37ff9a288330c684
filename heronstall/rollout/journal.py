"""A durable log's form: records as bytes, and bytes back as records. Free of I/O.

A record is one line: CRC-32 of the rest as eight hex digits, a space, a JSON object, a newline.

    1c3f9ab2 {"v":1,"n":7,"at":1790000000000000,"kind":"changed","dispatcher":"n3"}

`v` is the form's version, `n` counts from 0 without a gap, `at` is Unix time in microseconds. A last line
that is cut or whose sum is wrong was never written whole: it counts for nothing. Anything wrong before it
is damage, and is said, never skipped: a step whose record is lost may have been taken.
"""

from __future__ import annotations

import json
from typing import Any
from zlib import crc32

VERSION = 1
LARGEST = 64 * 1024 * 1024  # bytes of a journal
Record = dict[str, Any]


class JournalError(ValueError):
    """A journal that cannot be gone on with; the message says which record and why."""


def pack(number: int, at: int, kind: str, fields: Record) -> bytes:
    """A record as its line."""
    whole = {"v": VERSION, "n": number, "at": at, "kind": kind, **fields}
    text = json.dumps(whole, separators=(",", ":"), sort_keys=False).encode()
    return b"%08x %s\n" % (crc32(text), text)


def unpack(data: bytes) -> tuple[list[Record], int]:
    """The records, and how many bytes of `data` they take: what follows is a cut tail.

    Raises JournalError for damage before the tail, a gap, or a newer version.
    """
    if len(data) > LARGEST:
        raise JournalError(f"{len(data)} bytes where at most {LARGEST} are taken")
    records: list[Record] = []
    at = 0
    while at < len(data):
        end = data.find(b"\n", at)
        record = _record(data[at:end]) if end >= 0 else None
        if record is None:
            if end < 0 or end == len(data) - 1:
                break  # the tail
            raise JournalError(f"record {len(records)} at byte {at} is damaged, and others follow it")
        if record.get("v") != VERSION:
            told = f"version {record.get('v')!r} of record {len(records)}: {VERSION} is known here"
            raise JournalError(told)
        if record.get("n") != len(records):
            raise JournalError(f"record {record.get('n')!r} where {len(records)} is wanted: one is missing")
        records.append(record)
        at = end + 1
    return records, at


def _record(line: bytes) -> Record | None:
    """A line's record; None where its sum or form is wrong."""
    try:
        if line[:9] != b"%08x " % crc32(line[9:]):
            return None
        record = json.loads(line[9:])
    except ValueError:
        return None
    good = isinstance(record, dict) and isinstance(record.get("kind"), str)
    return record if good and isinstance(record.get("at"), int) else None
