"""The messages that owners, successors and witnesses exchange, and their encoding.

Each line is a JSON array: [kind, key, epoch, number, state, first, mature, job]. A state is [epoch, number,
owner, life, phase, server, attempt, answer, body, digest, register_id]; a job is [class, time left in us,
request]. Elements after the known fields come from a later version and are ignored.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any, NamedTuple

import ujson

VERSION = 1
MAX_LINE_BYTES = 256 * 1024  # enough for a job with its body, and for an answer
MAX_INTEGER = 1 << 53
EPOCHS_PER_ROUND = 1024  # each dispatcher has its own epoch in a round, so that no two epochs are equal
KINDS = ("put", "take", "ask", "ack", "no", "promise", "tell")


class Phase(IntEnum):
    """The progress of a job as its owner reports it."""

    ACCEPTED = 0  # accepted, not written to a server, and not known to be stored by a majority
    CONFIRMED = 1  # accepted, not written to a server, and stored by a majority
    WRITING = 2  # an attempt may have begun
    ENDED = 3  # answered


class State(NamedTuple):
    """The value of a register. Of two values the one with the higher (epoch, number) is the later."""

    epoch: int
    number: int
    owner: str
    life: int  # incarnation of the owner's process
    phase: Phase
    server: str = ""  # that an attempt is written to
    attempt: int = 0
    answer: str = ""  # of an ended job: served, refused, failed or unusable
    body: str = ""
    digest: str = ""  # of the job, to detect that a key is used for two different jobs
    register_id: str = ""  # its creator and creation; tells apart registers that use one key in turn

    @property
    def rank(self) -> tuple[int, int]:
        """The sort key: the higher rank is the later value."""
        return self.epoch, self.number


class Job(NamedTuple):
    """The part of a job that a successor needs. `time_left` is the client's time in microseconds."""

    cls: int
    time_left: int
    request: str  # encoded by the frontend, opaque here


class Message(NamedTuple):
    """One message. `mature`: its sender has been running for longer than the lifetime of any job.

    put: the owner's state; `first` marks the put that creates the register.
    take: a successor requests the register with `state` under `epoch`.
    ask: requests the state of a register.
    ack: a put was accepted.
    no: the message was refused, because of another owner's `state`, or because a higher epoch was promised
        (`first`).
    promise: an epoch was promised; carries the latest state.
    tell: the answer to ask.
    """

    kind: str
    key: str
    epoch: int = 0
    number: int = 0
    state: State | None = None
    first: bool = False
    mature: bool = False
    job: Job | None = None


class UnreadableMessage(ValueError):
    """A line is not a takeover message; the text gives the reason."""


def epoch(round_: int, position: int) -> int:
    """Returns the epoch of a round for the dispatcher with a position in the roster."""
    return round_ * EPOCHS_PER_ROUND + position


def pack(message: Message) -> bytes:
    """Encodes a message as a line, with its line end."""
    m = message
    state = None if m.state is None else [*m.state[:4], int(m.state.phase), *m.state[5:]]
    job = None if m.job is None else list(m.job)
    fields = [m.kind, m.key, m.epoch, m.number, state, int(m.first), int(m.mature), job]
    return bytes(ujson.dumps(fields, escape_forward_slashes=False).encode()) + b"\n"


def unpack(line: bytes) -> Message:
    """Decodes a line. Raises UnreadableMessage."""
    if len(line) > MAX_LINE_BYTES:
        raise UnreadableMessage(f"the line is too long: {len(line)} bytes")
    try:
        fields = ujson.loads(line)
    except (ValueError, RecursionError):
        raise UnreadableMessage("not JSON") from None
    if not isinstance(fields, list) or len(fields) < 8 or fields[0] not in KINDS:
        raise UnreadableMessage("not a takeover message")
    kind, key, epoch_, number, state, first, mature, job = fields[:8]
    return Message(
        kind,
        _text(key),
        _integer(epoch_),
        _integer(number),
        None if state is None else _state(state),
        bool(_integer(first)),
        bool(_integer(mature)),
        None if job is None else _job(job),
    )


def _state(fields: Any) -> State:
    if not isinstance(fields, list) or len(fields) < 11 or not 0 <= _integer(fields[4]) <= Phase.ENDED:
        raise UnreadableMessage("the state is too short or out of range")
    epoch_, number, owner, life, phase, server, attempt, answer, body, digest, register_id = fields[:11]
    return State(
        _integer(epoch_),
        _integer(number),
        _text(owner),
        _integer(life),
        Phase(phase),
        _text(server),
        _integer(attempt),
        _text(answer),
        _text(body),
        _text(digest),
        _text(register_id),
    )


def _job(fields: Any) -> Job:
    if not isinstance(fields, list) or len(fields) < 3:
        raise UnreadableMessage("the job is too short")
    return Job(_integer(fields[0]), _integer(fields[1]), _text(fields[2]))


def _integer(value: Any) -> int:
    if not isinstance(value, int) or not 0 <= value <= MAX_INTEGER:
        raise UnreadableMessage(f"expected an integer of at least 0, got {str(value)[:20]!r}")
    return int(value)


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise UnreadableMessage(f"expected a string, got {str(value)[:20]!r}")
    return value
