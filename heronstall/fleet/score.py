"""The score of a run: the weighted service level minus priced costs, with the operators' weights."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np

from heronstall.fleet.spec import SECOND, Scenario
from heronstall.fleet.traffic import Request

WINDOW_US, WINDOW_STEP_US = 10 * SECOND, SECOND


@dataclass(slots=True)
class RequestOutcome:
    """The outcome of a request over all its tries.

    `final_at`: when the client received the result or gave up.
    """

    request: Request
    served_at: int | None = None
    served_by: int = -1
    final_at: int | None = None
    last: str = "open"
    tries: int = 0


@dataclass(frozen=True)
class Costs:
    """The resources that a run used. Work is in microseconds at speed 1."""

    worked: float  # work done on jobs by all servers
    useful: float  # the part of it that led to answers received by clients
    attempts: int
    crossings: int
    probes: int
    overhead: float = 0.0


@dataclass(frozen=True)
class Score:
    """The score and its components; shares of worth are between 0 and 1."""

    score: float
    service: float
    whole: float
    worst_window: float
    worst_class: float
    worst_tenant: float
    classes: dict[str, float]
    tenants: dict[str, float]
    waste: float  # work that led to no received answer, relative to the offered work
    crossings: float  # per first try
    probes: float  # per first try
    late_fail: float
    served: int
    refused: int
    failed: int
    requests: int
    tries: int
    attempts: int
    timeline: list[dict[str, float]]  # one entry per second

    def row(self) -> dict[str, Any]:
        """Returns the fields as plain values, rounded so that results agree between machines."""
        named = {name: getattr(self, name) for name in self.__dataclass_fields__}
        return _rounded(named)  # type: ignore[no-any-return]


def _rounded(value: Any) -> Any:
    if isinstance(value, float):
        return round(value, 6)
    if isinstance(value, dict):
        return {k: _rounded(v) for k, v in value.items()}
    return [_rounded(v) for v in value] if isinstance(value, list) else value


def _worth_share(worth: np.ndarray, good: np.ndarray, mask: np.ndarray) -> float:
    asked = float(worth[mask].sum())
    return float(good[mask].sum()) / asked if asked > 0.0 else 1.0


def score(scenario: Scenario, outcomes: list[RequestOutcome], costs: Costs) -> Score:
    """Scores a run.

    Retries belong to their first try; the service level ignores requests due in the warm-up.
    """
    counted = [f for f in outcomes if f.request.at >= scenario.warm]
    at = np.asarray([f.request.at for f in counted], dtype=np.int64)
    worth = np.asarray([f.request.worth for f in counted])
    in_time = np.asarray(
        [f.served_at is not None and f.served_at <= f.request.aim_at for f in counted], dtype=bool
    )
    good = worth * in_time
    every = np.ones(len(counted), dtype=bool)
    whole = _worth_share(worth, good, every)
    windows = [
        _worth_share(worth, good, (at >= start) & (at < start + WINDOW_US))
        for start in range(
            scenario.warm, max(scenario.warm + 1, scenario.length - WINDOW_US + 1), WINDOW_STEP_US
        )
    ]
    cls = np.asarray([f.request.cls for f in counted], dtype=np.int64)
    tenant = np.asarray([f.request.tenant for f in counted], dtype=np.int64)
    within = np.asarray([f.request.within for f in counted], dtype=bool)
    classes = {c.name: _worth_share(worth, good, cls == n) for n, c in enumerate(scenario.classes)}
    tenants = {
        t.name: _worth_share(worth, good, (tenant == n) & within) for n, t in enumerate(scenario.tenants)
    }
    parts = (whole, min(windows, default=whole), min(classes.values()), min(tenants.values(), default=whole))
    service = sum(weight * part for weight, part in zip(scenario.goal, parts, strict=True))
    offered = sum(f.request.work for f in outcomes) or 1.0
    waste = max(0.0, costs.worked - costs.useful) / offered
    late = np.asarray([_failed_late(f) for f in counted], dtype=bool)
    late_fail = _worth_share(worth, worth * late, every) if counted else 0.0
    first = max(1, len(outcomes))
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
        served=sum(1 for f in outcomes if f.served_at is not None),
        refused=sum(1 for f in outcomes if f.served_at is None and f.last == "refused"),
        failed=sum(1 for f in outcomes if f.served_at is None and f.last != "refused"),
        requests=len(outcomes),
        tries=sum(f.tries for f in outcomes),
        attempts=costs.attempts,
        timeline=_per_second(scenario, at, worth, good),
    )


def _failed_late(outcome: RequestOutcome) -> bool:
    if outcome.served_at is not None:
        return False
    return outcome.final_at is None or outcome.final_at > outcome.request.aim_at


def _per_second(
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
