"""The encoding of a durable journal's records. Free of I/O.

A record is one line: the CRC-32 of the rest as eight hexadecimal digits, a space, a JSON object, a newline.

    1c3f9ab2 {"v":1,"n":7,"at":1790000000000000,"kind":"changed","dispatcher":"n3"}

`v` is the version of the format, `n` counts from 0 without gaps, `at` is Unix time in microseconds. A last
line that is incomplete or has a wrong checksum comes from an interrupted write and is ignored. Damage before
it is reported as an error and never skipped, since the step of a lost record may have been carried out.
"""

from __future__ import annotations

import json
from typing import Any
from zlib import crc32

VERSION = 1
MAX_JOURNAL_BYTES = 64 * 1024 * 1024
Record = dict[str, Any]


class JournalError(ValueError):
    """A journal that cannot be continued; the message names the record and the reason."""


def encode_record(number: int, at: int, kind: str, fields: Record) -> bytes:
    """Returns a record as one line."""
    document = {"v": VERSION, "n": number, "at": at, "kind": kind, **fields}
    text = json.dumps(document, separators=(",", ":"), sort_keys=False).encode()
    return b"%08x %s\n" % (crc32(text), text)


def decode_records(data: bytes) -> tuple[list[Record], int]:
    """Returns the records and the number of bytes they occupy; an incomplete record may follow.

    Raises JournalError for damage before the last record, a gap in the numbers, or an unsupported version.
    """
    if len(data) > MAX_JOURNAL_BYTES:
        raise JournalError(f"the journal has {len(data)} bytes; at most {MAX_JOURNAL_BYTES} are supported")
    records: list[Record] = []
    at = 0
    while at < len(data):
        end = data.find(b"\n", at)
        record = _parse_line(data[at:end]) if end >= 0 else None
        if record is None:
            if end < 0 or end == len(data) - 1:
                break  # an incomplete last record
            raise JournalError(
                f"record {len(records)} at byte {at} is damaged and is followed by other records"
            )
        if record.get("v") != VERSION:
            message = f"version {record.get('v')!r} of record {len(records)} is not supported, only {VERSION}"
            raise JournalError(message)
        if record.get("n") != len(records):
            raise JournalError(f"found record {record.get('n')!r} where record {len(records)} was expected")
        records.append(record)
        at = end + 1
    return records, at


def _parse_line(line: bytes) -> Record | None:
    """Returns the record of a line, or None where its checksum or form is wrong."""
    try:
        if line[:9] != b"%08x " % crc32(line[9:]):
            return None
        record = json.loads(line[9:])
    except ValueError:
        return None
    good = isinstance(record, dict) and isinstance(record.get("kind"), str)
    return record if good and isinstance(record.get("at"), int) else None
