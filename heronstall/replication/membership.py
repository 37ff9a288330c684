"""How a group's leader brings its voters to those that are wanted, one safe step at a time."""

from __future__ import annotations

from heronstall.replication.protocol import Timing, address_of
from heronstall.replication.replica import Replica
from heronstall.replication.state import Role

MAX_LEARNER_LAG_ENTRIES = (
    16  # entries that a learner may lack when it is made a voter; the vote itself waits for them
)


def is_caught_up(replica: Replica, other: str, now: float, timing: Timing) -> bool:
    """Whether a replica holds nearly all and answers."""
    progress = replica.peer_progress.get(other)
    if progress is None or now - progress.last_contact_at > timing.election_timeout_min:
        return False
    return progress.match_index + MAX_LEARNER_LAG_ENTRIES >= replica.commit_index > 0


def advance_membership(replica: Replica, wanted: tuple[str, ...], now: float, timing: Timing) -> None:
    """Take the next step towards the wanted voters, if this replica leads and a step is possible."""
    if not replica.established:
        return
    members = replica.log.members
    for other in list(replica.peer_progress):
        if other not in members and other not in wanted and other not in replica.learners:
            replica.remove_learner(other)
    new = [r for r in wanted if r not in members]
    leaving = [m for m in members if m not in wanted]
    successors = {address_of(r) for r in new}
    gone = [
        m
        for m in leaving
        if address_of(m) in successors or _is_silent(replica, m, now, timing.election_timeout_max)
    ]
    for other in new:
        if other not in replica.peer_progress:
            replica.replicate_to(now, other)
        elif is_caught_up(replica, other, now, timing):
            # a voter that is gone goes first: beside it, its successor would need one more to decide
            changed = tuple(m for m in members if m != gone[0]) if gone else (*members, other)
            replica.propose_membership(now, changed)
            return
    if leaving and not new:
        replica.propose_membership(now, tuple(m for m in members if m != (gone or leaving)[0]))


def desired_voters(replica: Replica, target: int, now: float, timing: Timing) -> tuple[str, ...]:
    """The voters that a group of self-joining replicas wants: dead ones replaced, up to a target number."""
    if replica.role is not Role.LEADER:
        return ()
    members = list(replica.log.members)
    ready = [r for r in replica.learners if r not in members and is_caught_up(replica, r, now, timing)]
    for learner in ready:
        former = [m for m in members if address_of(m) == address_of(learner)]
        dead = former or [m for m in members if _is_silent(replica, m, now, timing.dead_member_timeout)]
        if dead and len(members) >= target:
            members.remove(dead[0])
            members.append(learner)
        elif former:
            members[members.index(former[0])] = learner
        elif len(members) < target:
            members.append(learner)
    while len(members) > target:
        silent = [m for m in members if _is_silent(replica, m, now, timing.dead_member_timeout)]
        if not silent:
            break
        members.remove(silent[0])
    return tuple(members)


def _is_silent(replica: Replica, member: str, now: float, within: float) -> bool:
    if member == replica.identity:
        return False
    progress = replica.peer_progress.get(member)
    return progress is None or now - progress.last_contact_at > within
