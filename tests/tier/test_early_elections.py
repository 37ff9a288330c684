"""Elections right after restarts: no wait where all voters say that nobody leads, and no lease is broken."""

from __future__ import annotations

import unittest

from heronstall.replication.elections import Elections
from heronstall.replication.protocol import MessageKind, Timing, quorum_size
from heronstall.replication.replica import Replica
from heronstall.replication.state import Role
from tests.tier.cluster import Cluster, Violation, is_found
from tests.tier.rough_cluster import RoughCluster

SOON = 0.35  # seconds until there is a leader again, of which a normal election would wait 0.45 and more
WALKS, ROUNDS = 32, 12
STEPS, STEP = 40, 0.0125  # of a round; seconds
FOUND_WITHIN = 100  # walks in which a planted mistake is found


def walk(seed: int, made: type[Replica] = Replica, size: int = 3) -> None:
    """Rounds of restarts, each with a node cut off, or standing still, at a drawn moment just after them."""
    cluster = RoughCluster(size, seed, made)
    cluster.run(2.0)
    for _ in range(ROUNDS):
        round_of_restarts(cluster)
        cluster.calm()
        cluster.run(cluster.rng.choice((0.1, 0.5, 1.5)))
    cluster.run(8.0)
    cluster.check_nothing_lost()


def round_of_restarts(cluster: RoughCluster) -> None:
    """Half a second in small steps; whoever leads takes commands."""
    rng, names = cluster.rng, sorted(cluster.nodes)
    for each in rng.sample(names, rng.randint(1, len(names))):
        cluster.restart(each)
    struck, moment = rng.choice(names), rng.randrange(STEPS // 2)
    for number in range(STEPS):
        cluster.pass_time(STEP)
        if number == moment and rng.random() < 0.3:
            cluster.condition(struck).frozen = True
        elif number == moment:
            cluster.cut_off(struck, rng.randint(1, 3))
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


def settled(size: int = 3, seed: int = 1) -> Cluster:
    """A group with a leader."""
    cluster = Cluster(size, seed)
    cluster.run(2.0)
    return cluster


def leader_cut_off_while_votes_travel(made: type[Replica], seed: int) -> None:
    """All but the leader start again; once one of them asks for votes, the leader hears nothing more."""
    cluster = Cluster(3, seed, made)
    cluster.run(2.0)
    leader = cluster.leader()
    assert leader is not None
    others = sorted(set(cluster.nodes) - {leader.name})
    for name in others:
        cluster.restart(name)
    cut = False
    for _ in range(STEPS):
        cluster.pass_time(STEP)
        for node in list(cluster.nodes.values()):
            cluster.tick(node.name)
            if node is not leader and node.replica.role is Role.LEADER:
                cluster.propose(node.name)
        for _ in range(50):
            cut = cut or any(m.kind == MessageKind.VOTE for m in cluster.network)
            if cut:
                cluster.network = [m for m in cluster.network if m.recipient != leader.identity]
            if cluster.network:
                cluster.deliver(0)


def led_within(cluster: Cluster, most: float, only: set[str] | None = None) -> float | None:
    """Seconds until some node may serve; None for more than so many."""
    began = cluster.now
    while cluster.now - began < most:
        cluster.run(0.05, only)
        able = [cluster.nodes[name] for name in only or cluster.nodes]
        if any(node.replica.holds_lease(cluster.clock(node.name)) for node in able):
            return cluster.now - began
    return None


class Situations(unittest.TestCase):
    def test_all_start_again_at_once(self) -> None:
        for size in (3, 5):
            for seed in range(30):
                cluster = settled(size, seed)
                for name in cluster.nodes:
                    cluster.restart(name)
                self.assertIsNotNone(led_within(cluster, SOON), (size, seed))

    def test_the_last_one_to_start_completes_the_answer(self) -> None:
        for seed in range(30):
            cluster = settled(3, seed)
            for name in cluster.nodes:
                cluster.restart(name)
            self.assertIsNone(led_within(cluster, 0.2, only={"n0", "n1"}), seed)
            self.assertIsNotNone(led_within(cluster, SOON), seed)

    def test_a_leader_that_starts_again_is_replaced_without_a_wait(self) -> None:
        for seed in range(30):
            cluster = settled(3, seed)
            leader = cluster.leader()
            assert leader is not None
            cluster.restart(leader.name)
            self.assertIsNotNone(led_within(cluster, SOON), seed)

    def test_a_follower_that_starts_again_disturbs_nobody(self) -> None:
        for seed in range(30):
            cluster = settled(3, seed)
            leader = cluster.leader()
            assert leader is not None
            term = leader.replica.term
            for name in cluster.nodes:
                if name != leader.name:
                    cluster.restart(name)
            cluster.run(1.0)
            self.assertIs(cluster.leader(), leader)
            self.assertEqual(leader.replica.term, term)

    def test_without_the_word_of_one_voter_the_others_wait_as_long_as_a_lease_may_last(self) -> None:
        for seed in range(30):
            cluster = settled(3, seed)
            leader = cluster.leader()
            assert leader is not None
            others = set(cluster.nodes) - {leader.name}
            for name in others:
                cluster.restart(name)
            self.assertIsNone(led_within(cluster, Timing().lease_duration, only=others), seed)
            self.assertIsNotNone(led_within(cluster, 3.0, only=others), seed)


class Walks(unittest.TestCase):
    def test_no_promise_is_broken(self) -> None:
        for seed in range(WALKS):
            walk(seed)
        for seed in range(WALKS // 4):
            walk(seed, size=5)


class AnyRoleCannotLead(Elections):
    def cannot_lead_before(self, term: int) -> bool:
        return term == self._state.term + 1


class LeaderDeniesLeading(Replica):
    """Planted: a leader says that it cannot lead."""

    elections_type = AnyRoleCannotLead


class MajorityIsEnough(Elections):
    def no_voter_can_lead(self) -> bool:
        members = self._state.log.members
        return len(self._unable_to_lead & set(members)) + 1 >= quorum_size(len(members))


class MajorityDeniesLeading(Replica):
    """Planted: a majority's word is enough."""

    elections_type = MajorityIsEnough


class PlantedMistakes(unittest.TestCase):
    def assert_found(self, made: type[Replica]) -> None:
        self.assertTrue(is_found(made, FOUND_WITHIN, walk), f"{made.__name__} is not found")

    def test_a_leader_that_denies_leading_is_found(self) -> None:
        for seed in range(5):
            leader_cut_off_while_votes_travel(Replica, seed)
        with self.assertRaisesRegex(Violation, "may serve and has not"):
            for seed in range(5):
                leader_cut_off_while_votes_travel(LeaderDeniesLeading, seed)

    def test_a_majority_instead_of_all_is_found(self) -> None:
        self.assert_found(MajorityDeniesLeading)


if __name__ == "__main__":
    unittest.main()
