"""The words of takeover: what owners, successors and witnesses say to each other, and its form.

One JSON array a line: [kind, key, epoch, number, state, first, grown, job]. A state: [epoch, number, owner,
life, phase, server, attempt, answer, body, digest, made]; a job: [class, time left in us, request]. What is
said after the known fields is from a later version and passed over.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any, NamedTuple

import ujson

VERSION = 1
LARGEST = 256 * 1024  # bytes of a line: a job with its body, and an answer
MOST = 1 << 53
EPOCHS = 1024  # places in an epoch for its owner's number, so that no two are equal
KINDS = ("put", "take", "ask", "ack", "no", "promise", "tell")


class Phase(IntEnum):
    """How far a job has come, by its owner's word."""

    HELD = 0  # taken, and no byte of it written; not known to be known to a majority
    CONFIRMED = 1  # the same, and a majority has it
    WRITING = 2  # an attempt may have begun
    ENDED = 3  # answered


class State(NamedTuple):
    """A register's value. Of two the one with the higher (epoch, number) is the later."""

    epoch: int
    number: int
    owner: str
    life: int  # of the owner's process
    phase: Phase
    server: str = ""  # whom an attempt is written to
    attempt: int = 0
    answer: str = ""  # an ended one's: served, refused, failed, unusable
    body: str = ""
    digest: str = ""  # of the job, so that a key used for two is noticed
    made: str = ""  # of this register, in which the key may be used again later: who made it, and when

    @property
    def rank(self) -> tuple[int, int]:
        """Its place in order."""
        return self.epoch, self.number


class Job(NamedTuple):
    """What a successor wants of a job. `left`: microseconds of its client's time."""

    cls: int
    left: int
    request: str  # of the frontend, opaque here


class Word(NamedTuple):
    """One word. `grown`: its sender has lived for longer than any job does.

    put: the owner's state, the first one with `first`. take: a successor wants the register of `state` under
    `epoch`. ask: what is known. ack: a put is taken. no: it is not, and why: `state` is somebody else's, or
    (`first`) a higher epoch was promised. promise: an epoch is, with the latest state. tell: what is known.
    """

    kind: str
    key: str
    epoch: int = 0
    number: int = 0
    state: State | None = None
    first: bool = False
    grown: bool = False
    job: Job | None = None


class Unreadable(ValueError):
    """Not a word of ours; the message says why."""


def epoch(round_: int, place: int) -> int:
    """The epoch of a round for the dispatcher with a place in the roster."""
    return round_ * EPOCHS + place


def pack(word: Word) -> bytes:
    """A line, with its end."""
    w = word
    state = None if w.state is None else [*w.state[:4], int(w.state.phase), *w.state[5:]]
    job = None if w.job is None else list(w.job)
    told = [w.kind, w.key, w.epoch, w.number, state, int(w.first), int(w.grown), job]
    return bytes(ujson.dumps(told, escape_forward_slashes=False).encode()) + b"\n"


def unpack(line: bytes) -> Word:
    """A line's word. Raises Unreadable."""
    if len(line) > LARGEST:
        raise Unreadable(f"{len(line)} bytes")
    try:
        told = ujson.loads(line)
    except (ValueError, RecursionError):
        raise Unreadable("not JSON") from None
    if not isinstance(told, list) or len(told) < 8 or told[0] not in KINDS:
        raise Unreadable("not a word of ours")
    kind, key, at, number, state, first, grown, job = told[:8]
    return Word(
        kind,
        _text(key),
        _whole(at),
        _whole(number),
        None if state is None else _state(state),
        bool(_whole(first)),
        bool(_whole(grown)),
        None if job is None else _job(job),
    )


def _state(told: Any) -> State:
    if not isinstance(told, list) or len(told) < 11 or not 0 <= _whole(told[4]) <= Phase.ENDED:
        raise Unreadable("a state is too short or out of range")
    at, number, owner, life, phase, server, attempt, answer, body, digest, made = told[:11]
    return State(
        _whole(at),
        _whole(number),
        _text(owner),
        _whole(life),
        Phase(phase),
        _text(server),
        _whole(attempt),
        _text(answer),
        _text(body),
        _text(digest),
        _text(made),
    )


def _job(told: Any) -> Job:
    if not isinstance(told, list) or len(told) < 3:
        raise Unreadable("a job is too short")
    return Job(_whole(told[0]), _whole(told[1]), _text(told[2]))


def _whole(told: Any) -> int:
    if not isinstance(told, int) or not 0 <= told <= MOST:
        raise Unreadable(f"{str(told)[:20]!r} where a whole number is wanted")
    return int(told)


def _text(told: Any) -> str:
    if not isinstance(told, str):
        raise Unreadable(f"{str(told)[:20]!r} where a text is wanted")
    return told
