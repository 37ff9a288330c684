"""Tests of replicas on real files: commits survive restarts, compaction and disks that refuse writes."""

from __future__ import annotations

import asyncio
import errno
import tempfile
import unittest
from pathlib import Path
from typing import cast
from unittest import mock

from heronstall.controlplane.hosting import (
    DISK_RETRY_DELAY,
    TICK_INTERVAL,
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
SMALL_LOG_BYTES = 600


class Commands:
    """A state machine that keeps the list of applied commands."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, data: bytes) -> int:
        self.commands.append(data)
        return len(self.commands)

    def dump(self) -> bytes:
        return b",".join(self.commands)

    def restore(self, state: bytes) -> None:
        self.commands = state.split(b",") if state else []


class RecordingLinks:
    """Replaces the links of a node and collects the sent messages."""

    def __init__(self, sent_messages: list[tuple[str, bytes]]) -> None:
        self._sent_messages = sent_messages
        self._address = ""

    def to(self, address: str) -> RecordingLinks:
        links = RecordingLinks(self._sent_messages)
        links._address = address
        return links

    def send(self, kind: Kind, body: bytes) -> None:
        self._sent_messages.append((self._address, body))


class HostTestCase(unittest.IsolatedAsyncioTestCase):
    log_limit = 1 << 20

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        self.now = 500.0
        clock = mock.patch.object(GroupHost, "now", lambda *_: self.now)
        clock.start()
        self.addCleanup(clock.stop)
        self.sent_messages: list[tuple[str, bytes]] = []
        self.hosts: dict[str, GroupHost] = {}
        self.machines: dict[str, Commands] = {}
        for name in ("a:1", "b:1", "c:1"):
            self.start(name, bootstrap=True)
        voters = tuple(host.replica_id for host in self.hosts.values())
        for host in self.hosts.values():
            host.groups[GROUP].replica.bootstrap(self.now, voters)
            host.flush()

    def start(self, name: str, bootstrap: bool = False) -> None:
        folder = self.root / name.replace(":", "-")
        links = cast(Links, RecordingLinks(self.sent_messages))
        host = self.hosts[name] = GroupHost(name, folder, links, Timing(), bootstrap, self.log_limit)
        self.machines[name] = Commands()
        host.add(GROUP, self.machines[name])

    def advance(self, seconds: float = 1.5, isolated: str = "") -> None:
        for _ in range(int(seconds / 0.05)):
            self.now += 0.05
            for name, host in self.hosts.items():
                if name != isolated:
                    host.groups[GROUP].replica.tick(self.now)
                    host.flush()
            for _ in range(40):
                if not self.sent_messages:
                    break
                address, body = self.sent_messages.pop(0)
                if address != isolated:
                    self.hosts[address].receive(body)
                    self.hosts[address].flush()

    def leader(self) -> GroupHost:
        return next(h for h in self.hosts.values() if h.groups[GROUP].replica.holds_lease(self.now))

    async def commit(self, data: bytes, isolated: str = "") -> int:
        task = asyncio.create_task(self.leader().propose(GROUP, data, 5.0))
        for _ in range(20):
            await asyncio.sleep(0)
            self.advance(0.05, isolated)
            if task.done():
                break
        return int(await task)

    def all_commands(self) -> list[list[bytes]]:
        return [machine.commands for machine in self.machines.values()]


class Restarts(HostTestCase):
    async def test_no_commit_is_lost_when_all_nodes_restart(self) -> None:
        self.advance()
        self.assertEqual(await self.commit(b"one"), 1)
        self.assertEqual(await self.commit(b"two"), 2)
        self.sent_messages.clear()
        identities = [host.replica_id for host in self.hosts.values()]
        for name in list(self.hosts):
            self.start(name)
        self.assertEqual([host.replica_id for host in self.hosts.values()], identities)
        self.advance(3.0)
        self.assertEqual(self.all_commands(), [[b"one", b"two"]] * 3)

    async def test_node_that_lost_its_disk_gets_a_new_replica_id(self) -> None:
        self.advance()
        before = self.hosts["a:1"].replica_id
        for path in (self.root / "a-1").iterdir():
            path.unlink()
        self.start("a:1")
        self.assertNotEqual(self.hosts["a:1"].replica_id, before)
        self.assertEqual(self.hosts["a:1"].recovered_groups, [])


class Slots(HostTestCase):
    log_limit = SMALL_LOG_BYTES

    async def test_compaction_into_slots_bounds_the_log_and_loses_nothing(self) -> None:
        self.advance()
        commands = [b"command %d" % n for n in range(60)]
        for command in commands:
            await self.commit(command)
        self.advance()
        for folder in self.root.iterdir():
            self.assertLess(sum(p.stat().st_size for p in folder.glob("log-*")), 3 * SMALL_LOG_BYTES)
        self.sent_messages.clear()
        for name in list(self.hosts):
            self.start(name)
        self.advance(3.0)
        self.assertEqual(self.all_commands(), [commands] * 3)


class ProposalOutcomes(HostTestCase):
    """A proposal is resolved by its own entry, not by another entry at the same index."""

    async def test_entry_of_another_leader_at_the_index_supersedes_the_proposal(self) -> None:
        self.advance()
        old = self.leader()
        name = next(n for n, h in self.hosts.items() if h is old)
        proposal = asyncio.create_task(old.propose(GROUP, b"lost", 60.0))
        await asyncio.sleep(0)
        self.sent_messages.clear()  # the proposal reaches no other node
        self.advance(3.0, isolated=name)
        self.assertEqual(await self.commit(b"other", isolated=name), 1)
        self.advance(2.0)
        with self.assertRaises(Superseded):
            await proposal
        self.assertEqual(self.all_commands(), [[b"other"]] * 3)

    async def test_timeout_of_an_earlier_proposal_does_not_remove_a_later_one(self) -> None:
        self.advance()
        leader = self.leader()
        hosted = leader.groups[GROUP]
        earlier = EntryId(hosted.replica.log.last_index + 1, hosted.replica.term - 1)
        hosted.pending_proposals[earlier] = asyncio.get_running_loop().create_future()
        later = leader.submit(GROUP, b"one")
        hosted.pending_proposals.pop(earlier).cancel()
        self.advance(0.5)
        self.assertEqual(await later, 1)

    async def test_proposal_covered_by_a_snapshot_is_undecided(self) -> None:
        self.advance()
        leader = self.leader()
        future = leader.submit(GROUP, b"one")
        leader._fail_undecided(leader.groups[GROUP], 10**6)
        with self.assertRaises(Undecided):
            await future
        self.assertEqual(leader.groups[GROUP].pending_proposals, {})

    async def test_proposal_outlives_the_timeout_of_its_caller(self) -> None:
        self.advance()
        leader = self.leader()
        decision = leader.submit(GROUP, b"one")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(asyncio.shield(decision), 0.0)
        self.advance(0.5)
        self.assertEqual(await decision, 1)

    async def test_leader_is_confirmed_only_by_answers_to_messages_sent_after_the_request(self) -> None:
        self.advance()
        leader = self.leader()
        self.now += 0.001  # answers to messages sent before the call must not count
        with mock.patch("heronstall.controlplane.hosting.CONFIRM_POLL_INTERVAL", 0):
            confirmed = asyncio.create_task(leader.confirm(GROUP, 5.0))
            for _ in range(5):
                await asyncio.sleep(0)
            self.assertFalse(confirmed.done())
            self.advance(0.05)
            await confirmed
            self.now += 0.001
            unconfirmed = asyncio.create_task(leader.confirm(GROUP, 0.02))
            with self.assertRaises(TimeoutError):
                await unconfirmed
        self.sent_messages.clear()


class SingleVoter(unittest.IsolatedAsyncioTestCase):
    """A group with one voter, in which no message of another replica triggers the next flush."""

    async def test_failed_write_is_retried_without_another_command(self) -> None:
        now = 500.0
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(GroupHost, "now", lambda *_: now),
        ):
            host = GroupHost("a:1", Path(folder), cast(Links, RecordingLinks([])), Timing(), True, 1 << 20)
            machine = Commands()
            replica = host.add(GROUP, machine)
            replica.bootstrap(now, (host.replica_id,))
            while not replica.established:
                now += TICK_INTERVAL
                replica.tick(now)
                host.flush()
            with mock.patch.object(Journal, "sync", side_effect=OSError(errno.ENOSPC, "full")):
                proposed = asyncio.create_task(host.propose(GROUP, b"one", 5.0))
                await asyncio.sleep(0)
                host.flush()
            self.assertEqual(machine.commands, [])
            for _ in range(2 * round(DISK_RETRY_DELAY / TICK_INTERVAL)):
                now += TICK_INTERVAL
                replica.tick(now)
                host.flush()
            self.assertEqual(machine.commands, [b"one"])
            self.assertEqual(await proposed, 1)


class FullDisks(HostTestCase):
    def failing_disk(self, host: GroupHost) -> mock._patch[mock.Mock]:
        return mock.patch.object(host._journal, "append", side_effect=OSError(errno.ENOSPC, "full"))

    async def test_follower_with_a_full_disk_acknowledges_nothing_until_it_can_write(self) -> None:
        self.advance()
        leader = self.leader()
        full_node, other = (h for h in self.hosts.values() if h is not leader)
        with self.failing_disk(full_node):
            self.assertEqual(await self.commit(b"one"), 1)
            self.advance(0.5)
            progress = leader.groups[GROUP].replica.peer_progress
            self.assertLess(
                progress[full_node.replica_id].match_index, progress[other.replica_id].match_index
            )
        self.advance(DISK_RETRY_DELAY + 0.5)
        self.assertEqual(progress[full_node.replica_id].match_index, progress[other.replica_id].match_index)
        self.assertEqual(self.all_commands(), [[b"one"]] * 3)

    async def test_nothing_is_committed_with_two_of_three_disks_full(self) -> None:
        self.advance()
        leader = self.leader()
        others = [h for h in self.hosts.values() if h is not leader]
        with self.failing_disk(others[0]), self.failing_disk(others[1]), self.assertRaises(TimeoutError):
            task = asyncio.create_task(leader.propose(GROUP, b"lost?", 0.05))
            for _ in range(10):
                await asyncio.sleep(0)
                self.advance(0.05)
            await task
        self.assertEqual(leader.groups[GROUP].state_machine.dump(), b"")


if __name__ == "__main__":
    unittest.main()
