"""The configuration shard: the operator's configuration, the storage nodes, and where batch shards live."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import ujson

from heronstall.transport.messages import ConfigChange, ConfigState, Placement, StoreNode, TakenChange

TAKEN_KEPT = 2048  # latest changes by which a repeat is known; 40 bytes each
STAGES_IN_ORDER = ("active", "retiring", "retired")


class Command(IntEnum):
    """First byte of a command."""

    CHANGE = 1
    STORE = 2
    PLACE = 3


class ChangeOutcome(IntEnum):
    """What became of a change when its entry was applied."""

    REFUSED = 0  # it builds on another revision than the current one
    TAKEN = 1
    REPEATED = 2  # an earlier entry holds the same change


class StoreStage:
    """Where a storage node is in its life. No stage is ever followed by an earlier one."""

    ACTIVE = "active"
    RETIRING = "retiring"
    RETIRED = "retired"


def command(kind: Command, message: ConfigChange | StoreNode | Placement) -> bytes:
    """The bytes of a command."""
    return bytes([kind]) + bytes(message)


class ConfigShard:
    """The view folded from the log of the configuration shard."""

    def __init__(self) -> None:
        self.state = ConfigState()
        self.document: dict[str, Any] = {}
        self._taken: dict[bytes, int] = {}  # by digest: the revision that a change made

    def apply(self, index: int, data: bytes) -> ChangeOutcome | bool:
        """Take a command: what became of a change of the configuration; else whether it changed anything."""
        kind, body = data[0], data[1:]
        if kind == Command.CHANGE:
            return self._change(index, ConfigChange().parse(body))
        if kind == Command.STORE:
            return self._store(index, StoreNode().parse(body))
        if kind == Command.PLACE:
            return self._place(index, Placement().parse(body))
        return False  # a newer node's command

    def dump(self) -> bytes:
        """The whole state."""
        return bytes(self.state)

    def restore(self, state: bytes) -> None:
        """Take a whole state."""
        self.state = ConfigState().parse(state)
        self._adopt_former_digests()
        self._taken = {change.digest: change.revision for change in self.state.taken}
        self.document = ujson.loads(self.state.document) if self.state.document else {}

    def taken(self, digest: str) -> int | None:
        """The revision that a change with this digest made; None where none is known."""
        return self._taken.get(bytes.fromhex(digest))

    def may_be_forgotten(self, revision: int) -> bool:
        """Whether a change to this revision may have been taken so long ago that its digest is not kept."""
        return revision <= self.state.forgotten_revision

    def store(self, name: str) -> StoreNode | None:
        """The storage node of a name."""
        return next((s for s in self.state.stores if s.name == name), None)

    def placement(self, shard: str) -> tuple[str, ...]:
        """The replicas that a batch shard is wanted on."""
        return next((tuple(p.replicas) for p in self.state.placements if p.shard == shard), ())

    def _change(self, index: int, change: ConfigChange) -> ChangeOutcome:
        state = self.state
        if self.taken(change.digest) is not None:
            return ChangeOutcome.REPEATED
        if change.base != state.revision or change.revision <= state.revision:
            return ChangeOutcome.REFUSED
        state.revision, state.document = change.revision, change.document
        self._note_taken(TakenChange(bytes.fromhex(change.digest), change.revision))
        state.config_version = index
        self.document = ujson.loads(change.document)
        return ChangeOutcome.TAKEN

    def _note_taken(self, change: TakenChange) -> None:
        self._taken[change.digest] = change.revision
        self.state.taken.append(change)
        if len(self.state.taken) > TAKEN_KEPT:
            oldest = self.state.taken.pop(0)
            del self._taken[oldest.digest]
            self.state.forgotten_revision = oldest.revision

    def _adopt_former_digests(self) -> None:
        """A state of an earlier release holds digests without their revisions: the current one stands in."""
        for digest in self.state.digests:
            self.state.taken.append(TakenChange(bytes.fromhex(digest), self.state.revision))
        self.state.digests = []

    def _store(self, index: int, node: StoreNode) -> bool:
        known = self.store(node.name)
        if known is not None:  # proposed before a later stage was applied
            node.stage = max(known.stage, node.stage, key=STAGES_IN_ORDER.index)
        others = [s for s in self.state.stores if s.name != node.name]
        self.state.stores = [*others, node]
        self.state.placement_version = index
        return True

    def _place(self, index: int, placement: Placement) -> bool:
        others = [p for p in self.state.placements if p.shard != placement.shard]
        self.state.placements = [*others, placement]
        self.state.placement_version = index
        return True
