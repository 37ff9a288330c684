"""The plan of a rollout: its parsed settings and the dispatchers that each stage changes. Free of I/O."""

from __future__ import annotations

import hashlib
import json
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

SECOND = 1_000_000  # in microseconds


class PlanError(ValueError):
    """A plan that cannot be carried out; the message begins with the key at fault."""


class Placement(NamedTuple):
    """The supervisor and zone of a dispatcher, and the release (digest) it ran before the rollout."""

    supervisor: str
    zone: str
    digest: str


@dataclass(frozen=True)
class Plan:
    """The settings of a rollout. Times are in microseconds; `tolerances` is the tolerated harm."""

    name: str
    release: str
    supervisors: dict[str, str]
    journal: str
    stages: tuple[dict[str, Any], ...]
    baseline_time: int
    settle_time: int
    watch_time: int
    max_watch_time: int
    degradation_timeout: int
    max_unavailable: int
    poll_interval: int
    min_jobs: int
    alpha: float
    tolerances: dict[str, float]
    digest: str

    def watch_time_of(self, stage: int) -> int:
        """Returns how long a stage is watched."""
        seconds = self.stages[stage].get("watch_s")
        return self.watch_time if seconds is None else round(seconds * SECOND)


def parse_plan(record: dict[str, Any]) -> Plan:
    """Builds a plan from its validated record. Raises PlanError for settings that contradict each other."""
    if not record["keepers"]:
        raise PlanError("keepers: at least one supervisor is required")
    if not record["stages"]:
        raise PlanError("stages: at least one stage is required")
    if record["longest_s"] < record["watch_s"]:
        raise PlanError(f"longest_s: {record['longest_s']} s is shorter than watch_s, {record['watch_s']} s")
    if record["stages"][-1].get("part") != 1:
        raise PlanError(
            "stages: the last one must be {part: 1}, otherwise some dispatchers keep the old release"
        )
    # The journal's path is not part of the digest: the rollout may be resumed on another machine.
    fields = {key: value for key, value in record.items() if key != "journal"}
    text = json.dumps(fields, sort_keys=True, separators=(",", ":"))
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


def assign_stages(plan: Plan, placements: dict[str, Placement]) -> list[list[str]]:
    """Returns the dispatchers that each stage changes.

    A dispatcher belongs to one stage only, and a stage may be empty. `dispatchers: n` selects n dispatchers
    spread over the zones; `part` selects that share of each zone, rounded up. The order is drawn from the
    plan's digest: different plans begin with different dispatchers, and the same plan always gives the same
    result.
    """
    zone_queues: dict[str, list[str]] = defaultdict(list)
    for name in sorted(placements, key=lambda n: _draw_key(plan.digest, n)):
        zone_queues[placements[name].zone].append(name)
    zone_sizes = {zone: len(names) for zone, names in zone_queues.items()}
    zones = sorted(zone_queues, key=lambda z: _draw_key(plan.digest, f"zone {z}"))
    assigned_counts: dict[str, int] = dict.fromkeys(zones, 0)
    assigned: list[list[str]] = []
    for stage in plan.stages:
        names: list[str] = []
        if "part" in stage:
            for zone in zones:
                end = math.ceil(stage["part"] * zone_sizes[zone] - 1e-9)
                names += zone_queues[zone][assigned_counts[zone] : end]
                assigned_counts[zone] = max(assigned_counts[zone], end)
        else:
            while len(names) < stage["dispatchers"] and any(
                assigned_counts[z] < zone_sizes[z] for z in zones
            ):
                for zone in sorted(zones, key=lambda z: (assigned_counts[z], zones.index(z))):
                    if assigned_counts[zone] < zone_sizes[zone] and len(names) < stage["dispatchers"]:
                        names.append(zone_queues[zone][assigned_counts[zone]])
                        assigned_counts[zone] += 1
        assigned.append(names)
    return assigned


def _draw_key(digest: str, name: str) -> bytes:
    return hashlib.sha256(f"{digest} {name}".encode()).digest()


def select_changes(
    pending: Iterable[str], in_progress: Iterable[str], placements: dict[str, Placement], max_unavailable: int
) -> list[str]:
    """Returns the pending dispatchers that may change now: at most `max_unavailable` per zone at once."""
    unavailable: dict[str, int] = defaultdict(int)
    for name in in_progress:
        unavailable[placements[name].zone] += 1
    selected = []
    for name in pending:
        if unavailable[placements[name].zone] < max_unavailable:
            unavailable[placements[name].zone] += 1
            selected.append(name)
    return selected
