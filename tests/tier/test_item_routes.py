"""Batch items whose route a dispatcher does not know: given up only once a newer configuration lacks it.

A dispatcher in virtual time pulls from simulated control nodes, which may stand still or lag behind.
"""

from __future__ import annotations

import asyncio
import math
import tempfile
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

import ujson

from heronstall.batch.outcomes import Outcome
from heronstall.config import NodeSettings, node_settings
from heronstall.dataplane.batch_runner import VIEW_UPDATE_TIMEOUT_S
from heronstall.dataplane.item_attempts import RunningItem
from heronstall.dataplane.node import DispatcherNode
from heronstall.distribution.freshness import MAX_STATE_STALENESS
from heronstall.lab.tier.client import HOST, LOTS, configuration
from heronstall.lab.tier.plan import Plan
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import CALL_FAILED, Reply
from heronstall.transport.messages import BatchItem, LeasedItem, SyncReply, SyncRequest
from heronstall.transport.pulling import ANSWER_TIMEOUT, HEDGE_DELAY, POLL_HOLD
from tests.tier.virtual_loop import START, run_virtually

SHARD = "batch-0"
ROUTE = "lots"
CONTROL_NODES = ("core-1", "core-2", "core-3")
HELD_CALL_STEP = 0.005  # seconds between checks for a newer configuration
SETTLED = 4.0  # seconds from a change until all dispatchers know it


@dataclass(frozen=True)
class Change:
    """A configuration that is committed."""

    at: float  # seconds after the start
    has_route: bool


@dataclass
class ControlNode:
    """A control node that answers pulls."""

    changes: list[Change]
    lag: float = 0.0  # seconds by which its state is behind
    delay: float = 0.0  # seconds that a call and its answer travel together
    frozen_from: float = math.inf  # seconds after the start

    async def call(self, kind: Kind, body: bytes, timeout_seconds: float) -> Reply:
        """Answers a pull as a core node does; other calls fail."""
        try:
            async with asyncio.timeout(timeout_seconds):
                if kind is Kind.SYNC:
                    return await self._sync(SyncRequest().parse(body))
                await asyncio.Event().wait()
        except TimeoutError:
            pass
        return CALL_FAILED

    def disconnect(self) -> None:
        """Does nothing: there is no connection."""

    async def _sync(self, request: SyncRequest) -> Reply:
        await asyncio.sleep(self.delay)
        known = next((v.version for v in request.versions if v.shard == "config"), 0)
        deadline = _now() + request.wait_ms / 1000
        while self._version() <= known and _now() < deadline:
            await asyncio.sleep(HELD_CALL_STEP)
        if _now() >= self.frozen_from:
            await asyncio.Event().wait()
        version = self._version()
        reply = SyncReply(config_version=version, control=list(CONTROL_NODES))
        if version > known:
            reply.document = _document(version, self.changes[version - 1].has_route)
        return Reply(Status.OK, bytes(reply))

    def _version(self) -> int:
        return sum(change.at <= _now() - self.lag for change in self.changes)


def _now() -> float:
    """Returns the virtual time since the start in seconds."""
    return time.monotonic() - START


def _document(revision: int, has_route: bool) -> bytes:
    document = configuration(revision)
    document["routes"] = [r for r in document["routes"] if has_route or r["name"] != ROUTE]
    return ujson.dumps(document).encode()


@dataclass(frozen=True)
class Decision:
    """What a dispatcher did with an item."""

    outcome: Outcome
    after: float  # seconds from the lease


class ItemRoutes(unittest.TestCase):
    def settings(self) -> NodeSettings:
        folder = tempfile.TemporaryDirectory(prefix="heronstall-")
        self.addCleanup(folder.cleanup)
        plan = Plan(Path(folder.name), "127.0.0")
        return node_settings(str(plan.write_settings(plan.edges[0], False, {})))

    def decide(
        self,
        changes: list[Change],
        leased_at: float,
        faults: Callable[[dict[str, ControlNode]], None] = lambda nodes: None,
        started_at: float = 0.0,
    ) -> Decision:
        """Returns what a dispatcher decides on an item that it leases; a worker would complete it at once.

        The dispatcher pulls from the first control node while that one answers.
        """
        nodes = {name: ControlNode(changes) for name in CONTROL_NODES}
        faults(nodes)
        settings = self.settings()

        async def play() -> Decision:
            await asyncio.sleep(started_at)
            node = DispatcherNode(settings)
            node.links.to = lambda address: nodes[address]  # type: ignore[assignment, method-assign, return-value]
            node.puller._seeds, node.puller._preferred_node = list(CONTROL_NODES), CONTROL_NODES[0]
            runner = node.runner
            runner._poll = mock.AsyncMock()  # type: ignore[method-assign]
            runner._attempts.make = mock.AsyncMock(return_value=Outcome.DONE)  # type: ignore[method-assign]
            runner._polled_at[SHARD] = math.inf
            node.admission.pick = mock.Mock()  # type: ignore[method-assign]
            pulling = asyncio.create_task(node.puller.run())
            await asyncio.sleep(leased_at - _now())
            leased = LeasedItem(job="j", host=HOST, route=ROUTE)
            request = BatchItem(id="i", path=f"{LOTS}1")
            item = RunningItem(leased, request, SHARD, leased_at=time.monotonic())
            outcome = await runner._run_attempts(item)
            pulling.cancel()
            return Decision(outcome, _now() - leased_at)

        return run_virtually(play())

    def test_item_is_not_given_up_while_a_frozen_control_node_withholds_its_route(self) -> None:
        """Guards against items of an accepted job listed as dead_letter by a dispatcher that is behind.

        The route is removed and added again while the control node that the dispatcher pulls from stands
        still; a dispatcher that knows the new configuration has accepted the job.
        """
        added_at = 2 * SETTLED
        changes = [Change(0.0, True), Change(SETTLED, False), Change(added_at, True)]
        for leased_after in (0.01, 0.06, 0.3, 0.8):
            for frozen_before in (0.01, 0.2, 0.5):

                def freeze(nodes: dict[str, ControlNode], before: float = frozen_before) -> None:
                    nodes[CONTROL_NODES[0]].frozen_from = added_at - before

                with self.subTest(leased_after=leased_after, frozen_before=frozen_before):
                    decision = self.decide(changes, added_at + leased_after, freeze)
                    self.assertIs(decision.outcome, Outcome.DONE)
                    self.assertLess(decision.after, POLL_HOLD + 2 * HEDGE_DELAY)

    def test_item_is_not_given_up_by_a_removal_that_arrives_after_the_route_was_added_again(self) -> None:
        """Guards against the same loss where removal and addition follow each other quickly.

        A control node that lags as far as it may still shows the removal to a dispatcher that leases an item
        of the route added again.
        """
        removed_at, added_at = SETTLED, SETTLED + 0.2

        def lag(nodes: dict[str, ControlNode]) -> None:
            for node in nodes.values():
                node.lag = 0.9 * MAX_STATE_STALENESS

        changes = [Change(0.0, True), Change(removed_at, False), Change(added_at, True)]
        for leased_after in (0.01, 0.1, 0.3, 0.5):
            with self.subTest(leased_after=leased_after):
                decision = self.decide(changes, added_at + leased_after, lag)
                self.assertIs(decision.outcome, Outcome.DONE)

    def test_item_of_a_removed_route_is_given_up_once_a_newer_configuration_shows_it(self) -> None:
        """Also over slow links: the item is not returned, leased and returned again without end."""
        changes = [Change(0.0, True), Change(SETTLED, False)]
        for delay in (0.0, 0.05, 0.2):
            for leased_after in (-0.5, 0.4, 2.0, 2.3, 9.0):

                def slow(nodes: dict[str, ControlNode], seconds: float = delay) -> None:
                    for node in nodes.values():
                        node.delay = seconds

                with self.subTest(leased_after=leased_after, delay=delay):
                    decision = self.decide(changes, SETTLED + leased_after, slow)
                    if leased_after < 0:
                        self.assertIs(decision.outcome, Outcome.DONE)
                        continue
                    self.assertIs(decision.outcome, Outcome.ROUTE_GONE)
                    self.assertGreaterEqual(decision.after, MAX_STATE_STALENESS)
                    longest = MAX_STATE_STALENESS + 2 * (POLL_HOLD + delay + HELD_CALL_STEP)
                    self.assertLess(decision.after, longest)

    def test_a_dispatcher_that_starts_after_the_removal_gives_the_item_up_too(self) -> None:
        changes = [Change(0.0, True), Change(1.0, False)]
        decision = self.decide(changes, leased_at=SETTLED + 1.0, started_at=SETTLED)
        self.assertIs(decision.outcome, Outcome.ROUTE_GONE)

    def test_item_is_returned_by_a_dispatcher_whose_configuration_stays_old(self) -> None:
        def freeze_all(nodes: dict[str, ControlNode]) -> None:
            for node in nodes.values():
                node.frozen_from = SETTLED + 1.0

        changes = [Change(0.0, True), Change(SETTLED, False), Change(SETTLED + 1.5, True)]
        decision = self.decide(changes, SETTLED + 2.0, freeze_all)
        self.assertIs(decision.outcome, Outcome.RETURNED)
        self.assertLess(decision.after, VIEW_UPDATE_TIMEOUT_S + 0.1)

    def test_an_item_is_held_for_longer_than_any_pull_takes(self) -> None:
        self.assertLess(POLL_HOLD + ANSWER_TIMEOUT, VIEW_UPDATE_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
