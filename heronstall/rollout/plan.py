"""The plan of a change: what was written, as types, and the stages it comes to. Free of I/O."""

from __future__ import annotations

import hashlib
import json
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

SECOND = 1_000_000


class PlanError(ValueError):
    """A plan that cannot be carried out; the message begins with the key."""


class Home(NamedTuple):
    """Where a dispatcher stands, and what it ran before the rollout."""

    keeper: str
    zone: str
    digest: str


@dataclass(frozen=True)
class Plan:
    """A plan. Times are microseconds."""

    name: str
    release: str
    keepers: dict[str, str]
    journal: str
    stages: tuple[dict[str, Any], ...]
    before: int
    settle: int
    watch: int
    longest: int
    patience: int
    away: int
    every: int
    least_jobs: int
    alpha: float
    harm: dict[str, float]
    digest: str

    def watch_of(self, stage: int) -> int:
        """How long a stage is watched."""
        told = self.stages[stage].get("watch_s")
        return self.watch if told is None else round(told * SECOND)


def plan(record: dict[str, Any]) -> Plan:
    """A plan from its checked record. Raises PlanError for parts that do not go together."""
    if not record["keepers"]:
        raise PlanError("keepers: at least one is wanted")
    if not record["stages"]:
        raise PlanError("stages: at least one is wanted")
    if record["longest_s"] < record["watch_s"]:
        raise PlanError(f"longest_s: {record['longest_s']} is shorter than watch_s, {record['watch_s']}")
    if record["stages"][-1].get("part") != 1:
        raise PlanError("stages: the last one must be {part: 1}, or some dispatchers stay as they are")
    # Where the journal lies is no part of it: it may be gone on with on another machine.
    told = {key: value for key, value in record.items() if key != "journal"}
    text = json.dumps(told, sort_keys=True, separators=(",", ":"))
    return Plan(
        record["name"],
        record["release"],
        dict(record["keepers"]),
        record["journal"],
        tuple(record["stages"]),
        round(record["before_s"] * SECOND),
        round(record["settle_s"] * SECOND),
        round(record["watch_s"] * SECOND),
        round(record["longest_s"] * SECOND),
        round(record["patience_s"] * SECOND),
        record["away"],
        round(record["every_s"] * SECOND),
        record["least_jobs"],
        record["alpha"],
        dict(record["harm"]),
        hashlib.sha256(text.encode()).hexdigest()[:16],
    )


def stages(plan: Plan, homes: dict[str, Home]) -> list[list[str]]:
    """The dispatchers that each stage changes, none of them twice; a stage may be left with none.

    `dispatchers: n` takes n, spread over zones; `part` takes so much of each zone, rounded up. Who goes
    first is drawn by the plan's digest: it is not the same unlucky one each time, and the same for whoever
    asks again.
    """
    queue: dict[str, list[str]] = defaultdict(list)
    for name in sorted(homes, key=lambda n: _lot(plan.digest, n)):
        queue[homes[name].zone].append(name)
    size = {zone: len(names) for zone, names in queue.items()}
    zones = sorted(queue, key=lambda z: _lot(plan.digest, f"zone {z}"))
    done: dict[str, int] = dict.fromkeys(zones, 0)
    made: list[list[str]] = []
    for stage in plan.stages:
        names: list[str] = []
        if "part" in stage:
            for zone in zones:
                upto = math.ceil(stage["part"] * size[zone] - 1e-9)
                names += queue[zone][done[zone] : upto]
                done[zone] = max(done[zone], upto)
        else:
            while len(names) < stage["dispatchers"] and any(done[z] < size[z] for z in zones):
                for zone in sorted(zones, key=lambda z: (done[z], zones.index(z))):
                    if done[zone] < size[zone] and len(names) < stage["dispatchers"]:
                        names.append(queue[zone][done[zone]])
                        done[zone] += 1
        made.append(names)
    return made


def _lot(digest: str, name: str) -> bytes:
    return hashlib.sha256(f"{digest} {name}".encode()).digest()


def moves(waiting: Iterable[str], under_way: Iterable[str], homes: dict[str, Home], away: int) -> list[str]:
    """Of those waiting, in their order, the ones that may go now: at most `away` of a zone at once."""
    busy: dict[str, int] = defaultdict(int)
    for name in under_way:
        busy[homes[name].zone] += 1
    go = []
    for name in waiting:
        if busy[homes[name].zone] < away:
            busy[homes[name].zone] += 1
            go.append(name)
    return go
