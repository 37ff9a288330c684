"""What a leader knows of the other replicas, and what a quorum of them stores."""

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
    acked_send_time: float = NEVER  # send time of the latest message that it has answered
    last_contact_at: float = NEVER
    snapshot_sent_at: float = NEVER  # when a snapshot was sent that is not yet acknowledged
    snapshot_index: int = 0  # last index covered by that snapshot
    resent_at: float = NEVER  # when entries were last resent; rejections of earlier messages are ignored
    latest_clock_mark: int = 0  # the clock mark in its latest reply, returned to it with the commit index


class ProgressTracker:
    """The progress of all replicas that a leader sends to, voters and learners. Empty on a follower."""

    def __init__(self, own_identity: str) -> None:
        self._own_identity = own_identity
        self.peers: dict[str, Progress] = {}

    def reset(self, voters: Sequence[str], next_index: int, now: float) -> None:
        """Starts a new leadership.

        The quorum has just voted, which counts as contact; a lease still requires that it answers a message.
        """
        self.peers = {
            voter: Progress(next_index=next_index, last_contact_at=now, acked_send_time=now)
            for voter in voters
        }

    def quorum_match_index(self, voters: Sequence[str], own_index: int) -> int:
        """Returns the last index that a quorum has on disk; `own_index` is this replica's."""
        match_indexes = [
            own_index if voter == self._own_identity else self._match_index_of(voter) for voter in voters
        ]
        match_indexes.sort(reverse=True)
        return match_indexes[quorum_size(len(match_indexes)) - 1] if match_indexes else 0

    def quorum_acked_send_time(self, voters: Sequence[str], now: float) -> float:
        """Returns the send time of the latest messages that a quorum has answered."""
        send_times = [
            now if voter == self._own_identity else self._acked_send_time_of(voter) for voter in voters
        ]
        send_times.sort(reverse=True)
        return send_times[quorum_size(len(send_times)) - 1] if send_times else NEVER

    def most_up_to_date(self, voters: Sequence[str]) -> str | None:
        """Returns the other voter that has most of the log; among equals, the one heard from last."""
        candidates = [voter for voter in voters if voter in self.peers]
        return max(
            candidates,
            key=lambda voter: (self.peers[voter].match_index, self.peers[voter].last_contact_at),
            default=None,
        )

    def _match_index_of(self, replica: str) -> int:
        progress = self.peers.get(replica)
        return progress.match_index if progress else 0

    def _acked_send_time_of(self, replica: str) -> float:
        progress = self.peers.get(replica)
        return progress.acked_send_time if progress else NEVER
