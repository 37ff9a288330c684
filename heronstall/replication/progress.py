"""What a leader knows of the other replicas, and what a quorum of them has."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from heronstall.replication.protocol import quorum_size
from heronstall.replication.state import NEVER


@dataclass
class Progress:
    """What a leader knows of another replica."""

    next_index: int
    match_index: int = 0
    acked_send_time: float = NEVER  # latest time of sending of a message that it has answered
    last_contact_at: float = NEVER
    snapshot_sent_at: float = NEVER  # when a snapshot was sent that it has not acknowledged
    snapshot_index: int = 0  # the last entry that this snapshot covers
    resent_at: float = NEVER  # when entries were last sent again; earlier messages' refusals say nothing new
    latest_clock_mark: int = 0  # the mark in its latest reply, sent back to it with what is committed


class ProgressTracker:
    """The progress of all replicas that a leader sends to, voters and learners; of nobody at a follower."""

    def __init__(self, me: str) -> None:
        self._own_identity = me
        self.peers: dict[str, Progress] = {}

    def reset(self, voters: Sequence[str], next_index: int, now: float) -> None:
        """A leadership begins: a quorum voted just now; no lease follows before it answers."""
        self.peers = {
            r: Progress(next_index=next_index, last_contact_at=now, acked_send_time=now) for r in voters
        }

    def quorum_match_index(self, voters: Sequence[str], own: int) -> int:
        """The last entry that a quorum has on disk; `own`: the last one that this replica has."""
        matches = [own if v == self._own_identity else self._match_index_of(v) for v in voters]
        matches.sort(reverse=True)
        return matches[quorum_size(len(matches)) - 1] if matches else 0

    def quorum_acked_send_time(self, voters: Sequence[str], now: float) -> float:
        """Sending time of the latest messages that a quorum has answered."""
        rounds = [now if v == self._own_identity else self._acked_send_time_of(v) for v in voters]
        rounds.sort(reverse=True)
        return rounds[quorum_size(len(rounds)) - 1] if rounds else NEVER

    def most_up_to_date(self, voters: Sequence[str]) -> str | None:
        """The other voter that has most of the log, the latest heard of among equals."""
        able = [r for r in voters if r in self.peers]
        return max(
            able, key=lambda r: (self.peers[r].match_index, self.peers[r].last_contact_at), default=None
        )

    def _match_index_of(self, replica: str) -> int:
        progress = self.peers.get(replica)
        return progress.match_index if progress else 0

    def _acked_send_time_of(self, replica: str) -> float:
        progress = self.peers.get(replica)
        return progress.acked_send_time if progress else NEVER
