"""How a leader changes the voters of its group to the desired ones, one safe step at a time."""

from __future__ import annotations

from heronstall.replication.protocol import Timing, address_of
from heronstall.replication.replica import Replica
from heronstall.replication.state import Role

# Entries that a learner may lack when it is made a voter; it receives them before the membership entry.
MAX_LEARNER_LAG_ENTRIES = 16


def is_caught_up(replica: Replica, peer: str, now: float, timing: Timing) -> bool:
    """Returns whether a replica responds and has nearly the whole log."""
    progress = replica.peer_progress.get(peer)
    if progress is None or now - progress.last_contact_at > timing.election_timeout_min:
        return False
    return progress.match_index + MAX_LEARNER_LAG_ENTRIES >= replica.commit_index > 0


def advance_membership(replica: Replica, desired: tuple[str, ...], now: float, timing: Timing) -> None:
    """Takes the next step towards the desired voters if this replica leads and a step is possible."""
    if not replica.established:
        return
    members = replica.log.members
    for peer in list(replica.peer_progress):
        if peer not in members and peer not in desired and peer not in replica.learners:
            replica.remove_learner(peer)
    joining = [voter for voter in desired if voter not in members]
    leaving = [member for member in members if member not in desired]
    successors = {address_of(voter) for voter in joining}
    lost = [
        member
        for member in leaving
        if address_of(member) in successors or _is_silent(replica, member, now, timing.election_timeout_max)
    ]
    for peer in joining:
        if peer not in replica.peer_progress:
            replica.replicate_to(now, peer)
        elif is_caught_up(replica, peer, now, timing):
            # A lost voter is removed first: with it as a member, adding its successor would raise the quorum.
            next_members = (
                tuple(member for member in members if member != lost[0]) if lost else (*members, peer)
            )
            replica.propose_membership(now, next_members)
            return
    if leaving and not joining:
        replica.propose_membership(now, tuple(member for member in members if member != (lost or leaving)[0]))


def desired_voters(replica: Replica, target_size: int, now: float, timing: Timing) -> tuple[str, ...]:
    """Returns the voters that a group of self-joining replicas should have.

    Dead members are replaced by learners that have caught up, and the group grows or shrinks to
    `target_size`.
    """
    if replica.role is not Role.LEADER:
        return ()
    members = list(replica.log.members)
    caught_up = [
        candidate
        for candidate in replica.learners
        if candidate not in members and is_caught_up(replica, candidate, now, timing)
    ]
    for learner in caught_up:
        predecessors = [member for member in members if address_of(member) == address_of(learner)]
        dead = predecessors or [
            member for member in members if _is_silent(replica, member, now, timing.dead_member_timeout)
        ]
        if dead and len(members) >= target_size:
            members.remove(dead[0])
            members.append(learner)
        elif predecessors:
            members[members.index(predecessors[0])] = learner
        elif len(members) < target_size:
            members.append(learner)
    while len(members) > target_size:
        silent = [
            member for member in members if _is_silent(replica, member, now, timing.dead_member_timeout)
        ]
        if not silent:
            break
        members.remove(silent[0])
    return tuple(members)


def _is_silent(replica: Replica, member: str, now: float, timeout: float) -> bool:
    if member == replica.identity:
        return False
    progress = replica.peer_progress.get(member)
    return progress is None or now - progress.last_contact_at > timeout
