"""Elections right after restarts: no wait if all voters deny leading, and no lease is violated."""

from __future__ import annotations

import unittest

from heronstall.replication.elections import Elections
from heronstall.replication.protocol import MessageKind, Timing, quorum_size
from heronstall.replication.replica import Replica
from heronstall.replication.state import Role
from tests.tier.cluster import Cluster, Violation, finds_violation
from tests.tier.faulty_cluster import FaultyCluster

# Seconds until there is a leader again; a normal election waits at least 0.45.
FAST_ELECTION_LIMIT = 0.35
WALKS, ROUNDS = 32, 12
STEPS, STEP_SECONDS = 40, 0.0125  # steps of a round; seconds of a step
MAX_WALKS_TO_FIND = 100  # walks within which an injected fault is detected


def walk(seed: int, replica_type: type[Replica] = Replica, size: int = 3) -> None:
    """Performs rounds of restarts, each with a node cut off or suspended at a random time shortly after."""
    cluster = FaultyCluster(size, seed, replica_type)
    cluster.run(2.0)
    for _ in range(ROUNDS):
        restart_round(cluster)
        cluster.end_faults()
        cluster.run(cluster.rng.choice((0.1, 0.5, 1.5)))
    cluster.run(8.0)
    cluster.check_nothing_lost()


def restart_round(cluster: FaultyCluster) -> None:
    """Simulates half a second in small steps; every leader accepts commands."""
    rng, names = cluster.rng, sorted(cluster.nodes)
    for name in rng.sample(names, rng.randint(1, len(names))):
        cluster.restart(name)
    victim, fault_step = rng.choice(names), rng.randrange(STEPS // 2)
    for step in range(STEPS):
        cluster.pass_time(STEP_SECONDS)
        if step == fault_step and rng.random() < 0.3:
            cluster.condition(victim).suspended = True
        elif step == fault_step:
            cluster.cut_links_of(victim, rng.randint(1, 3))
        for name in rng.sample(names, len(names)):
            cluster.tick(name)
            if cluster.nodes[name].replica.role is Role.LEADER and rng.random() < 0.2:
                cluster.propose(name)
        for _ in range(len(cluster.network)):
            position = rng.randrange(len(cluster.network)) if cluster.network else None
            if position is not None and rng.random() < 0.9:
                cluster.deliver(position)
        if rng.random() < 0.1:
            cluster.restart(rng.choice(names))


def cluster_with_leader(size: int = 3, seed: int = 1) -> Cluster:
    """Returns a cluster with a leader."""
    cluster = Cluster(size, seed)
    cluster.run(2.0)
    return cluster


def cut_off_leader_during_votes(replica_type: type[Replica], seed: int) -> None:
    """Restarts all nodes but the leader and cuts the leader off once one of them requests votes."""
    cluster = Cluster(3, seed, replica_type)
    cluster.run(2.0)
    leader = cluster.leader()
    assert leader is not None
    others = sorted(set(cluster.nodes) - {leader.name})
    for name in others:
        cluster.restart(name)
    is_cut = False
    for _ in range(STEPS):
        cluster.pass_time(STEP_SECONDS)
        for node in list(cluster.nodes.values()):
            cluster.tick(node.name)
            if node is not leader and node.replica.role is Role.LEADER:
                cluster.propose(node.name)
        for _ in range(50):
            is_cut = is_cut or any(message.kind == MessageKind.VOTE for message in cluster.network)
            if is_cut:
                cluster.network = [
                    message for message in cluster.network if message.recipient != leader.identity
                ]
            if cluster.network:
                cluster.deliver(0)


def time_until_lease(cluster: Cluster, limit: float, among: set[str] | None = None) -> float | None:
    """Returns the seconds until a node holds a lease, or None if that takes longer than `limit`."""
    started_at = cluster.now
    while cluster.now - started_at < limit:
        cluster.run(0.05, among)
        nodes = [cluster.nodes[name] for name in among or cluster.nodes]
        if any(node.replica.holds_lease(cluster.clock(node.name)) for node in nodes):
            return cluster.now - started_at
    return None


class Restarts(unittest.TestCase):
    def test_all_restart_at_once(self) -> None:
        for size in (3, 5):
            for seed in range(30):
                cluster = cluster_with_leader(size, seed)
                for name in cluster.nodes:
                    cluster.restart(name)
                self.assertIsNotNone(time_until_lease(cluster, FAST_ELECTION_LIMIT), (size, seed))

    def test_the_last_voter_to_restart_completes_the_quorum(self) -> None:
        for seed in range(30):
            cluster = cluster_with_leader(3, seed)
            for name in cluster.nodes:
                cluster.restart(name)
            self.assertIsNone(time_until_lease(cluster, 0.2, among={"n0", "n1"}), seed)
            self.assertIsNotNone(time_until_lease(cluster, FAST_ELECTION_LIMIT), seed)

    def test_a_restarted_leader_is_replaced_without_waiting(self) -> None:
        for seed in range(30):
            cluster = cluster_with_leader(3, seed)
            leader = cluster.leader()
            assert leader is not None
            cluster.restart(leader.name)
            self.assertIsNotNone(time_until_lease(cluster, FAST_ELECTION_LIMIT), seed)

    def test_restarted_followers_do_not_disturb_the_leader(self) -> None:
        for seed in range(30):
            cluster = cluster_with_leader(3, seed)
            leader = cluster.leader()
            assert leader is not None
            term = leader.replica.term
            for name in cluster.nodes:
                if name != leader.name:
                    cluster.restart(name)
            cluster.run(1.0)
            self.assertIs(cluster.leader(), leader)
            self.assertEqual(leader.replica.term, term)

    def test_without_the_reply_of_one_voter_the_others_wait_for_the_lease_to_expire(self) -> None:
        for seed in range(30):
            cluster = cluster_with_leader(3, seed)
            leader = cluster.leader()
            assert leader is not None
            others = set(cluster.nodes) - {leader.name}
            for name in others:
                cluster.restart(name)
            self.assertIsNone(time_until_lease(cluster, Timing().lease_duration, among=others), seed)
            self.assertIsNotNone(time_until_lease(cluster, 3.0, among=others), seed)


class Walks(unittest.TestCase):
    def test_random_walks_keep_all_guarantees(self) -> None:
        for seed in range(WALKS):
            walk(seed)
        for seed in range(WALKS // 4):
            walk(seed, size=5)


class AnyRoleDeniesLeading(Elections):
    def cannot_lead_before(self, term: int) -> bool:
        return term == self._state.term + 1


class LeaderDeniesLeading(Replica):
    """Injected fault: a leader says that it cannot lead."""

    elections_type = AnyRoleDeniesLeading


class MajoritySuffices(Elections):
    def no_voter_can_lead(self) -> bool:
        members = self._state.log.members
        return len(self._unable_to_lead & set(members)) + 1 >= quorum_size(len(members))


class MajorityDeniesLeading(Replica):
    """Injected fault: the replies of a majority are enough."""

    elections_type = MajoritySuffices


class InjectedFaults(unittest.TestCase):
    def assert_detected(self, replica_type: type[Replica]) -> None:
        self.assertTrue(
            finds_violation(replica_type, MAX_WALKS_TO_FIND, walk), f"{replica_type.__name__} is not detected"
        )

    def test_a_leader_that_denies_leading_is_detected(self) -> None:
        for seed in range(5):
            cut_off_leader_during_votes(Replica, seed)
        with self.assertRaisesRegex(Violation, "holds a lease but lacks"):
            for seed in range(5):
                cut_off_leader_during_votes(LeaderDeniesLeading, seed)

    def test_a_majority_instead_of_all_voters_is_detected(self) -> None:
        self.assert_detected(MajorityDeniesLeading)


if __name__ == "__main__":
    unittest.main()
