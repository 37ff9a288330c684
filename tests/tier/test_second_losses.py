"""After each step of a repair, a replacement or a retire: which further loss is borne.

Two drivers bring groups back to their wanted voters: core nodes replace by themselves (`wanted_voters`),
batch groups follow a placement. At every state of a run that differs a further loss strikes.
"""

from __future__ import annotations

import copy
import unittest
from collections.abc import Callable
from enum import Enum
from unittest import mock

from heronstall.replication import membership
from heronstall.replication.replica import Replica
from tests.tier.cluster import Cluster, Disk, Violation

CALM = 8.0  # seconds in which a group must be whole again
STEP = 0.05  # seconds between two looks at a run
RUN = 5.0  # seconds of a run
TIMES_MOST = 14  # states of one run at which further losses strike


class Loss(Enum):
    """A further loss."""

    RESTARTS = "restarts"
    STAYS_AWAY = "stays away"
    LOSES_ITS_DISK = "loses its disk"
    LOSES_ITS_DISK_AS_ALL_LOSE_POWER = "loses its disk as all others lose power"


WITH_DISK_KEPT = (Loss.RESTARTS,)
ALL = tuple(Loss)


class Group(Cluster):
    """A cluster in which some nodes may be away, or retired."""

    def __init__(self, size: int, seed: int, made: type[Replica] = Replica) -> None:
        super().__init__(size, seed, made)
        self.size = size
        self.away: set[str] = set()
        self.wanted: tuple[str, ...] | None = None  # names of the nodes that a placement wants

    def alive(self) -> set[str]:
        return set(self.nodes) - self.away

    def add(self, name: str) -> None:
        """An empty node comes."""
        self.nodes[name] = self._boot(name, 1, Disk())

    def members(self, name: str) -> None:
        replica = self.nodes[name].replica
        if self.wanted is None:
            voters = membership.desired_voters(replica, self.size, self.now, self.timing)
        else:
            voters = tuple(self.nodes[w].identity for w in self.wanted)
        if voters:
            membership.advance_membership(replica, voters, self.now, self.timing)
        self.settle(self.nodes[name])

    def rejoin(self, name: str) -> None:
        if self.wanted is None or name in self.wanted:
            super().rejoin(name)

    def turn(self, seconds: float) -> None:
        """Let time pass among the nodes that are there."""
        self.run(seconds, only=self.alive())

    def settled_voters(self) -> set[str]:
        """Names of the voters by the leader's word, once committed; none where nobody leads."""
        leader = self.leader()
        if leader is None or leader.replica.log.members_index > leader.replica.commit_index:
            return set()
        return {m.partition("#")[0] for m in leader.replica.log.members}

    def strike(self, name: str, loss: Loss) -> None:
        if loss is Loss.STAYS_AWAY:
            self.away.add(name)
            return
        if loss is Loss.LOSES_ITS_DISK_AS_ALL_LOSE_POWER:
            self.network.clear()
            for other in self.alive() - {name}:
                self.restart(other)
        self.restart(name, wiped=loss is not Loss.RESTARTS)


def prepared(size: int, made: type[Replica] = Replica) -> Group:
    """A group that has acknowledged some commands."""
    group = Group(size, 3, made)
    group.turn(2.0)
    for _ in range(3):
        leader = group.leader()
        assert leader is not None
        group.propose(leader.name)
        group.turn(0.2)
    return group


def states(group: Group, done: Callable[[Group], bool]) -> list[tuple[Group, bool]]:
    """The states of a run that differ, and whether the run had come to its end there."""
    found: list[tuple[Group, bool]] = []
    seen: set[object] = set()
    end = group.now + RUN
    while group.now < end:
        leader = group.leader()
        if leader is not None and len(group.acknowledged) < 40:
            group.propose(leader.name)
        group.turn(STEP)
        over = done(group)
        key = (over, group.leader() is None, *(n.replica.log.members for n in group.nodes.values()))
        if key not in seen:
            seen.add(key)
            found.append((copy.deepcopy(group), over))
    return found


def check(group: Group, name: str, loss: Loss) -> None:
    """Strike, wait, and find a leader that has every acknowledged command."""
    group.strike(name, loss)
    group.turn(CALM)
    try:
        group.check_nothing_lost()
    except Violation as violation:
        raise Violation(f"{name} {loss.value}: {violation}") from None


class SecondLosses(unittest.TestCase):
    def assert_borne(self, group: Group, done: Callable[[Group], bool]) -> int:
        """At each state every node may restart; once the run is over, any further loss is borne."""
        checked = 0
        found = states(group, done)
        self.assertTrue(found[-1][1], "the run does not come to its end")
        self.assertLessEqual(len(found), TIMES_MOST)
        for state, over in found:
            for name in sorted(state.alive()):
                for loss in ALL if over else WITH_DISK_KEPT:
                    check(copy.deepcopy(state), name, loss)
                    checked += 1
        return checked

    def repaired(self, size: int, victim_leads: bool) -> Group:
        group = prepared(size)
        leader = group.leader()
        assert leader is not None
        victim = next(n for n in group.nodes if (n == leader.name) == victim_leads)
        group.restart(victim, wiped=True)
        return group

    @staticmethod
    def whole(group: Group) -> bool:
        identities = {n.identity for name, n in group.nodes.items() if name in group.alive()}
        leader = group.leader()
        if leader is None or leader.replica.log.members_index > leader.replica.commit_index:
            return False
        return set(leader.replica.log.members) == identities

    def test_a_lost_disk_in_a_group_of_three(self) -> None:
        for victim_leads in (False, True):
            with self.subTest(victim_leads=victim_leads):
                self.assertGreater(self.assert_borne(self.repaired(3, victim_leads), self.whole), 10)

    def test_a_lost_disk_in_a_group_of_five(self) -> None:
        self.assertGreater(self.assert_borne(self.repaired(5, False), self.whole), 20)

    def test_two_lost_disks_in_a_group_of_five(self) -> None:
        group = self.repaired(5, True)
        group.restart(next(n for n, node in group.nodes.items() if node.incarnation == 0), wiped=True)
        self.assertGreater(self.assert_borne(group, self.whole), 20)

    def test_in_a_group_of_five_another_disk_may_go_while_one_is_repaired(self) -> None:
        for state, _ in states(self.repaired(5, False), self.whole):
            for name, node in state.nodes.items():
                if node.incarnation == 0:
                    check(copy.deepcopy(state), name, Loss.LOSES_ITS_DISK_AS_ALL_LOSE_POWER)

    def test_a_replaced_node_in_a_group_of_three(self) -> None:
        for victim_leads in (False, True):
            with self.subTest(victim_leads=victim_leads):
                group = prepared(3)
                leader = group.leader()
                assert leader is not None
                victim = next(n for n in group.nodes if (n == leader.name) == victim_leads)
                group.away.add(victim)
                group.turn(0.4)
                group.add("n9")
                self.assert_borne(group, self.whole)

    def test_a_replaced_replica_of_a_batch_group(self) -> None:
        group = prepared(3)
        group.away.add("n1")
        group.add("n9")
        group.wanted = ("n0", "n9", "n2")
        self.assert_borne(group, self.whole)

    def retiring(self, made: type[Replica] = Replica) -> Group:
        """A node of a batch group of three is to be emptied; another takes its place."""
        group = prepared(3, made)
        group.add("n9")
        group.wanted = ("n0", "n9", "n2")
        return group

    def test_a_retired_node_may_go_at_once_and_another_disk_with_it(self) -> None:
        group = self.retiring()
        found = states(group, lambda g: g.settled_voters() == {"n0", "n9", "n2"})
        ended = [state for state, over in found if over]
        self.assertTrue(ended)
        for state in ended:
            state.away.add("n1")
            for name in sorted(state.alive()):
                for loss in ALL:
                    with self.subTest(name=name, loss=loss):
                        check(copy.deepcopy(state), name, loss)

    def test_while_a_node_is_emptied_any_single_loss_is_borne(self) -> None:
        for state, over in states(self.retiring(), lambda g: g.settled_voters() == {"n0", "n9", "n2"}):
            for name in () if over else ("n0", "n1", "n2"):
                check(copy.deepcopy(state), name, Loss.LOSES_ITS_DISK_AS_ALL_LOSE_POWER)

    def test_a_node_that_goes_before_the_new_voters_have_committed_is_found(self) -> None:
        """Planted: emptied once the learner is asked for, not once the voters are committed."""
        state = self.retiring()
        state.turn(STEP)
        state.away.add("n1")
        with self.assertRaises(Violation):
            check(state, "n0", Loss.LOSES_ITS_DISK_AS_ALL_LOSE_POWER)

    def test_a_new_voter_beside_a_dead_one_is_found(self) -> None:
        """Planted: the successor is added before the dead voter goes, which stays for good."""

        def adds_first(replica: Replica, wanted: tuple[str, ...], now: float, timing: object) -> None:
            if not replica.established:
                return
            for other in (w for w in wanted if w not in replica.log.members):
                if other not in replica.peer_progress:
                    replica.replicate_to(now, other)
                elif replica.peer_progress[other].match_index >= replica.commit_index:
                    replica.propose_membership(now, (*replica.log.members, other))

        with (
            mock.patch.object(membership, "advance_membership", adds_first),
            self.assertRaises(Violation),
        ):
            self.assert_borne(self.repaired(3, False), lambda g: len(g.settled_voters()) >= 3)


if __name__ == "__main__":
    unittest.main()
