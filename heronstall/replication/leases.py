"""What a replica may answer from its state: a leader's lease, and how old a follower's knowledge is.

A leader knows by the sending time of messages that a quorum has answered. A follower knows by its own clock,
which it tells with each reply as a mark and a leader under a lease sends back with what is committed: a
message that was held up on its way, or that a frozen node finds when it wakes, brings back an old time.
"""

from __future__ import annotations

from heronstall.replication.progress import Followers
from heronstall.replication.protocol import MICROSECONDS, microseconds
from heronstall.replication.state import NEVER, ReplicaState

MARK_BITS = 62  # random bits that tell the marks of one life of a replica from those of another


class Leases:
    """When the state here holds all that was acknowledged."""

    def __init__(self, state: ReplicaState, followers: Followers, now: float) -> None:
        self._state, self._followers = state, followers
        self._started_at = now
        self._first_mark = state.random.getrandbits(
            MARK_BITS
        )  # marks of an earlier life are none of this one's
        self._confirmed_at = NEVER  # own time before which nothing was acknowledged that is not applied here
        self._confirming = NEVER  # the same, once what is committed has been applied

    @property
    def established(self) -> bool:
        """Leader, and an entry of the own term is applied: all that was acknowledged before is in the state.

        Committed is not enough: between the message that commits and the driver's next turn, the state
        that a caller would be answered from lacks the entry.
        """
        return self._state.leads and self._state.applied >= self._state.term_start

    def holds(self, now: float) -> bool:
        """Whether reads here see all that any leader has acknowledged."""
        return self.established and now - self.quorum_round(now) < self._state.timing.lease

    def quorum_round(self, now: float) -> float:
        """Sending time of the latest messages that a quorum has answered."""
        return self._followers.quorum_round(self._state.log.members, now)

    def confirmed_at(self, now: float) -> float:
        """Own time up to which the state here holds all that any leader had acknowledged."""
        if self._state.leads:
            return self.quorum_round(now) if self.established else NEVER
        return self._confirmed_at

    def in_touch(self, now: float, within: float) -> bool:
        """Whether the state here holds all that was acknowledged until `within` seconds ago."""
        return now - self.confirmed_at(now) < within

    # ------------------------------------------------------------------ a follower's marks

    def mark(self, now: float) -> int:
        """A mark of this moment, for a reply."""
        return self._first_mark + microseconds(now - self._started_at)

    def marked_at(self, now: float, mark: int) -> float:
        """Own time at which a mark was made; NEVER for one that this life has not made."""
        since_start = (mark - self._first_mark) / MICROSECONDS
        return self._started_at + since_start if 0 <= since_start <= now - self._started_at else NEVER

    def confirm(self, now: float, mark: int) -> None:
        """A leader under a lease sends a mark back, with all that was committed when it came."""
        self._confirming = max(self._confirming, self.marked_at(now, mark))

    def applied(self) -> None:
        """What is committed here has been handed out to be applied."""
        self._confirmed_at = max(self._confirmed_at, self._confirming)
