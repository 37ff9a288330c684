"""What a leader knows of the other replicas, and what a quorum of them has."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from heronstall.replication.protocol import quorum
from heronstall.replication.state import NEVER


@dataclass
class Progress:
    """What a leader knows of another replica."""

    next: int
    match: int = 0
    acked_round: float = NEVER  # latest time of sending of a message that it has answered
    heard_at: float = NEVER
    snapshot_at: float = NEVER  # when a snapshot was sent that it has not acknowledged
    snapshot_index: int = 0  # the last entry that this snapshot covers
    resent_at: float = NEVER  # when entries were last sent again; earlier messages' refusals say nothing new
    asked: int = 0  # the mark in its latest reply, sent back to it with what is committed


class Followers:
    """The progress of all replicas that a leader sends to, voters and learners; of nobody at a follower."""

    def __init__(self, me: str) -> None:
        self._me = me
        self.others: dict[str, Progress] = {}

    def begin(self, voters: Sequence[str], next_index: int, now: float) -> None:
        """A leadership begins: a quorum voted just now; no lease follows before it answers."""
        self.others = {r: Progress(next=next_index, heard_at=now, acked_round=now) for r in voters}

    def quorum_match(self, voters: Sequence[str], own: int) -> int:
        """The last entry that a quorum has on disk; `own`: the last one that this replica has."""
        matches = [own if v == self._me else self._match(v) for v in voters]
        matches.sort(reverse=True)
        return matches[quorum(len(matches)) - 1] if matches else 0

    def quorum_round(self, voters: Sequence[str], now: float) -> float:
        """Sending time of the latest messages that a quorum has answered."""
        rounds = [now if v == self._me else self._round(v) for v in voters]
        rounds.sort(reverse=True)
        return rounds[quorum(len(rounds)) - 1] if rounds else NEVER

    def best_informed(self, voters: Sequence[str]) -> str | None:
        """The other voter that has most of the log, the latest heard of among equals."""
        able = [r for r in voters if r in self.others]
        return max(able, key=lambda r: (self.others[r].match, self.others[r].heard_at), default=None)

    def _match(self, replica: str) -> int:
        progress = self.others.get(replica)
        return progress.match if progress else 0

    def _round(self, replica: str) -> float:
        progress = self.others.get(replica)
        return progress.acked_round if progress else NEVER
