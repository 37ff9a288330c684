"""Elections: when a replica asks for votes, whom it votes for, and when no lease need be waited out."""

from __future__ import annotations

from collections.abc import Callable

from heronstall.replication.protocol import MessageKind, quorum
from heronstall.replication.state import ReplicaState, Role
from heronstall.transport.messages import GroupMessage

FIRST_WITHIN = 0.3  # seconds after a group was formed in which its first election begins


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
        self._become_follower, self._lead = become_follower, lead
        self._votes: set[str] = set()
        self._leaderless: set[str] = set()  # voters that can no longer lead in the present term
        self._restarted_until = now + state.timing.election_least
        self._elect_at = 0.0
        self.put_off(now)
        self._put_forward(now)

    def due(self, now: float) -> bool:
        """Whether no leader has been heard of for long enough."""
        return now >= self._elect_at

    def put_off(self, now: float) -> None:
        """A leader was heard of, or an election has begun: wait for a drawn time."""
        timing, draw = self._state.timing, self._state.random.random()
        self._elect_at = now + timing.election_least + draw * (timing.election_most - timing.election_least)

    def begin_soon(self, now: float) -> None:
        """The group is new: there is no leader to wait for."""
        self._elect_at = now + self._state.random.random() * FIRST_WITHIN

    def _put_forward(self, now: float) -> None:
        """Ask for votes soon after a start. Voters take turns, so that two seldom ask at one moment."""
        members = sorted(self._state.log.members)
        if self._state.me in members:
            turn = (members.index(self._state.me) + 1) / len(members)
            self._elect_at = now + turn * self._state.timing.restart_round

    # ------------------------------------------------------------------ asking

    def pre_campaign(self, now: float) -> None:
        """Ask whether an election would be won, before a term is begun."""
        state = self._state
        state.role, state.leader = Role.PRE_CANDIDATE, ""
        self._votes = {state.me}
        self._leaderless = set()
        self.put_off(now)
        if now < self._restarted_until:
            self._elect_at = now + state.timing.restart_round
        if self.won():
            self.campaign(now, False)
            return
        for voter in state.other_voters:
            state.send(voter, MessageKind.PRE_VOTE, term=state.term + 1)

    def campaign(self, now: float, ordered: bool) -> None:
        """Begin a term and ask for votes; `ordered`: no lease is held that voters must wait for."""
        state = self._state
        state.role, state.leader = Role.CANDIDATE, ""
        state.term += 1
        state.vote = state.me
        state.record_vote()
        self._votes = {state.me}
        self.put_off(now)
        if self.won():
            self._lead(now)
            return
        for voter in state.other_voters:
            state.send(voter, MessageKind.VOTE, granted=ordered)

    def won(self) -> bool:
        """Whether a quorum has voted for this replica, or would."""
        members = self._state.log.members
        return sum(v in self._votes for v in members) >= quorum(len(members))

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
            self._leaderless.add(m.sender)
        if self.nobody_leads():
            self.campaign(now, True)
        elif self.won():
            self.campaign(now, False)

    def nobody_leads(self) -> bool:
        """Whether every voter has said that it cannot lead before the next term: then no lease is held."""
        return self._leaderless.issuperset(self._state.other_voters)

    def on_vote_reply(self, now: float, m: GroupMessage) -> None:
        """Count a vote."""
        if self._state.role is Role.CANDIDATE and m.granted:
            self._votes.add(m.sender)
            if self.won():
                self._lead(now)

    def on_take_over(self, now: float, m: GroupMessage) -> None:
        """The leader ends and wants this replica in its place."""
        state = self._state
        if not state.leads and state.me in state.log.members and m.sender == state.leader:
            self.campaign(now, True)

    # ------------------------------------------------------------------ answering

    def on_pre_vote(self, now: float, m: GroupMessage) -> None:
        """Say whether a candidate would get this replica's vote, and whether this one can still lead."""
        state, timing = self._state, self._state.timing
        quiet = not state.leads and now - state.heard_at >= timing.election_least
        granted = quiet and m.term > state.term and self._current_enough(m)
        leaderless = self.cannot_lead_before(m.term) and self._current_enough(m)
        if leaderless and now < self._restarted_until:
            self._elect_at = max(self._elect_at, now + timing.restart_round)
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
        if not ordered and (state.leads or now - state.heard_at < state.timing.election_least):
            return  # a leader may hold a lease
        if m.term > state.term:
            self._become_follower(now, m.term, "")
        granted = m.term == state.term and state.vote in ("", m.sender) and self._current_enough(m)
        if granted and not state.vote:
            state.vote = m.sender
            state.record_vote()
            self.put_off(now)
        state.send(m.sender, MessageKind.VOTE_REPLY, granted=granted)

    def _current_enough(self, m: GroupMessage) -> bool:
        """Whether a candidate's log holds all that this one does, as far as terms tell."""
        return (m.log_term, m.log_index) >= (self._state.log.last_term, self._state.log.last)
