"""Streamed requests to dispatchers that run already, in open loop: latencies count from when each was due."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import aiohttp
from hdrh.histogram import HdrHistogram

from heronstall.fleet.spec import SECOND
from heronstall.lab.clock import RealTime, lateness, monotonic
from heronstall.lab.run import LATE_P99, LATE_WORST
from heronstall.lab.tier.client import TROUBLES, stream_at

LONGEST = 180 * SECOND  # microseconds that a histogram holds at the most
DIGITS = 3  # significant digits of its values
BEGIN_AFTER = SECOND // 10  # microseconds
ANSWER_WITHIN = 10.0  # seconds for one answer
PERCENTILES = (50.0, 95.0, 99.0)
MALFORMED = "not whole"  # counted like a status


def due_times(rate: float, seconds: float, seed: int) -> list[int]:
    """Microseconds at which requests are due: exponential gaps, the same for the same seed."""
    draws = random.Random(seed)
    times: list[int] = []
    at = draws.expovariate(rate)
    while at < seconds:
        times.append(int(at * SECOND))
        at += draws.expovariate(rate)
    return times


class Latencies:
    """Times in microseconds, kept as an HDR histogram."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, LONGEST, DIGITS)

    def add(self, microseconds: int) -> None:
        """One more."""
        self._histogram.record_value(max(1, min(LONGEST, microseconds)))

    def percentiles(self) -> dict[str, float]:
        """In milliseconds."""
        found = {f"p{p:g}": self._histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
        return {**found, "most": self._histogram.get_max_value() / 1000}


async def in_open_loop(
    rate: float, seconds: float, seed: int, one: Callable[[RealTime, int, int], Coroutine[Any, Any, None]]
) -> tuple[int, dict[str, float]]:
    """Begin `one` for each arrival, with the clock, its number and the microsecond at which it is due.

    Returns when all have ended: how many there were, and how late the schedule itself ran.
    """
    clock = RealTime()
    times = due_times(rate, seconds, seed)
    ended = asyncio.Event()
    async with asyncio.TaskGroup() as tasks:

        def begin(number: int, due: int) -> None:
            tasks.create_task(one(clock, number, due))

        for number, due in enumerate(times):
            clock.at(due, lambda number=number, due=due: begin(number, due))  # type: ignore[misc]
        clock.at(int(seconds * SECOND), ended.set)
        clock.begin(monotonic() + BEGIN_AFTER)
        await ended.wait()
    return len(times), lateness(clock.late)


def verdict(late: dict[str, float]) -> str:
    """Whether the latencies are the tier's, or this machine was too late to tell."""
    slow = late["p99_ms"] > LATE_P99 or late["worst_ms"] > LATE_WORST
    return "none: the load ran late" if slow else "measured"


class OpenLoop:
    """One run of requests to some addresses in turn."""

    def __init__(self, addresses: Sequence[str], rate: float, seconds: float, seed: int) -> None:
        self._addresses, self._rate, self._seconds, self._seed = addresses, rate, seconds, seed
        self._run = secrets.token_hex(4)  # of the requests' ids: those of two runs differ
        self._came: Counter[str] = Counter()
        self._first, self._whole = Latencies(), Latencies()
        self._session: aiohttp.ClientSession | None = None

    async def play(self) -> dict[str, Any]:
        """Send all requests and wait for the last answer; what came."""
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as self._session:
            requests, late = await in_open_loop(self._rate, self._seconds, self._seed, self._request)
        return self._record(requests, late)

    async def _request(self, clock: RealTime, number: int, due: int) -> None:
        assert self._session is not None
        name = f"load-{self._run}-{number}"
        address = self._addresses[number % len(self._addresses)]
        try:
            async with asyncio.timeout(ANSWER_WITHIN):
                began = clock.now
                answer = await stream_at(self._session, address, name)
        except TROUBLES as error:
            self._came[type(error).__name__] += 1
            return
        waited = began - due
        self._first.add(waited + int(answer.first * SECOND))
        self._whole.add(clock.now - due)
        cut = answer.status == 200 and not answer.whole(name)
        self._came[MALFORMED if cut else str(answer.status)] += 1

    def _record(self, requests: int, late: dict[str, float]) -> dict[str, Any]:
        return {
            "kind": "tier load",
            "seed": self._seed,
            "rate_per_s": self._rate,
            "seconds": self._seconds,
            "requests": requests,
            "came": dict(sorted(self._came.items())),
            "first_event_ms": self._first.percentiles(),
            "whole_ms": self._whole.percentiles(),
            "late": late,
            "verdict": verdict(late),
        }
