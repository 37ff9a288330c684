"""The snapshot of the server list that is stored for the next start. Free of I/O.

A snapshot is one JSON object: {"format": "heronstall.snapshot", "v": 1, "node", "discovery", "at", "sum",
"list"}. `at` is Unix time in microseconds, `list` has the list service's form, and `sum` is the CRC-32 of the
list as JSON.
"""

from __future__ import annotations

from typing import Any, NamedTuple
from zlib import crc32

import ujson

FORMAT, VERSION = "heronstall.snapshot", 1
MAX_SIZE = 16 * 1024 * 1024  # bytes
CLOCK_TOLERANCE = 60_000_000  # microseconds by which the clock may have been set back since


class Snapshot(NamedTuple):
    """A server list and the time at which it was written."""

    at: int  # Unix time in microseconds
    server_list: dict[str, Any]


class UnusableSnapshot(ValueError):
    """A snapshot that cannot be used; the message says why."""


def pack(node: str, discovery: str, at: int, server_list: dict[str, Any]) -> bytes:
    """Encodes a server list as the content of a file."""
    head = {"format": FORMAT, "v": VERSION, "node": node, "discovery": discovery, "at": at}
    text = ujson.dumps(server_list, escape_forward_slashes=False)
    head["sum"] = crc32(text.encode())
    return (ujson.dumps(head, escape_forward_slashes=False)[:-1] + f',"list":{text}}}').encode()


def unpack(node: str, discovery: str, data: bytes, now: int, max_age: int) -> Snapshot:
    """Decodes a file. Raises UnusableSnapshot if it is damaged, foreign, too old or of another version."""
    if len(data) > MAX_SIZE:
        raise UnusableSnapshot(f"{len(data)} bytes")
    try:
        content = ujson.loads(data)
    except ValueError:
        raise UnusableSnapshot("truncated or not JSON") from None
    if not isinstance(content, dict) or content.get("format") != FORMAT:
        raise UnusableSnapshot("not a snapshot of a server list")
    if content.get("v") != VERSION:
        raise UnusableSnapshot(f"version {content.get('v')!r}, expected {VERSION}")
    if content.get("node") != node:
        raise UnusableSnapshot(f"from another dispatcher, {content.get('node')!r}")
    if content.get("discovery") != discovery:
        raise UnusableSnapshot(f"from another list service, {content.get('discovery')!r}")
    server_list, at = content.get("list"), content.get("at")
    text = ujson.dumps(server_list, escape_forward_slashes=False)
    if (
        not isinstance(server_list, dict)
        or not isinstance(at, int)
        or content.get("sum") != crc32(text.encode())
    ):
        raise UnusableSnapshot("damaged: wrong check sum")
    if now - at > max_age or at - now > CLOCK_TOLERANCE:
        raise UnusableSnapshot(f"{(now - at) / 3.6e9:.1f} h old")
    return Snapshot(at, server_list)


def newer_list(snapshot: Snapshot | None, known: Any) -> Any:
    """Returns the list to start from: the snapshot's or the one that the platform provides; None for none.

    The list with the higher revision is newer, since the platform's list has no time. The lists are not
    merged: whether a server that only one of them names was added or removed, only the newer list can tell.
    """
    if snapshot is None:
        return known
    try:
        return snapshot.server_list if int(snapshot.server_list["rev"]) > int(known["rev"]) else known
    except (KeyError, TypeError, ValueError):
        return snapshot.server_list  # the server table reports what is wrong with the other
