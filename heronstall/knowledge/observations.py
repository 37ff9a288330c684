"""Records what a process observes of the servers, and encodes it for another process.

    {"format": "heronstall.knowledge", "v": 1, "node": ..., "life": ..., "number": ...,
     "sights": [[uid, boot_ms, age_ms, free_slots, inflight, util, lost_attempts], ...]}

`life` is the sender's incarnation, and `number` grows with each of its messages. Unknown figures are null.
Elements after the known fields come from a later version and are ignored.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import ujson

from heronstall import interface as i

FORMAT, VERSION = "heronstall.knowledge", 1
MAX_MESSAGE_BYTES = 1 << 20
MAX_OBSERVATIONS = 4096  # in one message
MAX_UID_LENGTH = 256  # characters
MAX_OBSERVATION_AGE_US = 10_000_000  # older ones are worthless: reports lose half their weight in 4 s
MAX_FAILURE_AGE_US = 5_000_000  # older failures say nothing about the present
MAX_FIGURE = 1e9  # no real load figure is greater
NEVER = -(10**15)  # before any time of the clock
FAILED_STATUSES = frozenset({"no_connection", "reset", "error"})


class Observation(NamedTuple):
    """What is known of one process of a server. `age` is in microseconds, of the last report or failure."""

    uid: str
    boot_ms: int
    age: int
    free_slots: float | None = None
    inflight: float | None = None
    util: float | None = None
    lost_attempts: int = 0  # that could not connect, broke off or failed, since the last one that was served


class Message(NamedTuple):
    """All observations of one process. Of two messages of a process the higher stamp is the newer."""

    node: str
    stamp: tuple[int, int]
    observations: tuple[Observation, ...]


class UnreadableMessage(ValueError):
    """The data is not a message of this format; the text gives the reason."""


class _ServerRecord:
    __slots__ = ("report", "reported_at", "lost_attempts", "lost_at")

    def __init__(self) -> None:
        self.report: i.Report | None = None
        self.reported_at = self.lost_at = NEVER
        self.lost_attempts = 0


class ServerObserver:
    """An observer of the dispatcher that records the reports and failures of each server.

    It ignores hearsay, so that nothing second-hand is passed on as an observation.
    """

    def __init__(self) -> None:
        self._records: dict[int, _ServerRecord] = {}

    def observe(self, now: int, events: Sequence[i.Event], actions: Sequence[i.Action]) -> None:
        """Records one turn of the decisions."""
        for event in events:
            if isinstance(event, (i.Outcome, i.ProbeResult)):
                self._record(now, event)

    def _record(self, now: int, event: i.Outcome | i.ProbeResult) -> None:
        record = self._records.get(event.worker)
        if record is None:
            record = self._records[event.worker] = _ServerRecord()
        if event.report is not None:
            record.report, record.reported_at = event.report, now
        succeeded = event.ok if isinstance(event, i.ProbeResult) else event.status == "ok"
        if succeeded:
            record.lost_attempts = 0
        elif isinstance(event, i.Outcome) and event.status in FAILED_STATUSES:
            record.lost_attempts, record.lost_at = record.lost_attempts + 1, now

    def observations(self, now: int, processes: Iterable[tuple[int, str, int]]) -> list[Observation]:
        """Returns the observations of these servers (number, uid, boot_ms) that are fresh enough to send."""
        observations = []
        for number, uid, boot_ms in processes:
            record = self._records.get(number)
            if record is None:
                continue
            lost_attempts = record.lost_attempts if now - record.lost_at <= MAX_FAILURE_AGE_US else 0
            at = max(record.reported_at, record.lost_at) if lost_attempts else record.reported_at
            if now - at <= MAX_OBSERVATION_AGE_US:
                r = record.report if record.report is not None and record.reported_at == at else i.Report()
                observations.append(
                    Observation(uid, boot_ms, now - at, r.free_slots, r.inflight, r.util, lost_attempts)
                )
        return observations

    def forget(self, number: int) -> None:
        """Drops the record of a server that has moved or restarted, since it describes an earlier process."""
        self._records.pop(number, None)


def pack(message: Message) -> bytes:
    """Encodes a message."""
    rows = [
        [o.uid, o.boot_ms, o.age // 1000, o.free_slots, o.inflight, o.util, o.lost_attempts]
        for o in message.observations[:MAX_OBSERVATIONS]
    ]
    header = {
        "format": FORMAT,
        "v": VERSION,
        "node": message.node,
        "life": message.stamp[0],
        "number": message.stamp[1],
    }
    return bytes(ujson.dumps({**header, "sights": rows}, escape_forward_slashes=False).encode())


def unpack(data: bytes) -> Message:
    """Decodes a message. Raises UnreadableMessage if any part is unreadable: a partial one does not count."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise UnreadableMessage(f"the message is too long: {len(data)} bytes")
    try:
        fields = ujson.loads(data)
    except (ValueError, RecursionError):
        raise UnreadableMessage("truncated or not JSON") from None
    if not isinstance(fields, dict) or fields.get("format") != FORMAT:
        raise UnreadableMessage("another format")
    if fields.get("v") != VERSION:
        raise UnreadableMessage(f"version {fields.get('v')!r}, expected {VERSION}")
    rows, node = fields.get("sights"), fields.get("node")
    if not isinstance(rows, list) or len(rows) > MAX_OBSERVATIONS or not isinstance(node, str):
        raise UnreadableMessage("fields are missing")
    stamp = _integer(fields.get("life")), _integer(fields.get("number"))
    return Message(node, stamp, tuple(_observation(row) for row in rows))


def _observation(row: Any) -> Observation:
    if not isinstance(row, list) or len(row) < 7:
        raise UnreadableMessage("a row is too short")
    uid, boot_ms, age_ms, free_slots, inflight, util, lost_attempts = row[:7]
    if not isinstance(uid, str) or not uid or len(uid) > MAX_UID_LENGTH:
        raise UnreadableMessage("a row has no valid server uid")
    age, lost_attempts = _integer(age_ms) * 1000, _integer(lost_attempts)
    return Observation(
        uid,
        _integer(boot_ms),
        age,
        _figure(free_slots),
        _figure(inflight),
        _figure(util),
        lost_attempts,
    )


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= 1 << 53:
        raise UnreadableMessage(f"expected an integer of at least 0, got {str(value)[:20]!r}")
    return value


def _figure(value: Any) -> float | None:
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise UnreadableMessage(f"expected a number, got {str(value)[:20]!r}")
    if not 0 <= value <= MAX_FIGURE:
        raise UnreadableMessage(f"{value!r} is out of range")
    return float(value)
