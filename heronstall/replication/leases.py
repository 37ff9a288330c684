"""What a replica may answer from its state: a leader's lease, and how old a follower's knowledge is.

A leader knows by the sending time of messages that a quorum has answered. A follower knows by its own clock,
which it tells with each reply as a mark and a leader under a lease sends back with what is committed: a
message that was held up on its way, or that a frozen node finds when it wakes, brings back an old time.
"""

from __future__ import annotations

from heronstall.replication.progress import ProgressTracker
from heronstall.replication.protocol import MICROSECONDS_PER_SECOND, to_microseconds
from heronstall.replication.state import NEVER, ReplicaState

CLOCK_MARK_BASE_BITS = 62  # random bits that tell the marks of one life of a replica from those of another


class ReadLeases:
    """When the state here holds all that was acknowledged."""

    def __init__(self, state: ReplicaState, followers: ProgressTracker, now: float) -> None:
        self._state, self._progress = state, followers
        self._started_at = now
        self._clock_mark_base = state.rng.getrandbits(
            CLOCK_MARK_BASE_BITS
        )  # marks of an earlier life are none of this one's
        self._fresh_as_of = NEVER  # own time before which nothing was acknowledged that is not applied here
        self._unapplied_fresh_as_of = NEVER  # the same, once what is committed has been applied

    @property
    def established(self) -> bool:
        """Leader, and an entry of the own term is applied: all that was acknowledged before is in the state.

        Committed is not enough: between the message that commits and the driver's next turn, the state
        that a caller would be answered from lacks the entry.
        """
        return self._state.is_leader and self._state.applied_index >= self._state.term_start_index

    def holds_lease(self, now: float) -> bool:
        """Whether reads here see all that any leader has acknowledged."""
        return self.established and now - self.quorum_acked_send_time(now) < self._state.timing.lease_duration

    def quorum_acked_send_time(self, now: float) -> float:
        """Sending time of the latest messages that a quorum has answered."""
        return self._progress.quorum_acked_send_time(self._state.log.members, now)

    def fresh_as_of(self, now: float) -> float:
        """Own time up to which the state here holds all that any leader had acknowledged."""
        if self._state.is_leader:
            return self.quorum_acked_send_time(now) if self.established else NEVER
        return self._fresh_as_of

    def is_fresh(self, now: float, within: float) -> bool:
        """Whether the state here holds all that was acknowledged until `within` seconds ago."""
        return now - self.fresh_as_of(now) < within

    # ------------------------------------------------------------------ a follower's marks

    def clock_mark(self, now: float) -> int:
        """A mark of this moment, for a reply."""
        return self._clock_mark_base + to_microseconds(now - self._started_at)

    def clock_mark_time(self, now: float, mark: int) -> float:
        """Own time at which a mark was made; NEVER for one that this life has not made."""
        since_start = (mark - self._clock_mark_base) / MICROSECONDS_PER_SECOND
        return self._started_at + since_start if 0 <= since_start <= now - self._started_at else NEVER

    def record_confirmation(self, now: float, mark: int) -> None:
        """A leader under a lease sends a mark back, with all that was committed when it came."""
        self._unapplied_fresh_as_of = max(self._unapplied_fresh_as_of, self.clock_mark_time(now, mark))

    def on_entries_applied(self) -> None:
        """What is committed here has been handed out to be applied."""
        self._fresh_as_of = max(self._fresh_as_of, self._unapplied_fresh_as_of)
