"""Drawn days of a simulated core: two operators whose answers are lost, and faults that overlap."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

from tests.tier.core_simulation import CATCH_UP, SimulatedCore, Violated, simulated
from tests.tier.register_history import Answer, Call, explained
from tests.tier.virtual_loop import run_virtually

SECONDS = 24.0  # of a day
LOST_ANSWERS = 0.3  # part of the answers that an operator does not get
OLD_REPEATS = 0.1  # part of its calls that repeat a change of long ago
CALM = 4.0  # seconds at the end in which all must agree
LOOK = 0.05  # seconds between checks


class Operator:
    """Sends changes one after the other, each again until its answer is clear."""

    def __init__(self, tier: SimulatedCore, name: str) -> None:
        self.tier, self.name = tier, name
        self.known = 0
        self.done: list[tuple[int, int, str]] = []

    async def run(self, until: float) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            revision = self.known + self.tier.rng.randint(1, 3)
            await self._order(self.known, revision, f"{self.name}{number}", until)
            if self.done and self.tier.rng.random() < OLD_REPEATS:
                await self.tier.change(*self.tier.rng.choice(self.done), self._node())
            await asyncio.sleep(self.tier.rng.uniform(0, 0.3))

    async def _order(self, base: int, revision: int, content: str, until: float) -> None:
        pause = 0.1
        while time.monotonic() < until:
            answer = await self.tier.change(base, revision, content, self._node())
            if answer is Answer.TAKEN:
                self.done.append((base, revision, content))
                if self.tier.rng.random() >= LOST_ANSWERS:
                    self.known = revision
                    return
            if answer is Answer.STALE:
                await self._read(until)
                return
            await asyncio.sleep(pause)
            pause = min(0.8, 2 * pause)

    async def _read(self, until: float) -> None:
        while time.monotonic() < until:
            found = await self.tier.read(self._node())
            if found is not None:
                self.known = found[0]
                return
            await asyncio.sleep(0.1)

    def _node(self) -> str:
        return self.tier.rng.choice(sorted(self.tier.machines))


class Faults:
    """Troubles of the core, one counted loss at a time; cuts and kills of all come whenever they like."""

    def __init__(self, tier: SimulatedCore) -> None:
        self.tier = tier
        self._rng = tier.rng

    async def run(self, until: float) -> None:
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            fault = self._rng.choice(
                (self.kill, self.kill, self.power, self.wipe, self.replace, self.cut, self.cut, self.all_end)
            )
            await fault()
            self.tier.network.heal()

    def _one(self) -> str:
        """A node: half of the time the one that leads."""
        leader = self.tier.leader()
        if leader is not None and self._rng.random() < 0.5:
            return leader
        return self._rng.choice(sorted(self.tier.machines))

    async def kill(self) -> None:
        await self.tier.restart(self._noted("kill"), self._rng.uniform(0.2, 0.6), power=False, wiped=False)

    async def power(self) -> None:
        await self.tier.restart(self._noted("power"), self._rng.uniform(0.5, 3), power=True, wiped=False)

    async def wipe(self) -> None:
        ip = self._noted("wipe")
        others = [o for o in self.tier.machines if o != ip and self._rng.random() < 0.5]
        ends = [self.tier.restart(o, self._rng.uniform(0.3, 1), power=True, wiped=False) for o in others]
        await asyncio.gather(self.tier.restart(ip, 0.8, power=True, wiped=True), *ends)
        await self._catch_up()

    async def replace(self) -> None:
        await self.tier.replace(self._noted("replace"), self._rng.uniform(0.2, 1.0))
        await self._catch_up()

    async def cut(self) -> None:
        ip = self._noted("cut")
        reach = [m.address for m in self.tier.machines.values()]
        if self._rng.random() < 0.4:
            reach += [d.name for d in self.tier.dispatchers]
        self.tier.network.cut_off(self.tier.machines[ip].address, self._rng.randint(1, 3), reach)
        await asyncio.sleep(self._rng.uniform(0.5, 6))

    async def all_end(self) -> None:
        self.tier.note("all end")
        ips = list(self.tier.machines)
        await asyncio.gather(
            *(self.tier.restart(ip, self._rng.uniform(0.3, 0.9), power=True, wiped=False) for ip in ips)
        )

    async def _catch_up(self) -> None:
        """After this a further disk may be lost: the new node must be a member, and nobody else."""
        await asyncio.sleep(CATCH_UP)
        if not self.tier.whole():
            told = self.tier.memberships()
            raise Violated(f"not whole {CATCH_UP} s after a node without a disk came: {told}")

    def _noted(self, what: str) -> str:
        ip = self._one()
        self.tier.note(f"{what} {ip}")
        return ip


async def day(tier: SimulatedCore, seconds: float) -> None:
    """Play a day and check every promise."""
    await tier.start()
    await asyncio.sleep(2.0)
    until = time.monotonic() + seconds
    operators = [Operator(tier, name) for name in "ab"]
    watch = asyncio.create_task(_watch(tier))
    await asyncio.gather(*(o.run(until) for o in operators), Faults(tier).run(until))
    await asyncio.sleep(CALM)
    watch.cancel()
    await asyncio.gather(watch, return_exceptions=True)
    if not watch.cancelled():
        watch.result()
    await _agree(tier)
    if not explained(tier.calls):
        raise Violated("no register explains what was answered")


async def _watch(tier: SimulatedCore) -> None:
    while True:
        tier.check_dispatchers()
        await asyncio.sleep(LOOK)


async def _agree(tier: SimulatedCore) -> None:
    """The newest acknowledged configuration is read everywhere and in force at the dispatchers."""
    newest = max((revision for _, revision in tier.acked), default=0)
    for ip in tier.machines:
        found = await tier.read(ip)
        if found is None or found[0] < newest:
            raise Violated(f"{ip} answers {found}, {newest} was acknowledged")
    behind = [d.name for d in tier.dispatchers if d.revision < newest]
    if behind:
        raise Violated(f"{behind} have not {newest}")


def play(seed: int, size: int = 3, seconds: float = SECONDS) -> list[Call]:
    """A drawn day; all calls that were made. Raises Violated with what led to it."""
    with (
        tempfile.TemporaryDirectory(prefix="heronstall-") as folder,
        simulated(Path(folder), seed, size) as tier,
    ):
        try:
            run_virtually(day(tier, seconds))
        except Violated as violated:
            told = "\n".join(tier.trace[-60:])
            raise Violated(f"seed {seed}: {violated}\n{told}") from None
        return tier.calls
