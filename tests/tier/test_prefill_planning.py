"""Placement of large prompts: the planner, its replies at a core node, and the dispatcher's client."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from unittest import mock

from heronstall.controlplane.planning import SERVICES_MOST, ReadingPlans
from heronstall.dataplane.prefixes import NO_SHARED_PREFIX, parse_shared_prefix
from heronstall.dataplane.prompt_placement import (
    MAX_SEGMENT_NAME_LENGTH,
    NODE_RETRY_DELAY_S,
    PlacedPrompt,
    PromptPlacer,
)
from heronstall.distribution.view import ControlStateView
from heronstall.placement.prefill import (
    CACHE_LIFETIME_S,
    MAX_COMPARED_WORKERS,
    MAX_SEGMENTS,
    Load,
    PrefillPlanner,
    Prompt,
    affinity,
)
from heronstall.sessions.loads import WorkerLoad, pack_loads
from heronstall.sessions.table import Sessions
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import LOST, Reply
from heronstall.transport.messages import PlaceReply, PlaceRequest, Session, Worker

WORKERS = [f"w{k}" for k in range(8)]


def idle(worker: str) -> Load:
    return Load(0, 12)


class Planning(unittest.TestCase):
    def setUp(self) -> None:
        self.planner = PrefillPlanner()

    def place(self, now: float, segment: str, segment_tokens: int = 20_000, other_tokens: int = 1_000) -> str:
        placed = self.planner.place(now, Prompt(segment, segment_tokens, other_tokens), WORKERS, idle)
        assert placed is not None
        return placed.worker

    def test_concurrent_prompts_go_to_different_workers(self) -> None:
        placed = [self.place(0.0, f"p{k}") for k in range(8)]
        self.assertEqual(set(placed), set(WORKERS))

    def test_a_prompt_goes_to_the_worker_that_cached_its_segment(self) -> None:
        first = self.place(0.0, "a")
        for now in (5.0, 10.0, 15.0):
            for other in range(4):
                self.place(now, f"{now}-{other}")
            self.assertEqual(self.place(now + 1.0, "a"), first)

    def test_it_goes_elsewhere_while_that_worker_is_busy_for_longer_than_the_prefill_takes(self) -> None:
        first = self.place(0.0, "a")
        self.planner._busy_until[first] = 2.0
        self.assertNotEqual(self.place(0.5, "a"), first)

    def test_a_planner_without_history_uses_the_home_worker_unless_it_is_busy(self) -> None:
        homes = {}
        for number in range(40):
            segment = f"p{number}"
            homes[segment] = max(WORKERS, key=lambda worker: affinity(segment, worker))
            placed = PrefillPlanner().place(0.0, Prompt(segment, 9_000, 90), WORKERS, idle)
            assert placed is not None
            self.assertEqual(placed.worker, homes[segment])
        self.assertGreater(len(set(homes.values())), 5)
        self.planner._busy_until[homes["p1"]] = 1.0
        self.assertNotEqual(self.place(0.0, "p1"), homes["p1"])

    def test_an_unused_segment_is_assumed_to_be_evicted(self) -> None:
        placed = self.planner.place(0.0, Prompt("a", 20_000, 1_000), WORKERS, idle)
        again = self.planner.place(1.0, Prompt("a", 20_000, 1_000), WORKERS, idle)
        later = self.planner.place(1.0 + CACHE_LIFETIME_S, Prompt("a", 20_000, 1_000), WORKERS, idle)
        assert placed and again and later
        self.assertEqual((placed.tokens, again.tokens, later.tokens), (21_000, 1_000, 21_000))

    def test_a_worker_with_capacity_is_preferred_to_full_workers(self) -> None:
        def load(worker: str) -> Load:
            return Load(30 if worker != "w5" else 3, 12)

        placed = self.planner.place(0.0, Prompt("a", 20_000, 1_000), WORKERS, load)
        assert placed is not None
        self.assertEqual(placed.worker, "w5")

    def test_without_workers_there_is_no_placement(self) -> None:
        self.assertIsNone(self.planner.place(0.0, Prompt("a", 1, 1), [], idle))

    def test_the_rate_follows_the_faster_measurements(self) -> None:
        rng = random.Random(5)
        for _ in range(600):
            waited = rng.choice((0.0, 0.0, 0.02, 0.1, 0.3))
            self.planner.record_prefill(13_000, 13_000 / 250_000 + waited)
        self.assertGreater(self.planner.tokens_per_second, 150_000)
        self.assertLess(self.planner.tokens_per_second, 300_000)
        self.planner.record_prefill(0, 0.1)
        self.planner.record_prefill(10, 0.0)

    def test_the_remembered_segments_are_bounded(self) -> None:
        for number in range(MAX_SEGMENTS + 500):
            self.place(number * 0.5, f"p{number}")
        self.assertEqual(len(self.planner._cached_at), MAX_SEGMENTS)
        self.assertIn(f"p{MAX_SEGMENTS + 499}", self.planner._cached_at)

    def test_of_many_workers_some_are_compared_and_all_are_used(self) -> None:
        many = [f"i-{k}" for k in range(600)]
        used: Counter[str] = Counter()
        compared = 0

        def load(worker: str) -> Load:
            nonlocal compared
            compared += 1
            return Load(0, 12)

        for number in range(600):
            placed = self.planner.place(0.0, Prompt(f"p{number}", 9_000, 100), many, load)
            assert placed is not None
            used[placed.worker] += 1
        self.assertLessEqual(compared, 600 * (MAX_COMPARED_WORKERS + 1))  # and the home worker
        self.assertLessEqual(max(used.values()), 2)


class PlannerReplies(unittest.TestCase):
    def setUp(self) -> None:
        self.sessions = Sessions()
        self.plans = ReadingPlans(self.sessions, lambda: 10.0)
        self.workers = {
            "w1": Worker(id="w1", service="lm", state="ready", capacity=4),
            "w2": Worker(id="w2", service="lm", state="ready", capacity=4),
            "w3": Worker(id="w3", service="lm", state="draining", capacity=4),
            "w4": Worker(id="w4", service="other", state="ready", capacity=4),
        }

    def test_only_ready_workers_of_the_service_are_chosen(self) -> None:
        named = set()
        for number in range(20):
            reply = self.plans.answer(PlaceRequest("lm", f"p{number}", 9000, 100), self.workers)
            self.assertEqual(reply.status, Status.OK)
            named.add(PlaceReply().parse(reply.body).worker)
        self.assertEqual(named, {"w1", "w2"})
        self.assertEqual(
            self.plans.answer(PlaceRequest("none", "p", 9000, 1), self.workers).status, Status.UNKNOWN
        )

    def test_loads_reported_by_dispatchers_count(self) -> None:
        for edge in ("e1", "e2"):
            loads = pack_loads([WorkerLoad("w1", 3, 2)])
            self.sessions.renew(10.0, Session(name=edge, machine_class="edge", loads=loads))
        reply = self.plans.answer(PlaceRequest("lm", "p", 9000, 100), self.workers)
        self.assertEqual(PlaceReply().parse(reply.body).worker, "w2")

    def test_planners_are_bounded(self) -> None:
        for number in range(SERVICES_MOST + 3):
            self.plans.answer(PlaceRequest(f"s{number}", "p", 9000, 1), self.workers)
        self.assertEqual(len(self.plans._planners), SERVICES_MOST)


class FakeLinks:
    """Replies of core nodes, by address."""

    def __init__(self, replies: dict[str, Reply]) -> None:
        self.replies = replies
        self.asked: list[tuple[str, PlaceRequest]] = []

    def to(self, address: str) -> mock.Mock:
        async def call(kind: Kind, body: bytes, within: float) -> Reply:
            assert kind is Kind.PLACE and within < 0.1
            self.asked.append((address, PlaceRequest().parse(body)))
            return self.replies[address]

        return mock.Mock(call=call)


class Placing(unittest.IsolatedAsyncioTestCase):
    PREFIX = parse_shared_prefix("aa:13000,bb:200,own:3000")

    def setUp(self) -> None:
        self.now = 100.0
        self.view = ControlStateView()
        self.view.control_addresses = ("c1", "c2", "c3")
        reply = Reply(Status.OK, bytes(PlaceReply("w7", 16_200)))
        self.links = FakeLinks(dict.fromkeys(self.view.control_addresses, reply))
        self.placer = PromptPlacer(self.links, self.view, lambda: self.now)  # type: ignore[arg-type]

    async def test_the_request_and_its_reply(self) -> None:
        placed = await self.placer.place("lm", self.PREFIX, 16_200)
        self.assertEqual(placed, PlacedPrompt("w7", 16_200))
        ((_, asked),) = self.links.asked
        self.assertEqual((asked.service, asked.part, asked.shared, asked.own), ("lm", "aa", 13_000, 3_200))
        self.assertEqual(asked.read_tokens, 0)
        assert placed is not None
        self.placer.record_first_event("lm", placed, 0.25)
        await self.placer.place("lm", self.PREFIX, 16_200)
        self.assertEqual(
            (self.links.asked[-1][1].read_tokens, self.links.asked[-1][1].read_ms), (16_200, 250)
        )

    async def test_all_dispatchers_ask_one_node_and_another_if_it_does_not_reply(self) -> None:
        await self.placer.place("lm", self.PREFIX, 16_200)
        first = self.links.asked[0][0]
        other = PromptPlacer(self.links, self.view, lambda: self.now)  # type: ignore[arg-type]
        await other.place("lm", self.PREFIX, 16_200)
        self.assertEqual(self.links.asked[1][0], first)
        for failure in (LOST, Reply(Status.UNSURE), Reply(Status.REFUSED)):
            with self.subTest(status=failure.status):
                self.now += NODE_RETRY_DELAY_S
                self.links.replies[first] = failure
                self.assertIsNone(await self.placer.place("lm", self.PREFIX, 16_200))
                self.assertIsNotNone(await self.placer.place("lm", self.PREFIX, 16_200))
                self.assertNotEqual(self.links.asked[-1][0], first)
        self.links.replies = dict.fromkeys(self.view.control_addresses, LOST)
        self.now += NODE_RETRY_DELAY_S
        asked = len(self.links.asked)
        for _ in range(10):
            self.assertIsNone(await self.placer.place("lm", self.PREFIX, 16_200))
        self.assertEqual(len(self.links.asked) - asked, 3, "each node once, then none for a while")

    async def test_without_control_nodes_there_is_no_placement(self) -> None:
        self.view.control_addresses = ()
        self.assertIsNone(await self.placer.place("lm", self.PREFIX, 16_200))

    async def test_a_long_segment_name_is_truncated(self) -> None:
        await self.placer.place("lm", parse_shared_prefix("f" * 5000 + ":9000,own:1"), 9_001)
        self.assertEqual(len(self.links.asked[0][1].part), MAX_SEGMENT_NAME_LENGTH)

    def test_only_large_prompts_need_a_placement(self) -> None:
        self.assertTrue(self.PREFIX.is_large)
        self.assertFalse(parse_shared_prefix("aa:170,own:543").is_large)

    def test_an_implausible_number_of_tokens_gives_no_shared_prefix(self) -> None:
        self.assertEqual(parse_shared_prefix("aa:" + "9" * 5000 + ",own:1"), NO_SHARED_PREFIX)


if __name__ == "__main__":
    unittest.main()
