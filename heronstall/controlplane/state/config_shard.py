"""The configuration shard: the operator's configuration, the storage nodes, and where batch shards live."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import ujson

from heronstall.transport.messages import ConfigChange, ConfigState, Placement, StoreNode

DIGESTS_KEPT = 256  # taken changes that a repeat is recognised by


class Command(IntEnum):
    """First byte of a command."""

    CHANGE = 1
    STORE = 2
    PLACE = 3


class StoreStage:
    """Where a storage node is in its life."""

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

    def apply(self, index: int, data: bytes) -> bool:
        """Take a command; whether it changed anything."""
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
        self.document = ujson.loads(self.state.document) if self.state.document else {}

    def store(self, name: str) -> StoreNode | None:
        """The storage node of a name."""
        return next((s for s in self.state.stores if s.name == name), None)

    def placement(self, shard: str) -> tuple[str, ...]:
        """The replicas that a batch shard is wanted on."""
        return next((tuple(p.replicas) for p in self.state.placements if p.shard == shard), ())

    def _change(self, index: int, change: ConfigChange) -> bool:
        state = self.state
        if change.base != state.revision or change.revision <= state.revision:
            return False
        state.revision, state.document = change.revision, change.document
        state.digests = [*state.digests[1 - DIGESTS_KEPT :], change.digest]
        state.config_version = index
        self.document = ujson.loads(change.document)
        return True

    def _store(self, index: int, node: StoreNode) -> bool:
        others = [s for s in self.state.stores if s.name != node.name]
        self.state.stores = [*others, node]
        self.state.placement_version = index
        return True

    def _place(self, index: int, placement: Placement) -> bool:
        others = [p for p in self.state.placements if p.shard != placement.shard]
        self.state.placements = [*others, placement]
        self.state.placement_version = index
        return True
