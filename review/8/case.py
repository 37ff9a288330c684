"""The operator removes the only batch route while items of accepted jobs wait for a worker."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import tier2

HOST = "counter.example"
SERVICE = "trade-assist"
FINISH_S = tier2.BOUNDS["finish_s"]


async def play(case: tier2.Case) -> bool:
    """Return whether all items of the jobs were listed, as succeeded or as given up."""
    record, clients = case.record, case.clients
    for _ in range(3):
        await case.add_worker(SERVICE, capacity=8, events=15, pause=0.1)
    quote = tier2.route("quote", HOST, "/quote/", "streaming", SERVICE)
    notes = tier2.route("notes", HOST, "/notes/", "batch", SERVICE)
    await case.begin(tier2.configuration(1, [quote, notes], [SERVICE]))

    jobs = [tier2.Job(f"notes-{number}", HOST, "/notes/", 20, b"note " * 100, 1200) for number in range(4)]
    for job in jobs:
        if await clients.submit(job) != 202:
            raise tier2.NotRun("a job was not accepted")
        case.spawn(clients.follow(job))
    if tier2.TROUBLE and await case.operator.put(tier2.configuration(2, [quote], [SERVICE])) != 200:
        raise tier2.NotRun("the removal was not taken")
    record.note("traffic ends")

    await asyncio.sleep(FINISH_S)
    record.note("finish_s is over")
    await asyncio.sleep(8)
    at_work = sum(len(worker.running) for worker in case.workers)
    idle_for = record.now() - max(worker.last_finished for worker in case.workers)
    unlisted = [item for job in jobs for item in job.unlisted]
    states = [result["state"] for job in jobs for result in job.results]
    age = record.now() - jobs[0].accepted_at
    record.note(
        "judged",
        unlisted=len(unlisted),
        succeeded=states.count("succeeded"),
        given_up=states.count("dead_letter"),
        at_work=at_work,
        idle_s=round(idle_for, 1),
        age_s=round(age, 1),
    )
    return not (unlisted and at_work == 0 and idle_for > 5)


if __name__ == "__main__":
    sys.exit(tier2.run_case(Path(__file__).resolve().parent, play))
