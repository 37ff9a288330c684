"""One replica of a group, assembled from its parts.

The replica performs no I/O. `tick`, `receive`, `propose` and `on_records_synced` take the time and change the
state; `take_output` returns what to write, send and apply. The driver must keep this order: send the messages
of `messages_before_sync`, write and sync the records, call `on_records_synced`, then send the messages of
`messages_after_sync`.

Safety rests on four rules. A vote or an entry is on disk before it is acknowledged. A replica that has lost
its disk gets a new identity, so it has no vote until it is made a member. A leader commits only entries of
its own term by counting replicas. One member is added or removed at a time, after the previous change is
committed.
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
    """A member or a learner of a replica group."""

    state_type: ClassVar[type[ReplicaState]] = ReplicaState
    leases_type: ClassVar[type[ReadLeases]] = ReadLeases
    elections_type: ClassVar[type[Elections]] = Elections
    leader_type: ClassVar[type[Leader]] = Leader
    follower_type: ClassVar[type[Follower]] = Follower

    def __init__(
        self,
        group: str,
        identity: str,
        timing: Timing,
        rng: random.Random,
        now: float,
        persisted: PersistentState | None = None,
    ) -> None:
        state = self._state = self.state_type(
            group, identity, timing, rng, now, persisted or PersistentState()
        )
        self.group, self.identity = group, identity
        self._progress = ProgressTracker(identity)
        self._leases = self.leases_type(state, self._progress, now)
        self._leader = self.leader_type(state, self._progress, self._leases, self._step_down)
        self._follower = self.follower_type(state, self._leases)
        self._join_requests = JoinRequests(state, now)
        self._elections = self.elections_type(state, now, self._become_follower, self._become_leader)

    # ------------------------------------------------------------------ inputs from the driver

    def tick(self, now: float) -> None:
        """Handles the timeouts that have expired."""
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

    def receive(self, now: float, message: GroupMessage) -> None:
        """Handles a message of another replica."""
        if message.group != self.group:
            return
        if message.recipient != self.identity and message.kind != MessageKind.JOIN:
            self._join_requests.record_contact(message)
            return
        if message.kind == MessageKind.PRE_VOTE:
            self._elections.on_pre_vote(now, message)
        elif message.kind == MessageKind.JOIN:
            self._on_join(now, message)
        elif message.kind == MessageKind.PRE_VOTE_REPLY:
            self._elections.on_pre_vote_reply(now, message)
        elif message.kind == MessageKind.VOTE:
            self._elections.on_vote(now, message)
        elif message.term < self._state.term:
            if message.kind in (MessageKind.APPEND, MessageKind.SNAPSHOT):
                self._follower.send_reply(now, message, False, self._state.log.last_index)
        else:
            self._on_current(now, message)

    def _on_current(self, now: float, message: GroupMessage) -> None:
        """Handles a message of the current or a later term."""
        if message.term > self._state.term:
            self._become_follower(now, message.term, "")
        if message.kind == MessageKind.VOTE_REPLY:
            self._elections.on_vote_reply(now, message)
        elif message.kind == MessageKind.APPEND:
            self._accept_leader(now, message)
            self._follower.on_append(now, message)
        elif message.kind == MessageKind.SNAPSHOT:
            self._accept_leader(now, message)
            self._follower.on_snapshot(now, message)
        elif message.kind == MessageKind.APPEND_REPLY:
            self._leader.on_append_reply(now, message)
        elif message.kind == MessageKind.TRANSFER_LEADERSHIP:
            self._elections.on_transfer_leadership(now, message)

    def propose(self, now: float, data: bytes) -> int | None:
        """Appends a command. Returns its index, or None if this replica is not the leader."""
        return self._leader.append(now, EntryKind.COMMAND, data)

    def propose_membership(self, now: float, voters: tuple[str, ...]) -> bool:
        """Adds or removes one voter. Returns False if that is not possible now."""
        log = self._state.log
        if not self.established or log.members_index > self._state.commit_index:
            return False
        if len(set(voters) ^ set(log.members)) != 1:
            return False
        return self._leader.append(now, EntryKind.MEMBERS, bytes(Members(list(voters)))) is not None

    def on_records_synced(self, now: float) -> None:
        """Records that all records handed out so far are on disk."""
        self._state.durable_index = self._state.log.last_index
        if self._state.is_leader:
            self._leader.advance_commit(now)

    def take_output(self) -> ReplicaOutput:
        """Returns what the driver has to do now. Nothing is returned twice."""
        output = self._state.take_output()
        self._leases.on_entries_applied()
        return output

    def bootstrap(self, now: float, voters: tuple[str, ...]) -> None:
        """Creates a new group. All its initial members must be given the same voters."""
        snapshot = Snapshot(index=1, term=0, voters=list(voters), state=b"")
        state = self._state
        state.log.reset_to_snapshot(snapshot)
        state.commit_index = state.applied_index = state.durable_index = snapshot.index
        state.record_snapshot(snapshot)
        self._elections.schedule_first_election(now)

    def request_join(self, now: float, replicas: list[str]) -> None:
        """Asks members for the log if this replica is not a member or has lost contact with the group."""
        self._join_requests.request_join(now, replicas)

    def transfer_leadership(self, now: float) -> None:
        """Hands the leadership to the most up-to-date voter, before a planned shutdown."""
        state = self._state
        if not state.is_leader:
            return
        successor = self._progress.most_up_to_date(state.log.members)
        if successor is not None:
            state.send(successor, MessageKind.TRANSFER_LEADERSHIP, before_sync=True)
            self._step_down(now)  # the old leader must not hold a lease beside the new one

    def replicate_to(self, now: float, replica: str) -> None:
        """Starts replicating the log to a replica that is not a member."""
        self._leader.replicate_to(now, replica)

    def remove_learner(self, replica: str) -> None:
        """Stops replicating to a replica that is not a member."""
        self._leader.remove_learner(replica)

    def probe_quorum(self, now: float) -> None:
        """Sends messages to all replicas now, so that `fresh_as_of` advances after one round trip."""
        if self._state.is_leader:
            self._leader.broadcast(now)

    # ------------------------------------------------------------------ queries

    @property
    def term(self) -> int:
        """The latest term known to this replica."""
        return self._state.term

    @property
    def vote(self) -> str:
        """The candidate that got this replica's vote in the current term; empty if none."""
        return self._state.vote

    @property
    def log(self) -> Log:
        """The log."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry that was handed out to be applied."""
        return self._state.applied_index

    @property
    def role(self) -> Role:
        """The current role in the group."""
        return self._state.role

    @property
    def peer_progress(self) -> dict[str, Progress]:
        """By identity: the progress of the replicas that a leader sends to."""
        return self._progress.peers

    @property
    def learners(self) -> dict[str, float]:
        """By identity: when a replica that is not a member asked to join."""
        return self._leader.learners

    @property
    def established(self) -> bool:
        """Whether this replica leads and its state contains everything acknowledged before its term."""
        return self._leases.established

    def holds_lease(self, now: float) -> bool:
        """Returns whether reads from the local state see everything that any leader has acknowledged."""
        return self._leases.holds_lease(now)

    def fresh_as_of(self, now: float) -> float:
        """Returns the local time up to which the state contains everything acknowledged by any leader."""
        return self._leases.fresh_as_of(now)

    def is_fresh(self, now: float, max_staleness: float) -> bool:
        """Returns whether the state contains everything acknowledged until `max_staleness` seconds ago."""
        return self._leases.is_fresh(now, max_staleness)

    def leader_hint(self, now: float) -> str:
        """Returns the leader's identity, or an empty string if there was no recent contact with a leader."""
        state = self._state
        if state.is_leader:
            return self.identity
        return (
            state.leader_identity
            if now - state.last_leader_contact_at < state.timing.election_timeout_min
            else ""
        )

    def snapshot_at(self, index: int, state: bytes) -> Snapshot:
        """Returns a snapshot of `state` as of the entry at `index`, which must still be in the log."""
        return self._leader.snapshot_at(index, state)

    def configure(self, dump_state: Callable[[], bytes], broadcasts_commits: bool = True) -> None:
        """Sets the function that dumps the state for snapshots, and whether commits are broadcast at once."""
        self._leader.dump_state, self._leader.broadcasts_commits = dump_state, broadcasts_commits

    # ------------------------------------------------------------------ role changes

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

    def _accept_leader(self, now: float, message: GroupMessage) -> None:
        """Records a message from the current leader."""
        state = self._state
        if state.role is not Role.FOLLOWER:
            self._become_follower(now, message.term, message.sender)
        state.leader_identity = message.sender
        state.last_leader_contact_at = now
        self._elections.reset_election_timeout(now)

    def _on_join(self, now: float, message: GroupMessage) -> None:
        state = self._state
        if not state.is_leader:
            self._join_requests.forward_to_leader(message, self.leader_hint(now))
        elif message.sender not in state.log.members:
            self._leader.add_learner(now, message.sender)
