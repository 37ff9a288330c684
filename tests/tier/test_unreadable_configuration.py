"""A dispatcher that is told a configuration which it cannot read, as written by another release."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import ujson

from heronstall.config import node_settings
from heronstall.dataplane.node import DispatcherNode
from heronstall.lab.tier.client import HOST, LOTS, SERVICE, configuration
from heronstall.lab.tier.plan import Plan
from heronstall.transport.messages import SyncReply, Worker, WorkerChange, WorkerDelta


class UnreadableConfigurations(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="heronstall-")
        self.addCleanup(folder.cleanup)
        plan = Plan(Path(folder.name), "127.0.0")
        self.node = DispatcherNode(node_settings(str(plan.write_settings(plan.edges[0], False, {}))))
        self.addAsyncCleanup(self.close)
        self.node.ingress._state_age = lambda: 0.0

    async def close(self) -> None:
        self.node.pool.close()

    def tell(self, revision: int, readable: bool = True) -> None:
        """Tells the dispatcher a configuration, and a worker in the same reply."""
        document: dict[str, Any] = configuration(revision)
        if not readable:
            document["routes"][0]["priority"] = {"level": "high"}
        change = WorkerChange(worker=Worker(id=f"w{revision}", service=SERVICE, state="ready"))
        reply = SyncReply(
            config_version=revision,
            document=ujson.dumps(document).encode(),
            workers=[WorkerDelta(shard="workers-0", version=revision, changes=[change])],
        )
        self.node._apply_changes(self.node.view.apply(reply))

    async def status(self, path: str) -> int:
        request = mock.Mock(raw_path=path, headers={"Host": HOST}, raw_headers=(), method="POST")
        request.read = mock.AsyncMock(return_value=b"")
        return (await self.node.ingress.handle(request)).status

    async def test_the_last_readable_one_stays_in_force_and_the_rest_of_the_reply_is_applied(self) -> None:
        """Guards against a dispatcher that is stuck, or ends, over what another release has written."""
        self.tell(1)
        self.tell(2, readable=False)
        self.assertEqual(self.node.ingress.routes.revision, 1)
        self.assertTrue(self.node.ingress.may_serve)
        self.assertEqual(set(self.node.pool.by_id), {"w1", "w2"})
        self.tell(3)
        self.assertEqual(self.node.ingress.routes.revision, 3)

    async def test_nothing_is_denied_by_a_configuration_that_is_known_to_be_outdated(self) -> None:
        self.tell(1)
        self.assertEqual(await self.status("/none/"), 404)
        self.assertGreater(self.node._complete_until(), float("-inf"))
        self.tell(2, readable=False)
        self.assertEqual(await self.status("/none/"), 503)
        self.assertEqual(self.node._complete_until(), float("-inf"))
        self.tell(3)
        self.assertEqual(await self.status("/none/"), 404)

    async def test_a_dispatcher_that_has_read_none_is_not_ready(self) -> None:
        self.tell(1, readable=False)
        self.assertFalse(self.node.ingress.may_serve)
        with mock.patch("heronstall.dataplane.ingress.CONFIGURATION_WAIT_S", 0.0):
            self.assertEqual(await self.status(f"{LOTS}1"), 503)


if __name__ == "__main__":
    unittest.main()
