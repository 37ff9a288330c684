"""State of the configuration shard: operator configuration, storage nodes, batch shard placement."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import ujson

from heronstall.transport.messages import ConfigChange, ConfigState, Placement, StoreNode, TakenChange

MAX_KNOWN_CHANGES = 2048  # latest changes remembered to recognize repeats; 40 bytes each
STAGE_ORDER = ("active", "retiring", "retired")


class Command(IntEnum):
    """The type of a command, its first byte."""

    CHANGE = 1
    STORE = 2
    PLACE = 3


class ChangeOutcome(IntEnum):
    """The result of applying a configuration change."""

    REFUSED = 0  # the change is based on a revision other than the current one
    ACCEPTED = 1
    REPEATED = 2  # an earlier log entry contains the same change


class StoreStage:
    """The lifecycle stage of a storage node. A node never returns to an earlier stage."""

    ACTIVE = "active"
    RETIRING = "retiring"
    RETIRED = "retired"


def encode_command(kind: Command, message: ConfigChange | StoreNode | Placement) -> bytes:
    """Returns an encoded command."""
    return bytes([kind]) + bytes(message)


class ConfigShard:
    """The state machine of the configuration shard."""

    def __init__(self) -> None:
        self.state = ConfigState()
        self.document: dict[str, Any] = {}
        self._revision_by_digest: dict[bytes, int] = {}  # revisions created, by digest of the change

    def apply(self, index: int, data: bytes) -> ChangeOutcome | bool:
        """Applies a command. Returns a configuration change's outcome, else whether the state changed."""
        kind, body = data[0], data[1:]
        if kind == Command.CHANGE:
            return self._apply_change(index, ConfigChange().parse(body))
        if kind == Command.STORE:
            return self._apply_storage_node(index, StoreNode().parse(body))
        if kind == Command.PLACE:
            return self._apply_placement(index, Placement().parse(body))
        return False  # an unknown command of a newer release

    def dump(self) -> bytes:
        """Returns the encoded state."""
        return bytes(self.state)

    def restore(self, state: bytes) -> None:
        """Replaces the state by an encoded one."""
        self.state = ConfigState().parse(state)
        self._migrate_digests()
        self._revision_by_digest = {change.digest: change.revision for change in self.state.taken}
        self.document = ujson.loads(self.state.document) if self.state.document else {}

    def accepted_revision(self, digest: str) -> int | None:
        """Returns the revision created by the change with this digest, or None if no such change is known."""
        return self._revision_by_digest.get(bytes.fromhex(digest))

    def may_be_forgotten(self, revision: int) -> bool:
        """Whether a change to this revision may have been accepted and its digest discarded since."""
        return revision <= self.state.forgotten_revision

    def storage_node(self, name: str) -> StoreNode | None:
        """Returns the storage node with this name."""
        return next((s for s in self.state.stores if s.name == name), None)

    def placement(self, shard: str) -> tuple[str, ...]:
        """Returns the replicas that a batch shard is placed on."""
        return next((tuple(p.replicas) for p in self.state.placements if p.shard == shard), ())

    def _apply_change(self, index: int, change: ConfigChange) -> ChangeOutcome:
        state = self.state
        if self.accepted_revision(change.digest) is not None:
            return ChangeOutcome.REPEATED
        if change.base != state.revision or change.revision <= state.revision:
            return ChangeOutcome.REFUSED
        state.revision, state.document = change.revision, change.document
        self._remember_change(TakenChange(bytes.fromhex(change.digest), change.revision))
        state.config_version = index
        self.document = ujson.loads(change.document)
        return ChangeOutcome.ACCEPTED

    def _remember_change(self, change: TakenChange) -> None:
        self._revision_by_digest[change.digest] = change.revision
        self.state.taken.append(change)
        if len(self.state.taken) > MAX_KNOWN_CHANGES:
            oldest = self.state.taken.pop(0)
            del self._revision_by_digest[oldest.digest]
            self.state.forgotten_revision = oldest.revision

    def _migrate_digests(self) -> None:
        """Converts digests that an earlier release stored without revisions: uses the current revision."""
        for digest in self.state.digests:
            self.state.taken.append(TakenChange(bytes.fromhex(digest), self.state.revision))
        self.state.digests = []

    def _apply_storage_node(self, index: int, node: StoreNode) -> bool:
        known = self.storage_node(node.name)
        if known is not None:  # the command may have been proposed before a later stage was applied
            node.stage = max(known.stage, node.stage, key=STAGE_ORDER.index)
        others = [s for s in self.state.stores if s.name != node.name]
        self.state.stores = [*others, node]
        self.state.placement_version = index
        return True

    def _apply_placement(self, index: int, placement: Placement) -> bool:
        others = [p for p in self.state.placements if p.shard != placement.shard]
        self.state.placements = [*others, placement]
        self.state.placement_version = index
        return True
