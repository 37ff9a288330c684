"""Days of a simulated core: its own programs, two operators, overlapping faults; and planted mistakes."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
import unittest
from collections.abc import Callable, Coroutine, Iterator
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Any
from unittest import mock

import ujson

from heronstall.controlplane import core
from heronstall.controlplane.api import ControlApi
from heronstall.controlplane.core import Core
from heronstall.controlplane.state import config_shard
from heronstall.controlplane.state.config_shard import ChangeOutcome, ConfigShard
from heronstall.distribution.shards import CONFIG
from heronstall.replication.protocol import Timing
from heronstall.transport.frames import Status
from heronstall.transport.messages import ConfigChange, Session, ShardVersion, SyncReply, SyncRequest
from tests.tier.core_simulation import CONFIG_APPLY, SimulatedCore, Violated, simulated
from tests.tier.core_walks import play
from tests.tier.register_history import Answer
from tests.tier.virtual_loop import run_virtually

DAYS_OF_THREE, DAYS_OF_FIVE = 8, 3
FOUND_WITHIN = 10  # days in which a planted mistake is found
CHANGES = 600
COMPACT_LOG = 64 * 1024  # bytes, so that many slots are written


class Days(unittest.TestCase):
    def test_three_nodes(self) -> None:
        calls = sum(len(play(seed)) for seed in range(DAYS_OF_THREE))
        self.assertGreater(calls, 50 * DAYS_OF_THREE)

    def test_five_nodes(self) -> None:
        for seed in range(100, 100 + DAYS_OF_FIVE):
            play(seed, size=5)


def compares_nothing(shard: ConfigShard, index: int, change: ConfigChange) -> ChangeOutcome:
    """Planted: a change is taken whatever it builds on."""
    shard.state.revision, shard.state.document = change.revision, change.document
    shard.state.config_version = index
    return ChangeOutcome.TAKEN


async def leads_without_lease(api: ControlApi, group: str) -> bool:
    """Planted: a node answers as long as it believes itself to lead."""
    return api._core.replica(group).established


@contextlib.contextmanager
def forgets_old_changes() -> Iterator[None]:
    """Planted: a change is known again among the last three alone, and an older one is refused."""
    with (
        mock.patch.object(config_shard, "TAKEN_KEPT", 3),
        mock.patch.object(ConfigShard, "may_be_forgotten", return_value=False),
    ):
        yield


PLANTED: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "a repeat is told what is current": lambda: mock.patch.object(
        ConfigShard, "taken", lambda self, digest: self.state.revision if digest_known(self, digest) else None
    ),
    "old changes are forgotten": forgets_old_changes,
    "the base is not compared again": lambda: mock.patch.object(ConfigShard, "_change", compares_nothing),
    "old views are told": lambda: mock.patch.object(Core, "fresh", lambda self: True),
    "the dead are replaced late": lambda: mock.patch.object(Timing, "__init__", slow_timing),
}


def digest_known(shard: ConfigShard, digest: str) -> bool:
    return bytes.fromhex(digest) in shard._taken


def slow_timing(timing: Timing) -> None:
    """Planted: a member counts as dead after six seconds."""
    for name, value in {
        "heartbeat_interval": 0.12,
        "election_timeout_min": 0.45,
        "election_timeout_max": 0.8,
        "restart_pre_vote_interval": 0.12,
        "lease_duration": 0.36,
        "snapshot_resend_interval": 2.0,
        "join_interval": 0.7,
        "dead_member_timeout": 6.0,
    }.items():
        object.__setattr__(timing, name, value)


class PlantedMistakes(unittest.TestCase):
    def test_each_is_found(self) -> None:
        for name, plant in PLANTED.items():
            with self.subTest(name), plant():
                self.assertTrue(any(self.found(seed) for seed in range(FOUND_WITHIN)), name)

    @staticmethod
    def found(seed: int) -> bool:
        try:
            play(seed)
        except Violated:
            return True
        return False


class Situation(unittest.TestCase):
    """Single situations, brought about at will."""

    def play(self, run: Callable[[SimulatedCore], Coroutine[Any, Any, None]], size: int = 3) -> None:
        with tempfile.TemporaryDirectory() as folder, simulated(Path(folder), 7, size) as tier:
            run_virtually(run(tier))

    def test_who_knows_nothing_is_told_as_soon_as_a_restarted_node_may_tell(self) -> None:
        """A first pull is held for its time instead of being refused, and nothing old is told meanwhile."""

        async def run(tier: SimulatedCore) -> None:
            await tier.start(dispatchers=0)
            await asyncio.sleep(2.0)
            leader = tier.leader()
            assert leader is not None
            await tier.change(0, 1, "x", leader)
            for ip in tier.machines:
                tier.kill(ip, power=False)
            for ip in tier.machines:
                await tier.boot(ip)
            core = tier.machines[leader].core
            assert core is not None
            self.assertFalse(core.fresh())
            asked = SyncRequest(Session(name="e", machine_class="edge"), [], 1000)
            began = time.monotonic()
            reply = await core._sync(asked)
            self.assertEqual(reply.status, Status.OK)
            self.assertEqual(ujson.loads(SyncReply().parse(reply.body).document)["revision"], 1)
            self.assertTrue(core.fresh())
            self.assertLess(time.monotonic() - began, 1.0)

        self.play(run)

    def test_who_knows_something_is_refused_at_once_by_a_node_that_may_not_tell(self) -> None:
        async def run(tier: SimulatedCore) -> None:
            await tier.start(dispatchers=0)
            await asyncio.sleep(2.0)
            alone = sorted(tier.machines)[0]
            for ip in [ip for ip in tier.machines if ip != alone]:
                tier.kill(ip, power=True)
            await asyncio.sleep(2.0)
            core = tier.machines[alone].core
            assert core is not None
            knows = SyncRequest(Session(name="e", machine_class="edge"), [ShardVersion(CONFIG, 1)], 1000)
            began = time.monotonic()
            self.assertEqual((await core._sync(knows)).status, Status.UNSURE)
            self.assertEqual(time.monotonic(), began)
            knows_nothing = SyncRequest(Session(name="e", machine_class="edge"), [], 100)
            self.assertEqual((await core._sync(knows_nothing)).status, Status.UNSURE)
            self.assertAlmostEqual(time.monotonic() - began, 0.1, delta=0.02)

        self.play(run)

    def test_news_comes_within_the_bound_past_two_dead_nodes(self) -> None:
        async def run(tier: SimulatedCore) -> None:
            await tier.start(dispatchers=12)
            await asyncio.sleep(2.0)
            leader = tier.leader()
            assert leader is not None
            await tier.change(0, 1, "x", leader)
            for ip in [ip for ip in tier.machines if ip != leader][:2]:
                tier.kill(ip, power=True)
            self.assertIs(await tier.change(1, 2, "y", leader), Answer.TAKEN)
            await asyncio.sleep(CONFIG_APPLY)
            self.assertEqual([d.revision for d in tier.dispatchers], [2] * 12)

        self.play(run, size=5)

    def test_news_comes_within_the_bound_after_a_replacement_and_a_lost_disk(self) -> None:
        async def run(tier: SimulatedCore) -> None:
            await tier.start(dispatchers=12)
            await asyncio.sleep(2.0)
            first, second, third = tier.machines
            await tier.change(0, 1, "x", first)
            replaced = await tier.replace(first, 0.4)
            await tier.restart(second, 1.0, power=True, wiped=False)
            base, began = 1, time.monotonic()
            while time.monotonic() - began < 15.0:
                if await tier.change(base, base + 1, "y", self.able(tier)) is not Answer.TAKEN:
                    continue
                base += 1
                await asyncio.sleep(CONFIG_APPLY)
                self.assertEqual({d.revision for d in tier.dispatchers}, {base})
            self.assertGreater(base, 4)
            self.assertIn(replaced, tier.machines)

        self.play(run)

    @staticmethod
    def able(tier: SimulatedCore) -> str:
        return tier.leader() or sorted(tier.machines)[0]

    def test_a_cut_off_leader_confirms_refuses_and_tells_nothing(self) -> None:
        self.play(self.cut_off_leader)

    def test_an_answer_without_a_majority_or_a_lease_is_found(self) -> None:
        with (
            mock.patch.object(ControlApi, "_confirmed", leads_without_lease),
            self.assertRaises(AssertionError),
        ):
            self.play(self.cut_off_leader)

    async def cut_off_leader(self, tier: SimulatedCore) -> None:
        await tier.start()
        await asyncio.sleep(2.0)
        old = tier.leader()
        assert old is not None
        await tier.change(0, 1, "x", old)
        others = [m.address for ip, m in tier.machines.items() if ip != old]
        tier.network.cut_off(tier.machines[old].address, 3, others)
        began = time.monotonic()
        while time.monotonic() - began < 20.0:
            self.assertIsNone(await tier.read(old))
            self.assertIs(await tier.change(0, 5, "old base", old), Answer.UNCLEAR)
            self.assertIs(await tier.change(1, 9, "cut", old), Answer.UNCLEAR)
        self.assertFalse(self.core(tier, old).fresh())
        new = tier.leader()
        assert new is not None
        self.assertIs(await tier.change(1, 2, "y", new), Answer.TAKEN)

    def test_identical_proposals_in_the_log_end_alike(self) -> None:
        async def run(tier: SimulatedCore) -> None:
            await tier.start()
            await asyncio.sleep(2.0)
            leader = tier.leader()
            assert leader is not None
            others = [m.address for ip, m in tier.machines.items() if ip != leader]
            tier.network.cut_off(tier.machines[leader].address, 2, others)  # no acknowledgement comes back
            with mock.patch.object(ControlApi, "_confirmed", leads_without_lease):
                tries = [asyncio.create_task(tier.change(0, 5, "x", leader)) for _ in range(3)]
                await asyncio.sleep(0.2)
                tier.network.cut.clear()
                answers = [await t for t in tries]
            self.assertEqual(set(answers), {Answer.TAKEN})
            self.assertEqual((await tier.read(leader)), (5, "x"))

        self.play(run)

    def test_a_repeat_is_told_its_own_revision(self) -> None:
        async def run(tier: SimulatedCore) -> None:
            await tier.start()
            await asyncio.sleep(2.0)
            leader = tier.leader()
            assert leader is not None
            for base in range(300):
                self.assertIs(await tier.change(base, base + 1, "x", leader), Answer.TAKEN)
            self.assertIs(await tier.change(0, 1, "x", leader), Answer.TAKEN)  # told 300: it raises

        self.play(run)

    @staticmethod
    def core(tier: SimulatedCore, ip: str) -> Core:
        found = tier.machines[ip].core
        assert found is not None
        return found


class HundredsOfChanges(unittest.TestCase):
    """600 changes while each node in turn is restarted, cut off and loses its disk; many slots."""

    def test_each_node_ends_with_the_newest_state_in_bounded_bytes(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(core, "LOG_LIMIT", COMPACT_LOG),
            simulated(Path(folder), 11) as tier,
        ):
            run_virtually(self.run_changes(tier))
            for ip in tier.machines:
                size = sum(p.stat().st_size for p in (Path(folder) / ip).iterdir())
                self.assertLess(size, 6 * COMPACT_LOG)

    async def run_changes(self, tier: SimulatedCore) -> None:
        await tier.start()
        await asyncio.sleep(2.0)
        troubles = asyncio.create_task(self.trouble_each(tier))
        base = 0
        while base < CHANGES:
            answer = await tier.change(base, base + 1, "x", self.any_node(tier))
            if answer is Answer.TAKEN:
                base += 1
            else:
                await asyncio.sleep(0.05)
        await troubles
        await asyncio.sleep(3.0)
        for machine in tier.machines.values():
            assert machine.core is not None
            self.assertEqual(machine.core.config.state.revision, CHANGES)
            self.assertLess(len(machine.core.replica(CONFIG).log.entries()), 400)
        self.assertEqual({d.revision for d in tier.dispatchers}, {CHANGES})
        self.assertTrue(tier.whole())

    async def trouble_each(self, tier: SimulatedCore) -> None:
        for ip in list(tier.machines):
            others = [m.address for o, m in tier.machines.items() if o != ip]
            tier.network.cut_off(tier.machines[ip].address, 3, others)
            await asyncio.sleep(2.0)
            tier.network.heal()
            await asyncio.sleep(1.0)
            await tier.restart(ip, 0.5, power=False, wiped=False)
            await asyncio.sleep(2.0)
            await tier.restart(ip, 0.5, power=True, wiped=True)
            await asyncio.sleep(5.0)

    @staticmethod
    def any_node(tier: SimulatedCore) -> str:
        return tier.rng.choice(sorted(tier.machines))


if __name__ == "__main__":
    unittest.main()
