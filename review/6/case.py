"""A dispatcher freezes and wakes, twice; in calm, eight seconds later, a worker goes dark."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import tier2

HOST = "counter.example"
SERVICE = "trade-assist"
WORKERS = 6  # one of them is the share of 0.17 that the site's troubles name
STREAMS_PER_S = 5.0  # at each dispatcher
FREEZES, FREEZE_S = 2, 3.8  # as the site's day trouble-2 has it
FINISH_S = tier2.BOUNDS["finish_s"]


async def review_requests(case: tier2.Case, edge: str) -> None:
    """Send streams that may be resumed to a dispatcher until cancelled; some take most of their deadline."""
    while True:
        case.spawn(case.clients.stream(edge, HOST, "/review/1", 4000))
        await asyncio.sleep(1 / STREAMS_PER_S)


async def play(case: tier2.Case) -> bool:
    """Return whether all items of the job were listed."""
    record, tier, clients = case.record, case.tier, case.clients
    for _ in range(WORKERS):
        await case.add_worker(SERVICE, capacity=48, events=25, pause=0.1)
    routes = [
        tier2.route("review", HOST, "/review/", "streaming", SERVICE),
        tier2.route("notes", HOST, "/notes/", "batch", SERVICE),
    ]
    await case.begin(tier2.configuration(1, routes, [SERVICE]))
    frozen = tier.edges[0]
    streams = [case.spawn(review_requests(case, edge)) for edge in tier.edges]
    await asyncio.sleep(4)

    for _ in range(FREEZES):
        if tier2.TROUBLE:
            tier.signal(frozen, signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            tier.signal(frozen, signal.SIGCONT)
        await asyncio.sleep(8)  # calm for contact_ms and catch_up_s
    record.note("streams", by_status=clients.streams)
    for each in streams:
        each.cancel()
    await asyncio.sleep(3)

    jobs = [tier2.Job(f"notes-{number}", HOST, "/notes/", 20, b"note " * 100, 1200) for number in range(6)]
    for job in jobs:
        if await clients.submit(job) != 202:
            raise tier2.NotRun("a job was not accepted")
        case.spawn(clients.follow(job))
        await asyncio.sleep(0.3)
    if tier2.TROUBLE:
        lost = max(case.workers, key=lambda worker: len(worker.sent_by(frozen, "notes-")))
        items = lost.sent_by(frozen, "notes-")
        if not items:
            raise tier2.NotRun("the dispatcher that was frozen has no items at a worker")
        record.note("lost worker", items_of_frozen=items)
        lost.go_dark()
    record.note("traffic ends")

    await asyncio.sleep(FINISH_S)
    record.note("finish_s is over")
    await asyncio.sleep(13)  # an item that failed at a worker in the last 20 s would not count
    alive = [worker for worker in case.workers if not worker.dark]
    at_work = sum(len(worker.running) for worker in alive)
    idle_for = record.now() - max(worker.last_finished for worker in alive)
    unlisted = [item for job in jobs for item in job.unlisted]
    age = record.now() - jobs[0].accepted_at
    record.note("judged", unlisted=unlisted, at_work=at_work, idle_s=round(idle_for, 1), age_s=round(age, 1))
    return not (unlisted and at_work == 0 and idle_for > 5)


if __name__ == "__main__":
    sys.exit(tier2.run_case(Path(__file__).resolve().parent, play))
