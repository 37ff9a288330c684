"""Builds the result record of a run from request outcomes and costs, identically for model and lab."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from heronstall.fleet.audit import Breach
from heronstall.fleet.fleet import Plan, zones_of_dispatchers, zones_of_servers
from heronstall.fleet.score import Costs, RequestOutcome, score

MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = (
    100,
    600_000_000,
    3,
)  # range (microseconds) and resolution of the latency histograms
PERCENTILES = (50.0, 90.0, 99.0)


class RequestOutcomes:
    """The outcomes of all requests.

    Latency counts from the time a request was due, not from when it was sent.
    """

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self.rows = [RequestOutcome(r) for r in plan.requests]
        self.useful = 0.0

    def tried(self, number: int) -> None:
        """Records that a try has started."""
        self.rows[number].tries += 1

    def served(self, number: int, at: int, by: int) -> None:
        """Records that the client has received the result of a server."""
        outcome = self.rows[number]
        if outcome.served_at is None:
            outcome.served_at, outcome.served_by, outcome.final_at, outcome.last = at, by, at, "served"
            self.useful += outcome.request.work

    def ended(self, number: int, at: int, last: str) -> None:
        """Records that the client has given up the request with `last` as its final status."""
        outcome = self.rows[number]
        if outcome.served_at is None:
            outcome.final_at, outcome.last = at, last

    def latencies(self) -> dict[str, dict[str, float]]:
        """Returns the number served and latency percentiles in milliseconds for each class."""
        rows: dict[str, dict[str, float]] = {}
        for n, c in enumerate(self._plan.scenario.classes):
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            for outcome in self.rows:
                if outcome.request.cls == n and outcome.served_at is not None:
                    histogram.record_value(max(MIN_LATENCY_US, outcome.served_at - outcome.request.at))
            summary = {f"p{p:g}_ms": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
            rows[c.name] = {"served": float(histogram.get_total_count()), **summary}
        return rows


def result(
    kind: str,
    plan: Plan,
    outcomes: RequestOutcomes,
    costs: Costs,
    breaches: list[Breach],
    more: dict[str, Any],
    timing: dict[str, Any],
) -> dict[str, Any]:
    """Returns the record of a run. Only `timing` may differ between two runs with the same seed."""
    s = plan.scenario
    summary = score(s, outcomes.rows, costs).row()
    return {
        "kind": kind,
        "scenario": s.name,
        "seed": plan.seed,
        **summary,
        "rules_broken": [b.row() for b in breaches],
        "latency": outcomes.latencies(),
        "load": round(plan.load, 4),
        "size": {"dispatchers": s.dispatchers, "servers": s.servers, "zones": len(s.zones)},
        "troubles": [
            {"kind": t.kind, "from_s": t.at / 1e6, "to_s": (t.at + t.length) / 1e6} for t in s.troubles
        ],
        **more,
        "timing": timing,
    }


def zones(plan: Plan) -> tuple[list[int], list[int]]:
    """Returns the zone of each dispatcher and the zone of each server."""
    return zones_of_dispatchers(plan.scenario), zones_of_servers(plan.scenario)
