"""Batch items of several services at one dispatcher: a service in trouble takes nothing from the others."""

from __future__ import annotations

import asyncio
import unittest

from heronstall.dataplane.workers import WorkerState
from tests.tier.batch_play import Answer, BatchPlay, play, route
from tests.tier.virtual_loop import run_virtually

LARGE, SMALL = "trade-assist", "label-writer"
HEALTHY = tuple((f"w{n}", LARGE) for n in range(5))
ITEMS, JOBS = 20, 10
LISTED_S = 10.0  # within which a job of a healthy service must be listed, several times what it takes alone


class ServicesInTrouble(unittest.TestCase):
    """Two batch routes, each to a service of its own; the small one's items come first and are due first."""

    async def submit_and_list(self, batch: BatchPlay) -> list[str]:
        """Returns the items of the healthy service that are not listed in time."""
        labels, notes = [f"labels-{n}" for n in range(JOBS)], [f"notes-{n}" for n in range(3)]
        for name in labels:
            await batch.submit("labels", name, ITEMS)
        await asyncio.sleep(1.0)
        for name in notes:
            await batch.submit("notes", name, ITEMS)
        return await batch.until_listed(notes, LISTED_S)

    def test_items_run_while_a_small_service_has_lost_its_worker(self) -> None:
        """Guards against accepted items that reach no worker since another service has lost its own."""

        async def use(batch: BatchPlay) -> None:
            batch.configure(route("labels", SMALL), route("notes", LARGE))
            batch.register(("s1", SMALL), *HEALTHY)
            await batch.submit("labels", "first", ITEMS)
            self.assertEqual(await batch.until_listed(["first"], LISTED_S), [])
            batch.answer = lambda worker, item: Answer(
                seconds=10**6 if worker.entry.service == SMALL else 0.3
            )
            await batch.submit("labels", "second", ITEMS)
            await asyncio.sleep(1.0)
            batch.register(*HEALTHY)
            self.assertEqual(await self.submit_and_list(batch), [])

        run_virtually(play(use))

    def test_items_run_beside_services_that_never_had_a_worker_or_refuse_all(self) -> None:
        def refuse(worker: WorkerState, item: str) -> Answer:
            return Answer(
                503 if worker.entry.service == SMALL else 200, headers={"Heronstall-Not-Executed": "1"}
            )

        for workers in (HEALTHY, (("s1", SMALL), *HEALTHY)):

            async def use(batch: BatchPlay, workers: tuple[tuple[str, str], ...] = workers) -> None:
                batch.answer = refuse
                batch.configure(route("labels", SMALL), route("notes", LARGE))
                batch.register(*workers)
                self.assertEqual(await self.submit_and_list(batch), [])

            with self.subTest(workers=workers):
                run_virtually(play(use))

    def test_items_of_a_split_route_run_at_the_service_that_has_workers(self) -> None:
        split = route("notes", LARGE)
        split["traffic_split"] = [{"service": SMALL, "weight": 50}, {"service": LARGE, "weight": 50}]

        async def use(batch: BatchPlay) -> None:
            batch.configure(route("labels", SMALL), split)
            batch.register(*HEALTHY)
            self.assertEqual(await self.submit_and_list(batch), [])

        run_virtually(play(use))

    def test_items_of_two_routes_share_the_room_of_their_service(self) -> None:
        async def use(batch: BatchPlay) -> None:
            batch.configure(route("labels", LARGE), route("notes", LARGE))
            batch.register(*HEALTHY)
            most = batch.admission.max_leased_items(LARGE)
            await batch.submit("labels", "labels", 100)
            await batch.submit("notes", "notes", 100)
            while batch.unlisted("labels", "notes"):
                self.assertLessEqual(
                    batch.runner.running_count, max(most, batch.admission.max_leased_items(LARGE))
                )
                await asyncio.sleep(0.05)

        run_virtually(play(use))


if __name__ == "__main__":
    unittest.main()
