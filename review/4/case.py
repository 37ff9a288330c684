"""One worker of a small service is lost for good; the batch jobs of another, healthy service are read."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import tier2

HOST = "counter.example"
NOTES, LABELS = "/notes/", "/labels/"  # batch routes: of the large service, of the small one
LARGE, SMALL = "trade-assist", "label-writer"
TOKENS = 1200  # of an item
FINISH_S = tier2.BOUNDS["finish_s"]


def job(name: str, prefix: str) -> tier2.Job:
    """Return a batch job of 20 items, as many as one of the site has."""
    return tier2.Job(name, HOST, prefix, items=20, body=b"note " * 100, tokens=TOKENS)


async def play(case: tier2.Case) -> bool:
    """Return whether the jobs of the healthy service were listed."""
    record, clients = case.record, case.clients
    healthy = [await case.add_worker(LARGE, capacity=16) for _ in range(5)]
    small = await case.add_worker(SMALL, capacity=16)
    routes = [
        tier2.route("notes", HOST, NOTES, "batch", LARGE),
        tier2.route("labels", HOST, LABELS, "batch", SMALL),
    ]
    await case.begin(tier2.configuration(1, routes, [LARGE, SMALL]))

    first = [job("notes-0", NOTES), job("labels-0", LABELS)]  # both services work
    for each in first:
        if await clients.submit(each) != 202:
            raise tier2.NotRun("a job was not accepted in calm")
    await asyncio.wait_for(asyncio.gather(*(clients.follow(each) for each in first)), 20)

    if tier2.TROUBLE:
        small.go_dark()
    labels = [job(f"labels-{number}", LABELS) for number in range(1, 11)]
    for each in labels:
        await clients.submit(each, within=5)
        case.spawn(clients.follow(each))
        await asyncio.sleep(0.2)
    notes = [job(f"notes-{number}", NOTES) for number in range(1, 4)]
    for each in notes:
        if await clients.submit(each, within=5) != 202:
            raise tier2.NotRun("a job of the healthy service was not accepted")
        case.spawn(clients.follow(each))
    record.note("traffic ends", sent=sum(1 for each in labels if each.accepted_at))

    await asyncio.sleep(FINISH_S)
    record.note("finish_s is over")
    await asyncio.sleep(5)  # calm, in which a worker would have to have an item of the jobs
    at_work = sum(len(worker.running) for worker in healthy)
    idle_for = record.now() - max(worker.last_finished for worker in healthy)
    lost = [item for each in notes for item in each.unlisted]
    ran = [item for item in lost if any(item in worker.runs for worker in healthy)]
    record.note(
        "judged", unlisted=len(lost), of_these_ran=len(ran), at_work=at_work, idle_s=round(idle_for, 1)
    )
    return not (lost and at_work == 0 and idle_for > 5)


if __name__ == "__main__":
    sys.exit(tier2.run_case(Path(__file__).resolve().parent, play))
