"""Batch items with long prompts are accepted; then the live traffic, which hid the fault, ends."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import tier2

HOST = "counter.example"
SERVICE = "trade-assist"
WORKERS, CAPACITY = 5, 48
TOKENS_PER_S = 128_000  # `prefill_tokens_per_ms` of the site
PROMPT = 39_900 + 53_200  # the largest shared part and the largest own part of an order-history-review
ITEMS = 10  # with 1,300,000 tokens that may wait on the route
STREAMS_PER_S = 10.0  # at each dispatcher
FINISH_S = tier2.BOUNDS["finish_s"]
LAST_S = 5.0  # the calm that the rule asks for


async def live_requests(case: tier2.Case, edge: str) -> None:
    """Send short streams to a dispatcher until cancelled."""
    while True:
        case.spawn(case.clients.stream(edge, HOST, "/quote/1", 4000))
        await asyncio.sleep(1 / STREAMS_PER_S)


async def play(case: tier2.Case) -> bool:
    """Return whether the items were listed."""
    record, tier, clients = case.record, case.tier, case.clients
    for _ in range(WORKERS):
        await case.add_worker(SERVICE, capacity=CAPACITY, events=20, pause=0.1, tokens_per_s=TOKENS_PER_S)
    routes = [
        tier2.route("quote", HOST, "/quote/", "streaming", SERVICE),
        tier2.route("notes", HOST, "/notes/", "batch", SERVICE),
    ]
    await case.begin(tier2.configuration(1, routes, [SERVICE]))
    live = [case.spawn(live_requests(case, edge)) for edge in tier.edges]
    await asyncio.sleep(4)

    first = tier2.Job("notes-0", HOST, "/notes/", ITEMS, b"note " * 100, PROMPT)
    if await clients.submit(first) != 202:
        raise tier2.NotRun("a job was not accepted in calm")
    await asyncio.wait_for(clients.follow(first), 30)

    if tier2.TROUBLE:
        for each in live:
            each.cancel()
        await asyncio.sleep(5)  # the last streams end
        record.note("live traffic has ended")
    second = tier2.Job("notes-1", HOST, "/notes/", ITEMS, b"note " * 100, PROMPT)
    if await clients.submit(second) != 202:
        raise tier2.NotRun("the job was not accepted")
    case.spawn(clients.follow(second))
    await asyncio.sleep(FINISH_S)
    record.note("finish_s is over")
    await asyncio.sleep(10)
    now = record.now()
    runs = [sum(worker.runs.get(item, 0) for worker in case.workers) for item in second.items]
    cut = [seconds for worker in case.workers for when, _, seconds in worker.cut if when > now - LAST_S]
    finished = sum(worker.last_finished > now - LAST_S for worker in case.workers)
    at_work = sum(len(worker.running) for worker in case.workers)
    record.note(
        "judged",
        unlisted=second.unlisted,
        runs=runs,
        cut_in_last_s=[round(seconds, 2) for seconds in cut],
        workers_that_finished=finished,
        at_work=at_work,
        age_s=round(now - second.accepted_at, 1),
    )
    # a run that its sender ends within a second doesn't count as had
    had = any(seconds >= 1.0 for seconds in cut) or 2 * at_work >= WORKERS * CAPACITY
    return not (second.unlisted and not finished and not had)


if __name__ == "__main__":
    sys.exit(tier2.run_case(Path(__file__).resolve().parent, play))
