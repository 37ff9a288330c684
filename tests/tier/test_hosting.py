"""Replicas over real files: what is committed outlives restarts, slots, and disks that refuse writes."""

from __future__ import annotations

import asyncio
import errno
import tempfile
import unittest
from pathlib import Path
from typing import cast
from unittest import mock

from heronstall.controlplane.hosting import (
    DISK_RETRY,
    TICK,
    EntryId,
    GroupHost,
    Superseded,
    Undecided,
)
from heronstall.replication.protocol import Timing
from heronstall.storage.journal import Journal
from heronstall.transport.frames import Kind
from heronstall.transport.links import Links

GROUP = "g"
SMALL_LOG = 600  # bytes


class Commands:
    """A list of commands as the state."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, data: bytes) -> int:
        self.commands.append(data)
        return len(self.commands)

    def dump(self) -> bytes:
        return b",".join(self.commands)

    def restore(self, state: bytes) -> None:
        self.commands = state.split(b",") if state else []


class Wire:
    """Stands for the links of a node: what is sent waits here."""

    def __init__(self, waiting: list[tuple[str, bytes]]) -> None:
        self._waiting = waiting
        self._address = ""

    def to(self, address: str) -> Wire:
        wire = Wire(self._waiting)
        wire._address = address
        return wire

    def send(self, kind: Kind, body: bytes) -> None:
        self._waiting.append((self._address, body))


class HostCase(unittest.IsolatedAsyncioTestCase):
    limit = 1 << 20

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        self.now = 500.0
        patched = mock.patch.object(GroupHost, "now", lambda *_: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.waiting: list[tuple[str, bytes]] = []
        self.hosts: dict[str, GroupHost] = {}
        self.machines: dict[str, Commands] = {}
        for name in ("a:1", "b:1", "c:1"):
            self.start(name, bootstrap=True)
        voters = tuple(host.me for host in self.hosts.values())
        for host in self.hosts.values():
            host.groups[GROUP].replica.bootstrap(self.now, voters)
            host.flush()

    def start(self, name: str, bootstrap: bool = False) -> None:
        folder = self.root / name.replace(":", "-")
        links = cast(Links, Wire(self.waiting))
        host = self.hosts[name] = GroupHost(name, folder, links, Timing(), bootstrap, self.limit)
        self.machines[name] = Commands()
        host.add(GROUP, self.machines[name])

    def turn(self, seconds: float = 1.5, without: str = "") -> None:
        for _ in range(int(seconds / 0.05)):
            self.now += 0.05
            for name, host in self.hosts.items():
                if name != without:
                    host.groups[GROUP].replica.tick(self.now)
                    host.flush()
            for _ in range(40):
                if not self.waiting:
                    break
                address, body = self.waiting.pop(0)
                if address != without:
                    self.hosts[address].receive(body)
                    self.hosts[address].flush()

    def leader(self) -> GroupHost:
        return next(h for h in self.hosts.values() if h.groups[GROUP].replica.holds_lease(self.now))

    async def commit(self, data: bytes, without: str = "") -> int:
        task = asyncio.create_task(self.leader().propose(GROUP, data, 5.0))
        for _ in range(20):
            await asyncio.sleep(0)
            self.turn(0.05, without)
            if task.done():
                break
        return int(await task)

    def everywhere(self) -> list[list[bytes]]:
        return [machine.commands for machine in self.machines.values()]


class Restarts(HostCase):
    async def test_all_lose_power_and_nothing_is_lost(self) -> None:
        self.turn()
        self.assertEqual(await self.commit(b"one"), 1)
        self.assertEqual(await self.commit(b"two"), 2)
        self.waiting.clear()
        identities = [host.me for host in self.hosts.values()]
        for name in list(self.hosts):
            self.start(name)
        self.assertEqual([host.me for host in self.hosts.values()], identities)
        self.turn(3.0)
        self.assertEqual(self.everywhere(), [[b"one", b"two"]] * 3)

    async def test_a_node_without_its_disk_is_another(self) -> None:
        self.turn()
        before = self.hosts["a:1"].me
        for path in (self.root / "a-1").iterdir():
            path.unlink()
        self.start("a:1")
        self.assertNotEqual(self.hosts["a:1"].me, before)
        self.assertEqual(self.hosts["a:1"].recovered_groups, [])


class Slots(HostCase):
    limit = SMALL_LOG

    async def test_slots_take_the_place_of_logs_and_hold_all(self) -> None:
        self.turn()
        commands = [b"command %d" % n for n in range(60)]
        for command in commands:
            await self.commit(command)
        self.turn()
        for folder in self.root.iterdir():
            self.assertLess(sum(p.stat().st_size for p in folder.glob("log-*")), 3 * SMALL_LOG)
        self.waiting.clear()
        for name in list(self.hosts):
            self.start(name)
        self.turn(3.0)
        self.assertEqual(self.everywhere(), [commands] * 3)


class Waiters(HostCase):
    """Who waits for a proposal is told of that entry, not of another at its index."""

    async def test_another_leaders_entry_at_the_index_ends_the_wait_at_once(self) -> None:
        self.turn()
        old = self.leader()
        name = next(n for n, h in self.hosts.items() if h is old)
        waits = asyncio.create_task(old.propose(GROUP, b"lost", 60.0))
        await asyncio.sleep(0)
        self.waiting.clear()  # it reaches nobody
        self.turn(3.0, without=name)
        self.assertEqual(await self.commit(b"other", without=name), 1)
        self.turn(2.0)
        with self.assertRaises(Superseded):
            await waits
        self.assertEqual(self.everywhere(), [[b"other"]] * 3)

    async def test_a_time_out_takes_no_younger_waiter_away(self) -> None:
        self.turn()
        leader = self.leader()
        hosted = leader.groups[GROUP]
        older = EntryId(hosted.replica.log.last_index + 1, hosted.replica.term - 1)
        hosted.waiting[older] = asyncio.get_running_loop().create_future()
        younger = leader.submit(GROUP, b"one")
        hosted.waiting.pop(older).cancel()
        self.turn(0.5)
        self.assertEqual(await younger, 1)

    async def test_an_entry_under_a_snapshot_is_undecided(self) -> None:
        self.turn()
        leader = self.leader()
        future = leader.submit(GROUP, b"one")
        leader._drop_unknown(leader.groups[GROUP], 10**6)
        with self.assertRaises(Undecided):
            await future
        self.assertEqual(leader.groups[GROUP].waiting, {})

    async def test_a_proposal_outlives_the_patience_of_its_caller(self) -> None:
        self.turn()
        leader = self.leader()
        decision = leader.submit(GROUP, b"one")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(asyncio.shield(decision), 0.0)
        self.turn(0.5)
        self.assertEqual(await decision, 1)

    async def test_only_a_leader_that_a_majority_answers_now_is_confirmed(self) -> None:
        self.turn()
        leader = self.leader()
        self.now += 0.001  # what was sent before the call says nothing
        with mock.patch("heronstall.controlplane.hosting.CONFIRM_LOOK", 0):
            confirmed = asyncio.create_task(leader.confirm(GROUP, 5.0))
            for _ in range(5):
                await asyncio.sleep(0)
            self.assertFalse(confirmed.done())
            self.turn(0.05)
            await confirmed
            self.now += 0.001
            alone = asyncio.create_task(leader.confirm(GROUP, 0.02))
            with self.assertRaises(TimeoutError):
                await alone
        self.waiting.clear()


class SingleVoter(unittest.IsolatedAsyncioTestCase):
    """A group that bears no loss: nobody's message brings the next turn."""

    async def test_a_refused_write_is_tried_again_without_another_command(self) -> None:
        now = 500.0
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(GroupHost, "now", lambda *_: now),
        ):
            host = GroupHost("a:1", Path(folder), cast(Links, Wire([])), Timing(), True, 1 << 20)
            machine = Commands()
            replica = host.add(GROUP, machine)
            replica.bootstrap(now, (host.me,))
            while not replica.established:
                now += TICK
                replica.tick(now)
                host.flush()
            with mock.patch.object(Journal, "sync", side_effect=OSError(errno.ENOSPC, "full")):
                proposed = asyncio.create_task(host.propose(GROUP, b"one", 5.0))
                await asyncio.sleep(0)
                host.flush()
            self.assertEqual(machine.commands, [])
            for _ in range(2 * round(DISK_RETRY / TICK)):
                now += TICK
                replica.tick(now)
                host.flush()
            self.assertEqual(machine.commands, [b"one"])
            self.assertEqual(await proposed, 1)


class FullDisks(HostCase):
    def refuse(self, host: GroupHost) -> mock._patch[mock.Mock]:
        return mock.patch.object(host._journal, "append", side_effect=OSError(errno.ENOSPC, "full"))

    async def test_a_follower_with_a_full_disk_acknowledges_nothing_until_it_can_write(self) -> None:
        self.turn()
        leader = self.leader()
        full, other = (h for h in self.hosts.values() if h is not leader)
        with self.refuse(full):
            self.assertEqual(await self.commit(b"one"), 1)
            self.turn(0.5)
            progress = leader.groups[GROUP].replica.peer_progress
            self.assertLess(progress[full.me].match_index, progress[other.me].match_index)
        self.turn(DISK_RETRY + 0.5)
        self.assertEqual(progress[full.me].match_index, progress[other.me].match_index)
        self.assertEqual(self.everywhere(), [[b"one"]] * 3)

    async def test_two_full_disks_of_three_commit_nothing(self) -> None:
        self.turn()
        leader = self.leader()
        others = [h for h in self.hosts.values() if h is not leader]
        with self.refuse(others[0]), self.refuse(others[1]), self.assertRaises(TimeoutError):
            task = asyncio.create_task(leader.propose(GROUP, b"lost?", 0.05))
            for _ in range(10):
                await asyncio.sleep(0)
                self.turn(0.05)
            await task
        self.assertEqual(leader.groups[GROUP].machine.dump(), b"")


if __name__ == "__main__":
    unittest.main()
