"""How a replica that is no member of its group, or hears nothing of it, finds members to be taught by."""

from __future__ import annotations

from collections.abc import Sequence

from heronstall.replication.protocol import MessageKind, address_of
from heronstall.replication.state import ReplicaState
from heronstall.transport.messages import GroupMessage

MAX_CONTACTS = 8


class JoinRequests:
    """Asks members of the group to teach this replica."""

    def __init__(self, state: ReplicaState, now: float) -> None:
        self._state = state
        self._known_members: tuple[str, ...] = ()  # members that take this replica for a former one
        # one that holds a log waits for its leader first; an empty one has none
        self._next_request_at = now + 2 * state.timing.election_timeout_max if state.log.last_index else now

    def record_contact(self, m: GroupMessage) -> None:
        """Remember who writes to a former replica at this address: a member of the group to be joined."""
        if address_of(m.recipient) == address_of(self._state.identity):
            others = (c for c in self._known_members if c != m.sender)
            self._known_members = (*others, m.sender)[-MAX_CONTACTS:]

    def request_join(self, now: float, replicas: Sequence[str]) -> None:
        """Tell members that this replica is none of the group's and wants to learn, if it is so."""
        state = self._state
        silent = now - state.last_leader_contact_at > 2 * state.timing.election_timeout_max
        if not silent and (state.identity in state.log.members or state.leader_identity):
            return
        if now < self._next_request_at:
            return
        self._next_request_at = now + state.timing.join_interval
        for replica in dict.fromkeys((*replicas, *self._known_members)):
            state.send(replica, MessageKind.JOIN)

    def forward_to_leader(self, m: GroupMessage, leader: str) -> None:
        """Pass a replica's wish to join on to the leader, once."""
        if m.granted or not leader:
            return
        self._state.output.messages_after_sync.append(
            GroupMessage(
                group=self._state.group,
                sender=m.sender,
                recipient=leader,
                term=m.term,
                kind=MessageKind.JOIN,
                granted=True,
            )
        )
