"""Tests of the simulated core: random runs with overlapping faults, mutants, and single scenarios."""

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
from tests.tier.core_random_runs import simulate
from tests.tier.core_simulation import CONFIG_APPLY, InvariantViolation, SimulatedCore, simulated
from tests.tier.register_history import Answer
from tests.tier.virtual_loop import run_virtually

RUNS_WITH_THREE_NODES, RUNS_WITH_FIVE_NODES = 8, 3
MAX_RUNS_PER_MUTANT = 10  # random runs in which a mutant must be detected
CHANGES = 600
SMALL_LOG_BYTES = 64 * 1024  # bytes, so that many slots are written


class RandomRuns(unittest.TestCase):
    def test_three_nodes(self) -> None:
        calls = sum(len(simulate(seed)) for seed in range(RUNS_WITH_THREE_NODES))
        self.assertGreater(calls, 50 * RUNS_WITH_THREE_NODES)

    def test_five_nodes(self) -> None:
        for seed in range(100, 100 + RUNS_WITH_FIVE_NODES):
            simulate(seed, size=5)


def accept_any_base(shard: ConfigShard, index: int, change: ConfigChange) -> ChangeOutcome:
    """Mutant: accepts a change with any base revision."""
    shard.state.revision, shard.state.document = change.revision, change.document
    shard.state.config_version = index
    return ChangeOutcome.ACCEPTED


async def leads_without_confirmation(api: ControlApi, group: str) -> bool:
    """Mutant: a node answers as long as it considers itself the leader."""
    return api._core.replica(group).established


@contextlib.contextmanager
def forget_old_changes() -> Iterator[None]:
    """Mutant: only the last three changes are recognized as repeats, and older ones are rejected."""
    with (
        mock.patch.object(config_shard, "MAX_KNOWN_CHANGES", 3),
        mock.patch.object(ConfigShard, "may_be_forgotten", return_value=False),
    ):
        yield


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "a repeat is answered with the current revision": lambda: mock.patch.object(
        ConfigShard,
        "accepted_revision",
        lambda self, digest: self.state.revision if is_digest_known(self, digest) else None,
    ),
    "old changes are forgotten": forget_old_changes,
    "the base is not compared again": lambda: mock.patch.object(
        ConfigShard, "_apply_change", accept_any_base
    ),
    "stale views are sent": lambda: mock.patch.object(Core, "is_fresh", lambda self: True),
    "dead members are replaced late": lambda: mock.patch.object(Timing, "__init__", use_slow_timing),
}


def is_digest_known(shard: ConfigShard, digest: str) -> bool:
    return bytes.fromhex(digest) in shard._revision_by_digest


def use_slow_timing(timing: Timing) -> None:
    """Mutant: a member counts as dead only after six seconds."""
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


class MutantTest(unittest.TestCase):
    def test_each_mutant_is_detected(self) -> None:
        for name, mutant in MUTANTS.items():
            with self.subTest(name), mutant():
                self.assertTrue(any(self.is_detected(seed) for seed in range(MAX_RUNS_PER_MUTANT)), name)

    @staticmethod
    def is_detected(seed: int) -> bool:
        try:
            simulate(seed)
        except InvariantViolation:
            return True
        return False


class Scenarios(unittest.TestCase):
    """Single scenarios with chosen faults."""

    def run_scenario(self, run: Callable[[SimulatedCore], Coroutine[Any, Any, None]], size: int = 3) -> None:
        with tempfile.TemporaryDirectory() as folder, simulated(Path(folder), 7, size) as tier:
            run_virtually(run(tier))

    def test_first_pull_is_answered_as_soon_as_a_restarted_node_is_fresh(self) -> None:
        """A first pull is held instead of being refused, and no stale state is sent meanwhile."""

        async def run(tier: SimulatedCore) -> None:
            await tier.start(dispatchers=0)
            await asyncio.sleep(2.0)
            leader = tier.leader()
            assert leader is not None
            await tier.change(0, 1, "x", leader)
            for ip in tier.machines:
                tier.stop_process(ip, power_loss=False)
            for ip in tier.machines:
                await tier.start_process(ip)
            core = tier.machines[leader].core
            assert core is not None
            self.assertFalse(core.is_fresh())
            request = SyncRequest(Session(name="e", machine_class="edge"), [], 1000)
            started_at = time.monotonic()
            reply = await core._sync(request)
            self.assertEqual(reply.status, Status.OK)
            self.assertEqual(ujson.loads(SyncReply().parse(reply.body).document)["revision"], 1)
            self.assertTrue(core.is_fresh())
            self.assertLess(time.monotonic() - started_at, 1.0)

        self.run_scenario(run)

    def test_pull_with_known_state_is_refused_immediately_by_a_stale_node(self) -> None:
        async def run(tier: SimulatedCore) -> None:
            await tier.start(dispatchers=0)
            await asyncio.sleep(2.0)
            survivor = sorted(tier.machines)[0]
            for ip in [ip for ip in tier.machines if ip != survivor]:
                tier.stop_process(ip, power_loss=True)
            await asyncio.sleep(2.0)
            core = tier.machines[survivor].core
            assert core is not None
            request_with_state = SyncRequest(
                Session(name="e", machine_class="edge"), [ShardVersion(CONFIG, 1)], 1000
            )
            started_at = time.monotonic()
            self.assertEqual((await core._sync(request_with_state)).status, Status.UNSURE)
            self.assertEqual(time.monotonic(), started_at)
            request_without_state = SyncRequest(Session(name="e", machine_class="edge"), [], 100)
            self.assertEqual((await core._sync(request_without_state)).status, Status.UNSURE)
            self.assertAlmostEqual(time.monotonic() - started_at, 0.1, delta=0.02)

        self.run_scenario(run)

    def test_change_reaches_dispatchers_within_the_bound_past_two_dead_nodes(self) -> None:
        async def run(tier: SimulatedCore) -> None:
            await tier.start(dispatchers=12)
            await asyncio.sleep(2.0)
            leader = tier.leader()
            assert leader is not None
            await tier.change(0, 1, "x", leader)
            for ip in [ip for ip in tier.machines if ip != leader][:2]:
                tier.stop_process(ip, power_loss=True)
            self.assertIs(await tier.change(1, 2, "y", leader), Answer.ACCEPTED)
            await asyncio.sleep(CONFIG_APPLY)
            self.assertEqual([d.revision for d in tier.dispatchers], [2] * 12)

        self.run_scenario(run, size=5)

    def test_changes_reach_dispatchers_within_the_bound_after_a_replacement_and_a_power_loss(self) -> None:
        async def run(tier: SimulatedCore) -> None:
            await tier.start(dispatchers=12)
            await asyncio.sleep(2.0)
            first, second, third = tier.machines
            await tier.change(0, 1, "x", first)
            replaced = await tier.replace(first, 0.4)
            await tier.restart(second, 1.0, power_loss=True, wiped=False)
            base, started_at = 1, time.monotonic()
            while time.monotonic() - started_at < 15.0:
                if await tier.change(base, base + 1, "y", self.leader_or_any(tier)) is not Answer.ACCEPTED:
                    continue
                base += 1
                await asyncio.sleep(CONFIG_APPLY)
                self.assertEqual({d.revision for d in tier.dispatchers}, {base})
            self.assertGreater(base, 4)
            self.assertIn(replaced, tier.machines)

        self.run_scenario(run)

    @staticmethod
    def leader_or_any(tier: SimulatedCore) -> str:
        return tier.leader() or sorted(tier.machines)[0]

    def test_isolated_leader_confirms_rejects_and_sends_nothing(self) -> None:
        self.run_scenario(self.check_isolated_leader)

    def test_answer_of_an_unconfirmed_leader_is_detected(self) -> None:
        with (
            mock.patch.object(ControlApi, "_is_confirmed_leader", leads_without_confirmation),
            self.assertRaises(AssertionError),
        ):
            self.run_scenario(self.check_isolated_leader)

    async def check_isolated_leader(self, tier: SimulatedCore) -> None:
        await tier.start()
        await asyncio.sleep(2.0)
        old_leader = tier.leader()
        assert old_leader is not None
        await tier.change(0, 1, "x", old_leader)
        others = [m.address for ip, m in tier.machines.items() if ip != old_leader]
        tier.network.cut_links(tier.machines[old_leader].address, 3, others)
        started_at = time.monotonic()
        while time.monotonic() - started_at < 20.0:
            self.assertIsNone(await tier.read(old_leader))
            self.assertIs(await tier.change(0, 5, "old base", old_leader), Answer.UNKNOWN)
            self.assertIs(await tier.change(1, 9, "cut", old_leader), Answer.UNKNOWN)
        self.assertFalse(self.core(tier, old_leader).is_fresh())
        new_leader = tier.leader()
        assert new_leader is not None
        self.assertIs(await tier.change(1, 2, "y", new_leader), Answer.ACCEPTED)

    def test_identical_proposals_in_the_log_have_the_same_outcome(self) -> None:
        async def run(tier: SimulatedCore) -> None:
            await tier.start()
            await asyncio.sleep(2.0)
            leader = tier.leader()
            assert leader is not None
            others = [m.address for ip, m in tier.machines.items() if ip != leader]
            tier.network.cut_links(tier.machines[leader].address, 2, others)  # blocks acknowledgements
            with mock.patch.object(ControlApi, "_is_confirmed_leader", leads_without_confirmation):
                attempts = [asyncio.create_task(tier.change(0, 5, "x", leader)) for _ in range(3)]
                await asyncio.sleep(0.2)
                tier.network.blocked_links.clear()
                answers = [await t for t in attempts]
            self.assertEqual(set(answers), {Answer.ACCEPTED})
            self.assertEqual((await tier.read(leader)), (5, "x"))

        self.run_scenario(run)

    def test_repeat_is_answered_with_its_own_revision(self) -> None:
        async def run(tier: SimulatedCore) -> None:
            await tier.start()
            await asyncio.sleep(2.0)
            leader = tier.leader()
            assert leader is not None
            for base in range(300):
                self.assertIs(await tier.change(base, base + 1, "x", leader), Answer.ACCEPTED)
            # An answer with the current revision 300 would raise.
            self.assertIs(await tier.change(0, 1, "x", leader), Answer.ACCEPTED)

        self.run_scenario(run)

    @staticmethod
    def core(tier: SimulatedCore, ip: str) -> Core:
        found = tier.machines[ip].core
        assert found is not None
        return found


class ManyChanges(unittest.TestCase):
    """600 changes and many compactions while each node is isolated, restarted and loses its disk."""

    def test_each_node_ends_with_the_newest_state_in_bounded_space(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(core, "MAX_LOG_BYTES", SMALL_LOG_BYTES),
            simulated(Path(folder), 11) as tier,
        ):
            run_virtually(self.run_changes(tier))
            for ip in tier.machines:
                size = sum(p.stat().st_size for p in (Path(folder) / ip).iterdir())
                self.assertLess(size, 6 * SMALL_LOG_BYTES)

    async def run_changes(self, tier: SimulatedCore) -> None:
        await tier.start()
        await asyncio.sleep(2.0)
        faults = asyncio.create_task(self.inject_faults_into_each(tier))
        base = 0
        while base < CHANGES:
            answer = await tier.change(base, base + 1, "x", self.any_node(tier))
            if answer is Answer.ACCEPTED:
                base += 1
            else:
                await asyncio.sleep(0.05)
        await faults
        await asyncio.sleep(3.0)
        for machine in tier.machines.values():
            assert machine.core is not None
            self.assertEqual(machine.core.config.state.revision, CHANGES)
            self.assertLess(len(machine.core.replica(CONFIG).log.entries()), 400)
        self.assertEqual({d.revision for d in tier.dispatchers}, {CHANGES})
        self.assertTrue(tier.has_expected_members())

    async def inject_faults_into_each(self, tier: SimulatedCore) -> None:
        for ip in list(tier.machines):
            others = [m.address for o, m in tier.machines.items() if o != ip]
            tier.network.cut_links(tier.machines[ip].address, 3, others)
            await asyncio.sleep(2.0)
            tier.network.heal()
            await asyncio.sleep(1.0)
            await tier.restart(ip, 0.5, power_loss=False, wiped=False)
            await asyncio.sleep(2.0)
            await tier.restart(ip, 0.5, power_loss=True, wiped=True)
            await asyncio.sleep(5.0)

    @staticmethod
    def any_node(tier: SimulatedCore) -> str:
        return tier.rng.choice(sorted(tier.machines))


if __name__ == "__main__":
    unittest.main()
