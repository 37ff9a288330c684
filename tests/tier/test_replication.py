"""Replica groups: elections, agreement, lost disks and leases, stepped under a checker of the guarantees."""

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
from tests.tier.cluster import Cluster, Violation, finds_violation

WALKS = 250
STEPS = 400


def walk(seed: int, replica_type: type[Replica] = Replica, size: int = 3, sync_first: bool = True) -> Cluster:
    """Performs a random run with restarts. A disk is lost only after the repair of the last one."""
    cluster = Cluster(size, seed, replica_type, sync_first)
    cluster.run(2.0)
    wiped: str | None = None
    for _ in range(STEPS):
        before = {name: node.incarnation for name, node in cluster.nodes.items()}
        is_repaired = wiped is None or cluster.nodes[wiped].identity in _voters(cluster)
        if is_repaired:
            wiped = None
        cluster.random_step(max_disk_losses=int(is_repaired))
        changed = [name for name, node in cluster.nodes.items() if node.incarnation != before[name]]
        wiped = changed[0] if changed else wiped
    cluster.run(8.0)
    cluster.check_nothing_lost()
    return cluster


def _voters(cluster: Cluster) -> tuple[str, ...]:
    """Returns the voters according to a majority of the nodes; none if there is no such majority."""
    counts: dict[tuple[str, ...], int] = {}
    for node in cluster.nodes.values():
        log = node.replica.log
        committed = (
            log.members_at(node.replica.commit_index) if node.replica.commit_index >= log.base_index else ()
        )
        counts[committed] = counts.get(committed, 0) + 1
    most_common = max(counts, key=lambda voters: counts[voters])
    return most_common if counts[most_common] * 2 > len(cluster.nodes) else ()


class VotesNotPersisted(ReplicaState):
    def record_vote(self) -> None:
        if self.role is Role.CANDIDATE:
            super().record_vote()


class ForgetsVoteAtRestart(Replica):
    """Injected fault: the vote is lost at a restart."""

    state_type = VotesNotPersisted


class CommitsAnyTerm(Leader):
    def advance_commit(self, now: float) -> None:
        index = self._progress.quorum_match_index(self._state.log.members, self._state.durable_index)
        self._state.commit_index = max(self._state.commit_index, index)


class CommitsFormerTermsByCount(Replica):
    """Injected fault: entries of former terms are committed by counting replicas."""

    leader_type = CommitsAnyTerm


class VotesByAddress(Elections):
    def has_quorum(self) -> bool:
        names = {v.partition("#")[0] for v in self._votes}
        return len(names) * 2 > len(self._state.log.members)


class VotesAfterDiskLoss(Replica):
    """Injected fault: a replica that has lost its disk votes under its former identity."""

    elections_type = VotesByAddress

    def receive(self, now: float, message: GroupMessage) -> None:
        if message.recipient.partition("#")[0] == self.identity.partition("#")[0]:
            message.recipient = self.identity
        super().receive(now, message)


class EndlessReadLeases(ReadLeases):
    def holds_lease(self, now: float) -> bool:
        return self.established


class LeaseWithoutEnd(Replica):
    """Injected fault: a leader serves as long as it believes that it leads."""

    leases_type = EndlessReadLeases


class Walks(unittest.TestCase):
    def test_random_walks_keep_all_guarantees(self) -> None:
        acknowledged = sum(len(walk(seed).acknowledged) for seed in range(WALKS))
        self.assertGreater(acknowledged, WALKS)

    def test_five_replicas(self) -> None:
        for seed in range(WALKS // 5):
            walk(seed, size=5)

    def assert_detected(self, replica_type: type[Replica], sync_first: bool = True, size: int = 3) -> None:
        found = finds_violation(
            replica_type, 1500, lambda seed, faulty_type: walk(seed, faulty_type, size, sync_first)
        )
        self.assertTrue(found, f"{replica_type.__name__} is not detected")

    def test_a_vote_lost_at_restart_is_detected(self) -> None:
        self.assert_detected(ForgetsVoteAtRestart)

    def test_a_vote_after_disk_loss_is_detected(self) -> None:
        self.assert_detected(VotesAfterDiskLoss)


class Interleavings(unittest.TestCase):
    def test_all_orders_of_two_proposals_an_election_and_a_restart(self) -> None:
        """Enumerates all orders of two proposals, deliveries, an election and a restart."""
        threads = {
            "first": ("propose n0", "deliver", "deliver"),
            "second": ("propose n1", "deliver"),
            "time": ("elect n1", "deliver", "restart n2"),
        }
        orders = set(itertools.permutations([thread for thread, steps in threads.items() for _ in steps]))
        for order in orders:
            cluster = Cluster(3, 7)
            cluster.run(2.0)
            remaining = {name: list(steps) for name, steps in threads.items()}
            for name in order:
                self.perform(cluster, remaining[name].pop(0))
            cluster.run(6.0)
            leader = cluster.leader()
            assert leader is not None
            self.assertLessEqual(set(cluster.acknowledged), set(leader.machine.commands))
        self.assertEqual(len(orders), 560)

    def perform(self, cluster: Cluster, step: str) -> None:
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


class InjectedFaults(unittest.TestCase):
    """Faults that random walks trigger too rarely, each with the short run that reveals it."""

    def elect(self, cluster: Cluster, name: str, supporter: str) -> None:
        """Lets a node win an election with the vote of one other."""
        cluster.network.clear()
        cluster.pass_time(3.0)
        for _ in range(4):
            cluster.tick(name)
            for _ in range(4):
                self.deliver_among(cluster, {name, supporter}, elections_only=True)
            if cluster.nodes[name].replica.role is Role.LEADER:
                return
            cluster.pass_time(1.0)
        self.fail(f"{name} does not lead")

    def deliver_among(self, cluster: Cluster, nodes: set[str], elections_only: bool = False) -> None:
        """Delivers the pending messages among some nodes and drops the others."""
        waiting, cluster.network = cluster.network, []
        kinds = (MessageKind.PRE_VOTE, MessageKind.PRE_VOTE_REPLY, MessageKind.VOTE, MessageKind.VOTE_REPLY)
        for message in waiting:
            endpoints = {message.sender.partition("#")[0], message.recipient.partition("#")[0]}
            if endpoints <= nodes and (message.kind in kinds or not elections_only):
                cluster.network.append(message)
                cluster.deliver(len(cluster.network) - 1)

    def commit_entry_of_former_term(self, replica_type: type[Replica]) -> None:
        """Replicates an entry of term 2 to a majority in a later term; a leader that lacks it then wins."""
        cluster = Cluster(3, 11, replica_type)
        self.elect(cluster, "n0", "n1")
        cluster.propose("n0", size=MAX_APPEND_BYTES)  # too large to share a message with another entry
        cluster.restart("n0")
        self.elect(cluster, "n2", "n1")  # its first entry is not replicated
        cluster.restart("n2")
        self.elect(cluster, "n0", "n1")
        old_log = cluster.nodes["n0"].replica.log
        while cluster.nodes["n1"].replica.log.last_index < old_log.last_index - 1:
            cluster.pass_time(0.15)
            cluster.tick("n0")
            for _ in range(6):
                cluster.network = [
                    message
                    for message in cluster.network
                    if self.lacks_entries_of(message, old_log.last_term)
                ]
                self.deliver_among(cluster, {"n0", "n1"})
        cluster.restart("n0")
        cluster.restart("n1")
        self.elect(cluster, "n2", "n1")
        cluster.run(4.0)

    @staticmethod
    def lacks_entries_of(message: GroupMessage, term: int) -> bool:
        """Returns whether a message carries only entries of earlier terms."""
        return all(entry.term < term for entry in message.entries)

    def test_commit_of_a_former_term_by_count_is_detected(self) -> None:
        self.commit_entry_of_former_term(Replica)
        with self.assertRaises(Violation):
            self.commit_entry_of_former_term(CommitsFormerTermsByCount)

    def resume_suspended_leader(self, replica_type: type[Replica]) -> None:
        """Suspends a leader while the others elect another one and acknowledge a command, then resumes it."""
        cluster = Cluster(3, 3, replica_type)
        cluster.run(2.0)
        suspended = next(node for node in cluster.nodes.values() if node.replica.role is Role.LEADER)
        others = {name for name in cluster.nodes if name != suspended.name}
        cluster.run(3.0, among=others)
        leader = next(
            cluster.nodes[name] for name in others if cluster.nodes[name].replica.role is Role.LEADER
        )
        cluster.propose(leader.name)
        cluster.run(0.5, among=others)
        self.assertTrue(cluster.acknowledged)
        cluster.process_output(suspended)

    def test_a_lease_without_end_is_detected(self) -> None:
        self.resume_suspended_leader(Replica)
        with self.assertRaises(Violation):
            self.resume_suspended_leader(LeaseWithoutEnd)


class Resending(unittest.TestCase):
    def test_rejections_of_pipelined_messages_resend_entries_once(self) -> None:
        cluster = Cluster(3, 5)
        cluster.run(2.0)
        leader = cluster.leader()
        assert leader is not None
        behind = next(n for n in cluster.nodes if n != leader.name)
        for _ in range(5):  # these do not reach the follower
            cluster.pass_time(0.001)
            cluster.propose(leader.name)
        cluster.network = [m for m in cluster.network if not m.recipient.startswith(behind)]
        cluster.run(0.001, among=set(cluster.nodes) - {behind})
        cluster.network.clear()
        for _ in range(5):  # these arrive, each before the reply to the previous one
            cluster.pass_time(0.001)
            cluster.propose(leader.name)
        to_follower = [m for m in cluster.network if m.recipient.startswith(behind)]
        cluster.network.clear()
        for message in to_follower:
            cluster.nodes[behind].replica.receive(cluster.now, message)
        cluster.process_output(cluster.nodes[behind])
        refusals = list(cluster.network)
        cluster.network.clear()
        cluster.pass_time(0.001)
        for message in refusals:
            leader.replica.receive(cluster.now, message)
        cluster.process_output(leader)
        again = [m for m in cluster.network if m.recipient.startswith(behind) and len(m.entries) >= 5]
        self.assertGreater(len(refusals), 1)
        self.assertEqual(len(again), 1)


class SnapshotsInFlight(unittest.TestCase):
    """Three replicas: one is gone, another needs a snapshot that has not arrived yet."""

    def setUp(self) -> None:
        self.cluster = Cluster(3, 5)
        self.cluster.run(2.0)
        leader = self.cluster.leader()
        assert leader is not None
        self.leader = leader
        self.behind, self.gone = sorted(set(self.cluster.nodes) - {leader.name})
        for _ in range(5):
            self.cluster.propose(leader.name)
            self.cluster.run(0.05, among={leader.name, self.gone})
        leader.replica.log.discard_up_to(leader.replica.applied_index)
        self.held: list[GroupMessage] = []
        self.snapshots = 0

    def run_without_snapshots(self, seconds: float) -> None:
        """Lets time pass between two nodes and holds snapshots back."""
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.pass_time(0.02)
            for name in (self.leader.name, self.behind):
                self.cluster.tick(name)
            while self.cluster.network:
                message = self.cluster.network[0]
                if message.recipient.startswith(self.gone):
                    self.cluster.drop_message(0)
                elif message.kind == MessageKind.SNAPSHOT:
                    self.snapshots += 1
                    self.held.append(self.cluster.network.pop(0))
                else:
                    self.cluster.deliver(0)

    def test_the_leader_keeps_its_lease_and_sends_one_snapshot(self) -> None:
        term = self.leader.replica.term
        self.run_without_snapshots(0.9 * self.cluster.timing.snapshot_resend_interval)
        self.assertEqual(self.snapshots, 1)
        self.assertTrue(self.leader.replica.holds_lease(self.cluster.now))
        self.assertEqual(self.leader.replica.term, term)

    def test_a_reply_to_an_earlier_message_sends_no_second_snapshot(self) -> None:
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

    def test_a_lost_snapshot_is_resent(self) -> None:
        self.run_without_snapshots(1.2 * self.cluster.timing.snapshot_resend_interval)
        self.assertEqual(self.snapshots, 2)
        self.cluster.network.append(self.held[-1])
        self.cluster.run(0.5, among={self.leader.name, self.behind})
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

    def test_the_leader_loses_its_disk_while_all_others_lose_power(self) -> None:
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
        cluster.run(0.3, among={leader.name, other})
        cluster.propose(leader.name)
        cluster.run(0.3, among={leader.name, other})
        cluster.restart(other, wiped=True)
        cluster.run(5.0, among={stale, other})
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

    def test_a_suspended_leader_holds_no_lease_when_it_resumes(self) -> None:
        cluster = self.settled()
        leader = cluster.leader()
        assert leader is not None
        cluster.run(3.0, among={n for n in cluster.nodes if n != leader.name})
        self.assertIs(leader.replica.role, Role.LEADER)
        self.assertFalse(leader.replica.holds_lease(cluster.now))

    def test_a_leader_transfers_leadership_before_shutdown(self) -> None:
        cluster = self.settled()
        leader = cluster.leader()
        assert leader is not None
        leader.replica.transfer_leadership(cluster.now)
        cluster.process_output(leader)
        cluster.run(0.3)
        after = cluster.leader()
        assert after is not None
        self.assertNotEqual(after.name, leader.name)


if __name__ == "__main__":
    unittest.main()
