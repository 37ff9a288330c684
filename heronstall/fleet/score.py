"""The score of a run: service by worth less what is priced, as the operators weigh them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np

from heronstall.fleet.spec import SECOND, Scenario
from heronstall.fleet.traffic import Request

WINDOW, STEP = 10 * SECOND, SECOND


@dataclass(slots=True)
class Fate:
    """What became of a request, over all its tries. `final_at`: when its client had its last word."""

    request: Request
    served_at: int | None = None
    served_by: int = -1
    final_at: int | None = None
    last: str = "open"
    tries: int = 0


@dataclass(frozen=True)
class Costs:
    """What a run used. Work is microseconds at speed 1."""

    worked: float  # by all servers, on jobs
    useful: float  # of it, for the answers that clients got
    attempts: int
    crossings: int
    probes: int
    overhead: float = 0.0


@dataclass(frozen=True)
class Score:
    """The figures of a run, each between 0 and 1 unless it says otherwise."""

    score: float
    service: float
    whole: float
    worst_window: float
    worst_class: float
    worst_tenant: float
    classes: dict[str, float]
    tenants: dict[str, float]
    waste: float  # work that served no answer, as a part of what was asked for
    crossings: float  # by first try
    probes: float  # by first try
    late_fail: float
    served: int
    refused: int
    failed: int
    requests: int
    tries: int
    attempts: int
    timeline: list[dict[str, float]]  # second by second

    def row(self) -> dict[str, Any]:
        """As plain values, rounded so that two machines agree."""
        named = {name: getattr(self, name) for name in self.__dataclass_fields__}
        return _rounded(named)  # type: ignore[no-any-return]


def _rounded(value: Any) -> Any:
    if isinstance(value, float):
        return round(value, 6)
    if isinstance(value, dict):
        return {k: _rounded(v) for k, v in value.items()}
    return [_rounded(v) for v in value] if isinstance(value, list) else value


def _part(worth: np.ndarray, good: np.ndarray, mask: np.ndarray) -> float:
    asked = float(worth[mask].sum())
    return float(good[mask].sum()) / asked if asked > 0.0 else 1.0


def score(scenario: Scenario, fates: list[Fate], costs: Costs) -> Score:
    """Weigh a run. A client's retries belong to its first try; what came in the warm-up does not count."""
    counted = [f for f in fates if f.request.at >= scenario.warm]
    at = np.asarray([f.request.at for f in counted], dtype=np.int64)
    worth = np.asarray([f.request.worth for f in counted])
    in_time = np.asarray(
        [f.served_at is not None and f.served_at <= f.request.aim_at for f in counted], dtype=bool
    )
    good = worth * in_time
    every = np.ones(len(counted), dtype=bool)
    whole = _part(worth, good, every)
    windows = [
        _part(worth, good, (at >= start) & (at < start + WINDOW))
        for start in range(scenario.warm, max(scenario.warm + 1, scenario.length - WINDOW + 1), STEP)
    ]
    cls = np.asarray([f.request.cls for f in counted], dtype=np.int64)
    tenant = np.asarray([f.request.tenant for f in counted], dtype=np.int64)
    within = np.asarray([f.request.within for f in counted], dtype=bool)
    classes = {c.name: _part(worth, good, cls == n) for n, c in enumerate(scenario.classes)}
    tenants = {t.name: _part(worth, good, (tenant == n) & within) for n, t in enumerate(scenario.tenants)}
    parts = (whole, min(windows, default=whole), min(classes.values()), min(tenants.values(), default=whole))
    service = sum(weight * part for weight, part in zip(scenario.goal, parts, strict=True))
    offered = sum(f.request.work for f in fates) or 1.0
    waste = max(0.0, costs.worked - costs.useful) / offered
    late = np.asarray([_late_fail(f) for f in counted], dtype=bool)
    late_fail = _part(worth, worth * late, every) if counted else 0.0
    first = max(1, len(fates))
    p = scenario.prices
    priced = p["waste"] * waste + p["cross"] * costs.crossings / first
    priced += p["late_fail"] * late_fail + p["probe"] * costs.probes / first
    return Score(
        score=service - priced,
        service=service,
        whole=whole,
        worst_window=parts[1],
        worst_class=parts[2],
        worst_tenant=parts[3],
        classes=classes,
        tenants=tenants,
        waste=waste,
        crossings=costs.crossings / first,
        probes=costs.probes / first,
        late_fail=late_fail,
        served=sum(1 for f in fates if f.served_at is not None),
        refused=sum(1 for f in fates if f.served_at is None and f.last == "refused"),
        failed=sum(1 for f in fates if f.served_at is None and f.last != "refused"),
        requests=len(fates),
        tries=sum(f.tries for f in fates),
        attempts=costs.attempts,
        timeline=_seconds(scenario, at, worth, good),
    )


def _late_fail(fate: Fate) -> bool:
    if fate.served_at is not None:
        return False
    return fate.final_at is None or fate.final_at > fate.request.aim_at


def _seconds(
    scenario: Scenario, at: np.ndarray, worth: np.ndarray, good: np.ndarray
) -> list[dict[str, float]]:
    rows = []
    for start in range(0, scenario.length, SECOND):
        mask = (at >= start) & (at < start + SECOND)
        asked = float(worth[mask].sum())
        row = {
            "at_s": start / SECOND,
            "requests": float(mask.sum()),
            "asked": asked,
            "served": float(good[mask].sum()),
        }
        rows.append(row)
    return rows
