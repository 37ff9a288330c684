"""What a run comes to: fates of requests and costs in, one record out, the same from model and lab."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from heronstall.fleet.audit import Breach
from heronstall.fleet.fleet import Plan, zones_of_dispatchers, zones_of_servers
from heronstall.fleet.score import Costs, Fate, score

LOWEST, HIGHEST, DIGITS = 100, 600_000_000, 3  # microseconds that the latency histograms tell apart
PERCENTILES = (50.0, 90.0, 99.0)


class Fates:
    """What became of every request, try by try. Latency counts from when a request was due, not sent."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self.rows = [Fate(r) for r in plan.requests]
        self.useful = 0.0

    def tried(self, number: int) -> None:
        """A try has begun."""
        self.rows[number].tries += 1

    def served(self, number: int, at: int, by: int) -> None:
        """The client has the result of a server."""
        fate = self.rows[number]
        if fate.served_at is None:
            fate.served_at, fate.served_by, fate.final_at, fate.last = at, by, at, "served"
            self.useful += fate.request.work

    def ended(self, number: int, at: int, last: str) -> None:
        """The client has given the request up, with this as its last word."""
        fate = self.rows[number]
        if fate.served_at is None:
            fate.final_at, fate.last = at, last

    def latencies(self) -> dict[str, dict[str, float]]:
        """Milliseconds from due to served, by class."""
        rows: dict[str, dict[str, float]] = {}
        for n, c in enumerate(self._plan.scenario.classes):
            histogram = HdrHistogram(LOWEST, HIGHEST, DIGITS)
            for fate in self.rows:
                if fate.request.cls == n and fate.served_at is not None:
                    histogram.record_value(max(LOWEST, fate.served_at - fate.request.at))
            told = {f"p{p:g}_ms": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
            rows[c.name] = {"served": float(histogram.get_total_count()), **told}
        return rows


def result(
    kind: str,
    plan: Plan,
    fates: Fates,
    costs: Costs,
    breaches: list[Breach],
    more: dict[str, Any],
    timing: dict[str, Any],
) -> dict[str, Any]:
    """The record of a run. Only what stands under `timing` may differ between two runs of one seed."""
    s = plan.scenario
    told = score(s, fates.rows, costs).row()
    return {
        "kind": kind,
        "scenario": s.name,
        "seed": plan.seed,
        **told,
        "rules_broken": [b.row() for b in breaches],
        "latency": fates.latencies(),
        "load": round(plan.load, 4),
        "size": {"dispatchers": s.dispatchers, "servers": s.servers, "zones": len(s.zones)},
        "troubles": [
            {"kind": t.kind, "from_s": t.at / 1e6, "to_s": (t.at + t.length) / 1e6} for t in s.troubles
        ],
        **more,
        "timing": timing,
    }


def zones(plan: Plan) -> tuple[list[int], list[int]]:
    """The zones of the dispatchers and of the servers."""
    return zones_of_dispatchers(plan.scenario), zones_of_servers(plan.scenario)
