"""Random runs of a replica group under faults, and injected faults of the code that they detect."""

from __future__ import annotations

import copy
import unittest

from heronstall.replication.follower import Follower
from heronstall.replication.leader import Leader
from heronstall.replication.leases import ReadLeases
from heronstall.replication.progress import Progress
from heronstall.replication.replica import Replica
from heronstall.transport.messages import GroupMessage
from tests.tier.cluster import Violation, finds_violation
from tests.tier.faulty_cluster import FaultyCluster

WALKS, STEPS = 40, 400
FIVE_REPLICA_WALKS = 8
RANDOM_ORDERS, ORDER_STEPS = 240, 30
MAX_WALKS_TO_FIND = 150  # walks within which an injected fault is detected


def walk(seed: int, replica_type: type[Replica] = Replica, size: int = 3) -> FaultyCluster:
    """Performs a random run. A disk is lost only after all nodes know the last loss as repaired."""
    cluster = FaultyCluster(size, seed, replica_type)
    cluster.run(2.0)
    wiped: str | None = None
    for _ in range(STEPS):
        before = {name: node.incarnation for name, node in cluster.nodes.items()}
        if wiped is not None and is_member_everywhere(cluster, wiped):
            wiped = None
        cluster.random_fault_step(int(wiped is None))
        changed = [name for name, node in cluster.nodes.items() if node.incarnation != before[name]]
        wiped = changed[0] if changed else wiped
    cluster.end_faults()
    cluster.run(8.0)
    cluster.check_nothing_lost()
    return cluster


def is_member_everywhere(cluster: FaultyCluster, name: str) -> bool:
    identity = cluster.nodes[name].identity
    return all(identity in node.replica.log.members for node in cluster.nodes.values())


def cluster_with_leader(replica_type: type[Replica]) -> FaultyCluster:
    cluster = FaultyCluster(3, 1, replica_type)
    cluster.run(2.0)
    cluster.network.clear()
    cluster.delivered_messages.clear()
    return cluster


def deliver_in_random_order(first: FaultyCluster, seed: int) -> list[str]:
    """Delivers messages in any order, late and twice, and returns the trace.

    Meanwhile the leader accepts commands and compacts its log.
    """
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
                trace.append(describe(cluster.network[position]))
                cluster.deliver(position, duplicate=cluster.rng.random() < 0.4)
        except Violation as violation:
            raise Violation(f"{violation}, seed {seed}: {trace}") from None
    return trace


def describe(msg: GroupMessage) -> str:
    """Describes a message for a trace."""
    return f"{msg.sender} to {msg.recipient}: {msg.kind} at {msg.log_index}, {len(msg.entries)} entries"


class ReplacesLog(Follower):
    def on_snapshot(self, now: float, message: GroupMessage) -> None:
        if message.snapshot.index > self._state.commit_index:
            self.install_snapshot(message.snapshot)
        self.send_reply(now, message, True, self._state.commit_index)


class DiscardsEntriesAfterSnapshot(Replica):
    """Injected fault: a snapshot replaces the entries after it too."""

    follower_type = ReplacesLog


class EstablishedOnceCommitted(ReadLeases):
    @property
    def established(self) -> bool:
        return self._state.is_leader and self._state.commit_index >= self._state.term_start_index


class ServesBeforeApplying(Replica):
    """Injected fault: serves once the entry of the own term is committed but not yet applied."""

    leases_type = EstablishedOnceCommitted


class FreshnessByArrivalTime(ReadLeases):
    def is_fresh(self, now: float, max_staleness: float) -> bool:
        if self._state.is_leader:
            return now - self.quorum_acked_send_time(now) < max_staleness
        return bool(self._state.leader_identity) and now - self._state.last_leader_contact_at < max_staleness


class TrustsLateMessages(Replica):
    """Injected fault: freshness is judged by when a message arrived, not by when it was sent."""

    leases_type = FreshnessByArrivalTime


class ReturnsMarksWithoutLease(Leader):
    def send_entries(self, now: float, replica: str, progress: Progress) -> None:
        holds_lease = self._leases.holds_lease
        self._leases.holds_lease = lambda now: True  # type: ignore[method-assign]
        super().send_entries(now, replica, progress)
        self._leases.holds_lease = holds_lease  # type: ignore[method-assign]


class ConfirmsWithoutLease(Replica):
    """Injected fault: a leader that may have been replaced confirms its followers' state."""

    leader_type = ReturnsMarksWithoutLease


class RecordsMarksAtOnce(Follower):
    def on_append(self, now: float, message: GroupMessage) -> None:
        if message.confirms:
            marked = self._leases.clock_mark_time(now, message.confirms)
            self._leases._fresh_as_of = max(self._leases._fresh_as_of, marked)
        super().on_append(now, message)


class FreshThoughBehind(Replica):
    """Injected fault: a follower counts as fresh before it has what the leader has committed."""

    follower_type = RecordsMarksAtOnce


class AnyMarkIsCurrent(ReadLeases):
    def clock_mark_time(self, now: float, mark: int) -> float:
        return now


class AcceptsMarksOfFormerRun(Replica):
    """Injected fault: marks made before a restart are taken for own ones."""

    leases_type = AnyMarkIsCurrent


class EndlessReadLeases(ReadLeases):
    def holds_lease(self, now: float) -> bool:
        return self.established


class LeadsWithoutQuorum(Replica):
    """Injected fault: the lease does not end."""

    leases_type = EndlessReadLeases


class Walks(unittest.TestCase):
    def test_all_guarantees_hold_under_faults(self) -> None:
        acknowledged = sum(len(walk(seed).acknowledged) for seed in range(WALKS))
        self.assertGreater(acknowledged, 2 * WALKS)

    def test_five_replicas(self) -> None:
        for seed in range(FIVE_REPLICA_WALKS):
            walk(seed, size=5)

    def test_messages_in_any_order_remove_nothing_acknowledged(self) -> None:
        first = cluster_with_leader(Replica)
        for seed in range(RANDOM_ORDERS):
            deliver_in_random_order(first, seed)


class InjectedFaults(unittest.TestCase):
    def assert_detected(self, replica_type: type[Replica]) -> None:
        self.assertTrue(
            finds_violation(replica_type, MAX_WALKS_TO_FIND, walk), f"{replica_type.__name__} is not detected"
        )

    def test_a_late_snapshot_that_removes_acknowledged_entries_is_detected(self) -> None:
        first = cluster_with_leader(DiscardsEntriesAfterSnapshot)
        with self.assertRaisesRegex(Violation, "acknowledged .* but its log ends at"):
            for seed in range(RANDOM_ORDERS):
                deliver_in_random_order(first, seed)

    def test_an_answer_before_entries_are_applied_is_detected(self) -> None:
        self.assert_detected(ServesBeforeApplying)

    def test_trust_in_late_messages_is_detected(self) -> None:
        self.assert_detected(TrustsLateMessages)

    def test_confirmation_without_a_lease_is_detected(self) -> None:
        self.assert_detected(ConfirmsWithoutLease)

    def test_confirmation_of_a_follower_that_is_behind_is_detected(self) -> None:
        self.assert_detected(FreshThoughBehind)

    def test_confirmation_by_marks_of_a_former_run_is_detected(self) -> None:
        self.assert_detected(AcceptsMarksOfFormerRun)

    def test_a_lease_without_end_is_detected(self) -> None:
        self.assert_detected(LeadsWithoutQuorum)


if __name__ == "__main__":
    unittest.main()
