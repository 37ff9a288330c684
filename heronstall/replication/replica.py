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
from heronstall.replication.following import Following
from heronstall.replication.joining import Joining
from heronstall.replication.leading import Leading
from heronstall.replication.leases import Leases
from heronstall.replication.log import Image, Log
from heronstall.replication.progress import Followers, Progress
from heronstall.replication.protocol import EntryKind, MessageKind, Timing
from heronstall.replication.state import Output, ReplicaState, Role
from heronstall.transport.messages import GroupMessage, Members, Snapshot


class Replica:
    """A member, or a learner, of a replica group."""

    state_type: ClassVar[type[ReplicaState]] = ReplicaState
    leases_type: ClassVar[type[Leases]] = Leases
    elections_type: ClassVar[type[Elections]] = Elections
    leading_type: ClassVar[type[Leading]] = Leading
    following_type: ClassVar[type[Following]] = Following

    def __init__(
        self, group: str, me: str, timing: Timing, rng: random.Random, now: float, image: Image | None = None
    ) -> None:
        state = self._state = self.state_type(group, me, timing, rng, now, image or Image())
        self.group, self.me = group, me
        self._followers = Followers(me)
        self._leases = self.leases_type(state, self._followers, now)
        self._leading = self.leading_type(state, self._followers, self._leases, self._step_down)
        self._following = self.following_type(state, self._leases)
        self._joining = Joining(state, now)
        self._elections = self.elections_type(state, now, self._become_follower, self._lead)

    # ------------------------------------------------------------------ what the driver calls

    def tick(self, now: float) -> None:
        """Let time pass."""
        state = self._state
        if state.leads:
            if now - self._leases.quorum_round(now) > state.timing.election_most:
                self._step_down(now)
            elif self._leading.heartbeat_due(now):
                self._leading.broadcast(now)
        elif self._elections.due(now):
            if state.me in state.log.members:
                self._elections.pre_campaign(now)
            else:
                self._elections.put_off(now)

    def receive(self, now: float, m: GroupMessage) -> None:
        """Take a message of another replica."""
        if m.group != self.group:
            return
        if m.recipient != self.me and m.kind != MessageKind.JOIN:
            self._joining.note_contact(m)
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
                self._following.reply(now, m, False, self._state.log.last)
        else:
            self._on_current(now, m)

    def _on_current(self, now: float, m: GroupMessage) -> None:
        """Take a message of this term or a later one."""
        if m.term > self._state.term:
            self._become_follower(now, m.term, "")
        if m.kind == MessageKind.VOTE_REPLY:
            self._elections.on_vote_reply(now, m)
        elif m.kind == MessageKind.APPEND:
            self._follow(now, m)
            self._following.on_append(now, m)
        elif m.kind == MessageKind.SNAPSHOT:
            self._follow(now, m)
            self._following.on_snapshot(now, m)
        elif m.kind == MessageKind.APPEND_REPLY:
            self._leading.on_append_reply(now, m)
        elif m.kind == MessageKind.TAKE_OVER:
            self._elections.on_take_over(now, m)

    def propose(self, now: float, data: bytes) -> int | None:
        """Append a command; its index, or None where this is not the leader."""
        return self._leading.append(now, EntryKind.COMMAND, data)

    def propose_members(self, now: float, voters: tuple[str, ...]) -> bool:
        """Add or remove one voter. False where that is not possible now."""
        log = self._state.log
        if not self.established or log.members_index > self._state.commit:
            return False
        if len(set(voters) ^ set(log.members)) != 1:
            return False
        return self._leading.append(now, EntryKind.MEMBERS, bytes(Members(list(voters)))) is not None

    def synced(self, now: float) -> None:
        """All records taken so far are on disk."""
        self._state.durable = self._state.log.last
        if self._state.leads:
            self._leading.advance(now)

    def take_output(self) -> Output:
        """What is to be done now; nothing of it comes twice."""
        output = self._state.take_output()
        self._leases.applied()
        return output

    def form(self, now: float, voters: tuple[str, ...]) -> None:
        """Begin a new group: all its first members are told the same voters."""
        snapshot = Snapshot(index=1, term=0, voters=list(voters), state=b"")
        state = self._state
        state.log.replace(snapshot)
        state.commit = state.applied = state.durable = snapshot.index
        state.record_snapshot(snapshot)
        self._elections.begin_soon(now)

    def ask_to_join(self, now: float, replicas: list[str]) -> None:
        """Tell members that this replica is none of the group's and wants to learn, if it is so."""
        self._joining.ask(now, replicas)

    def hand_over(self, now: float) -> None:
        """Have the best-informed other member take over, before a planned end."""
        state = self._state
        if not state.leads:
            return
        best = self._followers.best_informed(state.log.members)
        if best is not None:
            state.send(best, MessageKind.TAKE_OVER, early=True)
            self._step_down(now)  # no lease is held beside the new leader's

    def teach(self, now: float, replica: str) -> None:
        """Send the log to a replica that is no member yet."""
        self._leading.teach(now, replica)

    def forget_learner(self, replica: str) -> None:
        """Stop sending to a replica that is no member."""
        self._leading.forget_learner(replica)

    def ask_quorum(self, now: float) -> None:
        """Send a round of messages now, so that `confirmed_at` moves on after one exchange."""
        if self._state.leads:
            self._leading.broadcast(now)

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
    def commit(self) -> int:
        """Index of the last entry that it knows to be committed."""
        return self._state.commit

    @property
    def applied(self) -> int:
        """Index of the last entry that was handed out to be applied."""
        return self._state.applied

    @property
    def role(self) -> Role:
        """What it is in its group."""
        return self._state.role

    @property
    def others(self) -> dict[str, Progress]:
        """By identity: a leader's knowledge of the replicas that it sends to."""
        return self._followers.others

    @property
    def learners(self) -> dict[str, float]:
        """By identity: when a replica that is no member asked to join."""
        return self._leading.learners

    @property
    def established(self) -> bool:
        """Leader, and all that was acknowledged before its term is in the state."""
        return self._leases.established

    def holds_lease(self, now: float) -> bool:
        """Whether reads here see all that any leader has acknowledged."""
        return self._leases.holds(now)

    def confirmed_at(self, now: float) -> float:
        """Own time up to which the state here holds all that any leader had acknowledged."""
        return self._leases.confirmed_at(now)

    def in_touch(self, now: float, within: float) -> bool:
        """Whether the state here holds all that was acknowledged until `within` seconds ago."""
        return self._leases.in_touch(now, within)

    def leader_hint(self, now: float) -> str:
        """The leader's identity, where one was heard of lately."""
        state = self._state
        if state.leads:
            return self.me
        return state.leader if now - state.heard_at < state.timing.election_least else ""

    def image(self, index: int, state: bytes) -> Snapshot:
        """A snapshot message for the state as it was after an entry that is still held here."""
        return self._leading.image(index, state)

    def carry(self, dump: Callable[[], bytes], tells_commit: bool = True) -> None:
        """Say what a snapshot holds, and whether followers are to know at once what is committed."""
        self._leading.dump, self._leading.tells_commit = dump, tells_commit

    # ------------------------------------------------------------------ changes of role

    def _become_follower(self, now: float, term: int, leader: str) -> None:
        state = self._state
        if term > state.term:
            state.term, state.vote = term, ""
            state.record_vote()
        if state.role is not Role.FOLLOWER:
            self._followers.others.clear()
        state.role = Role.FOLLOWER
        state.leader = leader
        self._elections.put_off(now)

    def _step_down(self, now: float) -> None:
        self._become_follower(now, self._state.term, "")

    def _lead(self, now: float) -> None:
        self._state.role, self._state.leader = Role.LEADER, self.me
        self._leading.begin(now)

    def _follow(self, now: float, m: GroupMessage) -> None:
        """A leader's message has come."""
        state = self._state
        if state.role is not Role.FOLLOWER:
            self._become_follower(now, m.term, m.sender)
        state.leader = m.sender
        state.heard_at = now
        self._elections.put_off(now)

    def _on_join(self, now: float, m: GroupMessage) -> None:
        state = self._state
        if not state.leads:
            self._joining.pass_on(m, self.leader_hint(now))
        elif m.sender not in state.log.members:
            self._leading.learns(now, m.sender)
