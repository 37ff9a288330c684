"""Batch items whose first event comes late, at workers that are well, while no other work runs there."""

from __future__ import annotations

import asyncio
import unittest

from heronstall.dataplane.attempts import ITEM_SILENCE_S, WORKER_SILENCE_S
from heronstall.dataplane.forwarding import TOKEN_USAGE_HEADER
from heronstall.dataplane.workers import SILENCE_CHECK_INTERVAL_S
from heronstall.transport.messages import Header
from tests.tier.batch_play import Answer, BatchPlay, play, route
from tests.tier.virtual_loop import run_virtually

SERVICE = "trade-assist"
WORKERS = tuple((f"w{n}", SERVICE) for n in range(5))
ITEMS = 10
PREFILL_TOKENS_PER_S = 128_000
LONGEST_PROMPT = 39_900 + 53_200  # tokens
LEASED_S = 1.0  # from the submission until all items are at workers


class SlowFirstEvents(unittest.TestCase):
    def play(self, first_event_s: float, seconds: float, **fields: object) -> list[int]:
        """Returns how often each item was begun; all must be listed in time."""
        runs: list[int] = []

        async def use(batch: BatchPlay) -> None:
            batch.configure(route("notes", SERVICE))
            batch.register(*WORKERS)
            batch.answer = lambda worker, item: Answer(seconds=first_event_s)
            await batch.submit("notes", "job", ITEMS, **fields)
            self.assertEqual(await batch.until_listed(["job"], seconds), [])
            self.assertEqual(set(batch.results("job").values()), {True})
            runs.extend(batch.runs.values())

        run_virtually(play(use))
        return runs

    def test_items_with_long_prompts_are_begun_once(self) -> None:
        """Guards against items that are broken off while their prompt is read, and begun anew for ever."""
        for prompt in (30_000, LONGEST_PROMPT):
            stated = [Header(TOKEN_USAGE_HEADER, f"{prompt},400")]
            for fields in ({"headers": stated, "tokens": prompt + 400}, {"tokens": prompt + 400}):
                for items_before in (0, 1):  # that the worker reads first
                    reading = (1 + items_before) * prompt / PREFILL_TOKENS_PER_S
                    with self.subTest(prompt=prompt, reading=reading, fields=list(fields)):
                        runs = self.play(reading, reading + LEASED_S, **fields)
                        self.assertEqual(runs, [1] * ITEMS)

    def test_items_are_done_however_late_their_first_event_comes(self) -> None:
        """Guards against the same with short prompts: each attempt waits longer than the one before."""
        for first_event_s in (0.45, 0.8, 2.0, 5.0, 10.0):
            # attempts that are too short take at most four times the longest of them together
            seconds = 6 * first_event_s + LEASED_S + 10 * ITEM_SILENCE_S
            with self.subTest(first_event_s=first_event_s):
                runs = self.play(first_event_s, seconds)
                self.assertLessEqual(max(runs), 8)

    def test_item_at_a_dark_worker_runs_elsewhere_as_soon_as_before(self) -> None:
        async def use(batch: BatchPlay) -> None:
            batch.configure(route("notes", SERVICE))
            batch.register(WORKERS[0])
            batch.answer = lambda worker, item: Answer(seconds=10**6 if worker.entry.id == "w0" else 0.1)
            await batch.submit("notes", "job", 1)
            await asyncio.sleep(LEASED_S)
            batch.register(*WORKERS[:2])
            limit = WORKER_SILENCE_S + 2 * SILENCE_CHECK_INTERVAL_S + LEASED_S
            self.assertEqual(await batch.until_listed(["job"], limit), [])

        run_virtually(play(use))


if __name__ == "__main__":
    unittest.main()
