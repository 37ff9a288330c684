"""What a process has seen itself of the servers, and the form in which it is told to another.

    {"format": "heronstall.knowledge", "v": 1, "node": ..., "life": ..., "number": ...,
     "sights": [[uid, boot_ms, age_ms, free, busy, util, lost], ...]}

`life` is the telling process's incarnation, `number` grows with each word of it; figures that are not known
are null. What stands after the known fields is from a later version and passed over.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import ujson

from heronstall import interface as i

FORMAT, VERSION = "heronstall.knowledge", 1
LARGEST = 1 << 20  # bytes
MOST = 4096  # servers of one word
TEXT = 256  # characters of a server's uid
OLDEST = 10_000_000  # an older sight is worth nothing: reports fade by half in four seconds
LOST_FOR = 5_000_000  # what failed longer ago says nothing of now
ABSURD = 1e9
NEVER = -(10**15)  # before any clock
FAILED = frozenset({"no_connection", "reset", "error"})


class Sight(NamedTuple):
    """Of one process of a server. `age` in microseconds, of the last report or the last failure."""

    uid: str
    boot_ms: int
    age: int
    free: float | None = None
    busy: float | None = None
    util: float | None = None
    lost: int = 0  # attempts that found no connection, broke or failed, since one was served


class Word(NamedTuple):
    """All that one process has to say; of two of one process the one with the higher stamp is the newer."""

    node: str
    stamp: tuple[int, int]
    sights: tuple[Sight, ...]


class Unreadable(ValueError):
    """Not a word of ours; the message says why."""


class _Seen:
    __slots__ = ("report", "reported_at", "lost", "lost_at")

    def __init__(self) -> None:
        self.report: i.Report | None = None
        self.reported_at = self.lost_at = NEVER
        self.lost = 0


class Witness:
    """Sees what the decisions are told, and keeps what it says of each server: an observer of the dispatcher.

    Hearsay passes by it, so that nothing heard is ever told on as seen.
    """

    def __init__(self) -> None:
        self._seen: dict[int, _Seen] = {}

    def observe(self, now: int, told: Sequence[i.Event], said: Sequence[i.Action]) -> None:
        """One turn of the decisions."""
        for event in told:
            if isinstance(event, (i.Outcome, i.ProbeResult)):
                self._note(now, event)

    def _note(self, now: int, event: i.Outcome | i.ProbeResult) -> None:
        seen = self._seen.get(event.worker)
        if seen is None:
            seen = self._seen[event.worker] = _Seen()
        if event.report is not None:
            seen.report, seen.reported_at = event.report, now
        good = event.ok if isinstance(event, i.ProbeResult) else event.status == "ok"
        if good:
            seen.lost = 0
        elif isinstance(event, i.Outcome) and event.status in FAILED:
            seen.lost, seen.lost_at = seen.lost + 1, now

    def sights(self, now: int, processes: Iterable[tuple[int, str, int]]) -> list[Sight]:
        """Of these servers (number, uid, boot_ms), what is fresh enough to be worth telling."""
        made = []
        for number, uid, boot_ms in processes:
            seen = self._seen.get(number)
            if seen is None:
                continue
            lost = seen.lost if now - seen.lost_at <= LOST_FOR else 0
            at = max(seen.reported_at, seen.lost_at) if lost else seen.reported_at
            if now - at <= OLDEST:
                r = seen.report if seen.report is not None and seen.reported_at == at else i.Report()
                made.append(Sight(uid, boot_ms, now - at, r.free_slots, r.inflight, r.util, lost))
        return made

    def forget(self, number: int) -> None:
        """The server has moved or started anew: what was seen is of a process that is gone."""
        self._seen.pop(number, None)


def pack(word: Word) -> bytes:
    """A word as it is sent."""
    rows = [[s.uid, s.boot_ms, s.age // 1000, s.free, s.busy, s.util, s.lost] for s in word.sights[:MOST]]
    told = {"format": FORMAT, "v": VERSION, "node": word.node, "life": word.stamp[0], "number": word.stamp[1]}
    return bytes(ujson.dumps({**told, "sights": rows}, escape_forward_slashes=False).encode())


def unpack(data: bytes) -> Word:
    """What was sent. Raises Unreadable, of the whole: of half a word nothing counts."""
    if len(data) > LARGEST:
        raise Unreadable(f"{len(data)} bytes")
    try:
        told = ujson.loads(data)
    except (ValueError, RecursionError):
        raise Unreadable("cut or not JSON") from None
    if not isinstance(told, dict) or told.get("format") != FORMAT:
        raise Unreadable("not of ours")
    if told.get("v") != VERSION:
        raise Unreadable(f"version {told.get('v')!r}, {VERSION} is known")
    rows, node = told.get("sights"), told.get("node")
    if not isinstance(rows, list) or len(rows) > MOST or not isinstance(node, str):
        raise Unreadable("fields are missing")
    stamp = _whole(told.get("life")), _whole(told.get("number"))
    return Word(node, stamp, tuple(_sight(row) for row in rows))


def _sight(row: Any) -> Sight:
    if not isinstance(row, list) or len(row) < 7:
        raise Unreadable("a row is too short")
    uid, boot_ms, age_ms, free, busy, util, lost = row[:7]
    if not isinstance(uid, str) or not uid or len(uid) > TEXT:
        raise Unreadable("a row without a server")
    age, lost = _whole(age_ms) * 1000, _whole(lost)
    return Sight(uid, _whole(boot_ms), age, _figure(free), _figure(busy), _figure(util), lost)


def _whole(told: Any) -> int:
    if isinstance(told, bool) or not isinstance(told, int) or not 0 <= told <= 1 << 53:
        raise Unreadable(f"{str(told)[:20]!r} where a whole number is wanted")
    return told


def _figure(told: Any) -> float | None:
    if told is None:
        return None
    if isinstance(told, bool) or not isinstance(told, (int, float)) or not math.isfinite(told):
        raise Unreadable(f"{str(told)[:20]!r} where a figure is wanted")
    if not 0 <= told <= ABSURD:
        raise Unreadable(f"{told!r} is absurd")
    return float(told)
