"""Checks the history of two operators whose core processes are paused, killed and lose their disks."""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

import aiohttp

from heronstall.lab.tier.client import TROUBLES, configuration
from heronstall.lab.tier.plan import CONTROL, drawn
from heronstall.lab.tier.tier import LocalTier
from tests.tier.register_history import Answer, Call, is_linearizable

ANSWER_TIMEOUT = 1.0  # seconds after which an operator calls another node
LOST_ANSWER_SHARE = 0.3  # share of the answers that an operator does not receive
RUN_SECONDS = 12.0  # for which the operators send changes
PAUSE_SECONDS = (0.6, 2.5)  # range of a process's pause


class Operator:
    """Sends changes, repeats each until its outcome is known, and records every call."""

    def __init__(self, tier: LocalTier, name: str, rng: random.Random, http: list[Call]) -> None:
        self._tier, self._name, self._random, self._calls = tier, name, rng, http
        self._known_revision = 1

    async def run(self, deadline: float) -> None:
        number = 0
        while time.monotonic() < deadline:
            number += 1
            revision = self._known_revision + self._random.randint(1, 3)
            await self._change_until_answered(revision, f"{self._name}{number}", deadline)

    async def _change_until_answered(self, revision: int, content: str, deadline: float) -> None:
        base = self._known_revision
        while time.monotonic() < deadline:
            answer = await self.change(base, revision, content)
            if answer is Answer.ACCEPTED and self._random.random() >= LOST_ANSWER_SHARE:
                self._known_revision = revision
                return
            if answer is Answer.STALE:
                found = await self.read()
                if found is not None:
                    self._known_revision = found
                    return
            await asyncio.sleep(0.1)

    async def change(self, base: int, revision: int, content: str) -> Answer:
        document = {**configuration(revision), "content": content}
        start = time.monotonic()
        status, document_returned = await self._call("PUT", document, base)
        answer = {200: Answer.ACCEPTED, 412: Answer.STALE}.get(status, Answer.UNKNOWN)
        if answer is Answer.ACCEPTED and document_returned["revision"] != revision:
            raise AssertionError(f"{revision} was acknowledged as {document_returned['revision']}")
        self._calls.append(Call(start, time.monotonic(), answer, base, revision, content))
        return answer

    async def read(self) -> int | None:
        start = time.monotonic()
        status, found = await self._call("GET", None, 0)
        if status != 200:
            return None
        revision = int(found["revision"])
        content = found.get("content", "")
        self._calls.append(Call(start, time.monotonic(), Answer.READ, 0, revision, content))
        return revision

    async def _call(self, method: str, document: Any, base: int) -> tuple[int, Any]:
        core = self._random.choice(self._tier.plan.cores)
        client_timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT)
        calls = self._tier.client.calls
        try:
            async with calls.request(
                method,
                f"http://{core}:{CONTROL}/-/config",
                json=document,
                headers={"If-Match": str(base)},
                timeout=client_timeout,
            ) as answer:
                return answer.status, await answer.json()
        except (*TROUBLES, ValueError):
            return 0, None


class RealProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="heronstall-")
        self.addCleanup(folder.cleanup)
        self.tier = LocalTier(drawn(Path(folder.name)))
        self.addAsyncCleanup(self.tier.stop)
        await self.tier.start()
        await self.tier.client.configure(configuration(1), 0)

    async def test_history_is_linearizable(self) -> None:
        rng = random.Random(5)
        calls = [
            Call(0.0, 0.0, Answer.ACCEPTED, 0, 1, "")
        ]  # the initial configuration, sent before any fault
        operators = [Operator(self.tier, name, rng, calls) for name in "ab"]
        deadline = time.monotonic() + RUN_SECONDS
        await asyncio.gather(*(o.run(deadline) for o in operators), self.inject_faults(rng, deadline))
        found = None
        async with asyncio.timeout(20.0):
            while found is None:
                found = await operators[0].read()
                await asyncio.sleep(0.1)
        accepted = [c.revision for c in calls if c.answer is Answer.ACCEPTED]
        self.assertGreater(len(accepted), 10)
        self.assertGreaterEqual(found, max(accepted))
        self.assertTrue(is_linearizable(calls))

    async def inject_faults(self, rng: random.Random, deadline: float) -> None:
        """Pauses or kills one process at a time; one of them also loses its disk."""
        cores = self.tier.plan.cores
        wiped = False
        while time.monotonic() + PAUSE_SECONDS[1] < deadline:
            core = rng.choice(cores)
            if rng.random() < 0.6:
                self.tier.nodes.signal(core, signal.SIGSTOP)
                await asyncio.sleep(rng.uniform(*PAUSE_SECONDS))
                self.tier.nodes.signal(core, signal.SIGCONT)
            else:
                await asyncio.to_thread(self.tier.nodes.restart, [core], wiped=not wiped)
                wiped = True
                await asyncio.sleep(2.0)
            await asyncio.sleep(rng.uniform(0.2, 0.8))


if __name__ == "__main__":
    unittest.main()
