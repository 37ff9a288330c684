"""Read consistency: a leader's lease, and the age of a follower's state.

A leader measures by the send times of messages that a quorum has answered. A follower measures by its own
clock: it sends a clock mark with each reply, and a leader that holds a lease returns the mark together with
the commit index. A message that was delayed, or that a suspended node reads after it resumes, returns an old
mark.
"""

from __future__ import annotations

from heronstall.replication.progress import ProgressTracker
from heronstall.replication.protocol import MICROSECONDS_PER_SECOND, to_microseconds
from heronstall.replication.state import NEVER, ReplicaState

CLOCK_MARK_BASE_BITS = 62  # random bits that distinguish the marks made before and after a restart


class ReadLeases:
    """Determines up to when the local state contains everything that was acknowledged."""

    def __init__(self, state: ReplicaState, progress: ProgressTracker, now: float) -> None:
        self._state, self._progress = state, progress
        self._started_at = now
        # random, so that marks issued before a restart are not taken for own ones
        self._clock_mark_base = state.rng.getrandbits(CLOCK_MARK_BASE_BITS)
        self._fresh_as_of = NEVER  # local time up to which the applied state is complete
        self._unapplied_fresh_as_of = NEVER  # the same once the committed entries are applied

    @property
    def established(self) -> bool:
        """Whether this replica leads and has applied an entry of its own term.

        Its state then contains everything acknowledged before that term. A committed entry is not enough:
        until the driver's next turn applies it, the state that answers a read lacks the entry.
        """
        return self._state.is_leader and self._state.applied_index >= self._state.term_start_index

    def holds_lease(self, now: float) -> bool:
        """Returns whether reads from the local state see everything that any leader has acknowledged."""
        return self.established and now - self.quorum_acked_send_time(now) < self._state.timing.lease_duration

    def quorum_acked_send_time(self, now: float) -> float:
        """Returns the send time of the latest messages that a quorum has answered."""
        return self._progress.quorum_acked_send_time(self._state.log.members, now)

    def fresh_as_of(self, now: float) -> float:
        """Returns the local time up to which the state contains everything acknowledged by any leader."""
        if self._state.is_leader:
            return self.quorum_acked_send_time(now) if self.established else NEVER
        return self._fresh_as_of

    def is_fresh(self, now: float, max_staleness: float) -> bool:
        """Returns whether the state contains everything acknowledged until `max_staleness` seconds ago."""
        return now - self.fresh_as_of(now) < max_staleness

    # ------------------------------------------------------------------ clock marks of a follower

    def clock_mark(self, now: float) -> int:
        """Returns a mark of the current local time for a reply."""
        return self._clock_mark_base + to_microseconds(now - self._started_at)

    def clock_mark_time(self, now: float, mark: int) -> float:
        """Returns the local time at which a mark was made; NEVER if it was not made since the last start."""
        since_start = (mark - self._clock_mark_base) / MICROSECONDS_PER_SECOND
        return self._started_at + since_start if 0 <= since_start <= now - self._started_at else NEVER

    def record_confirmation(self, now: float, mark: int) -> None:
        """Records a mark that a leader with a lease has returned.

        Everything that was committed when the leader received the mark comes with it.
        """
        self._unapplied_fresh_as_of = max(self._unapplied_fresh_as_of, self.clock_mark_time(now, mark))

    def on_entries_applied(self) -> None:
        """Records that all committed entries were handed out to be applied."""
        self._fresh_as_of = max(self._fresh_as_of, self._unapplied_fresh_as_of)
