"""Batch jobs to dispatchers that run already, in open loop, each followed to its end and checked."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Sequence
from typing import Any

import aiohttp

from heronstall.lab.clock import RealTime
from heronstall.lab.tier.client import LOOK, TROUBLES, read_at, submit_at
from heronstall.lab.tier.load import Latencies, in_open_loop, verdict
from heronstall.lab.tier.promises import Broken, check_results

ACCEPT_WITHIN = 15.0  # seconds in which a submission is repeated until it has a clear answer
DONE_WITHIN = 120.0  # seconds from a job's acceptance to its last result
CALL_WITHIN = 4.0  # seconds for one call
READ_WAIT_MS = 1000  # that a read may be held until there is a result
CLEAR = (202, 429, 503)  # statuses that end a submission: taken, or certain not to run
BROKEN_SHOWN = 10


class BatchLoop:
    """One run of batch jobs to some addresses in turn."""

    def __init__(self, addresses: Sequence[str], rate: float, seconds: float, seed: int, items: int) -> None:
        self._addresses, self._rate, self._seconds, self._seed = addresses, rate, seconds, seed
        self._items = items
        self._run = secrets.token_hex(4)  # of the jobs' ids: those of two runs differ
        self._came: Counter[str] = Counter()
        self._accepted, self._item_done, self._job_done = Latencies(), Latencies(), Latencies()
        self._broken: list[str] = []
        self._calls: aiohttp.ClientSession | None = None

    async def play(self) -> dict[str, Any]:
        """Submit all jobs, read each to its end; what came."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)  # clients use a new connection a call
        async with aiohttp.ClientSession(connector=connector) as self._calls:
            jobs, late = await in_open_loop(self._rate, self._seconds, self._seed, self._follow)
        return {
            "kind": "tier batch load",
            "seed": self._seed,
            "rate_per_s": self._rate,
            "items": self._items,
            "seconds": self._seconds,
            "jobs": jobs,
            "came": dict(sorted(self._came.items())),
            "accepted_ms": self._accepted.percentiles(),
            "item_done_ms": self._item_done.percentiles(),
            "job_done_ms": self._job_done.percentiles(),
            "broken": self._broken[:BROKEN_SHOWN],
            "late": late,
            "verdict": verdict(late),
        }

    def _address(self, turn: int) -> str:
        return self._addresses[turn % len(self._addresses)]

    async def _follow(self, clock: RealTime, number: int, due: int) -> None:
        """One job, from its submission to a second reading of all its results."""
        job = f"load-{self._run}-{number}"
        status = await self._submit(job, number)
        self._came[status] += 1
        if status != str(CLEAR[0]):
            return
        self._accepted.add(clock.now - due)
        try:
            async with asyncio.timeout(DONE_WITHIN):
                found = await self._read(clock, job, number, due)
                self._job_done.add(clock.now - due)
                check_results(job, self._items, found)
                if await self._read(None, job, number + 1, due) != found:
                    raise Broken(f"{job}: another dispatcher gives other results")
        except TimeoutError:
            self._came["not done"] += 1
        except Broken as error:
            self._came["broken"] += 1
            self._broken.append(str(error))

    async def _submit(self, job: str, turn: int) -> str:
        """Submit a job until an answer is clear, at another dispatcher each time; the status."""
        assert self._calls is not None
        last = "no answer"
        try:
            async with asyncio.timeout(ACCEPT_WITHIN):
                while True:
                    try:
                        async with asyncio.timeout(CALL_WITHIN):
                            status = await submit_at(self._calls, self._address(turn), job, self._items)
                        last = str(status)
                        if status in CLEAR:
                            return last
                    except TROUBLES as error:
                        last = type(error).__name__
                    turn += 1
                    await asyncio.sleep(LOOK)
        except TimeoutError:
            return last

    async def _read(self, clock: RealTime | None, job: str, turn: int, due: int) -> list[dict[str, Any]]:
        """All results in position; with a clock, when each came counts. Raises Broken."""
        assert self._calls is not None
        found: list[dict[str, Any]] = []
        while len(found) < self._items:
            address = self._address(turn)
            try:
                async with asyncio.timeout(CALL_WITHIN):
                    status, more = await read_at(self._calls, address, job, len(found), READ_WAIT_MS)
            except TROUBLES:
                status, more = 0, []
            if status == 404:
                raise Broken(f"{job}: accepted, and not known at {address}")
            if status != 200:
                turn += 1
                await asyncio.sleep(LOOK)
                continue
            found += more
            if clock is not None:
                for _ in more:
                    self._item_done.add(clock.now - due)
        return found
