"""The simulation of engines and of the dispatchers that use them."""

from __future__ import annotations

import unittest
from dataclasses import replace

from heronstall.model.kernel import VirtualTime
from heronstall.model.serving.engine import (
    MICROSECONDS,
    Engine,
    EngineRequest,
    EngineSpec,
    PartCache,
    PromptPart,
)
from heronstall.model.serving.fleet import ModelFleet
from heronstall.model.serving.load import Burst, Draws, trading_desk

SPEC = EngineSpec()


class Request:
    """A request at an engine, with the times of its first event and its end in seconds."""

    def __init__(self, time: VirtualTime, tokens: int, output: int = 1, part: str = "p") -> None:
        self.first = self.end = -1.0

        def first() -> None:
            self.first = time.now / MICROSECONDS

        def done() -> None:
            self.end = time.now / MICROSECONDS

        self.at_engine = EngineRequest((PromptPart(part, tokens),), output, first, done)


class Engines(unittest.TestCase):
    def setUp(self) -> None:
        self.time = VirtualTime()
        self.engine = Engine(self.time, SPEC)

    def play(self, *requests: Request, seconds: float = 20.0) -> None:
        for request in requests:
            self.assertTrue(self.engine.submit(request.at_engine))
        self.time.run(int(seconds * MICROSECONDS))

    def test_a_single_prompt_is_prefilled_at_the_rate_of_the_engine(self) -> None:
        request = Request(self.time, 20 * SPEC.chunk)
        self.play(request)
        reading = 20 * SPEC.chunk / SPEC.tokens_per_second
        pairs = (20 * SPEC.chunk) ** 2 / 2 / 1e6 * SPEC.pair_seconds_per_million
        self.assertAlmostEqual(request.first, reading + pairs + 20 * SPEC.step, delta=0.01)
        self.assertEqual(request.end, request.first)

    def test_a_single_stream_gets_one_token_per_step_in_events_of_one_stride(self) -> None:
        request = Request(self.time, 10, output=1 + 5 * SPEC.stride)
        self.play(request)
        self.assertAlmostEqual(request.end - request.first, 5 * SPEC.stride * SPEC.step, delta=0.02)
        self.assertAlmostEqual(request.at_engine.longest_gap, SPEC.stride * SPEC.step, delta=0.005)

    def test_a_long_prompt_delays_concurrent_streams_and_later_prompts(self) -> None:
        stream, long, later = (
            Request(self.time, 10, output=2000, part="a"),
            Request(self.time, 60_000, part="b"),
            Request(self.time, 100, part="c"),
        )
        self.play(stream, seconds=0.2)
        self.play(long, later)
        self.assertGreater(stream.at_engine.longest_gap, 0.4)
        self.assertGreater(later.first, 0.2 + 60_000 / SPEC.tokens_per_second)
        self.assertLessEqual(long.first, later.first)

    def test_a_cached_prompt_is_not_prefilled_again(self) -> None:
        self.play(Request(self.time, 20_000))
        read = self.engine.read
        again = Request(self.time, 20_000)
        started_at = self.time.now / MICROSECONDS
        self.play(again)
        self.assertEqual(self.engine.read, read + 1)
        self.assertLess(again.first - started_at, 0.01)

    def test_requests_beyond_the_slots_wait_and_beyond_the_queue_are_refused(self) -> None:
        requests = [Request(self.time, 10, output=50, part=f"p{k}") for k in range(SPEC.places + SPEC.queue)]
        for request in requests:
            self.assertTrue(self.engine.submit(request.at_engine))
        self.assertFalse(self.engine.submit(Request(self.time, 10).at_engine))
        self.assertEqual(self.engine.load, SPEC.places + SPEC.queue)
        self.time.run(20 * MICROSECONDS)
        self.assertTrue(all(request.end > 0 for request in requests))
        self.assertEqual(self.engine.load, 0)


class Cache(unittest.TestCase):
    def test_the_least_recently_used_parts_are_evicted_and_a_part_needs_its_parents(self) -> None:
        cache = PartCache(100)
        a, b, c = PromptPart("a", 40), PromptPart("b", 40), PromptPart("c", 40)
        cache.keep((a, b), running=0)
        self.assertEqual(cache.found((a, b)), 80)
        self.assertEqual(cache.found((a,)), 40)
        cache.keep((c,), running=0)  # b was used before a
        self.assertEqual((cache.found((a,)), cache.found((b,)), cache.found((c,))), (40, 0, 40))
        self.assertEqual(cache.found((b, a)), 0)
        cache.keep((), running=70)
        self.assertEqual((cache.found((a,)), cache.found((c,))), (0, 0))


class Fleet(unittest.TestCase):
    SMALL = replace(trading_desk(0.2, 3.0, (Burst(1.0, 1.0, 3.0, "check"),)), workers=6, dispatchers=9)

    def test_every_request_ends_and_a_seed_reproduces_its_results(self) -> None:
        fleet = ModelFleet(self.SMALL, 4)
        figures = fleet.play()
        ended = sum(result.requests for result in fleet.results.values())
        self.assertEqual(ended + fleet.turned_away, fleet._number)
        self.assertTrue(all(engine.load == 0 for engine in fleet.engines.values()))
        self.assertTrue(
            all(worker.inflight == 0 for d in fleet.dispatchers for worker in d.pool.by_id.values())
        )
        self.assertEqual(figures, ModelFleet(self.SMALL, 4).play())
        self.assertNotEqual(figures, ModelFleet(self.SMALL, 5).play())

    def test_a_burst_multiplies_the_rate_of_one_kind(self) -> None:
        check = next(kind for kind in self.SMALL.kinds if kind.name == "check")
        note = next(kind for kind in self.SMALL.kinds if kind.name == "note")
        calm = replace(self.SMALL, bursts=())
        self.assertAlmostEqual(self.SMALL.rate(check, 1.5), 3 * calm.rate(check, 1.5))
        self.assertEqual(self.SMALL.rate(check, 2.1), calm.rate(check, 2.1))
        self.assertEqual(self.SMALL.rate(note, 1.5), calm.rate(note, 1.5))

    def test_drawn_amounts_have_the_configured_mean(self) -> None:
        kind = self.SMALL.kinds[0]
        draws = Draws(3)
        found = [kind.own.draw(draws.sizes) for _ in range(4000)]
        self.assertAlmostEqual(sum(found) / len(found), kind.own.mean, delta=0.1 * kind.own.mean)
        self.assertLessEqual(max(found), kind.own.most)


if __name__ == "__main__":
    unittest.main()
