"""Drawn runs of a replica group under rough conditions, and planted mistakes that they find."""

from __future__ import annotations

import copy
import unittest

from heronstall.replication.follower import Follower
from heronstall.replication.leader import Leader
from heronstall.replication.leases import ReadLeases
from heronstall.replication.progress import Progress
from heronstall.replication.replica import Replica
from heronstall.transport.messages import GroupMessage
from tests.tier.cluster import Violation, is_found
from tests.tier.rough_cluster import RoughCluster

WALKS, STEPS = 40, 400
WALKS_OF_FIVE = 8
ORDERS, ORDER_STEPS = 240, 30
FOUND_WITHIN = 150  # walks in which a planted mistake is found


def walk(seed: int, made: type[Replica] = Replica, size: int = 3) -> RoughCluster:
    """A drawn run; disks are lost one at a time, each when all know the former loss as repaired."""
    cluster = RoughCluster(size, seed, made)
    cluster.run(2.0)
    wiped: str | None = None
    for _ in range(STEPS):
        before = {n: node.incarnation for n, node in cluster.nodes.items()}
        if wiped is not None and known_to_all(cluster, wiped):
            wiped = None
        cluster.rough_step(int(wiped is None))
        changed = [n for n, node in cluster.nodes.items() if node.incarnation != before[n]]
        wiped = changed[0] if changed else wiped
    cluster.calm()
    cluster.run(8.0)
    cluster.check_nothing_lost()
    return cluster


def known_to_all(cluster: RoughCluster, name: str) -> bool:
    identity = cluster.nodes[name].identity
    return all(identity in node.replica.log.members for node in cluster.nodes.values())


def settled(made: type[Replica]) -> RoughCluster:
    cluster = RoughCluster(3, 1, made)
    cluster.run(2.0)
    cluster.network.clear()
    cluster.delivered.clear()
    return cluster


def any_order(first: RoughCluster, seed: int) -> list[str]:
    """Messages in any order, late and twice, as a leader takes commands and compacts its log; the trace."""
    cluster = copy.deepcopy(first)
    cluster.rng.seed(seed)
    leader = cluster.leader()
    assert leader is not None
    trace: list[str] = []
    for _ in range(ORDER_STEPS):
        draw = cluster.rng.random()
        try:
            if draw < 0.25:
                trace.append("proposes")
                cluster.pass_time(0.005)
                cluster.propose(leader.name)
            elif draw < 0.33:
                trace.append("compacts")
                cluster.compact(leader.name)
            elif cluster.network:
                position = cluster.rng.randrange(len(cluster.network))
                trace.append(told(cluster.network[position]))
                cluster.deliver(position, keep=cluster.rng.random() < 0.4)
        except Violation as violation:
            raise Violation(f"{violation}, seed {seed}: {trace}") from None
    return trace


def told(m: GroupMessage) -> str:
    """A message in a trace."""
    return f"{m.sender} to {m.recipient}: {m.kind} at {m.log_index}, {len(m.entries)} entries"


class ReplacesLog(Follower):
    def on_snapshot(self, now: float, m: GroupMessage) -> None:
        if m.snapshot.index > self._state.commit_index:
            self.install_snapshot(m.snapshot)
        self.send_reply(now, m, True, self._state.commit_index)


class ForgetsBeyondSnapshots(Replica):
    """Planted: a snapshot replaces what lies beyond it."""

    follower_type = ReplacesLog


class CommittedIsEnough(ReadLeases):
    @property
    def established(self) -> bool:
        return self._state.is_leader and self._state.commit_index >= self._state.term_start_index


class ServesWhatIsNotApplied(Replica):
    """Planted: the entry of the own term is committed, and not yet in the state."""

    leases_type = CommittedIsEnough


class TimeOfArrival(ReadLeases):
    def is_fresh(self, now: float, within: float) -> bool:
        if self._state.is_leader:
            return now - self.quorum_acked_send_time(now) < within
        return bool(self._state.leader_identity) and now - self._state.last_leader_contact_at < within


class BelievesLateMessages(Replica):
    """Planted: in touch by when a message came, not by when it was sent."""

    leases_type = TimeOfArrival


class SendsMarksBack(Leader):
    def send_entries(self, now: float, replica: str, progress: Progress) -> None:
        with_lease = self._leases.holds_lease
        self._leases.holds_lease = lambda now: True  # type: ignore[method-assign]
        super().send_entries(now, replica, progress)
        self._leases.holds_lease = with_lease  # type: ignore[method-assign]


class ConfirmsWithoutLease(Replica):
    """Planted: a leader that may be deposed says that its followers know all."""

    leader_type = SendsMarksBack


class BelievesMarksAtOnce(Follower):
    def on_append(self, now: float, m: GroupMessage) -> None:
        if m.confirms:
            marked = self._leases.clock_mark_time(now, m.confirms)
            self._leases._fresh_as_of = max(self._leases._fresh_as_of, marked)
        super().on_append(now, m)


class ConfirmedThoughBehind(Replica):
    """Planted: a follower counts as informed before it has what the leader has committed."""

    follower_type = BelievesMarksAtOnce


class MarksByClockAlone(ReadLeases):
    def clock_mark_time(self, now: float, mark: int) -> float:
        return now


class MarksOfAnotherLife(Replica):
    """Planted: marks count by the clock alone; those of a former life pass for own ones."""

    leases_type = MarksByClockAlone


class EndlessLeases(ReadLeases):
    def holds_lease(self, now: float) -> bool:
        return self.established


class LeadsWithoutQuorum(Replica):
    """Planted: the lease does not end."""

    leases_type = EndlessLeases


class Walks(unittest.TestCase):
    def test_every_promise_holds_under_rough_conditions(self) -> None:
        acknowledged = sum(len(walk(seed).acknowledged) for seed in range(WALKS))
        self.assertGreater(acknowledged, 2 * WALKS)

    def test_five_replicas(self) -> None:
        for seed in range(WALKS_OF_FIVE):
            walk(seed, size=5)

    def test_messages_in_any_order_take_nothing_back(self) -> None:
        first = settled(Replica)
        for seed in range(ORDERS):
            any_order(first, seed)


class PlantedMistakes(unittest.TestCase):
    def assert_found(self, made: type[Replica]) -> None:
        self.assertTrue(is_found(made, FOUND_WITHIN, walk), f"{made.__name__} is not found")

    def test_a_late_snapshot_that_takes_acknowledged_entries_back_is_found(self) -> None:
        first = settled(ForgetsBeyondSnapshots)
        with self.assertRaisesRegex(Violation, "acknowledged .* and holds"):
            for seed in range(ORDERS):
                any_order(first, seed)

    def test_an_answer_before_entries_are_applied_is_found(self) -> None:
        self.assert_found(ServesWhatIsNotApplied)

    def test_belief_in_late_messages_is_found(self) -> None:
        self.assert_found(BelievesLateMessages)

    def test_confirmation_without_a_lease_is_found(self) -> None:
        self.assert_found(ConfirmsWithoutLease)

    def test_confirmation_of_a_follower_that_is_behind_is_found(self) -> None:
        self.assert_found(ConfirmedThoughBehind)

    def test_confirmation_by_marks_of_a_former_life_is_found(self) -> None:
        self.assert_found(MarksOfAnotherLife)

    def test_a_lease_without_end_is_found(self) -> None:
        self.assert_found(LeadsWithoutQuorum)


if __name__ == "__main__":
    unittest.main()
