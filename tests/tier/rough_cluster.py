"""A replica group under rough conditions: clocks at unlike rates, freezes, cuts, slow disks, late messages.

Adds to `Cluster`: each node has a steady clock of its own rate and start; it may stand still and wake with
messages in hand; links are cut one way, and what was sent meanwhile arrives late or never; a sync may be
long, and a restart loses any end of what was not synced; logs are compacted, so that snapshots travel late.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from heronstall.distribution.freshness import MAX_STATE_STALENESS
from heronstall.replication.protocol import MessageKind
from heronstall.replication.replica import Replica
from heronstall.transport.messages import DiskRecord, GroupMessage
from tests.tier.cluster import Cluster, Node, Violation

RATES = (0.95, 1.0, 1.05)  # seconds of a node's clock in a second
KEPT_MESSAGES = 40  # delivered messages that may arrive once more
SLACK = 1.15  # of seconds by one node's clock, seen from another's


@dataclass
class Condition:
    """What is special about a node at a moment."""

    rate: float
    started: float  # of its clock
    frozen: bool = False
    slow_disk: bool = False
    unsynced: list[DiskRecord] = field(default_factory=list)
    held: list[GroupMessage] = field(default_factory=list)  # that must not leave before the sync


class RoughCluster(Cluster):
    """Replicas under rough conditions, each promise checked after each event."""

    def __init__(self, size: int, seed: int, made: type[Replica] = Replica) -> None:
        self.conditions: dict[str, Condition] = {}
        self.cut: set[tuple[str, str]] = set()
        self.delivered: list[GroupMessage] = []
        self.acknowledged_at: list[tuple[float, bytes]] = []
        self.promised: dict[str, dict[int, int]] = defaultdict(dict)  # by identity and term: highest index
        self.trace: list[str] = []
        super().__init__(size, seed, made)

    # ------------------------------------------------------------------ clocks

    def condition(self, name: str) -> Condition:
        if name not in self.conditions:
            self.conditions[name] = Condition(self.rng.choice(RATES), self.rng.uniform(10, 1000))
        return self.conditions[name]

    def clock(self, name: str) -> float:
        """A node's own steady time."""
        condition = self.condition(name)
        return condition.started + condition.rate * self.now

    # ------------------------------------------------------------------ events

    def tick(self, name: str) -> None:
        node = self.nodes[name]
        if not self.condition(name).frozen:
            node.replica.tick(self.clock(name))
            self.settle(node)

    def deliver(self, position: int, keep: bool = False) -> None:
        message = self.network[position]
        if not self.deliverable(message):
            return
        recipient = message.recipient.partition("#")[0]
        if not keep:
            self.network.pop(position)
            self.delivered = [*self.delivered[-KEPT_MESSAGES:], message]
        node = self.nodes[recipient]
        node.replica.receive(self.clock(recipient), GroupMessage().parse(bytes(message)))
        self.check_between(node)
        self.settle(node)

    def deliver_again(self) -> None:
        """A message that was delivered long ago arrives on another connection."""
        if self.delivered:
            self.network.append(self.rng.choice(self.delivered))
            self.deliver(len(self.network) - 1)

    def compact(self, name: str) -> None:
        """A slot is written: the log before it goes."""
        replica = self.nodes[name].replica
        if not self.condition(name).unsynced:
            snapshot = replica.snapshot_at(replica.applied_index, self.nodes[name].machine.dump())
            self.nodes[name].disk.compact(replica.term, replica.vote, snapshot, replica.log.entries())
            replica.log.discard_up_to(replica.applied_index)

    def sync(self, name: str) -> None:
        """A slow disk has done what it was told."""
        node, condition = self.nodes[name], self.condition(name)
        if condition.frozen or not condition.unsynced:
            return
        node.disk.synced += condition.unsynced
        condition.unsynced = []
        node.replica.on_records_synced(self.clock(name))
        self.network += condition.held
        condition.held = []
        self.settle(node)

    def restart(self, name: str, wiped: bool = False) -> None:
        condition = self.condition(name)
        kept = self.rng.randint(0, len(condition.unsynced))
        self.nodes[name].disk.synced += condition.unsynced[:kept]
        condition.unsynced, condition.held, condition.frozen = [], [], False
        super().restart(name, wiped)

    def propose(self, name: str, size: int = 0) -> None:
        if not self.condition(name).frozen:
            super().propose(name, size)

    def cut_off(self, name: str, ways: int) -> None:
        """Cut a node off from all others: what it sends, what it is sent, or both."""
        for other in self.nodes:
            if ways & 1:
                self.cut.add((name, other))
            if ways & 2:
                self.cut.add((other, name))

    def heal(self, lose: bool) -> None:
        """End all cuts; what was held up is lost with its connections, or arrives now."""
        if lose:
            self.network = [
                m
                for m in self.network
                if (m.sender.partition("#")[0], m.recipient.partition("#")[0]) not in self.cut
            ]
        self.cut.clear()

    def calm(self) -> None:
        """End all troubles."""
        self.heal(lose=False)
        for name, condition in self.conditions.items():
            condition.frozen = condition.slow_disk = False
            self.sync(name)

    def deliverable(self, message: GroupMessage) -> bool:
        """Whether a message can arrive now."""
        sender, recipient = (i.partition("#")[0] for i in (message.sender, message.recipient))
        return (sender, recipient) not in self.cut and not self.condition(recipient).frozen

    def run(self, seconds: float, only: set[str] | None = None) -> None:
        """Let time pass; what can be delivered is, in order."""
        end = self.now + seconds
        while self.now < end:
            self.pass_time(0.05)
            for name in sorted(only or self.nodes):
                if not self.condition(name).frozen:
                    self.tick(name)
                    self.rejoin(name)
                    self.members(name)
            for _ in range(200):
                position = next((k for k, m in enumerate(self.network) if self.deliverable(m)), None)
                if position is None:
                    break
                self.deliver(position)

    # ------------------------------------------------------------------ how a node carries it out

    def settle(self, node: Node) -> None:
        condition = self.condition(node.name)
        for _ in range(8):
            out = node.replica.take_output()
            self.network += out.messages_before_sync
            condition.unsynced += out.records
            condition.held += out.messages_after_sync
            if not condition.slow_disk:
                node.disk.synced += condition.unsynced
                if condition.unsynced:
                    node.replica.on_records_synced(self.clock(node.name))
                condition.unsynced = []
            if not condition.unsynced:
                self.note_promises(node, condition.held)
                self.network += condition.held
                condition.held = []
            if out.snapshot_to_install is not None:
                node.machine.restore(out.snapshot_to_install.state)
            for entry in out.entries_to_apply:
                before = len(self.acknowledged)
                self._apply(node, entry.index, entry.term, entry.kind, entry.data)
                self.acknowledged_at += [(self.now, c) for c in self.acknowledged[before:]]
            if not (
                out.messages_before_sync
                or out.messages_after_sync
                or out.records
                or out.entries_to_apply
                or out.snapshot_to_install
            ):
                break
        self.check(node)

    # ------------------------------------------------------------------ promises

    def note_promises(self, node: Node, leaving: list[GroupMessage]) -> None:
        for message in leaving:
            if message.kind == MessageKind.APPEND_REPLY and message.granted:
                known = self.promised[node.identity]
                known[message.term] = max(known.get(message.term, 0), message.log_index)

    def check_between(self, node: Node) -> None:
        """A call may be answered after a message is taken and before its entries are applied."""
        self.check_lease(node)
        self.check_told(node)

    def check(self, node: Node) -> None:
        replica = node.replica
        promised = self.promised[node.identity].get(replica.term, 0)
        if replica.log.last_index < promised:
            raise Violation(f"{node.identity} acknowledged {promised} and holds {replica.log.last_index}")
        self._check_leader(node)
        self.check_told(node)

    def check_told(self, node: Node) -> None:
        """What is told to readers holds all that was acknowledged until so long ago."""
        if node.replica.is_fresh(self.clock(node.name), MAX_STATE_STALENESS):
            due = [c for at, c in self.acknowledged_at if self.now - at > MAX_STATE_STALENESS * SLACK]
            missing = [c for c in due if c not in node.machine.commands]
            if missing:
                raise Violation(f"{node.identity} tells its state and has not {missing}")

    # ------------------------------------------------------------------ drawn events

    def rough_step(self, wipes: int) -> None:
        """One drawn event."""
        draw = self.rng.random()
        name = self.rng.choice(sorted(self.nodes))
        condition = self.condition(name)
        if draw < 0.80:
            super().step_at_random(wipes if not self.troubled() else 0)
        elif draw < 0.84:
            self.compact(name)
        elif draw < 0.88:
            self.deliver_again()
        elif draw < 0.91:
            condition.frozen = not condition.frozen and not any(c.frozen for c in self.conditions.values())
        elif draw < 0.94:
            if self.cut:
                self.heal(lose=self.rng.random() < 0.5)
            else:
                self.cut_off(name, self.rng.randint(1, 3))
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

    def troubled(self) -> bool:
        """Whether any node is frozen, cut off or waits for its disk."""
        return bool(self.cut) or any(c.frozen or c.slow_disk or c.unsynced for c in self.conditions.values())
