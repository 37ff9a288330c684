"""Tests of the control state: configuration, worker registry, sessions, placement and pulled views."""

from __future__ import annotations

import asyncio
import copy
import functools
import itertools
import random
import unittest
from collections import Counter
from collections.abc import Iterator
from typing import Any
from unittest import mock

import ujson
from result import Err, Ok

from heronstall.controlplane.api import ControlApi
from heronstall.controlplane.core import Core
from heronstall.controlplane.state import config_shard, worker_shard
from heronstall.controlplane.state.config_shard import ChangeOutcome, ConfigShard
from heronstall.controlplane.state.documents import ConfigFault, canonical_json, parse_object
from heronstall.controlplane.state.operator_config import apply_patch, validate
from heronstall.controlplane.state.worker_shard import MAX_KNOWN_REMOVALS, WorkerShard
from heronstall.distribution.shards import WORKER_SHARDS
from heronstall.distribution.view import ControlStateView
from heronstall.ownership.placement import PlacementCandidate, initial_placements, repaired_placements
from heronstall.routing.reading import parse_routes
from heronstall.sessions.loads import WorkerLoad, pack_loads, unpack_loads
from heronstall.sessions.table import SESSION_TIMEOUT, Sessions
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import CALL_FAILED, Reply
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


WRONG_VALUES: tuple[Any, ...] = ("high", "", "7", [], ["a"], {}, {"a": 1}, True, None, -1, 0, 2.5, 2**53)
CHANGED_FIELDS = {
    "": ("revision", "routes", "services", "limits"),
    "routes": (
        *("name", "hostname", "path_prefix", "route_type", "timeout_ms", "target_latency_ms", "priority"),
        *("service", "traffic_split", "max_attempts", "resumable", "gap_aim_ms", "session_affinity"),
        *("completion_target_ms", "retention_s", "max_queued_tokens"),
    ),
    "services": ("name", "health_check", "max_connections", "engine"),
    "engine": ("capacity", "kv_cache_tokens"),
    "limits": ("max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"),
    "traffic_split": ("service", "weight"),
}


def documents_with_one_changed_field() -> Iterator[tuple[str, Any]]:
    """Yields the configuration with each field set to each wrong or unusual value, and the field's path."""
    for part, names in CHANGED_FIELDS.items():
        for name, value in itertools.product(names, WRONG_VALUES):
            document = copy.deepcopy(CONFIG)
            document["limits"] = {}
            document["services"][0]["engine"] = {}
            changed = {
                "": document,
                "routes": document["routes"][0],
                "services": document["services"][0],
                "engine": document["services"][0]["engine"],
                "limits": document["limits"],
                "traffic_split": document["routes"][1]["traffic_split"][0],
            }[part]
            changed[name] = value
            if document["revision"] == 7:
                yield f"{part}.{name}".strip("."), document


class Configurations(unittest.TestCase):
    def rejection_code(self, document: Any, revision: int = 6) -> ConfigFault:
        found = validate(document, revision)
        assert isinstance(found, Err), document
        return found.err_value[0]

    def with_route_changes(self, **route: Any) -> Any:
        document = copy.deepcopy(CONFIG)
        document["routes"][0].update(route)
        return document

    def test_valid_configuration_is_accepted(self) -> None:
        self.assertIsInstance(validate(CONFIG, 6), Ok)

    def test_each_fault_has_its_code(self) -> None:
        split = [{"service": "s", "weight": 0}, {"service": "t", "weight": 0}]
        for expected, document in (
            (ConfigFault.UNKNOWN_SERVICE, self.with_route_changes(service="x")),
            (ConfigFault.UNKNOWN_SERVICE, self.with_route_changes(service=None)),
            (ConfigFault.SAME_PLACE, self.with_route_changes(path_prefix="/b/")),
            (ConfigFault.SAME_PLACE, self.with_route_changes(path_prefix="/b/", hostname="H")),
            (ConfigFault.SAME_PLACE, self.with_route_changes(path_prefix="/b/", hostname="h:80")),
            (ConfigFault.NO_WEIGHT, self.with_route_changes(traffic_split=split)),
            (ConfigFault.NO_TIMEOUT, self.with_route_changes(timeout_ms=0)),
            (ConfigFault.NO_TIMEOUT, self.with_route_changes(timeout_ms=-1)),
            (ConfigFault.BAD_PREFIX, self.with_route_changes(path_prefix="/a")),
            (ConfigFault.DUPLICATE, self.with_route_changes(name="b")),
            (ConfigFault.WRONG_TYPE, self.with_route_changes(timeout_ms="100")),
            (ConfigFault.WRONG_TYPE, {**CONFIG, "routes": "none"}),
            (ConfigFault.WRONG_TYPE, {**CONFIG, "revision": True}),
            (ConfigFault.WRONG_TYPE, {k: v for k, v in CONFIG.items() if k != "services"}),
        ):
            with self.subTest(expected=expected.name, document=document):
                self.assertEqual(self.rejection_code(document), expected)
        self.assertEqual(self.rejection_code(CONFIG, 7), ConfigFault.OLD_REVISION)
        self.assertEqual(self.rejection_code(CONFIG, 8), ConfigFault.OLD_REVISION)

    def test_what_is_accepted_can_be_read_by_dispatchers_and_what_is_refused_names_the_field(self) -> None:
        """Guards against a configuration that is acknowledged and then in force nowhere."""
        accepted = refused = 0
        for path, document in documents_with_one_changed_field():
            found = validate(document, 6)
            with self.subTest(path=path, document=document):
                if isinstance(found, Ok):
                    accepted += 1
                    self.assertEqual(parse_routes(canonical_json(document)).revision, 7)
                    continue
                refused += 1
                code, text = found.err_value
                self.assertNotEqual(code, ConfigFault.UNREADABLE)
                if code == ConfigFault.WRONG_TYPE:
                    self.assertIn(path.rpartition(".")[2], text)
        self.assertGreater(min(accepted, refused), 50)  # the values are neither all good nor all bad

    def test_wrong_types_are_refused_by_path(self) -> None:
        for changes, path in (
            ({"priority": "high"}, "routes[0].priority"),
            ({"target_latency_ms": "200"}, "routes[0].target_latency_ms"),
            ({"max_attempts": []}, "routes[0].max_attempts"),
            ({"retention_s": {}}, "routes[0].retention_s"),
            ({"max_queued_tokens": True}, "routes[0].max_queued_tokens"),
            ({"resumable": "no"}, "routes[0].resumable"),
            ({"gap_aim_ms": -1}, "routes[0].gap_aim_ms"),
        ):
            with self.subTest(path=path):
                found = validate(self.with_route_changes(**changes), 6)
                assert isinstance(found, Err)
                self.assertEqual(found.err_value[0], ConfigFault.WRONG_TYPE)
                self.assertIn(path, found.err_value[1])
        for part, path in (
            ({"limits": {"max_body_bytes": "4MB"}}, "limits.max_body_bytes"),
            ({"limits": [1]}, "limits"),
            (
                {"services": [{"name": "s", "engine": {"capacity": "48"}}, {"name": "t"}]},
                "services[0].engine.capacity",
            ),
            ({"services": [{"name": "s"}, {"name": "t", "engine": []}]}, "services[1].engine"),
        ):
            with self.subTest(path=path):
                found = validate({**CONFIG, **part}, 6)
                assert isinstance(found, Err)
                self.assertIn(path, found.err_value[1])

    def test_optional_and_unknown_fields_are_accepted(self) -> None:
        for changes in (
            {"priority": None, "resumable": None, "max_attempts": None},
            {"target_latency_ms": 0.5, "max_queued_tokens": 0, "priority": -1},
            {"session_affinity": True, "unknown": {"a": ["b"]}},
        ):
            with self.subTest(changes=changes):
                document = self.with_route_changes(**changes)
                self.assertIsInstance(validate(document, 6), Ok)
                parse_routes(canonical_json(document))

    def test_a_patch_of_wrong_shape_is_refused(self) -> None:
        patches: tuple[Any, ...] = (
            {"remove": {"routes": "a"}},
            {"remove": {"limits": ["a"]}},
            {"remove": {"revision": ["a"]}},
            {"upsert": {"routes": {"a": 1}}},
            {"upsert": {"routes": [{"name": ["a"]}]}},
            {"upsert": {"routes": [{"name": "a"}, {"name": "a"}]}},
            {"upsert": {"limits": []}},
            {"upsert": {"revision": {"a": 1}}},
            {"upsert": []},
        )
        for patch in patches:
            with self.subTest(patch=patch):
                current = {**CONFIG, "limits": {"max_body_bytes": 1}}
                found = apply_patch(current, {"revision": 9, **patch})
                result = found if isinstance(found, Err) else validate(found.ok_value, 7)
                self.assertTrue(isinstance(result, Err) or patch == {"upsert": {"limits": []}}, result)

    def test_unreadable_bodies(self) -> None:
        for body, expected in (
            (ujson.dumps(CONFIG)[:-20].encode(), ConfigFault.UNREADABLE),
            (b"\xff", ConfigFault.UNREADABLE),
            (b"[]", ConfigFault.UNREADABLE),
            (b'{"revision":1,"revision":2}', ConfigFault.DUPLICATE),
        ):
            found = parse_object(body)
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
        found = apply_patch(CONFIG, patch)
        assert isinstance(found, Ok)
        self.assertEqual([r["name"] for r in found.ok_value["routes"]], ["a", "c"])
        self.assertEqual(found.ok_value["routes"][0]["timeout_ms"], 5)
        self.assertEqual(found.ok_value["revision"], 9)
        self.assertEqual(len(CONFIG["routes"]), 2)

    def test_key_order_does_not_change_the_canonical_form(self) -> None:
        self.assertEqual(canonical_json({"a": 1, "b": 2}), canonical_json({"b": 2, "a": 1}))

    def test_only_one_of_two_changes_to_the_same_base_is_accepted(self) -> None:
        shard = ConfigShard()
        changes = [ConfigChange(0, 5, b'{"revision":5}', "0a"), ConfigChange(0, 6, b'{"revision":6}', "0b")]
        done = [
            shard.apply(n + 1, config_shard.encode_command(config_shard.Command.CHANGE, c))
            for n, c in enumerate(changes)
        ]
        self.assertEqual(done, [ChangeOutcome.ACCEPTED, ChangeOutcome.REFUSED])
        self.assertEqual(
            (shard.state.revision, shard.accepted_revision("0a"), shard.accepted_revision("0b")), (5, 5, None)
        )

    def test_a_dump_restores_the_shard(self) -> None:
        shard = ConfigShard()
        shard.apply(
            3, config_shard.encode_command(config_shard.Command.CHANGE, ConfigChange(0, 5, b"{}", "0a"))
        )
        shard.apply(
            4, config_shard.encode_command(config_shard.Command.PLACE, Placement("batch-0", ["a"], True))
        )
        other = ConfigShard()
        other.restore(shard.dump())
        self.assertEqual(other.dump(), shard.dump())
        self.assertEqual(other.placement("batch-0"), ("a",))


class Workers(unittest.TestCase):
    def setUp(self) -> None:
        self.shard = WorkerShard()

    def put(self, index: int, name: str, sequence: int = 1, state: str = "ready") -> bool:
        worker = Worker(id=name, service="s", address="1:1", state=state, sequence=sequence)
        return self.shard.apply(index, worker_shard.encode_put(worker))

    def remove(self, index: int, name: str, silent: bool = False) -> bool:
        kind = worker_shard.Command.EXPIRE if silent else worker_shard.Command.REMOVE
        return self.shard.apply(index, worker_shard.encode_removal(kind, name))

    def test_late_heartbeat_does_not_undo_a_newer_one(self) -> None:
        self.put(1, "a", 5, "draining")
        self.assertFalse(self.put(2, "a", 4, "ready"))
        self.assertEqual(self.shard.workers["a"].state, "draining")

    def test_deregistered_worker_never_returns_but_a_silent_one_may(self) -> None:
        self.put(1, "a")
        self.remove(2, "a")
        self.assertFalse(self.put(3, "a", 9))
        self.put(4, "b")
        self.remove(5, "b", silent=True)
        self.assertTrue(self.put(6, "b", 2))

    def test_deltas_contain_newer_changes_and_lead_to_the_same_view(self) -> None:
        view = ControlStateView()
        for index in range(1, 40):
            name = f"w{index % 7}"
            if index % 5:
                self.put(index, name, index)
            else:
                self.remove(index, name, silent=True)
            if index % 3 == 0:
                delta = self.shard.changes_since("s", view.versions.get("s", 0))
                assert delta is not None
                view.apply(SyncReply(workers=[WorkerDelta().parse(bytes(delta))]))
                self.assertEqual(set(view.all_workers()), set(self.shard.workers))
        self.assertIsNone(self.shard.changes_since("s", self.shard.version))

    def test_reader_too_far_behind_gets_the_complete_table(self) -> None:
        for index in range(1, MAX_KNOWN_REMOVALS + 10):
            self.put(2 * index, f"w{index}")
            self.remove(2 * index + 1, f"w{index}", silent=True)
        self.put(5000, "last")
        delta = self.shard.changes_since("s", 3)
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


class Deregistration(unittest.IsolatedAsyncioTestCase):
    """DELETE requests of workers at a core node that leads one of the two registry shards."""

    LED, OTHER = WORKER_SHARDS

    def setUp(self) -> None:
        self.shards = {name: WorkerShard() for name in WORKER_SHARDS}
        self.committed: list[tuple[str, bytes]] = []
        self.index = 0
        self.core = mock.Mock(workers=self.shards, last_heartbeat_at={})
        self.core.settings.listen = {"control": "10.0.0.1:8166"}
        self.core.leads = lambda group: group == self.LED
        self.core.leader_address = lambda group: "10.0.0.2:7720"
        self.core.is_fresh = lambda: True
        self.core.commit = self.commit
        self.core.remove_worker = functools.partial(Core.remove_worker, self.core)
        self.core.links.to.return_value.call = self.call_other_leader
        self.other_reachable = True
        self.api = ControlApi(self.core)

    async def call_other_leader(self, kind: Kind, body: bytes, within: float) -> Reply:
        """The other shard's leader records a worker's removal."""
        if not self.other_reachable:
            return CALL_FAILED
        end = WorkerEnd().parse(body)
        self.apply(end.shard, worker_shard.encode_removal(worker_shard.Command.REMOVE, end.worker))
        return Reply(Status.OK)

    async def commit(self, group: str, data: bytes) -> bool:
        """Commits immediately."""
        self.committed.append((group, data))
        return self.apply(group, data)

    def apply(self, group: str, data: bytes) -> bool:
        """Applies a command of a group's log."""
        self.index += 1
        return self.shards[group].apply(self.index, data)

    async def deregister(self, worker: str) -> int:
        """Returns the status of a worker's DELETE request."""
        request = mock.Mock(raw_path=f"/-/instances/{worker}")
        return (await self.api._deregister(request, worker)).status

    async def test_repeated_delete_is_committed_once(self) -> None:
        self.apply(self.LED, worker_shard.encode_put(Worker(id="w", service="s", state="draining")))
        self.assertEqual([await self.deregister("w"), await self.deregister("w")], [200, 200])
        self.assertEqual(len(self.committed), 1)
        self.assertTrue(self.shards[self.LED].is_gone("w"))

    async def test_delete_for_the_other_shard_is_redirected_also_when_repeated(self) -> None:
        self.apply(self.OTHER, worker_shard.encode_put(Worker(id="w", service="s", state="draining")))
        self.assertEqual(await self.deregister("w"), 307)
        self.apply(self.OTHER, worker_shard.encode_removal(worker_shard.Command.REMOVE, "w"))
        self.assertEqual(await self.deregister("w"), 307)

    async def test_silent_worker_that_deregisters_never_returns(self) -> None:
        self.apply(self.LED, worker_shard.encode_put(Worker(id="w", service="s", state="ready")))
        self.apply(self.LED, worker_shard.encode_removal(worker_shard.Command.EXPIRE, "w"))
        self.assertEqual(await self.deregister("w"), 200)
        self.assertFalse(
            self.apply(self.LED, worker_shard.encode_put(Worker(id="w", service="s", state="ready")))
        )

    async def test_removal_of_an_unknown_worker_is_recorded_by_all_shards(self) -> None:
        self.assertEqual(await self.deregister("unknown"), 200)
        self.assertEqual(len(self.committed), 1)
        for group in (self.LED, self.OTHER):
            self.assertFalse(self.apply(group, worker_shard.encode_put(Worker(id="unknown", service="s"))))

    async def test_removal_of_an_unknown_worker_is_acknowledged_only_if_all_leaders_record_it(self) -> None:
        self.other_reachable = False
        self.assertEqual(await self.deregister("unknown"), 503)
        self.other_reachable = True
        self.core.is_fresh = lambda: False
        self.assertEqual(await self.deregister("another"), 503)
        self.assertNotIn("another", str(self.committed))


class SlowCommitTest(unittest.IsolatedAsyncioTestCase):
    async def test_sessions_are_gossiped_while_a_commit_hangs(self) -> None:
        core = Core.__new__(Core)
        gossiped, never = mock.Mock(), asyncio.Event()
        core._update_memberships, core._gossip_sessions = mock.Mock(), gossiped  # type: ignore[method-assign]
        core._expire_workers = never.wait  # type: ignore[method-assign,assignment]
        real_sleep = asyncio.sleep

        async def sleep_without_delay(_seconds: float) -> None:
            await real_sleep(0)

        with mock.patch("asyncio.sleep", sleep_without_delay):
            tasks = [
                asyncio.create_task(run)
                for run in (core._maintain_membership_and_sessions(), core._run_maintenance())
            ]
            for _ in range(20):
                await real_sleep(0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertGreater(gossiped.call_count, 5)


class ViewUpdates(unittest.TestCase):
    def test_versions_never_go_back(self) -> None:
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
    def test_sessions_expire_and_older_reports_are_ignored(self) -> None:
        table = Sessions()
        table.renew(10.0, Session(name="a", machine_class="edge", replica="new"))
        table.merge(10.0, [Session(name="a", machine_class="edge", replica="old", age_ms=500)])
        self.assertEqual(table.live_sessions(10.0, "edge")["a"].replica, "new")
        self.assertEqual(table.live_sessions(10.1 + SESSION_TIMEOUT, "edge"), {})
        table.merge(20.0, [Session(name="a", machine_class="edge", age_ms=100)])
        self.assertEqual(set(table.live_sessions(20.0, "edge")), {"a"})

    def test_only_recent_renewals_at_this_node_are_gossiped(self) -> None:
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
        loads = [WorkerLoad("w1", 3, 0, 1), WorkerLoad("\u00e9:8000", 0, 65_535, 0), WorkerLoad("", 1)]
        self.assertEqual(list(unpack_loads(Loads().parse(bytes(pack_loads(loads))))), loads)
        self.assertEqual(list(unpack_loads(Loads())), [])
        self.assertEqual(list(unpack_loads(pack_loads([WorkerLoad("w", 70_000)]))), [WorkerLoad("w", 65_535)])
        self.assertEqual(
            list(unpack_loads(pack_loads([WorkerLoad("a\0b", 1), WorkerLoad("c", 2)]))), [WorkerLoad("c", 2)]
        )

    def test_malformed_loads_are_ignored(self) -> None:
        self.assertEqual(list(unpack_loads(Loads(workers="a\0b", counts=b"\0" * 6))), [])

    def test_load_sums_follow_each_report_and_each_expiry(self) -> None:
        """Compares the sums with a full recount, over random renewals, merges and expiries."""
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
                reported_at = now - session.age_ms / 1000
                table.merge(now, [session])
                if reported_at > latest.get(name, (0.0, []))[0]:
                    latest[name] = (reported_at, loads)
            without = f"edge-{rng.randrange(6)}"
            expected: Counter[tuple[str, str]] = Counter()
            for other, (reported_at, reported_loads) in latest.items():
                if other != without and now - reported_at < SESSION_TIMEOUT:
                    for load in reported_loads:
                        expected[load.worker, "requests"] += load.requests
                        expected[load.worker, "items"] += load.items
                        expected[load.worker, "failing"] += load.failing
            found: Counter[tuple[str, str]] = Counter()
            for load in table.loads(now, without):
                found[load.worker, "requests"] += load.requests
                found[load.worker, "items"] += load.items
                found[load.worker, "failing"] += load.failing
            self.assertEqual(+found, +expected)


def candidate(name: str, zone: str, live: bool = True, active: bool = True) -> PlacementCandidate:
    return PlacementCandidate(name, zone, live, active)


class Placements(unittest.TestCase):
    def test_replicas_are_spread_evenly_over_zones_and_nodes(self) -> None:
        nodes = [candidate(f"n{k}", f"z{k % 4}") for k in range(8)]
        placed = initial_placements([f"s{k}" for k in range(8)], nodes, 3)
        zones = {n.replica: n.zone for n in nodes}
        for replicas in placed.values():
            self.assertEqual(len({zones[r] for r in replicas}), 3)
        loads = [sum(n.replica in r for r in placed.values()) for n in nodes]
        self.assertEqual(set(loads), {3})

    def test_dead_and_retiring_nodes_are_replaced_one_at_a_time(self) -> None:
        nodes = [
            candidate("a", "1", live=False),
            candidate("b", "2", active=False),
            candidate("c", "3"),
            candidate("d", "1"),
            candidate("e", "2"),
        ]
        first_repair = repaired_placements({"s": ("a", "b", "c")}, nodes, 3)["s"]
        self.assertEqual((len(first_repair), len({"a", "b"} & set(first_repair))), (3, 1))
        second_repair = repaired_placements({"s": first_repair}, nodes, 3)["s"]
        self.assertEqual(set(second_repair), {"c", "d", "e"})
        self.assertEqual(repaired_placements({"s": second_repair}, nodes, 3), {})

    def test_no_replica_is_dropped_without_a_replacement(self) -> None:
        nodes = [candidate("a", "1", live=False), candidate("b", "2"), candidate("c", "3")]
        self.assertEqual(repaired_placements({"s": ("a", "b", "c")}, nodes, 3), {})

    def test_missing_replicas_are_added(self) -> None:
        nodes = [candidate("a", "1"), candidate("b", "2"), candidate("c", "3")]
        self.assertEqual(set(repaired_placements({"s": ("a", "b")}, nodes, 3)["s"]), {"a", "b", "c"})


if __name__ == "__main__":
    unittest.main()
