"""Tests of pulling past silent, refusing and unsure control nodes, in virtual time."""

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
from heronstall.transport.links import CALL_FAILED, Links, Reply
from heronstall.transport.messages import Session, SyncReply, SyncRequest
from heronstall.transport.pulling import (
    ANSWER_TIMEOUT,
    FAILED_NODE_COOLDOWN,
    HEDGE_DELAY,
    MAX_PARALLEL_CALLS,
    POLL_HOLD,
    ControlNodeSelector,
    StatePuller,
)
from tests.tier.virtual_loop import run_virtually

ROUND_TRIP = 0.002  # seconds


class ControlNode:
    """A control node that can be silent, late, refuse calls or reply UNSURE."""

    def __init__(self, tier: ControlNodes) -> None:
        self._tier = tier
        self.behaviour = "normal"
        self.answers_at = 0.0  # steady time at which a late node answers
        self.calls: list[float] = []
        self.running_calls = 0

    async def call(self, kind: Kind, body: bytes, within: float) -> Reply:
        self.calls.append(time.monotonic())
        self.running_calls += 1
        self._tier.max_running_calls = max(
            self._tier.max_running_calls, sum(n.running_calls for n in self._tier.nodes.values())
        )
        try:
            return await self._answer(SyncRequest().parse(body), within)
        finally:
            self.running_calls -= 1

    async def _answer(self, request: SyncRequest, within: float) -> Reply:
        await asyncio.sleep(ROUND_TRIP)
        if self.behaviour == "silent":
            await asyncio.sleep(within)
            return CALL_FAILED
        if self.behaviour == "late":
            await asyncio.sleep(max(0.0, self.answers_at - time.monotonic()))
        if self.behaviour == "refusing":
            return CALL_FAILED
        if self.behaviour == "unsure":
            return Reply(Status.UNSURE)
        known = {v.shard: v.version for v in request.versions}.get("config", 0)
        deadline = time.monotonic() + request.wait_ms / 1000
        while time.monotonic() < deadline and self._tier.version <= known:
            await asyncio.sleep(0.01)
        reply = SyncReply(config_version=self._tier.version, control=sorted(self._tier.members))
        if self._tier.version > known:
            reply.document = b"%d" % self._tier.version
        return Reply(Status.OK, bytes(reply))

    def disconnect(self) -> None:
        """Does nothing: there is no connection."""


class ControlNodes:
    """All control nodes, by address."""

    def __init__(self, names: str) -> None:
        self.nodes = {name: ControlNode(self) for name in names}
        self.members = set(names)
        self.version = 1
        self.max_running_calls = 0  # largest number of concurrent calls

    def to(self, address: str) -> ControlNode:
        return self.nodes[address]


class PullerTest(unittest.TestCase):
    def run_in_virtual_time(self, run: Coroutine[Any, Any, None]) -> None:
        run_virtually(run)

    @staticmethod
    async def start_puller(nodes: ControlNodes, seeds: str = "abc") -> StatePuller:
        puller = StatePuller(
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

    async def seconds_to(self, puller: StatePuller, version: int) -> float:
        """Returns the seconds until the puller knows a version."""
        started_at = time.monotonic()
        while puller._view.versions.get("config", 0) < version:
            self.assertLess(time.monotonic() - started_at, 10.0)
            await asyncio.sleep(0.01)
        return time.monotonic() - started_at

    def test_silent_node_delays_an_update_by_one_hold_and_one_hedge_delay(self) -> None:
        async def run() -> None:
            for _ in range(20):
                nodes = ControlNodes("abc")
                puller = await self.start_puller(nodes)
                nodes.nodes[puller._preferred_node].behaviour = "silent"
                nodes.version = 2
                self.assertLess(await self.seconds_to(puller, 2), POLL_HOLD + HEDGE_DELAY + 0.1)

        self.run_in_virtual_time(run())

    def test_each_further_silent_node_adds_only_one_hedge_delay(self) -> None:
        async def run() -> None:
            for _ in range(20):
                nodes = ControlNodes("abcde")
                puller = await self.start_puller(nodes, seeds="abc")
                for name in sorted(nodes.nodes, key=lambda n: n != puller._preferred_node)[:3]:
                    nodes.nodes[name].behaviour = "silent"
                nodes.version = 2
                self.assertLess(await self.seconds_to(puller, 2), POLL_HOLD + 3 * HEDGE_DELAY + 0.1)
                self.assertLessEqual(nodes.max_running_calls, MAX_PARALLEL_CALLS)

        self.run_in_virtual_time(run())

    def test_refusing_and_unsure_nodes_add_no_delay(self) -> None:
        async def run() -> None:
            for behaviour in ("refusing", "unsure"):
                nodes = ControlNodes("abc")
                puller = await self.start_puller(nodes)
                for name in sorted(nodes.nodes, key=lambda n: n != puller._preferred_node)[:2]:
                    nodes.nodes[name].behaviour = behaviour
                nodes.version = 2
                self.assertLess(await self.seconds_to(puller, 2), POLL_HOLD + 0.1)

        self.run_in_virtual_time(run())

    def test_failed_node_is_avoided_for_a_while(self) -> None:
        async def run() -> None:
            nodes = ControlNodes("abc")
            puller = await self.start_puller(nodes)
            failed_node = nodes.nodes[puller._preferred_node]
            failed_node.behaviour = "silent"
            await asyncio.sleep(POLL_HOLD + HEDGE_DELAY + 0.1)
            calls = len(failed_node.calls)
            for _ in range(4):  # another node fails; the silent one must not be called again
                current = nodes.nodes[puller._preferred_node]
                current.behaviour = "refusing"
                await asyncio.sleep(0.05)
                current.behaviour = "normal"
                await asyncio.sleep(0.3)
            self.assertEqual(len(failed_node.calls), calls)

        self.run_in_virtual_time(run())

    def test_puller_follows_replaced_members(self) -> None:
        async def run() -> None:
            nodes = ControlNodes("abcdef")
            nodes.members = set("abc")
            puller = await self.start_puller(nodes)
            nodes.members = set("def")  # all replaced at once: the last answer names the new members
            await asyncio.sleep(POLL_HOLD + 0.1)
            for name in "abc":
                nodes.nodes[name].behaviour = "silent"
            nodes.version = 2
            self.assertLess(await self.seconds_to(puller, 2), POLL_HOLD + 3 * HEDGE_DELAY + 0.1)
            await asyncio.sleep(2 * POLL_HOLD)
            self.assertIn(puller._preferred_node, "def")

        self.run_in_virtual_time(run())

    def test_call_rate_is_bounded_while_all_nodes_fail(self) -> None:
        async def run() -> None:
            nodes = ControlNodes("abc")
            await self.start_puller(nodes)
            for node in nodes.nodes.values():
                node.behaviour = "refusing"
                node.calls.clear()
            await asyncio.sleep(5.0)
            self.assertLess(sum(len(n.calls) for n in nodes.nodes.values()), 5.0 / 0.1 + 5)

        self.run_in_virtual_time(run())

    def test_state_is_as_current_as_the_start_of_the_answered_call(self) -> None:
        async def run() -> None:
            nodes = ControlNodes("a")
            puller = await self.start_puller(nodes, seeds="a")
            self.assertLess(time.monotonic() - puller.current_as_of, 2 * POLL_HOLD + 0.1)
            self.assertIn(puller.current_as_of, nodes.nodes["a"].calls)
            nodes.nodes["a"].behaviour = "silent"
            current_as_of = puller.current_as_of
            await asyncio.sleep(3.0)
            self.assertLessEqual(puller.current_as_of, current_as_of + POLL_HOLD + ROUND_TRIP + 0.01)

        self.run_in_virtual_time(run())

    def test_simultaneous_answers_are_all_handled(self) -> None:
        async def run() -> None:
            for final_behaviour in ("normal", "unsure"):
                nodes = ControlNodes("abc")
                puller = await self.start_puller(nodes)
                late = nodes.nodes[puller._preferred_node]
                late.behaviour = "late"
                # The late answer comes at the same time as that of the parallel call.
                late.answers_at = time.monotonic() + 2 * POLL_HOLD + HEDGE_DELAY + ROUND_TRIP
                for node in nodes.nodes.values():
                    if node is not late:
                        node.behaviour, node.answers_at = "late", late.answers_at
                await asyncio.sleep(2 * POLL_HOLD + HEDGE_DELAY + 1.0)
                for node in nodes.nodes.values():
                    node.behaviour = final_behaviour
                await asyncio.sleep(0.2)
                for node in nodes.nodes.values():
                    node.behaviour = "normal"
                nodes.version = 2
                self.assertLess(await self.seconds_to(puller, 2), POLL_HOLD + HEDGE_DELAY + 0.2)

        self.run_in_virtual_time(run())

    def test_malformed_answer_ends_only_one_round(self) -> None:
        async def run() -> None:
            nodes = ControlNodes("abc")
            puller = await self.start_puller(nodes)
            with mock.patch.object(ControlStateView, "apply", side_effect=ValueError("malformed")):
                await asyncio.sleep(1.0)
            nodes.version = 2
            self.assertLess(await self.seconds_to(puller, 2), POLL_HOLD + 0.3)

        self.run_in_virtual_time(run())

    def test_call_to_a_silent_node_times_out(self) -> None:
        async def run() -> None:
            nodes = ControlNodes("a")
            puller = await self.start_puller(nodes, seeds="a")
            nodes.nodes["a"].behaviour = "silent"
            await asyncio.sleep(2 * (POLL_HOLD + ANSWER_TIMEOUT) + 0.5)
            nodes.nodes["a"].behaviour = "normal"
            nodes.version = 2
            self.assertLess(await self.seconds_to(puller, 2), POLL_HOLD + ANSWER_TIMEOUT + 0.3)

        self.run_in_virtual_time(run())


puller_tasks: list[asyncio.Task[None]] = []  # references that keep running tasks from being garbage-collected


class NodeSelection(unittest.TestCase):
    def test_order_is_members_then_seeds_then_oldest_failure(self) -> None:
        selector = ControlNodeSelector(random.Random(1))
        self.assertIn(selector.choose(10.0, "ab", "cd", set()), "ab")
        selector.record_failure(10.0, "a")
        self.assertEqual(selector.choose(10.1, "ab", "cd", set()), "b")
        selector.record_failure(10.2, "b")
        self.assertIn(selector.choose(10.3, "ab", "cd", set()), "cd")
        selector.record_failure(10.4, "c")
        selector.record_failure(10.5, "d")
        self.assertEqual(selector.choose(10.6, "ab", "cd", set()), "a")
        self.assertEqual(selector.choose(10.6, "ab", "cd", {"a"}), "b")
        self.assertIsNone(selector.choose(10.6, "ab", "cd", set("abcd")))
        self.assertTrue(selector.all_failed_recently(10.6, "abcd"))
        self.assertEqual(selector.choose(10.1 + FAILED_NODE_COOLDOWN, "ab", "cd", set()), "a")
        selector.record_answer("d")
        self.assertFalse(selector.all_failed_recently(10.6, "abcd"))


class KnowledgeLimitsTest(unittest.TestCase):
    def test_refusals_follow_a_configuration_within_the_bound(self) -> None:
        limits = StalenessLimits.from_bounds(config_apply=2.0, max_skew=5.0, recover=12.0)
        self.assertLessEqual(limits.unknown_route_limit + MAX_STATE_STALENESS + DECISION_MARGIN, 2.0 + 1e-9)
        self.assertAlmostEqual(limits.service_limit, limits.unknown_route_limit + 17.0)
        self.assertEqual(StalenessLimits.from_bounds(0.5, 1.0, 2.0).unknown_route_limit, 0.0)


if __name__ == "__main__":
    unittest.main()
