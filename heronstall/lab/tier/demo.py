"""A short day of a local tier with losses in it, and an audit of what was acknowledged."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from heronstall.distribution.shards import batch_shard
from heronstall.lab.tier.client import HOST, TROUBLES, Streamed, configuration
from heronstall.lab.tier.promises import Broken, check_results
from heronstall.lab.tier.tier import LocalTier

STREAMS = 40  # requests of one step
ITEMS = 50  # of a batch job
STEP_WITHIN = 60.0  # seconds
CORE_DOWN = 1.5  # seconds for which no core node runs
MS = 1000


@dataclass
class Step:
    """What was done, what came of it, and figures in milliseconds or counts."""

    name: str
    promise: str
    kept: bool = False
    seconds: float = 0.0
    figures: dict[str, float] = field(default_factory=dict)
    why: str = ""


class Demo:
    """The steps, in order; `told` hears of each as it ends."""

    def __init__(self, tier: LocalTier, told: Callable[[Step], None] = lambda step: None) -> None:
        self._tier, self._client, self._told = tier, tier.client, told
        self._edges = tier.plan.edges
        self._listed: dict[str, list[dict[str, Any]]] = {}  # results of each accepted job, in position
        self._revision = 0
        self.steps: list[Step] = []

    @property
    def kept(self) -> bool:
        """Whether every promise was kept so far."""
        return all(step.kept for step in self.steps)

    async def play(self) -> None:
        """Play all steps until one fails."""
        plan: list[tuple[str, str, Callable[[Step], Awaitable[None]]]] = [
            ("start", "every dispatcher serves", self._start),
            ("streams", "each answer whole and signed by its worker", self._streams),
            ("batch job", "accepted once, every item done, the same from each dispatcher", self._batch),
            ("a storage node loses its disk", "nothing that was accepted is lost", self._storage_loss),
            (
                "all core nodes end for a while",
                "streams go on; a change then reaches all",
                self._core_loss,
            ),
            ("everything with a disk ends at once", "jobs and positions are as they were", self._all_end),
        ]
        for name, promise, act in plan:
            step = Step(name, promise)
            self.steps.append(step)
            await self._act(step, act)
            self._told(step)
            if not step.kept:
                return

    def report(self) -> dict[str, Any]:
        """All steps, for machines."""
        return {
            "nodes": {ip: self._tier.plan.machine_class(ip) for ip in self._tier.plan.nodes},
            "kept": self.kept,
            "steps": [asdict(step) for step in self.steps],
        }

    async def _act(self, step: Step, act: Callable[[Step], Awaitable[None]]) -> None:
        began = time.monotonic()
        try:
            async with asyncio.timeout(STEP_WITHIN):
                await act(step)
            step.kept = True
        except TimeoutError:
            step.why = "it took too long"
        except (AssertionError, *TROUBLES) as error:
            step.why = str(error) or type(error).__name__
        step.seconds = round(time.monotonic() - began, 2)

    # ------------------------------------------------------------------ steps

    async def _start(self, step: Step) -> None:
        await self._tier.start()
        await self._change()
        await self._client.ready(STEP_WITHIN)

    async def _streams(self, step: Step) -> None:
        step.figures.update(await self._stream_some("s"))

    async def _batch(self, step: Step) -> None:
        step.figures["accepted after, ms"] = await self._submit("job1", self._edges[0])
        await self._submit("job1", self._edges[-1])  # the same again, elsewhere
        step.figures["done after, ms"] = await self._check("job1")

    async def _storage_loss(self, step: Step) -> None:
        await self._submit("job2", self._edges[0])
        lost = self._tier.plan.stores[0]
        await asyncio.to_thread(self._tier.nodes.restart, [lost], wiped=True)
        step.figures["done after, ms"] = await self._check("job2")
        await self._tier.nodes.rejoined(lost, batch_shard(HOST))
        await self._check_all()

    async def _core_loss(self, step: Step) -> None:
        for ip in self._tier.plan.cores:
            self._tier.nodes.kill(ip)
        step.figures.update(await self._stream_some("c"))
        await asyncio.sleep(CORE_DOWN)
        for ip in self._tier.plan.cores:
            self._tier.nodes.run(ip)
        began = time.monotonic()
        await self._change()
        step.figures["changed after, ms"] = _ms(began)
        await self._client.ready(STEP_WITHIN)

    async def _all_end(self, step: Step) -> None:
        await self._submit("job3", self._edges[0])
        keepers = [*self._tier.plan.cores, *self._tier.plan.stores]
        await asyncio.to_thread(self._tier.nodes.restart, keepers)
        step.figures["done after, ms"] = await self._check("job3")
        await self._check_all()
        found = (await self._client.configured())["revision"]
        if found != self._revision:
            raise Broken(f"revision {self._revision} was acknowledged, {found} is in force")

    # ------------------------------------------------------------------ what they share

    async def _change(self) -> None:
        """Bring the next revision into force."""
        status = await self._client.configure(configuration(self._revision + 1), self._revision)
        if status != 200:
            raise Broken(f"a change of the configuration is answered {status}")
        self._revision += 1

    async def _stream_some(self, prefix: str) -> dict[str, float]:
        names = [f"{prefix}{n}" for n in range(STREAMS)]
        edges = [self._edges[n % len(self._edges)] for n in range(STREAMS)]
        calls = [self._client.stream(edge, name) for edge, name in zip(edges, names, strict=True)]
        answers = await asyncio.gather(*calls)
        for name, answer in zip(names, answers, strict=True):
            _check_stream(name, answer)
        firsts = sorted(answer.first * MS for answer in answers)
        return {
            "streams": STREAMS,
            "first event, median ms": round(firsts[STREAMS // 2], 1),
            "first event, 95% ms": round(firsts[STREAMS * 95 // 100], 1),
        }

    async def _submit(self, job: str, edge: str) -> float:
        began = time.monotonic()
        status = await self._client.submit(edge, job, ITEMS)
        if status != 202:
            raise Broken(f"{job} is answered {status}")
        self._listed.setdefault(job, [])
        return _ms(began)

    async def _check(self, job: str) -> float:
        """Wait for a job's results; each dispatcher must give the same, each item's whole text once."""
        began = time.monotonic()
        found = [await self._client.results(edge, job, ITEMS, STEP_WITHIN) for edge in self._edges]
        took = _ms(began)
        if any(results != found[0] for results in found):
            raise Broken(f"{job}: dispatchers give different results")
        check_results(job, ITEMS, found[0])
        if self._listed[job] and self._listed[job] != found[0]:
            raise Broken(f"{job}: a position has changed")
        self._listed[job] = found[0]
        return took

    async def _check_all(self) -> None:
        for job in self._listed:
            await self._check(job)


def _ms(began: float) -> float:
    return round((time.monotonic() - began) * MS, 1)


def _check_stream(name: str, answer: Streamed) -> None:
    if not answer.whole(name):
        told = f"status {answer.status}, signature {answer.signature!r}, {answer.data[:60]!r}"
        raise Broken(f"stream {name}: {told}")
