"""Constants and figures of the replication protocol."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class MessageKind(IntEnum):
    """What a GroupMessage says."""

    PRE_VOTE = 1
    PRE_VOTE_REPLY = 2
    VOTE = 3
    VOTE_REPLY = 4
    APPEND = 5
    APPEND_REPLY = 6
    SNAPSHOT = 7
    JOIN = 8
    TRANSFER_LEADERSHIP = 9


class EntryKind(IntEnum):
    """What a log entry carries."""

    EMPTY = 0
    COMMAND = 1
    MEMBERS = 2


class RecordKind(IntEnum):
    """What a record on disk says of a group."""

    VOTE = 1
    ENTRIES = 2
    SNAPSHOT = 3


@dataclass(frozen=True)
class Timing:
    """Times in seconds. A lease is shorter than the least election time-out, so that it ends first."""

    heartbeat_interval: float = 0.12
    election_timeout_min: float = 0.45
    election_timeout_max: float = 0.8
    restart_pre_vote_interval: float = 0.12  # between the pre-votes of a replica that has just started again
    lease_duration: float = 0.36
    snapshot_resend_interval: float = 2.0
    join_interval: float = 0.7
    dead_member_timeout: float = 2.0  # silence after which a member gives way to a learner that is whole


MAX_APPEND_BYTES = 1024 * 1024  # of entries in one message
MICROSECONDS_PER_SECOND = 1e6  # a second; times in messages are whole microseconds of the clock of one node


def to_microseconds(seconds: float) -> int:
    """A time as messages carry it."""
    return int(seconds * MICROSECONDS_PER_SECOND)


def quorum_size(voters: int) -> int:
    """How many of so many voters decide."""
    return voters // 2 + 1


def address_of(replica: str) -> str:
    """The address in a replica's identity `ADDRESS#INCARNATION`."""
    return replica.partition("#")[0]
