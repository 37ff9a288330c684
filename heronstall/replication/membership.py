"""How a group's leader brings its voters to those that are wanted, one safe step at a time."""

from __future__ import annotations

from heronstall.replication.protocol import Timing, address_of
from heronstall.replication.replica import Replica
from heronstall.replication.state import Role

BEHIND = 16  # entries that a learner may lack when it is made a voter; the vote itself waits for them


def caught_up(replica: Replica, other: str, now: float, timing: Timing) -> bool:
    """Whether a replica holds nearly all and answers."""
    progress = replica.others.get(other)
    if progress is None or now - progress.heard_at > timing.election_least:
        return False
    return progress.match + BEHIND >= replica.commit > 0


def step(replica: Replica, wanted: tuple[str, ...], now: float, timing: Timing) -> None:
    """Take the next step towards the wanted voters, if this replica leads and a step is possible."""
    if not replica.established:
        return
    members = replica.log.members
    for other in list(replica.others):
        if other not in members and other not in wanted and other not in replica.learners:
            replica.forget_learner(other)
    new = [r for r in wanted if r not in members]
    leaving = [m for m in members if m not in wanted]
    successors = {address_of(r) for r in new}
    gone = [
        m for m in leaving if address_of(m) in successors or _silent(replica, m, now, timing.election_most)
    ]
    for other in new:
        if other not in replica.others:
            replica.teach(now, other)
        elif caught_up(replica, other, now, timing):
            # a voter that is gone goes first: beside it, its successor would need one more to decide
            changed = tuple(m for m in members if m != gone[0]) if gone else (*members, other)
            replica.propose_members(now, changed)
            return
    if leaving and not new:
        replica.propose_members(now, tuple(m for m in members if m != (gone or leaving)[0]))


def wanted_voters(replica: Replica, target: int, now: float, timing: Timing) -> tuple[str, ...]:
    """The voters that a group of self-joining replicas wants: dead ones replaced, up to a target number."""
    if replica.role is not Role.LEADER:
        return ()
    members = list(replica.log.members)
    ready = [r for r in replica.learners if r not in members and caught_up(replica, r, now, timing)]
    for learner in ready:
        former = [m for m in members if address_of(m) == address_of(learner)]
        dead = former or [m for m in members if _silent(replica, m, now, timing.dead)]
        if dead and len(members) >= target:
            members.remove(dead[0])
            members.append(learner)
        elif former:
            members[members.index(former[0])] = learner
        elif len(members) < target:
            members.append(learner)
    while len(members) > target:
        silent = [m for m in members if _silent(replica, m, now, timing.dead)]
        if not silent:
            break
        members.remove(silent[0])
    return tuple(members)


def _silent(replica: Replica, member: str, now: float, within: float) -> bool:
    if member == replica.me:
        return False
    progress = replica.others.get(member)
    return progress is None or now - progress.heard_at > within
