"""Requests and items at a worker that has left the registry: ended by its silence, never by its leaving.

Some workers deregister first and serve on; any of them may crash or go dark meanwhile.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from multidict import CIMultiDict

from heronstall.batch.outcomes import Outcome
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.attempts import ITEM_SILENCE_S, REQUEST_SILENCE_S
from heronstall.dataplane.batch_runner import BatchRunner
from heronstall.dataplane.forwarding import LAST_EVENT_HEADER, REQUEST_ID_HEADER, Forwarder, RequestContext
from heronstall.dataplane.item_attempts import RunningItem
from heronstall.dataplane.workers import SILENCE_CHECK_INTERVAL_S, WorkerPool, WorkerState
from heronstall.routing.routes import Route, Routes, RouteType
from heronstall.transport.messages import BatchItem, LeasedItem, Worker
from tests.tier.test_attempt_ends import RecordedResponse
from tests.tier.virtual_loop import run_virtually

ID = "9c41d07be2a35f68"
SHARD = "batch-0"
EVENTS = 6
LEAVING, STAYING = "w1", "w2"
EVENT_INTERVAL_S = 0.2
DEREGISTERED_AFTER_S = 0.5
GIVEN_UP_S = 60.0  # virtual seconds after which a test ends what never ends
DETECTION_SLACK_S = 2 * SILENCE_CHECK_INTERVAL_S


class Content:
    """The body of a worker's response: events up to a last one, then silence if it is not the end."""

    def __init__(self, first: int, last: int) -> None:
        self._next, self._last = first, last

    async def readany(self) -> bytes:
        """Returns the next event, or nothing after the end."""
        if self._next > EVENTS:
            return b""
        if self._next > self._last:
            await asyncio.Event().wait()
        await asyncio.sleep(EVENT_INTERVAL_S)
        number, self._next = self._next, self._next + 1
        return f"id: {number}\ndata: e{number}\n\n".encode()

    async def iter_any(self) -> Any:
        """Yields the events."""
        while chunk := await self.readany():
            yield chunk


def entry(name: str) -> Worker:
    return Worker(id=name, service="lm", address="127.0.0.1:1", state="ready", capacity=8)


def route(kind: RouteType) -> Route:
    return Route("r", "h", "/", kind, (("lm", 1.0),), 50.0, 0.5, 1, 3, True, 0.25, 8.0, 60.0, 0)


class DeregisteredWorkers(unittest.TestCase):
    """Two workers; all is sent to the first, which deregisters while it works."""

    def setUp(self) -> None:
        self.last_events = {LEAVING: 0, STAYING: EVENTS}  # after which a worker is silent
        self.requests: list[tuple[str, str | None]] = []  # worker, last event that the request names

    async def request(
        self, worker: WorkerState, method: str, path: str, headers: CIMultiDict[str], body: bytes
    ) -> mock.Mock:
        """Answers a request in place of a worker."""
        name, last = worker.entry.id, headers.get(LAST_EVENT_HEADER)
        self.requests.append((name, last))
        if not self.last_events[name]:
            await asyncio.Event().wait()
        own = CIMultiDict({REQUEST_ID_HEADER: ID, "Transfer-Encoding": "chunked"})
        content = Content(int(last or 0) + 1, self.last_events[name])
        return mock.Mock(status=200, reason="OK", headers=own, content=content, content_length=None)

    def play(
        self, use: Callable[[WorkerPool, Admission], Awaitable[Any]], returns_after: float = math.inf
    ) -> tuple[Any, float, WorkerPool]:
        """Returns the result of `use`, the seconds that it took, and the pool as it is some time later.

        The first worker deregisters meanwhile; it registers again after `returns_after` seconds.
        """

        async def timed() -> tuple[Any, float, WorkerPool]:
            pool = WorkerPool()
            admission = Admission(pool, random.Random(1))
            pool.update({LEAVING: entry(LEAVING)})
            checking = asyncio.create_task(pool.end_silent_attempts())
            leaving = asyncio.create_task(self.leave(pool, returns_after))
            began = time.monotonic()
            async with asyncio.timeout(GIVEN_UP_S):
                result = await use(pool, admission)
            seconds = time.monotonic() - began
            await asyncio.sleep(DETECTION_SLACK_S)
            checking.cancel()
            leaving.cancel()
            return result, seconds, pool

        with (
            mock.patch.object(WorkerState, "request", lambda worker, *args: self.request(worker, *args)),
            mock.patch("heronstall.dataplane.forwarding.ForwardedResponse", RecordedResponse),
        ):
            return run_virtually(timed())

    @staticmethod
    async def leave(pool: WorkerPool, returns_after: float) -> None:
        await asyncio.sleep(DEREGISTERED_AFTER_S)
        pool.update({STAYING: entry(STAYING)})
        if returns_after < math.inf:
            await asyncio.sleep(returns_after)
            pool.update({name: entry(name) for name in (LEAVING, STAYING)})

    @staticmethod
    async def run_item(pool: WorkerPool, admission: Admission) -> tuple[Outcome, list[bytes]]:
        """Runs a batch item as a dispatcher that has leased it does."""
        routes = Routes(1, {"h": [route(RouteType.BATCH)]})
        runner = BatchRunner("edge", mock.Mock(), admission, mock.Mock(), lambda: routes)
        runner._polled_at[SHARD] = math.inf
        item = RunningItem(LeasedItem(job="j", host="h", route="r"), BatchItem(id=ID, path="/p"), SHARD)
        return await runner._run_attempts(item), item.event_data

    @staticmethod
    async def forward(pool: WorkerPool, admission: Admission) -> tuple[int, bytes]:
        """Forwards a stream that may be resumed."""
        headers = CIMultiDict({REQUEST_ID_HEADER: ID, "Host": "h"})
        request = mock.Mock(method="POST", raw_path="/p", headers=headers)
        now = time.monotonic()
        context = RequestContext(request, route(RouteType.STREAMING), "lm", b"", now + 50, now)
        response = await Forwarder(pool, admission).forward(context)
        assert isinstance(response, RecordedResponse)
        return response.status, response.data

    def assert_item_is_complete(self, result: tuple[Outcome, list[bytes]]) -> None:
        outcome, data = result
        self.assertIs(outcome, Outcome.DONE)
        self.assertEqual(data, [f"e{n}".encode() for n in range(1, EVENTS + 1)])

    def test_item_at_a_deregistered_worker_that_goes_dark_is_run_elsewhere(self) -> None:
        """Guards against items that are held for ever at a worker that was dropped from the registry."""
        for last_event in (0, 2, EVENTS - 1):
            for returns_after in (math.inf, 1.0):  # also a worker that had expired and comes back
                with self.subTest(last_event=last_event, returns_after=returns_after):
                    self.setUp()
                    self.last_events[LEAVING] = last_event
                    result, seconds, pool = self.play(self.run_item, returns_after)
                    self.assert_item_is_complete(result)
                    self.assertEqual(
                        self.requests, [(LEAVING, None), (STAYING, str(last_event) if last_event else None)]
                    )
                    runs_for = EVENTS * EVENT_INTERVAL_S
                    self.assertLess(seconds, runs_for + ITEM_SILENCE_S + DETECTION_SLACK_S)
                    self.assertEqual(pool._deregistered, [])

    def test_stream_at_a_deregistered_worker_that_goes_dark_is_resumed_elsewhere(self) -> None:
        """Guards against a repeatable request that waits there until its deadline."""
        self.last_events[LEAVING] = 2
        (status, data), seconds, pool = self.play(self.forward)
        self.assertEqual((status, data.count(b"data: ")), (200, EVENTS))
        self.assertEqual(self.requests, [(LEAVING, None), (STAYING, "2")])
        self.assertLess(seconds, EVENTS * EVENT_INTERVAL_S + REQUEST_SILENCE_S + DETECTION_SLACK_S)
        self.assertEqual(pool._deregistered, [])

    def test_item_at_a_deregistered_worker_that_serves_on_ends_there(self) -> None:
        self.last_events[LEAVING] = EVENTS
        result, _, pool = self.play(self.run_item)
        self.assert_item_is_complete(result)
        self.assertEqual(self.requests, [(LEAVING, None)])
        self.assertEqual(pool._deregistered, [])

    def test_connections_to_deregistered_workers_are_closed_at_the_end_of_the_process(self) -> None:
        pool = WorkerPool()
        pool.update({LEAVING: entry(LEAVING)})
        worker = pool.by_id[LEAVING]
        worker.inflight = 1
        pool.update({})
        with mock.patch.object(WorkerState, "close") as close:
            pool.close()
        close.assert_called_once()


if __name__ == "__main__":
    unittest.main()
