"""Placement of the replicas of batch shards: spread over live storage nodes and their zones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class PlacementCandidate:
    """A storage node that may hold replicas."""

    replica: str
    zone: str
    live: bool
    active: bool  # False if the node is to be emptied

    @property
    def is_usable(self) -> bool:
        """Whether the node may be given replicas."""
        return self.live and self.active


def initial_placements(
    shards: Sequence[str], nodes: Sequence[PlacementCandidate], replica_count: int
) -> dict[str, tuple[str, ...]]:
    """Returns the placements of new shards."""
    replicas_per_node: Counter[str] = Counter()
    placed: dict[str, tuple[str, ...]] = {}
    for shard in shards:
        chosen: list[PlacementCandidate] = []
        for _ in range(replica_count):
            best = _best_candidate(nodes, chosen, replicas_per_node)
            if best is None:
                break
            chosen.append(best)
            replicas_per_node[best.replica] += 1
        placed[shard] = tuple(node.replica for node in chosen)
    return placed


def repaired_placements(
    placements: Mapping[str, tuple[str, ...]], nodes: Sequence[PlacementCandidate], replica_count: int
) -> dict[str, tuple[str, ...]]:
    """Returns the placements that change.

    In each shard, one replica on a node that is dead or to be emptied is replaced.
    """
    by_replica = {node.replica: node for node in nodes}
    replicas_per_node = Counter(replica for replicas in placements.values() for replica in replicas)
    changed: dict[str, tuple[str, ...]] = {}
    for shard, replicas in placements.items():
        usable = [
            by_replica[replica]
            for replica in replicas
            if replica in by_replica and by_replica[replica].is_usable
        ]
        if len(usable) == len(replicas) >= replica_count:
            continue
        best = _best_candidate(nodes, usable, replicas_per_node)
        if best is None:
            continue
        replicas_per_node[best.replica] += 1
        unusable = [
            replica for replica in replicas if replica not in by_replica or not by_replica[replica].is_usable
        ]
        remaining = [replica for replica in replicas if replica not in unusable[:1]]
        changed[shard] = (
            tuple([*remaining, best.replica]) if len(replicas) >= replica_count else (*replicas, best.replica)
        )
    return changed


def _best_candidate(
    nodes: Sequence[PlacementCandidate], chosen: Sequence[PlacementCandidate], replicas_per_node: Counter[str]
) -> PlacementCandidate | None:
    taken = {node.replica for node in chosen}
    chosen_per_zone = Counter(node.zone for node in chosen)
    candidates = [node for node in nodes if node.is_usable and node.replica not in taken]
    return min(
        candidates,
        key=lambda node: (chosen_per_zone[node.zone], replicas_per_node[node.replica], node.replica),
        default=None,
    )
