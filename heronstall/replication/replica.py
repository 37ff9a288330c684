"""One replica of a group, put together from its parts.

Free of I/O: `tick`, `receive`, `propose` and `synced` take the time and change the state; `take_output`
hands out what is to be written, sent and applied. The order that its driver must keep: send the early
messages, write and sync the records, call `synced`, then send the late messages.

Safety rests on four rules. A vote and an entry are on disk before they are told of. A replica without its
disk has a new identity, thus no vote until it is made a member. A leader commits by count only entries of
its own term. One member is added or removed at a time, the former change committed first.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import ClassVar

from heronstall.replication.elections import Elections
from heronstall.replication.follower import Follower
from heronstall.replication.joining import JoinRequests
from heronstall.replication.leader import Leader
from heronstall.replication.leases import ReadLeases
from heronstall.replication.log import Log, PersistentState
from heronstall.replication.progress import Progress, ProgressTracker
from heronstall.replication.protocol import EntryKind, MessageKind, Timing
from heronstall.replication.state import ReplicaOutput, ReplicaState, Role
from heronstall.transport.messages import GroupMessage, Members, Snapshot


class Replica:
    """A member, or a learner, of a replica group."""

    state_type: ClassVar[type[ReplicaState]] = ReplicaState
    leases_type: ClassVar[type[ReadLeases]] = ReadLeases
    elections_type: ClassVar[type[Elections]] = Elections
    leader_type: ClassVar[type[Leader]] = Leader
    follower_type: ClassVar[type[Follower]] = Follower

    def __init__(
        self,
        group: str,
        me: str,
        timing: Timing,
        rng: random.Random,
        now: float,
        image: PersistentState | None = None,
    ) -> None:
        state = self._state = self.state_type(group, me, timing, rng, now, image or PersistentState())
        self.group, self.identity = group, me
        self._progress = ProgressTracker(me)
        self._leases = self.leases_type(state, self._progress, now)
        self._leader = self.leader_type(state, self._progress, self._leases, self._step_down)
        self._follower = self.follower_type(state, self._leases)
        self._join_requests = JoinRequests(state, now)
        self._elections = self.elections_type(state, now, self._become_follower, self._become_leader)

    # ------------------------------------------------------------------ what the driver calls

    def tick(self, now: float) -> None:
        """Let time pass."""
        state = self._state
        if state.is_leader:
            if now - self._leases.quorum_acked_send_time(now) > state.timing.election_timeout_max:
                self._step_down(now)
            elif self._leader.heartbeat_due(now):
                self._leader.broadcast(now)
        elif self._elections.election_due(now):
            if state.identity in state.log.members:
                self._elections.start_pre_vote(now)
            else:
                self._elections.reset_election_timeout(now)

    def receive(self, now: float, m: GroupMessage) -> None:
        """Take a message of another replica."""
        if m.group != self.group:
            return
        if m.recipient != self.identity and m.kind != MessageKind.JOIN:
            self._join_requests.record_contact(m)
            return
        if m.kind == MessageKind.PRE_VOTE:
            self._elections.on_pre_vote(now, m)
        elif m.kind == MessageKind.JOIN:
            self._on_join(now, m)
        elif m.kind == MessageKind.PRE_VOTE_REPLY:
            self._elections.on_pre_vote_reply(now, m)
        elif m.kind == MessageKind.VOTE:
            self._elections.on_vote(now, m)
        elif m.term < self._state.term:
            if m.kind in (MessageKind.APPEND, MessageKind.SNAPSHOT):
                self._follower.send_reply(now, m, False, self._state.log.last_index)
        else:
            self._on_current(now, m)

    def _on_current(self, now: float, m: GroupMessage) -> None:
        """Take a message of this term or a later one."""
        if m.term > self._state.term:
            self._become_follower(now, m.term, "")
        if m.kind == MessageKind.VOTE_REPLY:
            self._elections.on_vote_reply(now, m)
        elif m.kind == MessageKind.APPEND:
            self._accept_leader(now, m)
            self._follower.on_append(now, m)
        elif m.kind == MessageKind.SNAPSHOT:
            self._accept_leader(now, m)
            self._follower.on_snapshot(now, m)
        elif m.kind == MessageKind.APPEND_REPLY:
            self._leader.on_append_reply(now, m)
        elif m.kind == MessageKind.TRANSFER_LEADERSHIP:
            self._elections.on_transfer_leadership(now, m)

    def propose(self, now: float, data: bytes) -> int | None:
        """Append a command; its index, or None where this is not the leader."""
        return self._leader.append(now, EntryKind.COMMAND, data)

    def propose_membership(self, now: float, voters: tuple[str, ...]) -> bool:
        """Add or remove one voter. False where that is not possible now."""
        log = self._state.log
        if not self.established or log.members_index > self._state.commit_index:
            return False
        if len(set(voters) ^ set(log.members)) != 1:
            return False
        return self._leader.append(now, EntryKind.MEMBERS, bytes(Members(list(voters)))) is not None

    def on_records_synced(self, now: float) -> None:
        """All records taken so far are on disk."""
        self._state.durable_index = self._state.log.last_index
        if self._state.is_leader:
            self._leader.advance_commit(now)

    def take_output(self) -> ReplicaOutput:
        """What is to be done now; nothing of it comes twice."""
        output = self._state.take_output()
        self._leases.on_entries_applied()
        return output

    def bootstrap(self, now: float, voters: tuple[str, ...]) -> None:
        """Begin a new group: all its first members are told the same voters."""
        snapshot = Snapshot(index=1, term=0, voters=list(voters), state=b"")
        state = self._state
        state.log.reset_to_snapshot(snapshot)
        state.commit_index = state.applied_index = state.durable_index = snapshot.index
        state.record_snapshot(snapshot)
        self._elections.schedule_first_election(now)

    def request_join(self, now: float, replicas: list[str]) -> None:
        """Tell members that this replica is none of the group's and wants to learn, if it is so."""
        self._join_requests.request_join(now, replicas)

    def transfer_leadership(self, now: float) -> None:
        """Have the best-informed other member take over, before a planned end."""
        state = self._state
        if not state.is_leader:
            return
        best = self._progress.most_up_to_date(state.log.members)
        if best is not None:
            state.send(best, MessageKind.TRANSFER_LEADERSHIP, early=True)
            self._step_down(now)  # no lease is held beside the new leader's

    def replicate_to(self, now: float, replica: str) -> None:
        """Send the log to a replica that is no member yet."""
        self._leader.replicate_to(now, replica)

    def remove_learner(self, replica: str) -> None:
        """Stop sending to a replica that is no member."""
        self._leader.remove_learner(replica)

    def probe_quorum(self, now: float) -> None:
        """Send a round of messages now, so that `confirmed_at` moves on after one exchange."""
        if self._state.is_leader:
            self._leader.broadcast(now)

    # ------------------------------------------------------------------ what others ask

    @property
    def term(self) -> int:
        """The latest term that this replica knows of."""
        return self._state.term

    @property
    def vote(self) -> str:
        """Whom it has voted for in this term; empty: nobody."""
        return self._state.vote

    @property
    def log(self) -> Log:
        """Its log."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """Index of the last entry that it knows to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry that was handed out to be applied."""
        return self._state.applied_index

    @property
    def role(self) -> Role:
        """What it is in its group."""
        return self._state.role

    @property
    def peer_progress(self) -> dict[str, Progress]:
        """By identity: a leader's knowledge of the replicas that it sends to."""
        return self._progress.peers

    @property
    def learners(self) -> dict[str, float]:
        """By identity: when a replica that is no member asked to join."""
        return self._leader.learners

    @property
    def established(self) -> bool:
        """Leader, and all that was acknowledged before its term is in the state."""
        return self._leases.established

    def holds_lease(self, now: float) -> bool:
        """Whether reads here see all that any leader has acknowledged."""
        return self._leases.holds_lease(now)

    def fresh_as_of(self, now: float) -> float:
        """Own time up to which the state here holds all that any leader had acknowledged."""
        return self._leases.fresh_as_of(now)

    def is_fresh(self, now: float, within: float) -> bool:
        """Whether the state here holds all that was acknowledged until `within` seconds ago."""
        return self._leases.is_fresh(now, within)

    def leader_hint(self, now: float) -> str:
        """The leader's identity, where one was heard of lately."""
        state = self._state
        if state.is_leader:
            return self.identity
        return (
            state.leader_identity
            if now - state.last_leader_contact_at < state.timing.election_timeout_min
            else ""
        )

    def snapshot_at(self, index: int, state: bytes) -> Snapshot:
        """A snapshot message for the state as it was after an entry that is still held here."""
        return self._leader.snapshot_at(index, state)

    def configure(self, dump: Callable[[], bytes], tells_commit: bool = True) -> None:
        """Say what a snapshot holds, and whether followers are to know at once what is committed."""
        self._leader.dump_state, self._leader.broadcasts_commits = dump, tells_commit

    # ------------------------------------------------------------------ changes of role

    def _become_follower(self, now: float, term: int, leader: str) -> None:
        state = self._state
        if term > state.term:
            state.term, state.vote = term, ""
            state.record_vote()
        if state.role is not Role.FOLLOWER:
            self._progress.peers.clear()
        state.role = Role.FOLLOWER
        state.leader_identity = leader
        self._elections.reset_election_timeout(now)

    def _step_down(self, now: float) -> None:
        self._become_follower(now, self._state.term, "")

    def _become_leader(self, now: float) -> None:
        self._state.role, self._state.leader_identity = Role.LEADER, self.identity
        self._leader.start_leading(now)

    def _accept_leader(self, now: float, m: GroupMessage) -> None:
        """A leader's message has come."""
        state = self._state
        if state.role is not Role.FOLLOWER:
            self._become_follower(now, m.term, m.sender)
        state.leader_identity = m.sender
        state.last_leader_contact_at = now
        self._elections.reset_election_timeout(now)

    def _on_join(self, now: float, m: GroupMessage) -> None:
        state = self._state
        if not state.is_leader:
            self._join_requests.forward_to_leader(m, self.leader_hint(now))
        elif m.sender not in state.log.members:
            self._leader.add_learner(now, m.sender)
