"""The operator sends a configuration in which the value of one field has the wrong type."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import tier2

HOST = "counter.example"
SERVICE = "trade-assist"
APPLY_S = tier2.BOUNDS["config_apply_ms"] / 1000
CONTACT_S = tier2.BOUNDS["contact_ms"] / 1000


async def statuses(case: tier2.Case, edges: list[str], prefix: str, count: int) -> list[int]:
    """Return the statuses of some streamed requests on a route, at each of some dispatchers in turn."""
    found = []
    for turn in range(count):
        edge = edges[turn % len(edges)]
        found.append((await case.clients.stream(edge, HOST, f"{prefix}{turn}", 4000)).status)
    return found


async def play(case: tier2.Case) -> bool:
    """Return whether the configuration was refused, or is in force where it was acknowledged."""
    record, tier = case.record, case.tier
    for _ in range(3):
        await case.add_worker(SERVICE, capacity=48)
    quote = tier2.route("quote", HOST, "/quote/", "streaming", SERVICE)
    await case.begin(tier2.configuration(1, [quote], [SERVICE]))
    before = await statuses(case, tier.edges, "/quote/", 10)
    if set(before) != {200}:
        raise tier2.NotRun(f"not served in calm: {before}")

    # One more route. With the trouble, a field of it holds a text where a whole number belongs.
    wrong = {"priority": "high"} if tier2.TROUBLE else {}
    added = tier2.route("review", HOST, "/review/", "streaming", SERVICE, **wrong)
    status = await case.operator.put(tier2.configuration(2, [quote, added], [SERVICE]))
    if 400 <= status < 500:
        record.note("judged", refused=status)
        return True
    await asyncio.sleep(APPLY_S + CONTACT_S)
    on_added = await statuses(case, tier.edges, "/review/", 20)
    on_first = await statuses(case, tier.edges, "/quote/", 10)

    restarted = tier.edges[0]  # what an operator would meet next: a dispatcher is restarted
    tier.signal(restarted, signal.SIGTERM)
    await tier2.until(lambda: ended(tier, restarted), tier2.BOUNDS["grace_s"] + 2, "a dispatcher ends")
    tier.start(restarted)
    await asyncio.sleep(tier2.BOUNDS["recover_s"])
    ready = await tier2.is_ready(restarted)
    after = await statuses(case, [restarted], "/quote/", 10)
    record.note(
        "judged", acknowledged=status, on_added=on_added, on_first=on_first, ready=ready, after_restart=after
    )
    return set(on_added) == {200} and ready and set(after) == {200}


async def ended(tier: tier2.Tier, ip: str) -> bool:
    """Whether a process has ended."""
    return ip in tier.ended()


if __name__ == "__main__":
    sys.exit(tier2.run_case(Path(__file__).resolve().parent, play))
