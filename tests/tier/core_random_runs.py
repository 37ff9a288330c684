"""Random runs of the simulated core: two operators whose answers may be lost, and overlapping faults."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

from tests.tier.core_simulation import RECOVERY_BOUND, InvariantViolation, SimulatedCore, simulated
from tests.tier.register_history import Answer, Call, is_linearizable
from tests.tier.virtual_loop import run_virtually

RUN_SECONDS = 24.0  # of simulated time in a run
LOST_ANSWER_SHARE = 0.3  # share of the answers that an operator does not receive
OLD_REPEAT_SHARE = 0.1  # share of its changes after which it repeats an old one
SETTLE_SECONDS = 4.0  # seconds after the last fault in which all nodes must agree
CHECK_INTERVAL = 0.05  # seconds between checks


class Operator:
    """Sends changes one after another and repeats each until its outcome is known."""

    def __init__(self, tier: SimulatedCore, name: str) -> None:
        self.tier, self.name = tier, name
        self.known_revision = 0
        self.accepted_changes: list[tuple[int, int, str]] = []

    async def run(self, deadline: float) -> None:
        number = 0
        while time.monotonic() < deadline:
            number += 1
            revision = self.known_revision + self.tier.rng.randint(1, 3)
            await self._change_until_answered(self.known_revision, revision, f"{self.name}{number}", deadline)
            if self.accepted_changes and self.tier.rng.random() < OLD_REPEAT_SHARE:
                await self.tier.change(*self.tier.rng.choice(self.accepted_changes), self._random_node())
            await asyncio.sleep(self.tier.rng.uniform(0, 0.3))

    async def _change_until_answered(self, base: int, revision: int, content: str, deadline: float) -> None:
        delay = 0.1
        while time.monotonic() < deadline:
            answer = await self.tier.change(base, revision, content, self._random_node())
            if answer is Answer.ACCEPTED:
                self.accepted_changes.append((base, revision, content))
                if self.tier.rng.random() >= LOST_ANSWER_SHARE:
                    self.known_revision = revision
                    return
            if answer is Answer.STALE:
                await self._read(deadline)
                return
            await asyncio.sleep(delay)
            delay = min(0.8, 2 * delay)

    async def _read(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            found = await self.tier.read(self._random_node())
            if found is not None:
                self.known_revision = found[0]
                return
            await asyncio.sleep(0.1)

    def _random_node(self) -> str:
        return self.tier.rng.choice(sorted(self.tier.machines))


class Faults:
    """Injects faults into the core: losses of a disk or machine one at a time, restarts and partitions."""

    def __init__(self, tier: SimulatedCore) -> None:
        self.tier = tier
        self._rng = tier.rng

    async def run(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            fault = self._rng.choice(
                (
                    self.restart_process,
                    self.restart_process,
                    self.power_loss,
                    self.lose_disk,
                    self.replace,
                    self.cut_network,
                    self.cut_network,
                    self.restart_all,
                )
            )
            await fault()
            self.tier.network.heal()

    def _choose_node(self) -> str:
        """Returns a random node, in half of the cases the leader."""
        leader = self.tier.leader()
        if leader is not None and self._rng.random() < 0.5:
            return leader
        return self._rng.choice(sorted(self.tier.machines))

    async def restart_process(self) -> None:
        await self.tier.restart(
            self._choose_and_record("kill"), self._rng.uniform(0.2, 0.6), power_loss=False, wiped=False
        )

    async def power_loss(self) -> None:
        await self.tier.restart(
            self._choose_and_record("power"), self._rng.uniform(0.5, 3), power_loss=True, wiped=False
        )

    async def lose_disk(self) -> None:
        ip = self._choose_and_record("wipe")
        others = [o for o in self.tier.machines if o != ip and self._rng.random() < 0.5]
        restarts = [
            self.tier.restart(o, self._rng.uniform(0.3, 1), power_loss=True, wiped=False) for o in others
        ]
        await asyncio.gather(self.tier.restart(ip, 0.8, power_loss=True, wiped=True), *restarts)
        await self._check_recovery()

    async def replace(self) -> None:
        await self.tier.replace(self._choose_and_record("replace"), self._rng.uniform(0.2, 1.0))
        await self._check_recovery()

    async def cut_network(self) -> None:
        ip = self._choose_and_record("cut")
        addresses = [m.address for m in self.tier.machines.values()]
        if self._rng.random() < 0.4:
            addresses += [d.name for d in self.tier.dispatchers]
        self.tier.network.cut_links(self.tier.machines[ip].address, self._rng.randint(1, 3), addresses)
        await asyncio.sleep(self._rng.uniform(0.5, 6))

    async def restart_all(self) -> None:
        self.tier.record_event("all end")
        ips = list(self.tier.machines)
        await asyncio.gather(
            *(self.tier.restart(ip, self._rng.uniform(0.3, 0.9), power_loss=True, wiped=False) for ip in ips)
        )

    async def _check_recovery(self) -> None:
        """Waits for the recovery bound, after which another disk may be lost, and checks the memberships."""
        await asyncio.sleep(RECOVERY_BOUND)
        if not self.tier.has_expected_members():
            details = self.tier.memberships()
            raise InvariantViolation(
                f"not recovered {RECOVERY_BOUND} s after a node without a disk started: {details}"
            )

    def _choose_and_record(self, fault_name: str) -> str:
        ip = self._choose_node()
        self.tier.record_event(f"{fault_name} {ip}")
        return ip


async def run_checked(tier: SimulatedCore, seconds: float) -> None:
    """Runs operators and faults, and checks all invariants."""
    await tier.start()
    await asyncio.sleep(2.0)
    deadline = time.monotonic() + seconds
    operators = [Operator(tier, name) for name in "ab"]
    checks = asyncio.create_task(_check_continuously(tier))
    await asyncio.gather(*(o.run(deadline) for o in operators), Faults(tier).run(deadline))
    await asyncio.sleep(SETTLE_SECONDS)
    checks.cancel()
    await asyncio.gather(checks, return_exceptions=True)
    if not checks.cancelled():
        checks.result()
    await _check_agreement(tier)
    if not is_linearizable(tier.calls):
        raise InvariantViolation("the history of calls is not linearizable")


async def _check_continuously(tier: SimulatedCore) -> None:
    while True:
        tier.check_dispatchers()
        await asyncio.sleep(CHECK_INTERVAL)


async def _check_agreement(tier: SimulatedCore) -> None:
    """Checks that all nodes and dispatchers have the newest acknowledged configuration."""
    newest_revision = max((revision for _, revision in tier.acknowledged), default=0)
    for ip in tier.machines:
        found = await tier.read(ip)
        if found is None or found[0] < newest_revision:
            raise InvariantViolation(f"{ip} returned {found}, {newest_revision} was acknowledged")
    outdated = [d.name for d in tier.dispatchers if d.revision < newest_revision]
    if outdated:
        raise InvariantViolation(f"{outdated} do not have revision {newest_revision}")


def simulate(seed: int, size: int = 3, seconds: float = RUN_SECONDS) -> list[Call]:
    """Performs a random run and returns all calls made. Raises InvariantViolation with the latest events."""
    with (
        tempfile.TemporaryDirectory(prefix="heronstall-") as folder,
        simulated(Path(folder), seed, size) as tier,
    ):
        try:
            run_virtually(run_checked(tier, seconds))
        except InvariantViolation as violation:
            details = "\n".join(tier.event_log[-60:])
            raise InvariantViolation(f"seed {seed}: {violation}\n{details}") from None
        return tier.calls
