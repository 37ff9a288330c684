"""Replica groups: elections, agreement, lost disks, leases; stepped under a checker."""

from __future__ import annotations

import itertools
import unittest

from heronstall.replication.elections import Elections
from heronstall.replication.leader import Leader
from heronstall.replication.leases import ReadLeases
from heronstall.replication.protocol import MAX_APPEND_BYTES, MessageKind
from heronstall.replication.replica import Replica
from heronstall.replication.state import ReplicaState, Role
from heronstall.transport.messages import GroupMessage
from tests.tier.cluster import Cluster, Violation, is_found

WALKS = 250
STEPS = 400


def walk(seed: int, made: type[Replica] = Replica, size: int = 3, sync_first: bool = True) -> Cluster:
    """A drawn run with restarts; one disk at a time is lost, the next when the former is whole again."""
    cluster = Cluster(size, seed, made, sync_first)
    cluster.run(2.0)
    wiped: str | None = None
    for _ in range(STEPS):
        before = {n: node.incarnation for n, node in cluster.nodes.items()}
        healed = wiped is None or cluster.nodes[wiped].identity in _voters(cluster)
        if healed:
            wiped = None
        cluster.step_at_random(wipes=int(healed))
        changed = [n for n, node in cluster.nodes.items() if node.incarnation != before[n]]
        wiped = changed[0] if changed else wiped
    cluster.run(8.0)
    cluster.check_nothing_lost()
    return cluster


def _voters(cluster: Cluster) -> tuple[str, ...]:
    """Voters by a majority of the nodes."""
    counts: dict[tuple[str, ...], int] = {}
    for node in cluster.nodes.values():
        log = node.replica.log
        committed = (
            log.members_at(node.replica.commit_index) if node.replica.commit_index >= log.base_index else ()
        )
        counts[committed] = counts.get(committed, 0) + 1
    best = max(counts, key=lambda v: counts[v])
    return best if counts[best] * 2 > len(cluster.nodes) else ()


class UnwrittenVotes(ReplicaState):
    def record_vote(self) -> None:
        if self.role is Role.CANDIDATE:
            super().record_vote()


class VotesTwice(Replica):
    """Planted: forgets its vote at a restart."""

    state_type = UnwrittenVotes


class AnyTerm(Leader):
    def advance_commit(self, now: float) -> None:
        index = self._progress.quorum_match_index(self._state.log.members, self._state.durable_index)
        self._state.commit_index = max(self._state.commit_index, index)


class CommitsByCount(Replica):
    """Planted: commits entries of former terms by count."""

    leader_type = AnyTerm


class VotesByAddress(Elections):
    def has_quorum(self) -> bool:
        names = {v.partition("#")[0] for v in self._votes}
        return len(names) * 2 > len(self._state.log.members)


class Forgetful(Replica):
    """Planted: a replica without its disk votes under its former identity."""

    elections_type = VotesByAddress

    def receive(self, now: float, m: GroupMessage) -> None:
        if m.recipient.partition("#")[0] == self.identity.partition("#")[0]:
            m.recipient = self.identity
        super().receive(now, m)


class EndlessLeases(ReadLeases):
    def holds_lease(self, now: float) -> bool:
        return self.established


class NoLeaseLimit(Replica):
    """Planted: a leader serves as long as it believes itself to lead."""

    leases_type = EndlessLeases


class Walks(unittest.TestCase):
    def test_random_walks_keep_every_promise(self) -> None:
        acknowledged = sum(len(walk(seed).acknowledged) for seed in range(WALKS))
        self.assertGreater(acknowledged, WALKS)

    def test_five_replicas(self) -> None:
        for seed in range(WALKS // 5):
            walk(seed, size=5)

    def assert_found(self, made: type[Replica], sync_first: bool = True, size: int = 3) -> None:
        found = is_found(made, 1500, lambda seed, planted: walk(seed, planted, size, sync_first))
        self.assertTrue(found, f"{made.__name__} is not found")

    def test_a_forgotten_vote_is_found(self) -> None:
        self.assert_found(VotesTwice)

    def test_a_vote_after_the_loss_of_the_disk_is_found(self) -> None:
        self.assert_found(Forgetful)


class Interleavings(unittest.TestCase):
    def test_all_orders_of_two_proposals_a_cut_and_an_election(self) -> None:
        """Every order of a few threads: two operators, a leader that is cut off, a restart, an election."""
        threads = {
            "first": ("propose n0", "deliver", "deliver"),
            "second": ("propose n1", "deliver"),
            "time": ("elect n1", "deliver", "restart n2"),
        }
        orders = set(itertools.permutations([t for t, steps in threads.items() for _ in steps]))
        for order in orders:
            cluster = Cluster(3, 7)
            cluster.run(2.0)
            left = {name: list(steps) for name, steps in threads.items()}
            for name in order:
                self.take(cluster, left[name].pop(0))
            cluster.run(6.0)
            leader = cluster.leader()
            assert leader is not None
            self.assertLessEqual(set(cluster.acknowledged), set(leader.machine.commands))
        self.assertEqual(len(orders), 560)

    def take(self, cluster: Cluster, step: str) -> None:
        verb, _, name = step.partition(" ")
        if verb == "propose":
            cluster.propose(name)
        elif verb == "deliver" and cluster.network:
            cluster.deliver(0)
        elif verb == "elect":
            cluster.pass_time(2.0)
            cluster.tick(name)
        elif verb == "restart":
            cluster.restart(name)


class PlantedMistakes(unittest.TestCase):
    """Mistakes that random walks meet too seldom, each with the short run that shows it."""

    def lead(self, cluster: Cluster, name: str, voter: str) -> None:
        """Have a node win an election with the vote of one other."""
        cluster.network.clear()
        cluster.pass_time(3.0)
        for _ in range(4):
            cluster.tick(name)
            for _ in range(4):
                self.pass_on(cluster, {name, voter}, elections_only=True)
            if cluster.nodes[name].replica.role is Role.LEADER:
                return
            cluster.pass_time(1.0)
        self.fail(f"{name} does not lead")

    def pass_on(self, cluster: Cluster, among: set[str], elections_only: bool = False) -> None:
        """Deliver what waits among some nodes, and lose the rest."""
        waiting, cluster.network = cluster.network, []
        kinds = (MessageKind.PRE_VOTE, MessageKind.PRE_VOTE_REPLY, MessageKind.VOTE, MessageKind.VOTE_REPLY)
        for m in waiting:
            ends = {m.sender.partition("#")[0], m.recipient.partition("#")[0]}
            if ends <= among and (m.kind in kinds or not elections_only):
                cluster.network.append(m)
                cluster.deliver(len(cluster.network) - 1)

    def entry_of_a_former_term(self, made: type[Replica]) -> None:
        """An entry of term 2 reaches a majority in a later term; a leader that lacks it then wins."""
        cluster = Cluster(3, 11, made)
        self.lead(cluster, "n0", "n1")
        cluster.propose("n0", size=MAX_APPEND_BYTES)  # so large that it travels alone
        cluster.restart("n0")
        self.lead(cluster, "n2", "n1")  # its first entry stays with it
        cluster.restart("n2")
        self.lead(cluster, "n0", "n1")
        old = cluster.nodes["n0"].replica.log
        while cluster.nodes["n1"].replica.log.last_index < old.last_index - 1:
            cluster.pass_time(0.15)
            cluster.tick("n0")
            for _ in range(6):
                cluster.network = [m for m in cluster.network if self.former(m, old.last_term)]
                self.pass_on(cluster, {"n0", "n1"})
        cluster.restart("n0")
        cluster.restart("n1")
        self.lead(cluster, "n2", "n1")
        cluster.run(4.0)

    @staticmethod
    def former(m: GroupMessage, term: int) -> bool:
        """Whether a message brings no entry of a term."""
        return all(e.term < term for e in m.entries)

    def test_a_commit_by_count_of_a_former_term_is_found(self) -> None:
        self.entry_of_a_former_term(Replica)
        with self.assertRaises(Violation):
            self.entry_of_a_former_term(CommitsByCount)

    def frozen_leader(self, made: type[Replica]) -> None:
        """A leader stands still while the others elect another and acknowledge a command; it wakes."""
        cluster = Cluster(3, 3, made)
        cluster.run(2.0)
        frozen = next(n for n in cluster.nodes.values() if n.replica.role is Role.LEADER)
        others = {n for n in cluster.nodes if n != frozen.name}
        cluster.run(3.0, only=others)
        leader = next(cluster.nodes[n] for n in others if cluster.nodes[n].replica.role is Role.LEADER)
        cluster.propose(leader.name)
        cluster.run(0.5, only=others)
        self.assertTrue(cluster.acknowledged)
        cluster.settle(frozen)

    def test_a_lease_without_end_is_found(self) -> None:
        self.frozen_leader(Replica)
        with self.assertRaises(Violation):
            self.frozen_leader(NoLeaseLimit)


class Resending(unittest.TestCase):
    def test_refusals_of_messages_on_their_way_send_entries_again_once(self) -> None:
        cluster = Cluster(3, 5)
        cluster.run(2.0)
        leader = cluster.leader()
        assert leader is not None
        behind = next(n for n in cluster.nodes if n != leader.name)
        for _ in range(5):  # the follower misses these
            cluster.pass_time(0.001)
            cluster.propose(leader.name)
        cluster.network = [m for m in cluster.network if not m.recipient.startswith(behind)]
        cluster.run(0.001, only=set(cluster.nodes) - {behind})
        cluster.network.clear()
        for _ in range(5):  # these come through, each before an answer to the one before
            cluster.pass_time(0.001)
            cluster.propose(leader.name)
        to_follower = [m for m in cluster.network if m.recipient.startswith(behind)]
        cluster.network.clear()
        for message in to_follower:
            cluster.nodes[behind].replica.receive(cluster.now, message)
        cluster.settle(cluster.nodes[behind])
        refusals = list(cluster.network)
        cluster.network.clear()
        cluster.pass_time(0.001)
        for message in refusals:
            leader.replica.receive(cluster.now, message)
        cluster.settle(leader)
        again = [m for m in cluster.network if m.recipient.startswith(behind) and len(m.entries) >= 5]
        self.assertGreater(len(refusals), 1)
        self.assertEqual(len(again), 1)


class SnapshotsOnTheirWay(unittest.TestCase):
    """Three replicas: one gone, one behind the leader's log whose snapshot has not come yet."""

    def setUp(self) -> None:
        self.cluster = Cluster(3, 5)
        self.cluster.run(2.0)
        leader = self.cluster.leader()
        assert leader is not None
        self.leader = leader
        self.behind, self.gone = sorted(set(self.cluster.nodes) - {leader.name})
        for _ in range(5):
            self.cluster.propose(leader.name)
            self.cluster.run(0.05, only={leader.name, self.gone})
        leader.replica.log.discard_up_to(leader.replica.applied_index)
        self.held: list[GroupMessage] = []
        self.snapshots = 0

    def run_without_snapshots(self, seconds: float) -> None:
        """Let time pass between two nodes; snapshots are held back."""
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.pass_time(0.02)
            for name in (self.leader.name, self.behind):
                self.cluster.tick(name)
            while self.cluster.network:
                message = self.cluster.network[0]
                if message.recipient.startswith(self.gone):
                    self.cluster.lose(0)
                elif message.kind == MessageKind.SNAPSHOT:
                    self.snapshots += 1
                    self.held.append(self.cluster.network.pop(0))
                else:
                    self.cluster.deliver(0)

    def test_the_leader_stays_and_sends_one_snapshot(self) -> None:
        term = self.leader.replica.term
        self.run_without_snapshots(0.9 * self.cluster.timing.snapshot_resend_interval)
        self.assertEqual(self.snapshots, 1)
        self.assertTrue(self.leader.replica.holds_lease(self.cluster.now))
        self.assertEqual(self.leader.replica.term, term)

    def test_an_answer_to_an_earlier_message_sends_no_second_one(self) -> None:
        self.run_without_snapshots(0.2)
        earlier = GroupMessage(
            group=self.leader.replica.group,
            sender=self.cluster.nodes[self.behind].identity,
            recipient=self.leader.identity,
            term=self.leader.replica.term,
            kind=MessageKind.APPEND_REPLY,
            granted=True,
            log_index=1,
            round=int((self.cluster.now - 1) * 1e6),
        )
        self.leader.replica.receive(self.cluster.now, earlier)
        self.run_without_snapshots(0.5)
        self.assertEqual(self.snapshots, 1)

    def test_a_lost_snapshot_is_sent_again(self) -> None:
        self.run_without_snapshots(1.2 * self.cluster.timing.snapshot_resend_interval)
        self.assertEqual(self.snapshots, 2)
        self.cluster.network.append(self.held[-1])
        self.cluster.run(0.5, only={self.leader.name, self.behind})
        behind = self.cluster.nodes[self.behind]
        self.assertEqual(behind.machine.commands, self.leader.machine.commands)


class Losses(unittest.TestCase):
    def settled(self, size: int = 3) -> Cluster:
        cluster = Cluster(size, 3)
        cluster.run(2.0)
        leader = cluster.leader()
        assert leader is not None
        cluster.propose(leader.name)
        cluster.run(0.5)
        self.assertEqual(len(cluster.acknowledged), 1)
        return cluster

    def test_the_acknowledger_loses_its_disk_while_all_others_lose_power(self) -> None:
        cluster = self.settled()
        leader = cluster.leader()
        assert leader is not None
        cluster.network.clear()
        for name in cluster.nodes:
            cluster.restart(name, wiped=name == leader.name)
        cluster.run(6.0)
        after = cluster.leader()
        assert after is not None
        self.assertEqual(after.machine.commands, cluster.acknowledged)
        self.assertIn(cluster.nodes[leader.name].identity, after.replica.log.members)

    def test_an_empty_replica_and_a_stale_one_are_no_majority(self) -> None:
        cluster = self.settled()
        leader = cluster.leader()
        assert leader is not None
        stale, other = (n for n in cluster.nodes if n != leader.name)
        cluster.run(0.3, only={leader.name, other})
        cluster.propose(leader.name)
        cluster.run(0.3, only={leader.name, other})
        cluster.restart(other, wiped=True)
        cluster.run(5.0, only={stale, other})
        self.assertIsNone(cluster.leader())

    def test_two_of_five_may_lose_their_disks_at_once(self) -> None:
        cluster = self.settled(5)
        leader = cluster.leader()
        assert leader is not None
        other = next(n for n in cluster.nodes if n != leader.name)
        for name in cluster.nodes:
            cluster.restart(name, wiped=name in (leader.name, other))
        cluster.run(8.0)
        after = cluster.leader()
        assert after is not None
        self.assertEqual(after.machine.commands, cluster.acknowledged)
        self.assertEqual(len(after.replica.log.members), 5)

    def test_a_frozen_leader_serves_nothing_when_it_wakes(self) -> None:
        cluster = self.settled()
        leader = cluster.leader()
        assert leader is not None
        cluster.run(3.0, only={n for n in cluster.nodes if n != leader.name})
        self.assertIs(leader.replica.role, Role.LEADER)
        self.assertFalse(leader.replica.holds_lease(cluster.now))

    def test_a_leader_hands_over_before_it_ends(self) -> None:
        cluster = self.settled()
        leader = cluster.leader()
        assert leader is not None
        leader.replica.transfer_leadership(cluster.now)
        cluster.settle(leader)
        cluster.run(0.3)
        after = cluster.leader()
        assert after is not None
        self.assertNotEqual(after.name, leader.name)


if __name__ == "__main__":
    unittest.main()
