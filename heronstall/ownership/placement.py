"""Where the replicas of batch shards are wanted: spread over live storage nodes and their zones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class PlacementCandidate:
    """A storage node as placement sees it."""

    replica: str
    zone: str
    live: bool
    active: bool  # not to be emptied

    @property
    def is_usable(self) -> bool:
        """Whether it may be given replicas."""
        return self.live and self.active


def initial_placements(
    shards: Sequence[str], nodes: Sequence[PlacementCandidate], copies: int
) -> dict[str, tuple[str, ...]]:
    """Replicas for new shards."""
    load: Counter[str] = Counter()
    placed: dict[str, tuple[str, ...]] = {}
    for shard in shards:
        chosen: list[PlacementCandidate] = []
        for _ in range(copies):
            best = _best_candidate(nodes, chosen, load)
            if best is None:
                break
            chosen.append(best)
            load[best.replica] += 1
        placed[shard] = tuple(c.replica for c in chosen)
    return placed


def repaired_placements(
    placements: Mapping[str, tuple[str, ...]], nodes: Sequence[PlacementCandidate], copies: int
) -> dict[str, tuple[str, ...]]:
    """The placements that change: one replica a shard that is dead or to be emptied gives way to another."""
    by_replica = {n.replica: n for n in nodes}
    load = Counter(r for replicas in placements.values() for r in replicas)
    changed: dict[str, tuple[str, ...]] = {}
    for shard, replicas in placements.items():
        kept = [by_replica[r] for r in replicas if r in by_replica and by_replica[r].is_usable]
        if len(kept) == len(replicas) >= copies:
            continue
        best = _best_candidate(nodes, kept, load)
        if best is None:
            continue
        load[best.replica] += 1
        given_up = [r for r in replicas if r not in by_replica or not by_replica[r].is_usable]
        rest = [r for r in replicas if r not in given_up[:1]]
        changed[shard] = (
            tuple([*rest, best.replica]) if len(replicas) >= copies else (*replicas, best.replica)
        )
    return changed


def _best_candidate(
    nodes: Sequence[PlacementCandidate], chosen: Sequence[PlacementCandidate], load: Counter[str]
) -> PlacementCandidate | None:
    taken = {c.replica for c in chosen}
    zones = Counter(c.zone for c in chosen)
    able = [n for n in nodes if n.is_usable and n.replica not in taken]
    return min(able, key=lambda n: (zones[n.zone], load[n.replica], n.replica), default=None)
