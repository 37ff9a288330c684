"""What `heronstall ctl status` sees of nodes of our own that answer by the internal protocol."""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock

import ujson
from click.testing import CliRunner, Result

from heronstall.cli.ctl import ctl
from heronstall.overview import collector
from heronstall.overview.state import (
    BatchShardView,
    ControlNode,
    NodeState,
    Overview,
    ReplicaView,
    ServiceView,
    service_views,
)
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import LinkServer, Reply
from heronstall.transport.messages import (
    Hint,
    Placement,
    ReadRequest,
    SyncReply,
    SyncRequest,
    Worker,
    WorkerChange,
    WorkerDelta,
)

CORE, OTHER_CORE, OWNER, FOLLOWER = (f"127.77.5.{k}:7720" for k in range(1, 5))
DOCUMENT = {"revision": 4, "routes": [{"name": "a", "service": "s"}, {"name": "b", "service": "t"}]}


def told() -> SyncReply:
    """What a core node in touch says."""
    worker = Worker(id="w", service="s", address="127.0.0.1:1", state="ready", capacity=8)
    return SyncReply(
        config_version=9,
        document=ujson.dumps(DOCUMENT).encode(),
        placement_version=3,
        placements=[Placement("batch-0", [f"{OWNER}#1", f"{FOLLOWER}#2"])],
        workers=[WorkerDelta("workers-0", 5, True, [WorkerChange(version=5, worker=worker, id="w")])],
        control=[CORE, OTHER_CORE],
        edges=2,
    )


class Nodes:
    """Nodes at loopback addresses; those that are left out are silent."""

    def __init__(self, **answers: Callable[[Kind, bytes], Reply]) -> None:
        self._answers = answers
        self._servers: list[LinkServer] = []
        self.asked: list[Kind] = []

    async def __aenter__(self) -> Nodes:
        for name, answer in self._answers.items():

            async def serve(kind: Kind, body: bytes, answer: Any = answer) -> Reply:
                self.asked.append(kind)
                return Reply(*answer(kind, body))

            server = LinkServer(serve, lambda kind, body: None)
            host, _, port = globals()[name].rpartition(":")
            await server.listen(host, int(port))
            self._servers.append(server)
        return self

    async def __aexit__(self, *_: object) -> None:
        for server in self._servers:
            server.close()


def core(kind: Kind, body: bytes) -> Reply:
    """A core node in touch; it must be asked as an operator."""
    assert SyncRequest().parse(body).session.machine_class == "operator"
    return Reply(Status.OK, bytes(told()))


def unsure(kind: Kind, body: bytes) -> Reply:
    """A node that is cut off."""
    return Reply(Status.UNSURE)


def owner(kind: Kind, body: bytes) -> Reply:
    """The owner of each shard: it knows that there is no such job."""
    assert not ReadRequest().parse(body).job
    return Reply(Status.UNKNOWN)


def follower(kind: Kind, body: bytes) -> Reply:
    """A replica that names the owner."""
    return Reply(Status.NOT_OWNER, bytes(Hint(f"{OWNER}#1")))


class Asking(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        for name, value in (("ROUND_DELAY_S", 0.0), ("REPLY_TIMEOUT_S", 0.4)):
            patch = mock.patch.object(collector, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    async def test_all_that_is_well(self) -> None:
        async with Nodes(CORE=core, OTHER_CORE=core, OWNER=owner, FOLLOWER=follower) as nodes:
            seen = await collector.collect_overview([CORE])
        self.assertEqual((seen.revision, seen.dispatchers), (4, 2))
        self.assertEqual([node.state for node in seen.control], [NodeState.FINE] * 2)
        self.assertEqual(seen.control[0].versions, {"config": 9, "placement": 3, "workers-0": 5})
        self.assertEqual([replica.owner for replica in seen.batch[0].replicas], [True, False])
        self.assertEqual(seen.services, [ServiceView("s", 1, 0, 8, 1), ServiceView("t", routes=1)])
        self.assertEqual(seen.problems(), ["service t has 1 routes and no ready worker"])
        self.assertEqual(set(nodes.asked), {Kind.SYNC, Kind.READ})  # nothing that changes anything

    async def test_silent_nodes_and_nodes_out_of_touch_are_named(self) -> None:
        async with Nodes(CORE=core, OTHER_CORE=unsure, FOLLOWER=follower):
            problems = (await collector.collect_overview([OTHER_CORE, CORE])).problems()
        self.assertIn(f"core node {OTHER_CORE} is out of touch", problems)
        self.assertIn("1 of 2 core nodes are in touch: no majority", problems)
        self.assertIn("batch-0 has no owner", problems)
        self.assertIn(f"batch-0: replica {OWNER}#1 is silent", problems)

    async def test_an_owner_that_comes_back_within_the_rounds_is_seen(self) -> None:
        """An owner that stood still for longer than its lease leaves its shard without one for a moment."""
        answers = iter([follower, owner])

        def returning(kind: Kind, body: bytes) -> Reply:
            return next(answers, owner)(kind, body)

        async with Nodes(CORE=core, OTHER_CORE=core, OWNER=returning, FOLLOWER=follower):
            seen = await collector.collect_overview([CORE])
        self.assertEqual([replica.owner for replica in seen.batch[0].replicas], [True, False])

    async def test_no_node_in_touch_is_said(self) -> None:
        async with Nodes(CORE=unsure):
            with self.assertRaisesRegex(collector.NoCoreNodeError, CORE):
                await collector.collect_overview([CORE, OTHER_CORE])


class Judgement(unittest.TestCase):
    def test_nothing_known_is_nothing_well(self) -> None:
        problems = Overview().problems()
        for text in ("no majority", "no configuration", "no dispatcher"):
            self.assertTrue(any(text in problem for problem in problems), text)

    def test_two_owners_are_said(self) -> None:
        replicas = [ReplicaView(name, NodeState.FINE, owner=True) for name in ("a#1", "b#1")]
        seen = Overview(batch=[BatchShardView("batch-0", replicas), BatchShardView("batch-1", [])])
        self.assertIn("batch-0: a#1, b#1 say that they own it", seen.problems())
        self.assertIn("batch-1 has no replicas", seen.problems())

    def test_services_are_counted_by_routes_and_workers(self) -> None:
        split = [{"service": "s", "weight": 1}, {"service": "s", "weight": 2}, {"service": "t", "weight": 0}]
        document = {"routes": [{"traffic_split": split}, {"service": "s"}]}
        workers = [("s", "ready", 4), ("s", "draining", 4), ("u", "ready", 2)]
        wanted = [ServiceView("s", 1, 1, 4, 2), ServiceView("t", routes=1), ServiceView("u", 1, 0, 2)]
        self.assertEqual(service_views(document, workers), wanted)


class CommandLine(unittest.TestCase):
    def run_status(self, seen: Callable[[Any], Coroutine[Any, Any, Overview]], *words: str) -> Result:
        """Run `heronstall ctl status` on what was seen."""
        with mock.patch.object(collector, "collect_overview", seen):
            return CliRunner().invoke(ctl, ["status", *words])

    @staticmethod
    async def well(_addresses: object) -> Overview:
        """A tier without problems."""
        shard = BatchShardView("batch-0", [ReplicaView("a:1#1", NodeState.FINE, True)])
        control = [ControlNode("c:1", NodeState.FINE, {"config": 3})]
        return Overview(7, 2, control, [shard], [ServiceView("s", 2, 0, 16, 3)])

    @staticmethod
    async def ill(_addresses: object) -> Overview:
        """A tier with a silent core node."""
        return Overview(7, 2, [ControlNode(f"c:{k}", NodeState(s)) for k, s in enumerate(("fine", "silent"))])

    @staticmethod
    async def nobody(_addresses: object) -> Overview:
        """No node answers."""
        raise collector.NoCoreNodeError("c:1")

    def test_a_tier_that_is_well(self) -> None:
        result = self.run_status(self.well, "--node", CORE)
        self.assertEqual(result.exit_code, 0, result.output)
        for text in (
            "revision 7, 2 dispatchers",
            "c:1: fine",
            "a:1#1: owner",
            "2 ready workers with 16 places",
        ):
            self.assertIn(text, result.output)

    def test_problems_end_with_status_1_and_stand_in_the_record(self) -> None:
        result = self.run_status(self.ill, "--node", CORE, "--json")
        self.assertEqual(result.exit_code, 1)
        record = json.loads(result.output.splitlines()[0])
        self.assertIn("core node c:1 is silent", record["problems"])
        self.assertEqual(record["control"][1]["state"], "silent")

    def test_nobody_answers(self) -> None:
        result = self.run_status(self.nobody, "--node", CORE)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("no core node in touch answers at c:1", result.output)

    def test_bad_addresses_are_named(self) -> None:
        for address in ("nowhere", ":7720", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:70000"):
            with self.subTest(address):
                result = self.run_status(self.well, "--node", address)
                self.assertEqual(result.exit_code, 2)
                self.assertIn(address, result.output)


if __name__ == "__main__":
    unittest.main()
