"""Idle connections to a worker, and a worker's latency against the baseline."""

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


class IdleLimits(unittest.TestCase):
    def test_the_worker_advertises_the_limit_and_a_reset_shortens_it(self) -> None:
        limit = IdleLimit()
        self.assertEqual(limit.seconds, INITIAL_IDLE_LIMIT_S)
        limit.set_advertised(10)
        self.assertAlmostEqual(limit.seconds, 7.0)
        limit.record_reset(0.5)
        self.assertAlmostEqual(limit.seconds, 0.3)
        limit.record_reset(2.0)  # a reset after a longer idle time adds no information
        self.assertAlmostEqual(limit.seconds, 0.3)

    def test_responses_lengthen_it_again_up_to_the_advertised_limit(self) -> None:
        limit = IdleLimit()
        limit.set_advertised(1)
        limit.record_reset(0.0)
        self.assertEqual(limit.seconds, MIN_IDLE_LIMIT_S)
        for _ in range(200):
            limit.record_response()
        self.assertAlmostEqual(limit.seconds, 0.7)


class IdleConnections(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.limit = IdleLimit()
        self.unusable: set[str] = set()

    async def asyncSetUp(self) -> None:
        self.connector = MostRecentlyUsedConnector(self.limit)

    def add_idle(self, **idle_times: float) -> None:
        now = time.monotonic()
        idle: deque[tuple[Any, float]] = deque()
        for name, idle_seconds in sorted(idle_times.items(), key=lambda r: -r[1]):
            idle.append(
                (
                    mock.Mock(
                        name=name,
                        spec=["is_connected", "close", "transport", "label", "should_close"],
                        label=name,
                        should_close=name in self.unusable,
                    ),
                    now - idle_seconds,
                )
            )
        self.connector._conns["key"] = idle  # type: ignore[index]

    async def next_used(self) -> tuple[str | None, float | None]:
        connection: Any = await self.connector._get("key", [])  # type: ignore[arg-type]
        idle_seconds = self.connector.pop_idle_seconds()
        if connection is None:
            return None, idle_seconds
        label = connection._protocol.label
        connection._protocol = None  # prevents its release, which is not under test
        return label, idle_seconds

    async def test_the_shortest_idle_connection_is_used_first(self) -> None:
        self.add_idle(a=1.5, b=0.2, c=0.9)
        label, idle_seconds = await self.next_used()
        self.assertEqual(label, "b")
        assert idle_seconds is not None
        self.assertAlmostEqual(idle_seconds, 0.2, delta=0.1)
        self.assertEqual((await self.next_used())[0], "c")

    async def test_a_connection_idle_beyond_the_limit_is_not_used(self) -> None:
        self.limit.record_reset(0.5)
        self.add_idle(a=1.5, c=0.9)
        self.assertEqual(await self.next_used(), (None, None))

    async def test_no_idle_connection_is_used_after_all_were_closed(self) -> None:
        self.add_idle(a=0.1, b=0.2)
        idle: list[Any] = [p for p, _ in self.connector._conns["key"]]  # type: ignore[index]
        self.connector.close_idle_connections()
        self.assertEqual(await self.next_used(), (None, None))
        self.assertTrue(all(protocol.close.called for protocol in idle))

    async def test_a_connection_with_unrequested_bytes_is_closed(self) -> None:
        self.unusable = {"b"}
        self.add_idle(a=1.0, b=0.2)
        unusable: Any = self.connector._conns["key"][-1][0]  # type: ignore[index]
        self.assertEqual((await self.next_used())[0], "a")
        unusable.close.assert_called_once()
        self.unusable = {"c"}
        self.add_idle(c=0.1)
        self.assertEqual(await self.next_used(), (None, None))

    async def test_the_idle_time_belongs_to_one_task(self) -> None:
        self.add_idle(a=0.1)
        connection: Any = await self.connector._get("key", [])  # type: ignore[arg-type]
        connection._protocol = None

        async def other() -> float | None:
            return self.connector.pop_idle_seconds()

        self.assertIsNone(await asyncio.create_task(other()))
        self.assertIsNotNone(self.connector.pop_idle_seconds())


class WorkerLatencies(unittest.TestCase):
    def test_a_slow_worker_loses_weight_and_regains_it(self) -> None:
        """The slow worker takes eight times as long as the seven others."""
        baseline, slow, fair = LatencyBaseline(), WorkerLatency(), WorkerLatency()
        for n in range(40):
            for _ in range(7):
                baseline.record(fair, "s", 700, 0.02, n * 0.1)
            baseline.record(slow, "s", 700, 0.16, n * 0.1)
        self.assertLess(slow.weight(4.0), 0.5)
        self.assertEqual(fair.weight(4.0), 1.0)
        self.assertEqual(slow.weight(4.0 + 5 * HALF_LIFE_S), 1.0)

    def test_long_prompts_are_not_compared_with_short_prompts(self) -> None:
        baseline, worker = LatencyBaseline(), WorkerLatency()
        for n in range(40):
            baseline.record(worker, "s", 100, 0.01, n * 0.1)
            baseline.record(worker, "s", 13_000, 0.2, n * 0.1)
        self.assertEqual(worker.weight(4.0), 1.0)
