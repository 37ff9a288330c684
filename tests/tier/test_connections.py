"""Kept connections to a worker, and a worker's pace against what is usual."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections import deque
from typing import Any
from unittest import mock

from heronstall.dataplane.connections import (
    INITIAL_IDLE_LIMIT_S,
    MIN_IDLE_LIMIT_S,
    IdleLimit,
    MostRecentlyUsedConnector,
)
from heronstall.dataplane.worker_latency import HALF_LIFE_S, LatencyBaseline, WorkerLatency


class Rests(unittest.TestCase):
    def test_the_worker_tells_and_a_broken_connection_shortens(self) -> None:
        limit = IdleLimit()
        self.assertEqual(limit.seconds, INITIAL_IDLE_LIMIT_S)
        limit.set_advertised(10)
        self.assertAlmostEqual(limit.seconds, 7.0)
        limit.record_reset(0.5)
        self.assertAlmostEqual(limit.seconds, 0.3)
        limit.record_reset(2.0)  # a longer rest that broke says nothing new
        self.assertAlmostEqual(limit.seconds, 0.3)

    def test_answers_lengthen_it_again_up_to_what_was_told(self) -> None:
        limit = IdleLimit()
        limit.set_advertised(1)
        limit.record_reset(0.0)
        self.assertEqual(limit.seconds, MIN_IDLE_LIMIT_S)
        for _ in range(200):
            limit.record_response()
        self.assertAlmostEqual(limit.seconds, 0.7)


class Kept(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.limit = IdleLimit()
        self.spoiled: set[str] = set()

    async def asyncSetUp(self) -> None:
        self.connector = MostRecentlyUsedConnector(self.limit)

    def keep(self, **rests: float) -> None:
        now = time.monotonic()
        kept: deque[tuple[Any, float]] = deque()
        for name, rest in sorted(rests.items(), key=lambda r: -r[1]):
            kept.append(
                (
                    mock.Mock(
                        name=name,
                        spec=["is_connected", "close", "transport", "label", "should_close"],
                        label=name,
                        should_close=name in self.spoiled,
                    ),
                    now - rest,
                )
            )
        self.connector._conns["key"] = kept  # type: ignore[index]

    async def used(self) -> tuple[str | None, float | None]:
        connection: Any = await self.connector._get("key", [])  # type: ignore[arg-type]
        rest = self.connector.pop_idle_seconds()
        if connection is None:
            return None, rest
        label = connection._protocol.label
        connection._protocol = None  # not given back: its end is no part of the test
        return label, rest

    async def test_the_one_that_rested_least_is_used_first(self) -> None:
        self.keep(a=1.5, b=0.2, c=0.9)
        label, rest = await self.used()
        self.assertEqual(label, "b")
        assert rest is not None
        self.assertAlmostEqual(rest, 0.2, delta=0.1)
        self.assertEqual((await self.used())[0], "c")

    async def test_none_is_used_that_has_rested_beyond_the_limit(self) -> None:
        self.limit.record_reset(0.5)
        self.keep(a=1.5, c=0.9)
        self.assertEqual(await self.used(), (None, None))

    async def test_after_a_break_no_kept_connection_is_used(self) -> None:
        self.keep(a=0.1, b=0.2)
        kept: list[Any] = [p for p, _ in self.connector._conns["key"]]  # type: ignore[index]
        self.connector.close_idle_connections()
        self.assertEqual(await self.used(), (None, None))
        self.assertTrue(all(protocol.close.called for protocol in kept))

    async def test_one_on_which_bytes_came_meanwhile_is_ended(self) -> None:
        self.spoiled = {"b"}
        self.keep(a=1.0, b=0.2)
        spoiled: Any = self.connector._conns["key"][-1][0]  # type: ignore[index]
        self.assertEqual((await self.used())[0], "a")
        spoiled.close.assert_called_once()
        self.spoiled = {"c"}
        self.keep(c=0.1)
        self.assertEqual(await self.used(), (None, None))

    async def test_another_task_is_told_nothing(self) -> None:
        self.keep(a=0.1)
        connection: Any = await self.connector._get("key", [])  # type: ignore[arg-type]
        connection._protocol = None

        async def other() -> float | None:
            return self.connector.pop_idle_seconds()

        self.assertIsNone(await asyncio.create_task(other()))
        self.assertIsNotNone(self.connector.pop_idle_seconds())


class Paces(unittest.TestCase):
    def test_a_slow_worker_loses_weight_and_gets_it_back(self) -> None:
        """One that takes eight times as long, among seven others."""
        baseline, slow, fair = LatencyBaseline(), WorkerLatency(), WorkerLatency()
        for n in range(40):
            for _ in range(7):
                baseline.record(fair, "s", 700, 0.02, n * 0.1)
            baseline.record(slow, "s", 700, 0.16, n * 0.1)
        self.assertLess(slow.weight(4.0), 0.5)
        self.assertEqual(fair.weight(4.0), 1.0)
        self.assertEqual(slow.weight(4.0 + 5 * HALF_LIFE_S), 1.0)

    def test_long_prompts_are_not_compared_with_short_ones(self) -> None:
        baseline, worker = LatencyBaseline(), WorkerLatency()
        for n in range(40):
            baseline.record(worker, "s", 100, 0.01, n * 0.1)
            baseline.record(worker, "s", 13_000, 0.2, n * 0.1)
        self.assertEqual(worker.weight(4.0), 1.0)
