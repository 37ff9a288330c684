"""How a replica that is not a member, or has lost contact with its group, asks to receive the log."""

from __future__ import annotations

from collections.abc import Sequence

from heronstall.replication.protocol import MessageKind, address_of
from heronstall.replication.state import ReplicaState
from heronstall.transport.messages import GroupMessage

MAX_CONTACTS = 8  # members remembered from messages to a former replica


class JoinRequests:
    """Asks members of the group to send their log to this replica."""

    def __init__(self, state: ReplicaState, now: float) -> None:
        self._state = state
        self._known_members: tuple[str, ...] = ()  # members that address a former replica at this address
        # a replica with a log waits for its leader first; an empty one knows no leader
        self._next_request_at = now + 2 * state.timing.election_timeout_max if state.log.last_index else now

    def record_contact(self, message: GroupMessage) -> None:
        """Records the sender of a message to a former replica at this address.

        The sender is a member of the group that this replica should join.
        """
        if address_of(message.recipient) == address_of(self._state.identity):
            others = (member for member in self._known_members if member != message.sender)
            self._known_members = (*others, message.sender)[-MAX_CONTACTS:]

    def request_join(self, now: float, replicas: Sequence[str]) -> None:
        """Asks members for the log if this replica is not a member or has lost contact with the group."""
        state = self._state
        silent = now - state.last_leader_contact_at > 2 * state.timing.election_timeout_max
        if not silent and (state.identity in state.log.members or state.leader_identity):
            return
        if now < self._next_request_at:
            return
        self._next_request_at = now + state.timing.join_interval
        for replica in dict.fromkeys((*replicas, *self._known_members)):
            state.send(replica, MessageKind.JOIN)

    def forward_to_leader(self, message: GroupMessage, leader: str) -> None:
        """Forwards a replica's join request to the leader; a request is forwarded only once."""
        if message.granted or not leader:
            return
        self._state.output.messages_after_sync.append(
            GroupMessage(
                group=self._state.group,
                sender=message.sender,
                recipient=leader,
                term=message.term,
                kind=MessageKind.JOIN,
                granted=True,
            )
        )
