"""Elections: when a replica asks for votes, which candidate it votes for, and when no lease can be held."""

from __future__ import annotations

from collections.abc import Callable

from heronstall.replication.protocol import MessageKind, quorum_size
from heronstall.replication.state import ReplicaState, Role
from heronstall.transport.messages import GroupMessage

FIRST_ELECTION_MAX_DELAY = 0.3  # seconds between the creation of a group and its first election


class Elections:
    """The part that one replica takes in elections.

    Calls `become_leader` after a won election and `become_follower` when it learns of a later term.
    """

    def __init__(
        self,
        state: ReplicaState,
        now: float,
        become_follower: Callable[[float, int, str], None],
        become_leader: Callable[[float], None],
    ) -> None:
        self._state = state
        self._become_follower, self._become_leader = become_follower, become_leader
        self._votes: set[str] = set()
        self._unable_to_lead: set[str] = set()  # voters that cannot lead in the current term
        self._restart_phase_until = now + state.timing.election_timeout_min
        self._election_due_at = 0.0
        self.reset_election_timeout(now)
        self._schedule_after_restart(now)

    def election_due(self, now: float) -> bool:
        """Returns whether the election timeout has passed without contact with a leader."""
        return now >= self._election_due_at

    def reset_election_timeout(self, now: float) -> None:
        """Starts a new, randomised election timeout, on contact with a leader or a new election."""
        timing, fraction = self._state.timing, self._state.rng.random()
        self._election_due_at = (
            now
            + timing.election_timeout_min
            + fraction * (timing.election_timeout_max - timing.election_timeout_min)
        )

    def schedule_first_election(self, now: float) -> None:
        """Schedules the first election of a new group, which has no leader to wait for."""
        self._election_due_at = now + self._state.rng.random() * FIRST_ELECTION_MAX_DELAY

    def _schedule_after_restart(self, now: float) -> None:
        """Schedules a pre-vote shortly after a restart.

        Each voter has its own delay, so that two of them rarely ask at the same time.
        """
        members = sorted(self._state.log.members)
        if self._state.identity in members:
            slot = (members.index(self._state.identity) + 1) / len(members)
            self._election_due_at = now + slot * self._state.timing.restart_pre_vote_interval

    # ------------------------------------------------------------------ requesting votes

    def start_pre_vote(self, now: float) -> None:
        """Asks whether an election would be won, without starting a new term."""
        state = self._state
        state.role, state.leader_identity = Role.PRE_CANDIDATE, ""
        self._votes = {state.identity}
        self._unable_to_lead = set()
        self.reset_election_timeout(now)
        if now < self._restart_phase_until:
            self._election_due_at = now + state.timing.restart_pre_vote_interval
        if self.has_quorum():
            self.start_election(now, False)
            return
        for voter in state.other_voters:
            state.send(voter, MessageKind.PRE_VOTE, term=state.term + 1)

    def start_election(self, now: float, no_lease_held: bool) -> None:
        """Starts a new term and asks for votes.

        `no_lease_held` tells the voters that no leader holds a lease, so that they need not wait for one to
        expire.
        """
        state = self._state
        state.role, state.leader_identity = Role.CANDIDATE, ""
        state.term += 1
        state.vote = state.identity
        state.record_vote()
        self._votes = {state.identity}
        self.reset_election_timeout(now)
        if self.has_quorum():
            self._become_leader(now)
            return
        for voter in state.other_voters:
            state.send(voter, MessageKind.VOTE, granted=no_lease_held)

    def has_quorum(self) -> bool:
        """Returns whether a quorum has granted its votes or pre-votes to this replica."""
        members = self._state.log.members
        return sum(member in self._votes for member in members) >= quorum_size(len(members))

    def on_pre_vote_reply(self, now: float, message: GroupMessage) -> None:
        """Counts a pre-vote and starts the election once the replies suffice."""
        state = self._state
        if not message.granted and message.term > state.term:
            self._become_follower(now, message.term, "")
        is_current = message.term == state.term + message.granted
        if state.role is not Role.PRE_CANDIDATE or not is_current:
            return
        if message.granted:
            self._votes.add(message.sender)
        if message.leaderless:
            self._unable_to_lead.add(message.sender)
        if self.no_voter_can_lead():
            self.start_election(now, True)
        elif self.has_quorum():
            self.start_election(now, False)

    def no_voter_can_lead(self) -> bool:
        """Returns whether every other voter has said that it cannot lead before the next term.

        No leader holds a lease then.
        """
        return self._unable_to_lead.issuperset(self._state.other_voters)

    def on_vote_reply(self, now: float, message: GroupMessage) -> None:
        """Counts a vote."""
        if self._state.role is Role.CANDIDATE and message.granted:
            self._votes.add(message.sender)
            if self.has_quorum():
                self._become_leader(now)

    def on_transfer_leadership(self, now: float, message: GroupMessage) -> None:
        """Starts an election at the request of a leader that is shutting down."""
        state = self._state
        if (
            not state.is_leader
            and state.identity in state.log.members
            and message.sender == state.leader_identity
        ):
            self.start_election(now, True)

    # ------------------------------------------------------------------ answering vote requests

    def on_pre_vote(self, now: float, message: GroupMessage) -> None:
        """Replies whether this replica would vote for a candidate and whether it can still lead itself."""
        state, timing = self._state, self._state.timing
        no_recent_leader = (
            not state.is_leader and now - state.last_leader_contact_at >= timing.election_timeout_min
        )
        granted = no_recent_leader and message.term > state.term and self._is_up_to_date(message)
        leaderless = self.cannot_lead_before(message.term) and self._is_up_to_date(message)
        if leaderless and now < self._restart_phase_until:
            self._election_due_at = max(self._election_due_at, now + timing.restart_pre_vote_interval)
        if granted or leaderless or message.term <= state.term:
            state.send(
                message.sender,
                MessageKind.PRE_VOTE_REPLY,
                granted=granted,
                leaderless=leaderless,
                term=message.term if granted else state.term,
            )

    def cannot_lead_before(self, term: int) -> bool:
        """Returns whether this replica will lead no term before `term`, the one after its own.

        Its own term is on disk before the reply is sent, and a replica that is not a candidate in its current
        term must start a later one to lead.
        """
        return term == self._state.term + 1 and self._state.role in (Role.FOLLOWER, Role.PRE_CANDIDATE)

    def on_vote(self, now: float, message: GroupMessage) -> None:
        """Grants the vote of a term, at most once."""
        state = self._state
        no_lease_held = message.granted  # its meaning in a vote request
        if not no_lease_held and (
            state.is_leader or now - state.last_leader_contact_at < state.timing.election_timeout_min
        ):
            return  # a leader may still hold a lease
        if message.term > state.term:
            self._become_follower(now, message.term, "")
        granted = (
            message.term == state.term and state.vote in ("", message.sender) and self._is_up_to_date(message)
        )
        if granted and not state.vote:
            state.vote = message.sender
            state.record_vote()
            self.reset_election_timeout(now)
        state.send(message.sender, MessageKind.VOTE_REPLY, granted=granted)

    def _is_up_to_date(self, message: GroupMessage) -> bool:
        """Returns whether a candidate's log is at least as up to date as this replica's."""
        return (message.log_term, message.log_index) >= (
            self._state.log.last_term,
            self._state.log.last_index,
        )
