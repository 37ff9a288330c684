"""The control state: configurations, workers, sessions, placement, what dispatchers pull."""

from __future__ import annotations

import asyncio
import copy
import functools
import random
import unittest
from collections import Counter
from typing import Any
from unittest import mock

import ujson
from result import Err, Ok

from heronstall.controlplane.api import ControlApi
from heronstall.controlplane.core import Core
from heronstall.controlplane.state import config_shard, worker_shard
from heronstall.controlplane.state.config_shard import ChangeOutcome, ConfigShard
from heronstall.controlplane.state.documents import ConfigFault, canonical, read_object
from heronstall.controlplane.state.operator_config import checked, patched
from heronstall.controlplane.state.worker_shard import REMOVED_KEPT, WorkerShard
from heronstall.distribution.shards import WORKER_SHARDS
from heronstall.distribution.view import ControlStateView
from heronstall.ownership.placement import PlacementCandidate, initial_placements, repaired_placements
from heronstall.sessions.loads import WorkerLoad, pack_loads, unpack_loads
from heronstall.sessions.table import SESSION_TIMEOUT, Sessions
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import LOST, Reply
from heronstall.transport.messages import (
    ConfigChange,
    Loads,
    Placement,
    Session,
    SyncReply,
    Worker,
    WorkerChange,
    WorkerDelta,
    WorkerEnd,
)

CONFIG: dict[str, Any] = {
    "revision": 7,
    "routes": [
        {"name": "a", "hostname": "h", "path_prefix": "/a/", "timeout_ms": 100, "service": "s"},
        {
            "name": "b",
            "hostname": "h",
            "path_prefix": "/b/",
            "timeout_ms": 100.5,
            "traffic_split": [{"service": "s", "weight": 1}, {"service": "t", "weight": 0}],
        },
    ],
    "services": [{"name": "s"}, {"name": "t"}],
}


class Configurations(unittest.TestCase):
    def refused(self, document: Any, revision: int = 6) -> ConfigFault:
        found = checked(document, revision)
        assert isinstance(found, Err), document
        return found.err_value[0]

    def changed(self, **route: Any) -> Any:
        document = copy.deepcopy(CONFIG)
        document["routes"][0].update(route)
        return document

    def test_a_valid_one_is_taken(self) -> None:
        self.assertIsInstance(checked(CONFIG, 6), Ok)

    def test_each_fault_has_its_code(self) -> None:
        split = [{"service": "s", "weight": 0}, {"service": "t", "weight": 0}]
        for expected, document in (
            (ConfigFault.UNKNOWN_SERVICE, self.changed(service="x")),
            (ConfigFault.UNKNOWN_SERVICE, self.changed(service=None)),
            (ConfigFault.SAME_PLACE, self.changed(path_prefix="/b/")),
            (ConfigFault.SAME_PLACE, self.changed(path_prefix="/b/", hostname="H")),
            (ConfigFault.NO_WEIGHT, self.changed(traffic_split=split)),
            (ConfigFault.NO_TIMEOUT, self.changed(timeout_ms=0)),
            (ConfigFault.NO_TIMEOUT, self.changed(timeout_ms=-1)),
            (ConfigFault.BAD_PREFIX, self.changed(path_prefix="/a")),
            (ConfigFault.DUPLICATE, self.changed(name="b")),
            (ConfigFault.WRONG_TYPE, self.changed(timeout_ms="100")),
            (ConfigFault.WRONG_TYPE, {**CONFIG, "routes": "none"}),
            (ConfigFault.WRONG_TYPE, {**CONFIG, "revision": True}),
            (ConfigFault.WRONG_TYPE, {k: v for k, v in CONFIG.items() if k != "services"}),
        ):
            with self.subTest(expected=expected.name, document=document):
                self.assertEqual(self.refused(document), expected)
        self.assertEqual(self.refused(CONFIG, 7), ConfigFault.OLD_REVISION)
        self.assertEqual(self.refused(CONFIG, 8), ConfigFault.OLD_REVISION)

    def test_unreadable_bodies(self) -> None:
        for body, expected in (
            (ujson.dumps(CONFIG)[:-20].encode(), ConfigFault.UNREADABLE),
            (b"\xff", ConfigFault.UNREADABLE),
            (b"[]", ConfigFault.UNREADABLE),
            (b'{"revision":1,"revision":2}', ConfigFault.DUPLICATE),
        ):
            found = read_object(body)
            assert isinstance(found, Err)
            self.assertEqual(found.err_value[0], expected)

    def test_a_patch_adds_replaces_and_removes_by_name(self) -> None:
        patch = {
            "revision": 9,
            "upsert": {
                "routes": [{**CONFIG["routes"][0], "timeout_ms": 5}, {**CONFIG["routes"][0], "name": "c"}]
            },
            "remove": {"routes": ["b", "unknown"]},
        }
        found = patched(CONFIG, patch)
        assert isinstance(found, Ok)
        self.assertEqual([r["name"] for r in found.ok_value["routes"]], ["a", "c"])
        self.assertEqual(found.ok_value["routes"][0]["timeout_ms"], 5)
        self.assertEqual(found.ok_value["revision"], 9)
        self.assertEqual(len(CONFIG["routes"]), 2)

    def test_the_order_of_keys_makes_no_other_content(self) -> None:
        self.assertEqual(canonical({"a": 1, "b": 2}), canonical({"b": 2, "a": 1}))

    def test_of_two_changes_on_one_version_one_wins(self) -> None:
        shard = ConfigShard()
        changes = [ConfigChange(0, 5, b'{"revision":5}', "0a"), ConfigChange(0, 6, b'{"revision":6}', "0b")]
        done = [
            shard.apply(n + 1, config_shard.command(config_shard.Command.CHANGE, c))
            for n, c in enumerate(changes)
        ]
        self.assertEqual(done, [ChangeOutcome.TAKEN, ChangeOutcome.REFUSED])
        self.assertEqual((shard.state.revision, shard.taken("0a"), shard.taken("0b")), (5, 5, None))

    def test_a_dump_restores_the_shard(self) -> None:
        shard = ConfigShard()
        shard.apply(3, config_shard.command(config_shard.Command.CHANGE, ConfigChange(0, 5, b"{}", "0a")))
        shard.apply(4, config_shard.command(config_shard.Command.PLACE, Placement("batch-0", ["a"], True)))
        other = ConfigShard()
        other.restore(shard.dump())
        self.assertEqual(other.dump(), shard.dump())
        self.assertEqual(other.placement("batch-0"), ("a",))


class Workers(unittest.TestCase):
    def setUp(self) -> None:
        self.shard = WorkerShard()

    def put(self, index: int, name: str, sequence: int = 1, state: str = "ready") -> bool:
        worker = Worker(id=name, service="s", address="1:1", state=state, sequence=sequence)
        return self.shard.apply(index, worker_shard.put(worker))

    def remove(self, index: int, name: str, silent: bool = False) -> bool:
        kind = worker_shard.Command.EXPIRE if silent else worker_shard.Command.REMOVE
        return self.shard.apply(index, worker_shard.remove(kind, name))

    def test_a_late_heartbeat_takes_nothing_back(self) -> None:
        self.put(1, "a", 5, "draining")
        self.assertFalse(self.put(2, "a", 4, "ready"))
        self.assertEqual(self.shard.workers["a"].state, "draining")

    def test_who_has_left_never_returns_and_who_was_silent_may(self) -> None:
        self.put(1, "a")
        self.remove(2, "a")
        self.assertFalse(self.put(3, "a", 9))
        self.put(4, "b")
        self.remove(5, "b", silent=True)
        self.assertTrue(self.put(6, "b", 2))

    def test_deltas_hold_what_is_newer_and_lead_to_the_same_view(self) -> None:
        view = ControlStateView()
        for index in range(1, 40):
            name = f"w{index % 7}"
            if index % 5:
                self.put(index, name, index)
            else:
                self.remove(index, name, silent=True)
            if index % 3 == 0:
                delta = self.shard.since("s", view.versions.get("s", 0))
                assert delta is not None
                view.apply(SyncReply(workers=[WorkerDelta().parse(bytes(delta))]))
                self.assertEqual(set(view.all_workers()), set(self.shard.workers))
        self.assertIsNone(self.shard.since("s", self.shard.version))

    def test_who_is_too_far_behind_gets_the_whole(self) -> None:
        for index in range(1, REMOVED_KEPT + 10):
            self.put(2 * index, f"w{index}")
            self.remove(2 * index + 1, f"w{index}", silent=True)
        self.put(5000, "last")
        delta = self.shard.since("s", 3)
        assert delta is not None
        self.assertTrue(delta.complete)
        self.assertEqual([c.worker.id for c in delta.changes], ["last"])

    def test_a_dump_restores_the_shard(self) -> None:
        self.put(1, "a")
        self.put(2, "b")
        self.remove(3, "b")
        other = WorkerShard()
        other.restore(self.shard.dump())
        self.assertEqual((set(other.workers), other.version), ({"a"}, 3))
        self.assertTrue(other.is_gone("b"))


class Leaving(unittest.IsolatedAsyncioTestCase):
    """DELETE by workers at a core node that leads one of the two registry shards."""

    LED, OTHER = WORKER_SHARDS

    def setUp(self) -> None:
        self.shards = {name: WorkerShard() for name in WORKER_SHARDS}
        self.committed: list[tuple[str, bytes]] = []
        self.index = 0
        self.core = mock.Mock(workers=self.shards, heard={})
        self.core.settings.listen = {"control": "10.0.0.1:8166"}
        self.core.leads = lambda group: group == self.LED
        self.core.leader_address = lambda group: "10.0.0.2:7720"
        self.core.fresh = lambda: True
        self.core.commit = self.commit
        self.core.remove_worker = functools.partial(Core.remove_worker, self.core)
        self.core.links.to.return_value.call = self.tell_other
        self.other_reachable = True
        self.api = ControlApi(self.core)

    async def tell_other(self, kind: Kind, body: bytes, within: float) -> Reply:
        """The other shard's leader takes a worker's end."""
        if not self.other_reachable:
            return LOST
        end = WorkerEnd().parse(body)
        self.apply(end.shard, worker_shard.remove(worker_shard.Command.REMOVE, end.worker))
        return Reply(Status.OK)

    async def commit(self, group: str, data: bytes) -> bool:
        """Commit at once."""
        self.committed.append((group, data))
        return self.apply(group, data)

    def apply(self, group: str, data: bytes) -> bool:
        """A command of a group's log."""
        self.index += 1
        return self.shards[group].apply(self.index, data)

    async def leave(self, worker: str) -> int:
        """The status of a worker's last call."""
        request = mock.Mock(raw_path=f"/-/instances/{worker}")
        return (await self.api._leave(request, worker)).status

    async def test_the_last_call_may_come_again(self) -> None:
        self.apply(self.LED, worker_shard.put(Worker(id="w", service="s", state="draining")))
        self.assertEqual([await self.leave("w"), await self.leave("w")], [200, 200])
        self.assertEqual(len(self.committed), 1)
        self.assertTrue(self.shards[self.LED].is_gone("w"))

    async def test_a_call_for_the_other_shard_goes_to_its_leader_also_when_it_comes_again(self) -> None:
        self.apply(self.OTHER, worker_shard.put(Worker(id="w", service="s", state="draining")))
        self.assertEqual(await self.leave("w"), 307)
        self.apply(self.OTHER, worker_shard.remove(worker_shard.Command.REMOVE, "w"))
        self.assertEqual(await self.leave("w"), 307)

    async def test_a_silent_worker_that_leaves_never_returns(self) -> None:
        self.apply(self.LED, worker_shard.put(Worker(id="w", service="s", state="ready")))
        self.apply(self.LED, worker_shard.remove(worker_shard.Command.EXPIRE, "w"))
        self.assertEqual(await self.leave("w"), 200)
        self.assertFalse(self.apply(self.LED, worker_shard.put(Worker(id="w", service="s", state="ready"))))

    async def test_the_end_of_one_that_no_shard_knows_is_kept_by_all_of_them(self) -> None:
        self.assertEqual(await self.leave("unknown"), 200)
        self.assertEqual(len(self.committed), 1)
        for group in (self.LED, self.OTHER):
            self.assertFalse(self.apply(group, worker_shard.put(Worker(id="unknown", service="s"))))

    async def test_an_end_that_no_shard_knows_is_acknowledged_by_all_leaders_or_not_at_all(self) -> None:
        self.other_reachable = False
        self.assertEqual(await self.leave("unknown"), 503)
        self.other_reachable = True
        self.core.fresh = lambda: False
        self.assertEqual(await self.leave("another"), 503)
        self.assertNotIn("another", str(self.committed))


class SlowCommits(unittest.IsolatedAsyncioTestCase):
    async def test_sessions_are_told_while_a_commit_hangs(self) -> None:
        core = Core.__new__(Core)
        told, never = mock.Mock(), asyncio.Event()
        core._members, core._gossip = mock.Mock(), told  # type: ignore[method-assign]
        core._expire_workers = never.wait  # type: ignore[method-assign,assignment]
        turns = asyncio.sleep

        async def at_once(_seconds: float) -> None:
            await turns(0)

        with mock.patch("asyncio.sleep", at_once):
            tasks = [asyncio.create_task(run) for run in (core._stay_in_touch(), core._chores())]
            for _ in range(20):
                await turns(0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertGreater(told.call_count, 5)


class Pulling(unittest.TestCase):
    def test_no_version_goes_back(self) -> None:
        view = ControlStateView()
        view.apply(SyncReply(config_version=5, document=b"new"))
        self.assertEqual(view.apply(SyncReply(config_version=4, document=b"old")), set())
        self.assertEqual(view.document, b"new")
        change = WorkerChange(version=3, worker=Worker(id="a"), id="a")
        view.apply(SyncReply(workers=[WorkerDelta("w", 3, True, [change])]))
        view.apply(SyncReply(workers=[WorkerDelta("w", 2, True, [])]))
        self.assertEqual(set(view.all_workers()), {"a"})

    def test_an_empty_placement_counts_as_known(self) -> None:
        view = ControlStateView()
        self.assertIn("placement", view.apply(SyncReply(placement_version=2)))
        self.assertEqual(view.apply(SyncReply(placement_version=2)), set())


class SessionTables(unittest.TestCase):
    def test_sessions_expire_and_older_news_changes_nothing(self) -> None:
        table = Sessions()
        table.renew(10.0, Session(name="a", machine_class="edge", replica="new"))
        table.merge(10.0, [Session(name="a", machine_class="edge", replica="old", age_ms=500)])
        self.assertEqual(table.live_sessions(10.0, "edge")["a"].replica, "new")
        self.assertEqual(table.live_sessions(10.1 + SESSION_TIMEOUT, "edge"), {})
        table.merge(20.0, [Session(name="a", machine_class="edge", age_ms=100)])
        self.assertEqual(set(table.live_sessions(20.0, "edge")), {"a"})

    def test_only_own_and_late_renewals_are_told(self) -> None:
        table = Sessions()
        table.renew(10.0, Session(name="a", machine_class="edge"))
        table.merge(10.0, [Session(name="b", machine_class="edge")])
        self.assertEqual([s.name for s in table.recently_renewed(10.2)], ["a"])
        self.assertEqual(table.recently_renewed(15.0), [])

    def test_live_nodes_of_a_class_are_numbered_by_name(self) -> None:
        table = Sessions()
        edges = [Session(name=f"e{k}", machine_class="edge") for k in (2, 0, 1)]
        for session in [*edges, Session(name="a", machine_class="storage")]:
            table.renew(10.0, session)
        self.assertEqual([table.rank(10.0, session) for session in edges], [3, 1, 2])
        table.renew(10.0 + SESSION_TIMEOUT, edges[0])
        table.renew(10.0 + SESSION_TIMEOUT, edges[2])
        self.assertEqual([table.rank(10.1 + SESSION_TIMEOUT, e) for e in (edges[0], edges[2])], [2, 1])

    def test_loads_come_back_as_they_were(self) -> None:
        given = [WorkerLoad("w1", 3, 0, 1), WorkerLoad("\u00e9:8000", 0, 65_535, 0), WorkerLoad("", 1)]
        self.assertEqual(list(unpack_loads(Loads().parse(bytes(pack_loads(given))))), given)
        self.assertEqual(list(unpack_loads(Loads())), [])
        self.assertEqual(list(unpack_loads(pack_loads([WorkerLoad("w", 70_000)]))), [WorkerLoad("w", 65_535)])
        self.assertEqual(
            list(unpack_loads(pack_loads([WorkerLoad("a\0b", 1), WorkerLoad("c", 2)]))), [WorkerLoad("c", 2)]
        )

    def test_malformed_loads_say_nothing(self) -> None:
        self.assertEqual(list(unpack_loads(Loads(workers="a\0b", counts=b"\0" * 6))), [])

    def test_sums_of_loads_follow_each_word_and_each_end(self) -> None:
        """As a count from scratch, over drawn renewals, tellings and silences."""
        rng = random.Random(5)
        table = Sessions()
        latest: dict[str, tuple[float, list[WorkerLoad]]] = {}
        now = 100.0
        for _ in range(600):
            now += rng.random() * 0.4
            name = f"edge-{rng.randrange(6)}"
            loads = [
                WorkerLoad(f"w{k}", rng.randrange(3), rng.randrange(3), rng.randrange(2))
                for k in range(rng.randrange(4))
            ]
            session = Session(name=name, machine_class="edge", loads=pack_loads(loads))
            if rng.random() < 0.5:
                table.renew(now, session)
                latest[name] = (now, loads)
            else:
                session.age_ms = rng.randrange(2000)
                at = now - session.age_ms / 1000
                table.merge(now, [session])
                if at > latest.get(name, (0.0, []))[0]:
                    latest[name] = (at, loads)
            without = f"edge-{rng.randrange(6)}"
            wanted: Counter[tuple[str, str]] = Counter()
            for other, (at, told) in latest.items():
                if other != without and now - at < SESSION_TIMEOUT:
                    for load in told:
                        wanted[load.worker, "requests"] += load.requests
                        wanted[load.worker, "items"] += load.items
                        wanted[load.worker, "failing"] += load.failing
            found: Counter[tuple[str, str]] = Counter()
            for load in table.loads(now, without):
                found[load.worker, "requests"] += load.requests
                found[load.worker, "items"] += load.items
                found[load.worker, "failing"] += load.failing
            self.assertEqual(+found, +wanted)


def node(name: str, zone: str, live: bool = True, active: bool = True) -> PlacementCandidate:
    return PlacementCandidate(name, zone, live, active)


class Placements(unittest.TestCase):
    def test_zones_and_nodes_share_evenly(self) -> None:
        nodes = [node(f"n{k}", f"z{k % 4}") for k in range(8)]
        placed = initial_placements([f"s{k}" for k in range(8)], nodes, 3)
        zones = {n.replica: n.zone for n in nodes}
        for replicas in placed.values():
            self.assertEqual(len({zones[r] for r in replicas}), 3)
        loads = [sum(n.replica in r for r in placed.values()) for n in nodes]
        self.assertEqual(set(loads), {3})

    def test_the_dead_and_the_emptied_give_way_one_at_a_time(self) -> None:
        nodes = [
            node("a", "1", live=False),
            node("b", "2", active=False),
            node("c", "3"),
            node("d", "1"),
            node("e", "2"),
        ]
        once = repaired_placements({"s": ("a", "b", "c")}, nodes, 3)["s"]
        self.assertEqual((len(once), len({"a", "b"} & set(once))), (3, 1))
        twice = repaired_placements({"s": once}, nodes, 3)["s"]
        self.assertEqual(set(twice), {"c", "d", "e"})
        self.assertEqual(repaired_placements({"s": twice}, nodes, 3), {})

    def test_nobody_is_given_up_without_another(self) -> None:
        nodes = [node("a", "1", live=False), node("b", "2"), node("c", "3")]
        self.assertEqual(repaired_placements({"s": ("a", "b", "c")}, nodes, 3), {})

    def test_too_few_copies_are_filled_up(self) -> None:
        nodes = [node("a", "1"), node("b", "2"), node("c", "3")]
        self.assertEqual(set(repaired_placements({"s": ("a", "b")}, nodes, 3)["s"]), {"a", "b", "c"})


if __name__ == "__main__":
    unittest.main()
