"""Constants and message kinds of the replication protocol."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class MessageKind(IntEnum):
    """Kinds of a GroupMessage."""

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
    """Kinds of a log entry."""

    EMPTY = 0
    COMMAND = 1
    MEMBERS = 2


class RecordKind(IntEnum):
    """Kinds of a record of a group on disk."""

    VOTE = 1
    ENTRIES = 2
    SNAPSHOT = 3


@dataclass(frozen=True)
class Timing:
    """Durations in seconds. The lease is shorter than the minimum election timeout, so it expires first."""

    heartbeat_interval: float = 0.12
    election_timeout_min: float = 0.45
    election_timeout_max: float = 0.8
    restart_pre_vote_interval: float = 0.12  # between the pre-votes of a replica that has just restarted
    lease_duration: float = 0.36
    snapshot_resend_interval: float = 2.0
    join_interval: float = 0.7
    dead_member_timeout: float = 2.0  # silence after which a caught-up learner replaces a member


MAX_APPEND_BYTES = 1024 * 1024  # bytes of entries in one message
MICROSECONDS_PER_SECOND = 1e6  # times in messages are whole microseconds of one node's clock


def to_microseconds(seconds: float) -> int:
    """Converts a time in seconds to the whole microseconds used in messages."""
    return int(seconds * MICROSECONDS_PER_SECOND)


def quorum_size(voter_count: int) -> int:
    """Returns the number of voters that form a quorum."""
    return voter_count // 2 + 1


def address_of(replica: str) -> str:
    """Returns the address in a replica identity of the form `ADDRESS#INCARNATION`."""
    return replica.partition("#")[0]
