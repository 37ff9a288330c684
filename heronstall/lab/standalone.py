"""The load tool by itself: a scenario's clients against dispatchers that run already."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

from heronstall.fleet.ledger import RequestOutcomes
from heronstall.fleet.spec import SECOND, Scenario
from heronstall.lab.clock import lateness, monotonic
from heronstall.lab.load import Load
from heronstall.lab.run import AFTER_END, LATE_P99, LATE_WORST


async def send(scenario: Scenario, seed: int, addresses: list[tuple[str, int]]) -> dict[str, Any]:
    """Play all clients from this process; what they got."""
    load = Load(scenario, seed, 0, 1, None)
    load.message("begin", (monotonic() + SECOND // 10, addresses))
    last = scenario.length + max(c.deadline for c in scenario.classes) + AFTER_END
    while load.time.now < last and (load.open or load.time.now < scenario.length):
        await asyncio.sleep(0.1)
    fates = RequestOutcomes(load.plan)
    for end in load.ends:
        fates.tried(end.try_.request.number)
        if end.came == "served":
            fates.served(end.try_.request.number, end.at, end.server)
    late = lateness(load.time.late)
    slow = late["p99_ms"] > LATE_P99 or late["worst_ms"] > LATE_WORST
    return {
        "kind": "load",
        "scenario": scenario.name,
        "seed": seed,
        "requests": len(load.plan.requests),
        "tries": load.counts["tries"],
        "ends": dict(sorted(Counter(end.came for end in load.ends).items())),
        "unfinished": load.open,
        "latency": fates.latencies(),
        "verdict": "none: the load ran late" if slow else "measured",
        "timing": {"simulated_s": load.time.now / SECOND, "late": late},
    }
