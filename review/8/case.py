"""A route with a longer prefix is added on the host of a batch route, under which some items lie."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import tier2

HOST = "counter.example"
SERVICE = "trade-assist"
NOTES = "/notes/"
ITEMS = 20
READ_S = 20.0


async def play(case: tier2.Case) -> bool:
    """Return whether no item was given up."""
    record, clients = case.record, case.clients
    for _ in range(3):
        await case.add_worker(SERVICE, capacity=16)
    notes = tier2.route("notes", HOST, NOTES, "batch", SERVICE)
    await case.begin(tier2.configuration(1, [notes], [SERVICE]))

    # The path of an item is /notes/NUMBER/ID, as in the examples of the pages.
    first = tier2.Job("notes-0", HOST, NOTES, ITEMS, b"note " * 100, 1200)
    if await clients.submit(first) != 202:
        raise tier2.NotRun("a job was not accepted in calm")
    await asyncio.wait_for(clients.follow(first), READ_S)

    if tier2.TROUBLE:
        urgent = tier2.route("urgent", HOST, f"{NOTES}7/", "streaming", SERVICE)
        if await case.operator.put(tier2.configuration(2, [notes, urgent], [SERVICE])) != 200:
            raise tier2.NotRun("the added route was not taken")
    await asyncio.sleep(5)
    second = tier2.Job("notes-1", HOST, NOTES, ITEMS, b"note " * 100, 1200)
    if await clients.submit(second) != 202:
        raise tier2.NotRun("a job was not accepted")
    await asyncio.wait_for(clients.follow(second), READ_S)

    given_up = [result["id"] for result in second.results if result["state"] == "dead_letter"]
    ran = [item for item in given_up if any(item in worker.runs for worker in case.workers)]
    age = round(record.now() - second.accepted_at, 1)
    record.note("judged", given_up=given_up, of_these_ran=ran, age_s=age)
    return not given_up


if __name__ == "__main__":
    sys.exit(tier2.run_case(Path(__file__).resolve().parent, play))
