"""Dispatchers that die with work in hand: `python -m tests.losses NAME` plays one and ends with 0.

Three dispatchers that keep each other's jobs, six servers, clients that hand in jobs one by one. What counts
is what the servers have read and what the clients got.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tempfile
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from heronstall.fleet import boundary as b
from heronstall.fleet.spec import SECOND, Scenario, scenario
from heronstall.lab.manual_requests import ManualAttempt, ManualClient
from heronstall.lab.nodes import Nodes
from heronstall.lab.peered import FaultyNodes
from heronstall.lab.run import Run
from heronstall.records import loads
from tests.lab_play import Play, main

SCENE = """package scenario
name: "losses"
seconds: %(seconds)d
zones: {a: {dispatchers: 1, servers: 2}, b: {dispatchers: 1, servers: 2}, c: {dispatchers: 1, servers: 2}}
kinds: m: {cores: 16, slots: 16, speed: 1, cold_s: 0}
discovery: delay_s: 0.1
classes: {
	unsafe: {effect: "unsafe", group: "all", aim_ms: 1500, deadline_s: 5, worth: 3, priority: 1
		work: {kind: "fixed", mean_ms: %(work)d}}
	keyed: {effect: "keyed", group: "all", aim_ms: 1500, deadline_s: 5, worth: 1
		work: {kind: "fixed", mean_ms: %(work)d}}
	safe: {effect: "safe", group: "all", aim_ms: 1500, deadline_s: 5, worth: 1
		work: {kind: "fixed", mean_ms: %(work)d}}
}
arrivals: rate_per_s: %(rate)d
"""
GROWN = 7.2  # seconds until a witness votes on what it does not know
OWN = 150  # jobs from here on are never handed in by the run's own clients, who stop before


def scene(work: int = 600, more: str = "", rate: int = 4, seconds: int = 120) -> Scenario:
    """Three dispatchers, one a zone, and six servers."""
    text = SCENE % {"work": work, "rate": rate, "seconds": seconds} + more
    return scenario(loads(text, "losses.cue", ("scenario",))[1])


class Loss(Play):
    """A run, and a client for single jobs of it."""

    def __init__(
        self,
        made: Scenario | None = None,
        takeover: bool = True,
        nodes: type[Nodes] = FaultyNodes,
        **more: Any,
    ) -> None:
        self.work = Path(tempfile.mkdtemp(prefix="heronstall-loss-"))
        settings = self.work / "operator.json"
        told: dict[str, Any] = {"log": {"format": "logfmt"}}
        if takeover:
            # Long enough for a machine that is late: what is served without witnesses is no story's subject.
            told["takeover"] = {"witnesses": [["n0"], ["n1"], ["n2"]], "wait_ms": 1500, **more}
        settings.write_text(json.dumps(told))
        self.run = Run(made or scene(), 1, self.work, settings=settings, nodes=nodes)
        self._grown = takeover

    async def __aenter__(self) -> Loss:
        await self.begin()
        self.nodes, self.manual = (
            self.run.nodes,
            ManualClient(self.run, max(OWN, 12 * int(self.run.scenario.rate))),
        )
        if isinstance(self.nodes, FaultyNodes):
            assert self.nodes.peer_network is not None
            self.between = self.nodes.peer_network
        if self._grown:
            await self.wait(lambda: self.run.time.now > GROWN * SECOND)
        for child in self.run._loads:  # from here on there are our own jobs alone
            child.say("enough")
        await self.wait(self.idle)
        return self

    async def __aexit__(self, kind: object, error: object, trace: object) -> None:
        await self.end(error is None)

    async def at_servers(self) -> int:
        """How many jobs run, by the servers' own word."""
        servers = await self.run._world.ask("live", None, "live")
        return sum(int(row[6]) for row in servers)

    async def idle(self) -> bool:
        """Whether none does."""
        return await self.at_servers() == 0

    async def running(self, count: int) -> None:
        """Until so many do."""

        async def so_many() -> bool:
            return await self.at_servers() == count

        await self.wait(so_many, 5.0)

    def signal(self, node: int, number: int) -> None:
        """To its process."""
        process = self.nodes.all[node].process
        assert process is not None
        os.kill(process.pid, number)

    def runs(self, number: int) -> list[b.Written]:
        """Each time that a server has read the job and has not turned it away or handed it back."""
        name, never = f"{number:010x}", ("rejected", "returned")
        crossings = self.run.crossings
        back = {c.attempt for c in crossings if isinstance(c, b.Over) and c.how in never}
        written = (c for c in crossings if isinstance(c, b.Written) and c.id[:10] == name)
        return [c for c in written if c.attempt not in back]


def statuses(tries: list[ManualAttempt]) -> Counter[int]:
    """How they ended."""
    return Counter(attempt.status for attempt in tries)


async def later(loss: Loss, number: int, node: int, most: int = 4, **more: Any) -> ManualAttempt:
    """Its client comes back until it gets an answer that is not "try again"."""
    for nth in range(1, most + 1):
        attempt = await loss.manual.attempt(number, node, nth, **more)
        if attempt.status not in (0, 503):
            return attempt
    return attempt


async def killed_while_it_runs() -> None:
    """Jobs run at servers when their dispatcher is killed: `unsafe` ones never again, others once more."""
    async with Loss() as loss:
        jobs = {cls: [loss.manual.job(cls) for _ in range(4)] for cls in ("unsafe", "keyed", "safe")}
        first = [loss.manual.begin(n, 0) for some in jobs.values() for n in some]
        await loss.running(12)
        loss.kill(0)
        await asyncio.gather(*first)
        back = {
            cls: await asyncio.gather(*(later(loss, n, 1 + n % 2) for n in some))
            for cls, some in jobs.items()
        }
    assert all(len(loss.runs(n)) == 1 for n in jobs["unsafe"]), [len(loss.runs(n)) for n in jobs["unsafe"]]
    assert statuses(back["unsafe"]) == {500: 4}, statuses(back["unsafe"])
    again = back["keyed"] + back["safe"]
    assert statuses(again) == {200: 8}, [
        h for h in loss.manual.tries if any(h.number == a.number for a in again)
    ]
    twice = {n: len(loss.runs(n)) for cls in ("keyed", "safe") for n in jobs[cls]}
    assert set(twice.values()) == {2}, (twice, jobs)


def narrow() -> Scenario:
    """No server takes a connection of the first dispatcher's from the sixth second on: its jobs wait."""
    return scene(
        400, 'faults: [{link: "n0>s*", do: "refuse", at_s: 6}, {link: "n0>s*", do: "reset", at_s: 6}]\n'
    )


async def crowd(
    loss: Loss, node: int, cls: str, count: int
) -> tuple[list[int], list[asyncio.Task[ManualAttempt]]]:
    """Jobs in their dispatcher's hands."""
    jobs = [loss.manual.job(cls) for _ in range(count)]
    first = [loss.manual.begin(n, node) for n in jobs]
    await asyncio.gather(*(h.sent.wait() for h in loss.manual.tries))
    await asyncio.sleep(0.15)
    return jobs, first


def once(loss: Loss, jobs: list[int]) -> list[int]:
    """Jobs that servers have read; none of them twice."""
    counts = {n: len(loss.runs(n)) for n in jobs}
    assert max(counts.values()) <= 1, counts
    return [n for n, count in counts.items() if count]


async def killed_while_they_wait() -> None:
    """Jobs wait in the queue of a dispatcher that is killed: others run them, each once."""
    async with Loss(narrow()) as loss:
        jobs, first = await crowd(loss, 0, "unsafe", 16)
        loss.kill(0)
        await asyncio.gather(*first)
        back = await asyncio.gather(*(later(loss, n, 1 + n % 2) for n in jobs))
    assert once(loss, jobs) == jobs
    assert statuses(back) == {200: 16}, statuses(back)


async def stopped_and_woken() -> None:
    """A dispatcher with jobs in its queue stands still for four seconds: others run them, it writes none."""
    async with Loss(narrow()) as loss:
        jobs, first = await crowd(loss, 0, "unsafe", 16)
        loss.signal(0, signal.SIGSTOP)
        back = await asyncio.gather(*(later(loss, n, 1 + n % 2) for n in jobs))
        await asyncio.sleep(max(0.0, 4 - max(h.took for h in back)))
        loss.signal(0, signal.SIGCONT)
        await asyncio.gather(*first)
        await asyncio.sleep(1)
    assert once(loss, jobs) == jobs
    assert statuses(back) == {200: 16}, statuses(back)


async def cut_off_with_clients() -> None:
    """A dispatcher is cut off from the others and keeps its clients: what waited is run by one side alone,
    and new jobs are served by the other."""
    async with Loss(narrow()) as loss:
        jobs, first = await crowd(loss, 0, "unsafe", 16)
        loss.between.apart([0], [1, 2])
        back = await asyncio.gather(*(later(loss, n, 1 + n % 2) for n in jobs))
        own = await asyncio.gather(*first)
        late = await asyncio.gather(*(loss.manual.attempt(loss.manual.job("unsafe"), k) for k in (1, 2)))
    assert once(loss, jobs) == jobs
    assert statuses(back) == {200: 16}, statuses(back)
    assert all(h.status for h in own), statuses(own)
    assert statuses(late) == {200: 2}, statuses(late)


async def at_two_at_once() -> None:
    """A job is handed in at two dispatchers at one moment, and later at the third: one run, one answer."""
    async with Loss() as loss:
        jobs = [loss.manual.job("unsafe") for _ in range(6)]
        both = [loss.manual.begin(n, k, k) for n in jobs for k in (0, 1)]
        ends = await asyncio.gather(*both)
        again = [await loss.manual.attempt(n, 2, 2) for n in jobs]
        other = await loss.manual.attempt(jobs[0], 2, 3, body=b"another job", key=f"job-{jobs[0]}")
    assert once(loss, jobs) == jobs
    assert statuses([*ends, *again]) == {200: 18}, statuses([*ends, *again])
    assert all(len({h.body for h in loss.manual.tries if h.number == n and h.nth < 3}) == 1 for n in jobs)
    assert other.status == 400, other


async def two_of_three_lost() -> None:
    """Two are killed at one moment: the third runs nothing again that may have run, and serves the new."""
    async with Loss() as loss:
        jobs = [loss.manual.job("unsafe") for _ in range(6)]
        first = [loss.manual.begin(n, 0) for n in jobs]
        await loss.running(6)
        loss.kill(0)
        loss.kill(1)
        await asyncio.gather(*first)
        back = await asyncio.gather(*(later(loss, n, 2) for n in jobs))
        new = await loss.manual.attempt(loss.manual.job("unsafe"), 2)
    assert once(loss, jobs) == jobs
    assert statuses(back) == {500: 6} and new.status == 200, (statuses(back), new)


async def ended_as_planned() -> None:
    """A dispatcher is told to end with jobs in hand: it finishes them itself, and nobody takes any over."""
    async with Loss() as loss:
        jobs = {cls: [loss.manual.job(cls) for _ in range(4)] for cls in ("unsafe", "keyed", "safe")}
        first = [loss.manual.begin(n, 0) for some in jobs.values() for n in some]
        await loss.running(12)
        loss.nodes.ask(loss.nodes.all[0])
        loss.run._front(0, False)
        ends = await asyncio.gather(*first)
        await loss.nodes.gone(loss.nodes.all[0])
        await asyncio.sleep(1)
    assert once(loss, [n for some in jobs.values() for n in some])
    assert statuses(ends) == {200: 12}, statuses(ends)


LOSSES: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
    play.__name__: play
    for play in (
        killed_while_it_runs,
        killed_while_they_wait,
        stopped_and_woken,
        cut_off_with_clients,
        at_two_at_once,
        two_of_three_lost,
        ended_as_planned,
    )
}

if __name__ == "__main__":
    main(LOSSES)
