"""The datagrams of peers: versioned JSON arrays whose fields are all checked. Nothing here does I/O.

    ["heronstall", 1, cluster, kind, seq, sender row, about, first row, next row, [row, ...], revision,
     [checksum, ...]]
    row: [state, name, incarnation, host, port, zone, duty, reporter]

Elements after the known fields come from a later version and are ignored, and an unknown duty counts as
FREE. A datagram with another number in the second place is unreadable. docs/peers.md describes the protocol.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import Any, NamedTuple

import ujson

MAGIC, VERSION = "heronstall", 1
MAX_DATAGRAM_BYTES = 1200  # passes every usual network path without fragmentation
MAX_TEXT_LENGTH = 64  # characters of a name, host or zone
MAX_INTEGER = 1 << 53  # every JSON reader keeps integers up to this one exactly
KINDS = ("ping", "ack", "request", "nack", "sync", "page", "gossip")
CHECKSUM_COUNT = 64  # partitions of a table whose checksums are compared


class State(IntEnum):
    """The state of a member; of one incarnation the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Duty(IntEnum):
    """What a member does for the distribution of the server list."""

    FREE = 0  # takes the list from others
    RELAY = 1  # watches the list service for others
    UNFIT = 2  # was a relay and received nothing from the list service
    BRANCH = 3  # takes the list from a relay and passes it on


DUTIES = frozenset(Duty)


class Row(NamedTuple):
    """One statement about a member: its state, address and duty. `reporter` suspects it."""

    state: State
    name: str
    incarnation: int
    host: str
    port: int
    zone: str
    duty: Duty = Duty.FREE
    reporter: str = ""

    @property
    def rank(self) -> tuple[int, int]:
        """The sort key: the row with the higher rank is newer."""
        return self.incarnation, self.state


class Message(NamedTuple):
    """A datagram. `about` names the member that a ping, a request or its answer is about.

    A page holds the rows of a table from `first_row` on. `next_row` is the row after them, or 0 at the end of
    the table.
    """

    kind: str
    seq: int
    sender: Row
    about: str = ""
    first_row: int = 0
    next_row: int = 0
    rows: tuple[Row, ...] = ()
    rev: int = 0  # revision of the sender's server list
    checksums: tuple[int, ...] = ()  # of the partitions of its table; empty unless it requests a comparison


class UnreadableMessage(ValueError):
    """A datagram is foreign or has a form that cannot be read; the text gives the reason."""


def encode_row(row: Row) -> list[Any]:
    """Returns a row in the form in which it is sent."""
    return [
        int(row.state),
        row.name,
        row.incarnation,
        row.host,
        row.port,
        row.zone,
        int(row.duty),
        row.reporter,
    ]


def rows_that_fit(rows: Sequence[Row], max_bytes: int = MAX_DATAGRAM_BYTES - 550) -> list[Row]:
    """Returns the first rows that fit into `max_bytes`, at least one.

    The default leaves space for the longest header.
    """
    chosen: list[Row] = []
    for row in rows:
        max_bytes -= len(ujson.dumps(encode_row(row), escape_forward_slashes=False).encode()) + 1
        if max_bytes < 0 and chosen:
            break
        chosen.append(row)
    return chosen


def pack(cluster: str, message: Message) -> bytes:
    """Encodes a message, with as many of its rows as fit into `MAX_DATAGRAM_BYTES`."""
    m = message
    header = [MAGIC, VERSION, cluster, m.kind, m.seq, encode_row(m.sender), m.about, m.first_row, m.next_row]
    text: str = ujson.dumps(header, escape_forward_slashes=False)[:-1] + ",["
    checksums = f",[{','.join(map(str, m.checksums))}]" if m.checksums else ""
    size, packed = len(text.encode()) + len(checksums), []
    for row in m.rows:
        encoded: str = ujson.dumps(encode_row(row), escape_forward_slashes=False)
        size += len(encoded.encode()) + 1
        if size + 20 > MAX_DATAGRAM_BYTES:  # the 20 bytes are for the revision
            break
        packed.append(encoded)
    return (text + ",".join(packed) + f"],{m.rev}{checksums}]").encode()


def unpack(cluster: str, data: bytes) -> Message:
    """Decodes a datagram. Raises UnreadableMessage."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise UnreadableMessage(f"the datagram is too long: {len(data)} bytes")
    try:
        fields = ujson.loads(data)
    except (ValueError, RecursionError):
        raise UnreadableMessage("not JSON") from None
    if not isinstance(fields, list) or len(fields) < 3 or fields[0] != MAGIC:
        raise UnreadableMessage("not a heronstall datagram")
    if fields[1] != VERSION:
        raise UnreadableMessage(f"version {fields[1]!r}, expected {VERSION}")
    if fields[2] != cluster:
        raise UnreadableMessage(f"from another cluster, {fields[2]!r}")
    if len(fields) < 10 or fields[3] not in KINDS or not isinstance(fields[9], list):
        raise UnreadableMessage("fields are missing")
    rows = tuple(_row(row) for row in fields[9])
    about, first_row, next_row = _text(fields[6]), _integer(fields[7]), _integer(fields[8])
    rev = _integer(fields[10]) if len(fields) > 10 else 0
    sums = fields[11] if len(fields) > 11 else ()
    if not isinstance(sums, (list, tuple)) or len(sums) not in (0, CHECKSUM_COUNT):
        raise UnreadableMessage(f"expected {CHECKSUM_COUNT} checksums or none")
    checksums = tuple(_integer(value) for value in sums)
    return Message(
        fields[3], _integer(fields[4]), _row(fields[5]), about, first_row, next_row, rows, rev, checksums
    )


def _row(fields: Any) -> Row:
    if not isinstance(fields, list) or len(fields) < 8:
        raise UnreadableMessage("a row is too short")
    state, port = _integer(fields[0]), _integer(fields[4])
    duty = _integer(fields[6])
    if state > State.LEFT or not 0 < port < 65536 or not fields[1] or not fields[3]:
        raise UnreadableMessage("a row is out of range")
    return Row(
        State(state),
        _text(fields[1]),
        _integer(fields[2]),
        _text(fields[3]),
        port,
        _text(fields[5]),
        Duty(duty) if duty in DUTIES else Duty.FREE,
        _text(fields[7]),
    )


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_INTEGER:
        raise UnreadableMessage(f"expected an integer of at least 0, got {str(value)[:20]!r}")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise UnreadableMessage(f"expected a short string, got {str(value)[:20]!r}")
    return value
