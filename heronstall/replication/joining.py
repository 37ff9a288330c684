"""How a replica that is no member of its group, or hears nothing of it, finds members to be taught by."""

from __future__ import annotations

from collections.abc import Sequence

from heronstall.replication.protocol import MessageKind, address_of
from heronstall.replication.state import ReplicaState
from heronstall.transport.messages import GroupMessage

CONTACTS_MOST = 8


class Joining:
    """Asks members of the group to teach this replica."""

    def __init__(self, state: ReplicaState, now: float) -> None:
        self._state = state
        self._contacts: tuple[str, ...] = ()  # members that take this replica for a former one
        # one that holds a log waits for its leader first; an empty one has none
        self._ask_at = now + 2 * state.timing.election_most if state.log.last else now

    def note_contact(self, m: GroupMessage) -> None:
        """Remember who writes to a former replica at this address: a member of the group to be joined."""
        if address_of(m.recipient) == address_of(self._state.me):
            others = (c for c in self._contacts if c != m.sender)
            self._contacts = (*others, m.sender)[-CONTACTS_MOST:]

    def ask(self, now: float, replicas: Sequence[str]) -> None:
        """Tell members that this replica is none of the group's and wants to learn, if it is so."""
        state = self._state
        silent = now - state.heard_at > 2 * state.timing.election_most
        if not silent and (state.me in state.log.members or state.leader):
            return
        if now < self._ask_at:
            return
        self._ask_at = now + state.timing.join
        for replica in dict.fromkeys((*replicas, *self._contacts)):
            state.send(replica, MessageKind.JOIN)

    def pass_on(self, m: GroupMessage, leader: str) -> None:
        """Pass a replica's wish to join on to the leader, once."""
        if m.granted or not leader:
            return
        self._state.output.late.append(
            GroupMessage(
                group=self._state.group,
                sender=m.sender,
                recipient=leader,
                term=m.term,
                kind=MessageKind.JOIN,
                granted=True,
            )
        )
