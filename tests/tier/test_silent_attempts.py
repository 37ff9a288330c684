"""When attempts are ended because their worker is silent, also in a process that has stood still itself."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Awaitable
from typing import Any

from heronstall.dataplane.attempts import ITEM_SILENCE_S, REQUEST_SILENCE_S
from heronstall.dataplane.workers import SILENCE_CHECK_INTERVAL_S, WorkerPool
from heronstall.transport.messages import Worker
from tests.tier.virtual_loop import VirtualLoop, run_virtually

WORKER = "w1"
DEADLINE_S = 2.0  # of a request that is in progress when the process stands still
STANDSTILL_S = 3.8
GIVEN_UP_S = 60.0  # virtual seconds after which a test ends what never ends


def stand_still(seconds: float) -> None:
    """Lets time pass in which the event loop does nothing, as in a process that is stopped."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    loop.advance(seconds)


class SilentAttempts(unittest.TestCase):
    """One worker that answers nothing."""

    def play(self, standstill_after: float) -> float:
        """Returns the seconds after which an item is ended that is sent once the process has stood still."""

        async def attempt(pool: WorkerPool, max_silence: float, deadline: float | None) -> None:
            async with asyncio.timeout(deadline) as limit:
                attempts = pool.by_id[WORKER].attempts
                begun = attempts.begin(limit, max_silence)
                try:
                    await asyncio.Event().wait()
                finally:
                    attempts.finish(begun)

        async def ended(run: Awaitable[Any]) -> None:
            with self.assertRaises(TimeoutError):
                await run

        async def main() -> float:
            pool = WorkerPool()
            pool.update({WORKER: Worker(id=WORKER, service="lm", address="127.0.0.1:1", state="ready")})
            checking = asyncio.create_task(pool.end_silent_attempts())
            request = asyncio.create_task(attempt(pool, REQUEST_SILENCE_S, DEADLINE_S))
            keep_alive = asyncio.create_task(self.send_data(pool))
            await asyncio.sleep(standstill_after)
            keep_alive.cancel()
            stand_still(STANDSTILL_S)
            await ended(request)
            began = time.monotonic()
            async with asyncio.timeout(GIVEN_UP_S):
                await ended(asyncio.create_task(attempt(pool, ITEM_SILENCE_S, None)))
            checking.cancel()
            return time.monotonic() - began

        return run_virtually(main())

    @staticmethod
    async def send_data(pool: WorkerPool) -> None:
        """Keeps the attempts alive by data of the worker until cancelled."""
        attempts = pool.by_id[WORKER].attempts
        while True:
            for active in attempts.active:
                attempts.record_data(active)
            await asyncio.sleep(0.01)

    def test_silent_attempts_are_ended_after_the_process_has_stood_still(self) -> None:
        """Guards against items that wait for a silent worker for ever, unlisted, after a dispatcher froze."""
        for step in range(1, 40):
            standstill_after = step * DEADLINE_S / 40
            with self.subTest(standstill_after=standstill_after):
                seconds = self.play(standstill_after)
                self.assertLess(seconds, ITEM_SILENCE_S + 2 * SILENCE_CHECK_INTERVAL_S)


if __name__ == "__main__":
    unittest.main()
