"""A replica group under faults: clock drift, suspended nodes, cut links, slow disks and late messages.

Extends `Cluster`. Each node has a monotonic clock with its own rate and start. A node may be suspended and
resume with undelivered messages. Links are cut in one direction, and what was sent meanwhile arrives late or
never. A sync may take long, and a restart loses any suffix of the unsynced records. Logs are compacted, so
that snapshots arrive late.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from heronstall.distribution.freshness import MAX_STATE_STALENESS
from heronstall.replication.protocol import MessageKind
from heronstall.replication.replica import Replica
from heronstall.transport.messages import DiskRecord, GroupMessage
from tests.tier.cluster import Cluster, Node, Violation

CLOCK_RATES = (0.95, 1.0, 1.05)  # seconds that a node's clock advances per second
MAX_REDELIVERABLE_MESSAGES = 40  # delivered messages that may be delivered once more
CLOCK_RATE_TOLERANCE = 1.15  # upper bound of the ratio of two nodes' clock rates, with a margin


@dataclass
class NodeCondition:
    """The faults and the clock of a node."""

    clock_rate: float
    clock_offset: float  # reading of the node's clock at time zero
    suspended: bool = False
    slow_disk: bool = False
    unsynced_records: list[DiskRecord] = field(default_factory=list)
    unsent_messages: list[GroupMessage] = field(default_factory=list)  # to be sent after the sync


class FaultyCluster(Cluster):
    """Replicas under faults, with every guarantee checked after each event."""

    def __init__(self, size: int, seed: int, replica_type: type[Replica] = Replica) -> None:
        self.conditions: dict[str, NodeCondition] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.delivered_messages: list[GroupMessage] = []
        self.acknowledged_at: list[tuple[float, bytes]] = []
        self.acknowledged_index: dict[str, dict[int, int]] = defaultdict(dict)  # by identity and term
        self.trace: list[str] = []
        super().__init__(size, seed, replica_type)

    # ------------------------------------------------------------------ clocks

    def condition(self, name: str) -> NodeCondition:
        if name not in self.conditions:
            self.conditions[name] = NodeCondition(self.rng.choice(CLOCK_RATES), self.rng.uniform(10, 1000))
        return self.conditions[name]

    def clock(self, name: str) -> float:
        """Returns a node's own monotonic time."""
        condition = self.condition(name)
        return condition.clock_offset + condition.clock_rate * self.now

    # ------------------------------------------------------------------ events

    def tick(self, name: str) -> None:
        node = self.nodes[name]
        if not self.condition(name).suspended:
            node.replica.tick(self.clock(name))
            self.process_output(node)

    def deliver(self, position: int, duplicate: bool = False) -> None:
        message = self.network[position]
        if not self.can_deliver(message):
            return
        recipient = message.recipient.partition("#")[0]
        if not duplicate:
            self.network.pop(position)
            self.delivered_messages = [*self.delivered_messages[-MAX_REDELIVERABLE_MESSAGES:], message]
        node = self.nodes[recipient]
        node.replica.receive(self.clock(recipient), GroupMessage().parse(bytes(message)))
        self.check_before_apply(node)
        self.process_output(node)

    def redeliver(self) -> None:
        """Delivers an earlier message once more, as over another connection."""
        if self.delivered_messages:
            self.network.append(self.rng.choice(self.delivered_messages))
            self.deliver(len(self.network) - 1)

    def compact(self, name: str) -> None:
        """Writes a slot and discards the log before it."""
        replica = self.nodes[name].replica
        if not self.condition(name).unsynced_records:
            snapshot = replica.snapshot_at(replica.applied_index, self.nodes[name].machine.dump())
            self.nodes[name].disk.compact(replica.term, replica.vote, snapshot, replica.log.entries())
            replica.log.discard_up_to(replica.applied_index)

    def sync(self, name: str) -> None:
        """Completes the pending sync of a slow disk."""
        node, condition = self.nodes[name], self.condition(name)
        if condition.suspended or not condition.unsynced_records:
            return
        node.disk.synced += condition.unsynced_records
        condition.unsynced_records = []
        node.replica.on_records_synced(self.clock(name))
        self.network += condition.unsent_messages
        condition.unsent_messages = []
        self.process_output(node)

    def restart(self, name: str, wiped: bool = False) -> None:
        condition = self.condition(name)
        surviving = self.rng.randint(0, len(condition.unsynced_records))
        self.nodes[name].disk.synced += condition.unsynced_records[:surviving]
        condition.unsynced_records, condition.unsent_messages, condition.suspended = [], [], False
        super().restart(name, wiped)

    def propose(self, name: str, size: int = 0) -> None:
        if not self.condition(name).suspended:
            super().propose(name, size)

    def cut_links_of(self, name: str, directions: int) -> None:
        """Cuts a node's links to all others: outgoing (1), incoming (2) or both (3)."""
        for other in self.nodes:
            if directions & 1:
                self.cut_links.add((name, other))
            if directions & 2:
                self.cut_links.add((other, name))

    def restore_links(self, drop_messages: bool) -> None:
        """Ends all cuts; messages held up by them are dropped or become deliverable."""
        if drop_messages:
            self.network = [
                message
                for message in self.network
                if (message.sender.partition("#")[0], message.recipient.partition("#")[0])
                not in self.cut_links
            ]
        self.cut_links.clear()

    def end_faults(self) -> None:
        """Ends all faults."""
        self.restore_links(drop_messages=False)
        for name, condition in self.conditions.items():
            condition.suspended = condition.slow_disk = False
            self.sync(name)

    def can_deliver(self, message: GroupMessage) -> bool:
        """Returns whether a message can arrive now."""
        sender, recipient = (i.partition("#")[0] for i in (message.sender, message.recipient))
        return (sender, recipient) not in self.cut_links and not self.condition(recipient).suspended

    def run(self, seconds: float, among: set[str] | None = None) -> None:
        """Lets time pass and delivers everything deliverable, in order."""
        end = self.now + seconds
        while self.now < end:
            self.pass_time(0.05)
            for name in sorted(among or self.nodes):
                if not self.condition(name).suspended:
                    self.tick(name)
                    self.request_join(name)
                    self.update_membership(name)
            for _ in range(200):
                position = next(
                    (index for index, message in enumerate(self.network) if self.can_deliver(message)), None
                )
                if position is None:
                    break
                self.deliver(position)

    # ------------------------------------------------------------------ handling of a replica's output

    def process_output(self, node: Node) -> None:
        condition = self.condition(node.name)
        for _ in range(8):
            output = node.replica.take_output()
            self.network += output.messages_before_sync
            condition.unsynced_records += output.records
            condition.unsent_messages += output.messages_after_sync
            if not condition.slow_disk:
                node.disk.synced += condition.unsynced_records
                if condition.unsynced_records:
                    node.replica.on_records_synced(self.clock(node.name))
                condition.unsynced_records = []
            if not condition.unsynced_records:
                self.record_acknowledged(node, condition.unsent_messages)
                self.network += condition.unsent_messages
                condition.unsent_messages = []
            if output.snapshot_to_install is not None:
                node.machine.restore(output.snapshot_to_install.state)
            for entry in output.entries_to_apply:
                before = len(self.acknowledged)
                self._apply(node, entry.index, entry.term, entry.kind, entry.data)
                self.acknowledged_at += [(self.now, command) for command in self.acknowledged[before:]]
            if not (
                output.messages_before_sync
                or output.messages_after_sync
                or output.records
                or output.entries_to_apply
                or output.snapshot_to_install
            ):
                break
        self.check_node(node)

    # ------------------------------------------------------------------ guarantees

    def record_acknowledged(self, node: Node, messages: list[GroupMessage]) -> None:
        for message in messages:
            if message.kind == MessageKind.APPEND_REPLY and message.granted:
                highest_index = self.acknowledged_index[node.identity]
                highest_index[message.term] = max(highest_index.get(message.term, 0), message.log_index)

    def check_before_apply(self, node: Node) -> None:
        """Checks the guarantees before the entries of a message are applied.

        A call may be answered at this point.
        """
        self.check_lease(node)
        self.check_freshness(node)

    def check_node(self, node: Node) -> None:
        replica = node.replica
        acknowledged = self.acknowledged_index[node.identity].get(replica.term, 0)
        if replica.log.last_index < acknowledged:
            raise Violation(
                f"{node.identity} acknowledged {acknowledged} but its log ends at {replica.log.last_index}"
            )
        self.check_leader(node)
        self.check_freshness(node)

    def check_freshness(self, node: Node) -> None:
        """Checks that a state served to readers contains everything acknowledged long enough ago."""
        if node.replica.is_fresh(self.clock(node.name), MAX_STATE_STALENESS):
            due = [
                command
                for acknowledged_at, command in self.acknowledged_at
                if self.now - acknowledged_at > MAX_STATE_STALENESS * CLOCK_RATE_TOLERANCE
            ]
            missing = [command for command in due if command not in node.machine.commands]
            if missing:
                raise Violation(f"{node.identity} serves its state but lacks {missing}")

    # ------------------------------------------------------------------ random events

    def random_fault_step(self, max_disk_losses: int) -> None:
        """Performs one random event."""
        draw = self.rng.random()
        name = self.rng.choice(sorted(self.nodes))
        condition = self.condition(name)
        if draw < 0.80:
            super().random_step(max_disk_losses if not self.has_faults() else 0)
        elif draw < 0.84:
            self.compact(name)
        elif draw < 0.88:
            self.redeliver()
        elif draw < 0.91:
            condition.suspended = not condition.suspended and not any(
                other.suspended for other in self.conditions.values()
            )
        elif draw < 0.94:
            if self.cut_links:
                self.restore_links(drop_messages=self.rng.random() < 0.5)
            else:
                self.cut_links_of(name, self.rng.randint(1, 3))
        elif draw < 0.97:
            condition.slow_disk = not condition.slow_disk
            self.sync(name)
        elif draw < 0.98:
            self.sync(name)
        else:
            self.run(0.6)
            for each in self.nodes:
                self.propose(each)
            self.run(0.2)

    def has_faults(self) -> bool:
        """Returns whether any node is suspended, cut off or waiting for its disk."""
        return bool(self.cut_links) or any(
            condition.suspended or condition.slow_disk or condition.unsynced_records
            for condition in self.conditions.values()
        )
