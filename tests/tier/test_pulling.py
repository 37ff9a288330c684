"""Pulls past silent, refusing and stale control nodes, in virtual time."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from collections.abc import Coroutine
from typing import Any, cast
from unittest import mock

from heronstall.distribution.freshness import DECISION_MARGIN, MAX_STATE_STALENESS, StalenessLimits
from heronstall.distribution.view import ControlStateView
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import LOST, Links, Reply
from heronstall.transport.messages import Session, SyncReply, SyncRequest
from heronstall.transport.pulling import ANSWER_WITHIN, CALLS_MOST, HOLD, LATE, LEFT_OUT, Candidates, Puller
from tests.tier.virtual_loop import run_virtually

TRIP = 0.002  # seconds there and back


class ControlNode:
    """A control node that may be silent, refuse calls or say that it is unsure."""

    def __init__(self, tier: ControlNodes) -> None:
        self._tier = tier
        self.mood = "well"
        self.answers_at = 0.0  # of one that is late
        self.calls: list[float] = []
        self.under_way = 0

    async def call(self, kind: Kind, body: bytes, within: float) -> Reply:
        self.calls.append(time.monotonic())
        self.under_way += 1
        self._tier.most = max(self._tier.most, sum(n.under_way for n in self._tier.nodes.values()))
        try:
            return await self._answer(SyncRequest().parse(body), within)
        finally:
            self.under_way -= 1

    async def _answer(self, request: SyncRequest, within: float) -> Reply:
        await asyncio.sleep(TRIP)
        if self.mood == "silent":
            await asyncio.sleep(within)
            return LOST
        if self.mood == "late":
            await asyncio.sleep(max(0.0, self.answers_at - time.monotonic()))
        if self.mood == "refusing":
            return LOST
        if self.mood == "unsure":
            return Reply(Status.UNSURE)
        known = {v.shard: v.version for v in request.versions}.get("config", 0)
        until = time.monotonic() + request.wait_ms / 1000
        while time.monotonic() < until and self._tier.version <= known:
            await asyncio.sleep(0.01)
        reply = SyncReply(config_version=self._tier.version, control=sorted(self._tier.members))
        if self._tier.version > known:
            reply.document = b"%d" % self._tier.version
        return Reply(Status.OK, bytes(reply))

    def drop(self) -> None:
        """No connection to end."""


class ControlNodes:
    """All control nodes, by address."""

    def __init__(self, names: str) -> None:
        self.nodes = {name: ControlNode(self) for name in names}
        self.members = set(names)
        self.version = 1
        self.most = 0  # calls under way at once

    def to(self, address: str) -> ControlNode:
        return self.nodes[address]


class Pulls(unittest.TestCase):
    def play(self, run: Coroutine[Any, Any, None]) -> None:
        run_virtually(run)

    @staticmethod
    async def begun(nodes: ControlNodes, seeds: str = "abc") -> Puller:
        puller = Puller(
            cast(Links, nodes),
            ControlStateView(),
            lambda: Session(name="e"),
            lambda: list(seeds),
            lambda _: None,
        )
        task = asyncio.create_task(puller.run())
        puller_tasks.append(task)
        await asyncio.sleep(1.5)
        return puller

    async def seconds_to(self, puller: Puller, version: int) -> float:
        """How long it takes until a version is known."""
        began = time.monotonic()
        while puller._view.versions.get("config", 0) < version:
            self.assertLess(time.monotonic() - began, 10.0)
            await asyncio.sleep(0.01)
        return time.monotonic() - began

    def test_a_silent_node_costs_a_hold_and_a_little(self) -> None:
        async def run() -> None:
            for _ in range(20):
                nodes = ControlNodes("abc")
                puller = await self.begun(nodes)
                nodes.nodes[puller._at].mood = "silent"
                nodes.version = 2
                self.assertLess(await self.seconds_to(puller, 2), HOLD + LATE + 0.1)

        self.play(run())

    def test_each_further_silent_node_costs_only_the_little(self) -> None:
        async def run() -> None:
            for _ in range(20):
                nodes = ControlNodes("abcde")
                puller = await self.begun(nodes, seeds="abc")
                for name in sorted(nodes.nodes, key=lambda n: n != puller._at)[:3]:
                    nodes.nodes[name].mood = "silent"
                nodes.version = 2
                self.assertLess(await self.seconds_to(puller, 2), HOLD + 3 * LATE + 0.1)
                self.assertLessEqual(nodes.most, CALLS_MOST)

        self.play(run())

    def test_nodes_that_refuse_or_are_unsure_cost_nothing(self) -> None:
        async def run() -> None:
            for mood in ("refusing", "unsure"):
                nodes = ControlNodes("abc")
                puller = await self.begun(nodes)
                for name in sorted(nodes.nodes, key=lambda n: n != puller._at)[:2]:
                    nodes.nodes[name].mood = mood
                nodes.version = 2
                self.assertLess(await self.seconds_to(puller, 2), HOLD + 0.1)

        self.play(run())

    def test_a_node_that_failed_is_left_out_for_a_while(self) -> None:
        async def run() -> None:
            nodes = ControlNodes("abc")
            puller = await self.begun(nodes)
            dead = nodes.nodes[puller._at]
            dead.mood = "silent"
            await asyncio.sleep(HOLD + LATE + 0.1)
            calls = len(dead.calls)
            for _ in range(4):  # another one fails: the dead one is not asked again
                at = nodes.nodes[puller._at]
                at.mood = "refusing"
                await asyncio.sleep(0.05)
                at.mood = "well"
                await asyncio.sleep(0.3)
            self.assertEqual(len(dead.calls), calls)

        self.play(run())

    def test_members_that_were_replaced_are_followed(self) -> None:
        async def run() -> None:
            nodes = ControlNodes("abcdef")
            nodes.members = set("abc")
            puller = await self.begun(nodes)
            nodes.members = set("def")  # all at once: the last answer tells them
            await asyncio.sleep(HOLD + 0.1)
            for name in "abc":
                nodes.nodes[name].mood = "silent"
            nodes.version = 2
            self.assertLess(await self.seconds_to(puller, 2), HOLD + 3 * LATE + 0.1)
            await asyncio.sleep(2 * HOLD)
            self.assertIn(puller._at, "def")

        self.play(run())

    def test_while_all_fail_calls_are_few(self) -> None:
        async def run() -> None:
            nodes = ControlNodes("abc")
            await self.begun(nodes)
            for node in nodes.nodes.values():
                node.mood = "refusing"
                node.calls.clear()
            await asyncio.sleep(5.0)
            self.assertLess(sum(len(n.calls) for n in nodes.nodes.values()), 5.0 / 0.1 + 5)

        self.play(run())

    def test_what_is_known_is_as_old_as_the_call_that_was_answered(self) -> None:
        async def run() -> None:
            nodes = ControlNodes("a")
            puller = await self.begun(nodes, seeds="a")
            self.assertLess(time.monotonic() - puller.known_at, 2 * HOLD + 0.1)
            self.assertIn(puller.known_at, nodes.nodes["a"].calls)
            nodes.nodes["a"].mood = "silent"
            known_at = puller.known_at
            await asyncio.sleep(3.0)
            self.assertLessEqual(puller.known_at, known_at + HOLD + TRIP + 0.01)

        self.play(run())

    def test_answers_that_come_at_one_moment_are_all_taken(self) -> None:
        async def run() -> None:
            for helpful in ("well", "unsure"):
                nodes = ControlNodes("abc")
                puller = await self.begun(nodes)
                late = nodes.nodes[puller._at]
                late.mood = "late"
                late.answers_at = time.monotonic() + 2 * HOLD + LATE + TRIP  # as the one asked beside it
                for node in nodes.nodes.values():
                    if node is not late:
                        node.mood, node.answers_at = "late", late.answers_at
                await asyncio.sleep(2 * HOLD + LATE + 1.0)
                for node in nodes.nodes.values():
                    node.mood = helpful
                await asyncio.sleep(0.2)
                for node in nodes.nodes.values():
                    node.mood = "well"
                nodes.version = 2
                self.assertLess(await self.seconds_to(puller, 2), HOLD + LATE + 0.2)

        self.play(run())

    def test_an_answer_that_cannot_be_taken_ends_one_round_alone(self) -> None:
        async def run() -> None:
            nodes = ControlNodes("abc")
            puller = await self.begun(nodes)
            with mock.patch.object(ControlStateView, "apply", side_effect=ValueError("malformed")):
                await asyncio.sleep(1.0)
            nodes.version = 2
            self.assertLess(await self.seconds_to(puller, 2), HOLD + 0.3)

        self.play(run())

    def test_a_dead_node_is_given_up_in_the_end(self) -> None:
        async def run() -> None:
            nodes = ControlNodes("a")
            puller = await self.begun(nodes, seeds="a")
            nodes.nodes["a"].mood = "silent"
            await asyncio.sleep(2 * (HOLD + ANSWER_WITHIN) + 0.5)
            nodes.nodes["a"].mood = "well"
            nodes.version = 2
            self.assertLess(await self.seconds_to(puller, 2), HOLD + ANSWER_WITHIN + 0.3)

        self.play(run())


puller_tasks: list[asyncio.Task[None]] = []  # held so that none is collected while it runs


class Choice(unittest.TestCase):
    def test_members_go_first_then_seeds_then_who_failed_first(self) -> None:
        candidates = Candidates(random.Random(1))
        self.assertIn(candidates.choose(10.0, "ab", "cd", set()), "ab")
        candidates.failed(10.0, "a")
        self.assertEqual(candidates.choose(10.1, "ab", "cd", set()), "b")
        candidates.failed(10.2, "b")
        self.assertIn(candidates.choose(10.3, "ab", "cd", set()), "cd")
        candidates.failed(10.4, "c")
        candidates.failed(10.5, "d")
        self.assertEqual(candidates.choose(10.6, "ab", "cd", set()), "a")
        self.assertEqual(candidates.choose(10.6, "ab", "cd", {"a"}), "b")
        self.assertIsNone(candidates.choose(10.6, "ab", "cd", set("abcd")))
        self.assertTrue(candidates.all_failed(10.6, "abcd"))
        self.assertEqual(candidates.choose(10.1 + LEFT_OUT, "ab", "cd", set()), "a")
        candidates.answered("d")
        self.assertFalse(candidates.all_failed(10.6, "abcd"))


class Limits(unittest.TestCase):
    def test_what_is_refused_is_known_to_be_refused_within_the_bound(self) -> None:
        limits = StalenessLimits.from_bounds(config_apply=2.0, max_skew=5.0, recover=12.0)
        self.assertLessEqual(limits.unknown_route_limit + MAX_STATE_STALENESS + DECISION_MARGIN, 2.0 + 1e-9)
        self.assertAlmostEqual(limits.service_limit, limits.unknown_route_limit + 17.0)
        self.assertEqual(StalenessLimits.from_bounds(0.5, 1.0, 2.0).unknown_route_limit, 0.0)


if __name__ == "__main__":
    unittest.main()
