"""Elections: when a replica asks for votes, whom it votes for, and when no lease need be waited out."""

from __future__ import annotations

from collections.abc import Callable

from heronstall.replication.protocol import MessageKind, quorum_size
from heronstall.replication.state import ReplicaState, Role
from heronstall.transport.messages import GroupMessage

FIRST_ELECTION_MAX_DELAY = 0.3  # seconds after a group was formed in which its first election begins


class Elections:
    """One replica's part in elections: `lead` follows a won one, `become_follower` a later term."""

    def __init__(
        self,
        state: ReplicaState,
        now: float,
        become_follower: Callable[[float, int, str], None],
        lead: Callable[[float], None],
    ) -> None:
        self._state = state
        self._become_follower, self._become_leader = become_follower, lead
        self._votes: set[str] = set()
        self._unable_to_lead: set[str] = set()  # voters that can no longer lead in the present term
        self._restart_phase_until = now + state.timing.election_timeout_min
        self._election_due_at = 0.0
        self.reset_election_timeout(now)
        self._schedule_after_restart(now)

    def election_due(self, now: float) -> bool:
        """Whether no leader has been heard of for long enough."""
        return now >= self._election_due_at

    def reset_election_timeout(self, now: float) -> None:
        """A leader was heard of, or an election has begun: wait for a drawn time."""
        timing, draw = self._state.timing, self._state.rng.random()
        self._election_due_at = (
            now
            + timing.election_timeout_min
            + draw * (timing.election_timeout_max - timing.election_timeout_min)
        )

    def schedule_first_election(self, now: float) -> None:
        """The group is new: there is no leader to wait for."""
        self._election_due_at = now + self._state.rng.random() * FIRST_ELECTION_MAX_DELAY

    def _schedule_after_restart(self, now: float) -> None:
        """Ask for votes soon after a start. Voters take turns, so that two seldom ask at one moment."""
        members = sorted(self._state.log.members)
        if self._state.identity in members:
            turn = (members.index(self._state.identity) + 1) / len(members)
            self._election_due_at = now + turn * self._state.timing.restart_pre_vote_interval

    # ------------------------------------------------------------------ asking

    def start_pre_vote(self, now: float) -> None:
        """Ask whether an election would be won, before a term is begun."""
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

    def start_election(self, now: float, ordered: bool) -> None:
        """Begin a term and ask for votes; `ordered`: no lease is held that voters must wait for."""
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
            state.send(voter, MessageKind.VOTE, granted=ordered)

    def has_quorum(self) -> bool:
        """Whether a quorum has voted for this replica, or would."""
        members = self._state.log.members
        return sum(v in self._votes for v in members) >= quorum_size(len(members))

    def on_pre_vote_reply(self, now: float, m: GroupMessage) -> None:
        """Count a voter's word, and begin a term where that is enough."""
        state = self._state
        if not m.granted and m.term > state.term:
            self._become_follower(now, m.term, "")
        asked = m.term == state.term + m.granted
        if state.role is not Role.PRE_CANDIDATE or not asked:
            return
        if m.granted:
            self._votes.add(m.sender)
        if m.leaderless:
            self._unable_to_lead.add(m.sender)
        if self.no_voter_can_lead():
            self.start_election(now, True)
        elif self.has_quorum():
            self.start_election(now, False)

    def no_voter_can_lead(self) -> bool:
        """Whether every voter has said that it cannot lead before the next term: then no lease is held."""
        return self._unable_to_lead.issuperset(self._state.other_voters)

    def on_vote_reply(self, now: float, m: GroupMessage) -> None:
        """Count a vote."""
        if self._state.role is Role.CANDIDATE and m.granted:
            self._votes.add(m.sender)
            if self.has_quorum():
                self._become_leader(now)

    def on_transfer_leadership(self, now: float, m: GroupMessage) -> None:
        """The leader ends and wants this replica in its place."""
        state = self._state
        if not state.is_leader and state.identity in state.log.members and m.sender == state.leader_identity:
            self.start_election(now, True)

    # ------------------------------------------------------------------ answering

    def on_pre_vote(self, now: float, m: GroupMessage) -> None:
        """Say whether a candidate would get this replica's vote, and whether this one can still lead."""
        state, timing = self._state, self._state.timing
        quiet = not state.is_leader and now - state.last_leader_contact_at >= timing.election_timeout_min
        granted = quiet and m.term > state.term and self._is_up_to_date(m)
        leaderless = self.cannot_lead_before(m.term) and self._is_up_to_date(m)
        if leaderless and now < self._restart_phase_until:
            self._election_due_at = max(self._election_due_at, now + timing.restart_pre_vote_interval)
        if granted or leaderless or m.term <= state.term:
            state.send(
                m.sender,
                MessageKind.PRE_VOTE_REPLY,
                granted=granted,
                leaderless=leaderless,
                term=m.term if granted else state.term,
            )

    def cannot_lead_before(self, term: int) -> bool:
        """Whether this replica will lead in no term before one, which follows its own.

        Its own term is on its disk before the answer goes out, and whoever is no candidate in it must begin
        a later one to lead.
        """
        return term == self._state.term + 1 and self._state.role in (Role.FOLLOWER, Role.PRE_CANDIDATE)

    def on_vote(self, now: float, m: GroupMessage) -> None:
        """Give the vote of a term, once."""
        state = self._state
        ordered = m.granted  # the old leader wants it so, or there is none: no lease is held
        if not ordered and (
            state.is_leader or now - state.last_leader_contact_at < state.timing.election_timeout_min
        ):
            return  # a leader may hold a lease
        if m.term > state.term:
            self._become_follower(now, m.term, "")
        granted = m.term == state.term and state.vote in ("", m.sender) and self._is_up_to_date(m)
        if granted and not state.vote:
            state.vote = m.sender
            state.record_vote()
            self.reset_election_timeout(now)
        state.send(m.sender, MessageKind.VOTE_REPLY, granted=granted)

    def _is_up_to_date(self, m: GroupMessage) -> bool:
        """Whether a candidate's log holds all that this one does, as far as terms tell."""
        return (m.log_term, m.log_index) >= (self._state.log.last_term, self._state.log.last_index)
