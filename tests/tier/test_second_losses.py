"""Further losses at each step of a repair, a replacement or a retirement.

Two drivers restore the desired voters: core nodes replace members by themselves (`desired_voters`), batch
groups follow a placement. A further loss is inflicted at every distinct state of a run.
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

REPAIR_SECONDS = 8.0  # seconds within which a group must be repaired
STEP_SECONDS = 0.05  # seconds between two observations of a run
RUN_SECONDS = 5.0  # duration of a run in seconds
MAX_STATES = 14  # distinct states of one run, at most


class Loss(Enum):
    """A further loss."""

    RESTARTS = "restarts"
    STAYS_AWAY = "stays away"
    LOSES_ITS_DISK = "loses its disk"
    LOSES_DISK_IN_POWER_LOSS = "loses its disk as all others lose power"


LOSSES_KEEPING_DISK = (Loss.RESTARTS,)
ALL_LOSSES = tuple(Loss)


class Group(Cluster):
    """A cluster in which nodes may be absent or retired."""

    def __init__(self, size: int, seed: int, replica_type: type[Replica] = Replica) -> None:
        super().__init__(size, seed, replica_type)
        self.size = size
        self.absent: set[str] = set()
        self.desired_names: tuple[str, ...] | None = None  # names of the nodes that a placement assigns

    def present(self) -> set[str]:
        return set(self.nodes) - self.absent

    def add(self, name: str) -> None:
        """Adds an empty node."""
        self.nodes[name] = self._start_node(name, 1, Disk())

    def update_membership(self, name: str) -> None:
        replica = self.nodes[name].replica
        if self.desired_names is None:
            voters = membership.desired_voters(replica, self.size, self.now, self.timing)
        else:
            voters = tuple(self.nodes[desired].identity for desired in self.desired_names)
        if voters:
            membership.advance_membership(replica, voters, self.now, self.timing)
        self.process_output(self.nodes[name])

    def request_join(self, name: str) -> None:
        if self.desired_names is None or name in self.desired_names:
            super().request_join(name)

    def run_present(self, seconds: float) -> None:
        """Lets time pass among the nodes that are present."""
        self.run(seconds, among=self.present())

    def committed_voters(self) -> set[str]:
        """Returns the names of the leader's committed voters; none without a leader."""
        leader = self.leader()
        if leader is None or leader.replica.log.members_index > leader.replica.commit_index:
            return set()
        return {member.partition("#")[0] for member in leader.replica.log.members}

    def inflict(self, name: str, loss: Loss) -> None:
        if loss is Loss.STAYS_AWAY:
            self.absent.add(name)
            return
        if loss is Loss.LOSES_DISK_IN_POWER_LOSS:
            self.network.clear()
            for other in self.present() - {name}:
                self.restart(other)
        self.restart(name, wiped=loss is not Loss.RESTARTS)


def group_with_commands(size: int, replica_type: type[Replica] = Replica) -> Group:
    """Returns a group that has acknowledged some commands."""
    group = Group(size, 3, replica_type)
    group.run_present(2.0)
    for _ in range(3):
        leader = group.leader()
        assert leader is not None
        group.propose(leader.name)
        group.run_present(0.2)
    return group


def distinct_states(group: Group, done: Callable[[Group], bool]) -> list[tuple[Group, bool]]:
    """Returns the distinct states of a run, and for each whether `done` holds in it."""
    states: list[tuple[Group, bool]] = []
    seen: set[object] = set()
    end = group.now + RUN_SECONDS
    while group.now < end:
        leader = group.leader()
        if leader is not None and len(group.acknowledged) < 40:
            group.propose(leader.name)
        group.run_present(STEP_SECONDS)
        is_done = done(group)
        key = (is_done, group.leader() is None, *(node.replica.log.members for node in group.nodes.values()))
        if key not in seen:
            seen.add(key)
            states.append((copy.deepcopy(group), is_done))
    return states


def check_loss(group: Group, name: str, loss: Loss) -> None:
    """Inflicts a loss, waits, and checks that a leader has every acknowledged command."""
    group.inflict(name, loss)
    group.run_present(REPAIR_SECONDS)
    try:
        group.check_nothing_lost()
    except Violation as violation:
        raise Violation(f"{name} {loss.value}: {violation}") from None


class SecondLosses(unittest.TestCase):
    def assert_tolerated(self, group: Group, done: Callable[[Group], bool]) -> int:
        """Checks the losses that each state of a run must tolerate.

        At each state any node may restart; once the run is done, any further loss is tolerated.
        """
        checked = 0
        states = distinct_states(group, done)
        self.assertTrue(states[-1][1], "the run does not reach its end")
        self.assertLessEqual(len(states), MAX_STATES)
        for state, is_done in states:
            for name in sorted(state.present()):
                for loss in ALL_LOSSES if is_done else LOSSES_KEEPING_DISK:
                    check_loss(copy.deepcopy(state), name, loss)
                    checked += 1
        return checked

    def group_with_lost_disk(self, size: int, victim_leads: bool) -> Group:
        group = group_with_commands(size)
        leader = group.leader()
        assert leader is not None
        victim = next(n for n in group.nodes if (n == leader.name) == victim_leads)
        group.restart(victim, wiped=True)
        return group

    @staticmethod
    def is_repaired(group: Group) -> bool:
        identities = {n.identity for name, n in group.nodes.items() if name in group.present()}
        leader = group.leader()
        if leader is None or leader.replica.log.members_index > leader.replica.commit_index:
            return False
        return set(leader.replica.log.members) == identities

    def test_a_lost_disk_in_a_group_of_three(self) -> None:
        for victim_leads in (False, True):
            with self.subTest(victim_leads=victim_leads):
                self.assertGreater(
                    self.assert_tolerated(self.group_with_lost_disk(3, victim_leads), self.is_repaired), 10
                )

    def test_a_lost_disk_in_a_group_of_five(self) -> None:
        self.assertGreater(self.assert_tolerated(self.group_with_lost_disk(5, False), self.is_repaired), 20)

    def test_two_lost_disks_in_a_group_of_five(self) -> None:
        group = self.group_with_lost_disk(5, True)
        group.restart(next(n for n, node in group.nodes.items() if node.incarnation == 0), wiped=True)
        self.assertGreater(self.assert_tolerated(group, self.is_repaired), 20)

    def test_a_group_of_five_tolerates_another_lost_disk_during_a_repair(self) -> None:
        for state, _ in distinct_states(self.group_with_lost_disk(5, False), self.is_repaired):
            for name, node in state.nodes.items():
                if node.incarnation == 0:
                    check_loss(copy.deepcopy(state), name, Loss.LOSES_DISK_IN_POWER_LOSS)

    def test_a_replaced_node_in_a_group_of_three(self) -> None:
        for victim_leads in (False, True):
            with self.subTest(victim_leads=victim_leads):
                group = group_with_commands(3)
                leader = group.leader()
                assert leader is not None
                victim = next(n for n in group.nodes if (n == leader.name) == victim_leads)
                group.absent.add(victim)
                group.run_present(0.4)
                group.add("n9")
                self.assert_tolerated(group, self.is_repaired)

    def test_a_replaced_replica_of_a_batch_group(self) -> None:
        group = group_with_commands(3)
        group.absent.add("n1")
        group.add("n9")
        group.desired_names = ("n0", "n9", "n2")
        self.assert_tolerated(group, self.is_repaired)

    def group_replacing_a_node(self, replica_type: type[Replica] = Replica) -> Group:
        """Returns a batch group of three in which a node is emptied and another takes its place."""
        group = group_with_commands(3, replica_type)
        group.add("n9")
        group.desired_names = ("n0", "n9", "n2")
        return group

    def test_a_retired_node_may_leave_at_once_and_another_disk_may_be_lost(self) -> None:
        group = self.group_replacing_a_node()
        states = distinct_states(group, lambda g: g.committed_voters() == {"n0", "n9", "n2"})
        ended = [state for state, is_done in states if is_done]
        self.assertTrue(ended)
        for state in ended:
            state.absent.add("n1")
            for name in sorted(state.present()):
                for loss in ALL_LOSSES:
                    with self.subTest(name=name, loss=loss):
                        check_loss(copy.deepcopy(state), name, loss)

    def test_any_single_loss_is_tolerated_while_a_node_is_emptied(self) -> None:
        for state, is_done in distinct_states(
            self.group_replacing_a_node(), lambda g: g.committed_voters() == {"n0", "n9", "n2"}
        ):
            for name in () if is_done else ("n0", "n1", "n2"):
                check_loss(copy.deepcopy(state), name, Loss.LOSES_DISK_IN_POWER_LOSS)

    def test_removal_of_a_node_before_the_new_voters_are_committed_is_detected(self) -> None:
        """Injected fault: the node is removed once the learner is requested, not once it is a voter."""
        state = self.group_replacing_a_node()
        state.run_present(STEP_SECONDS)
        state.absent.add("n1")
        with self.assertRaises(Violation):
            check_loss(state, "n0", Loss.LOSES_DISK_IN_POWER_LOSS)

    def test_a_new_voter_added_beside_a_dead_one_is_detected(self) -> None:
        """Injected fault: the successor is added before the dead voter is removed, which stays for good."""

        def add_before_removing(
            replica: Replica, desired: tuple[str, ...], now: float, timing: object
        ) -> None:
            if not replica.established:
                return
            for other in (w for w in desired if w not in replica.log.members):
                if other not in replica.peer_progress:
                    replica.replicate_to(now, other)
                elif replica.peer_progress[other].match_index >= replica.commit_index:
                    replica.propose_membership(now, (*replica.log.members, other))

        with (
            mock.patch.object(membership, "advance_membership", add_before_removing),
            self.assertRaises(Violation),
        ):
            self.assert_tolerated(
                self.group_with_lost_disk(3, False), lambda g: len(g.committed_voters()) >= 3
            )


if __name__ == "__main__":
    unittest.main()
