"""The tier as real processes: requests and jobs end to end, and acknowledged state after failures."""

from __future__ import annotations

import re
import tempfile
import unittest
from pathlib import Path

from heronstall.distribution.shards import batch_shard
from heronstall.lab.tier.client import HOST, SERVICE, configuration
from heronstall.lab.tier.plan import INTERNAL, drawn
from heronstall.lab.tier.tier import LocalTier
from heronstall.lab.tier.worker import text_of
from heronstall.overview.collector import collect_overview

ITEMS = 6


class Processes(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="heronstall-")
        self.addCleanup(folder.cleanup)
        self.tier = LocalTier(drawn(Path(folder.name)))
        self.addAsyncCleanup(self.tier.stop)
        await self.tier.start()
        self.assertEqual(await self.tier.client.configure(configuration(2), 0), 200)
        await self.tier.client.ready()

    def assert_complete(self, job: str, results: list[dict[str, str]]) -> None:
        """Asserts that each item has one result, which is successful and complete."""
        self.assertEqual({r["id"] for r in results}, {f"{job}-{n}" for n in range(ITEMS)})
        for result in results:
            self.assertEqual((result["state"], result["text"]), ("succeeded", text_of(result["id"])))

    async def test_requests_and_jobs_end_to_end(self) -> None:
        first, second = self.tier.plan.edges
        status, signature, body, _ = await self.tier.client.stream(first, "r1")
        self.assertEqual((status, signature), (200, "sig-r1"))
        self.assertIn("data: r1-5", body)
        self.assertEqual(self.tier.workers[0].runs["r1"], 1)
        self.assertEqual(await self.tier.client.submit(first, "job", ITEMS), 202)
        # The submission is repeated at another dispatcher.
        self.assertEqual(await self.tier.client.submit(second, "job", ITEMS), 202)
        results = await self.tier.client.results(second, "job", ITEMS)
        self.assert_complete("job", results)
        self.assertEqual(await self.tier.client.results(first, "job", ITEMS), results)
        self.assertEqual(await self.tier.client.read_once(first, "none"), 404)
        found = await collect_overview([f"{self.tier.plan.cores[0]}:{INTERNAL}"])
        self.assertEqual(found.problems(), [])
        self.assertEqual((found.revision, found.dispatchers, len(found.control)), (2, 2, 3))
        self.assertEqual([len(shard.replicas) for shard in found.batch], [3, 3])
        self.assertEqual([(s.service, s.ready, s.routes) for s in found.services], [(SERVICE, 1, 2)])

    async def test_each_process_logs_the_duration_of_its_start(self) -> None:
        plan = self.tier.plan
        for role, ips in (("dispatcher", plan.edges), ("control", plan.cores), ("storage", plan.stores)):
            for ip in ips:
                started = re.search(
                    rf"event=started .*role={role} seconds=([0-9.]+)", plan.log(ip).read_text()
                )
                assert started is not None, ip
                self.assertLess(float(started[1]), 20.0)

    async def test_conflicting_and_repeated_configuration_changes(self) -> None:
        # The first change repeats that of the setup.
        self.assertEqual(await self.tier.client.configure(configuration(2), 0), 200)
        self.assertEqual(await self.tier.client.configure(configuration(5), 2), 200)
        self.assertEqual(await self.tier.client.configure(configuration(4), 2), 412)
        self.assertEqual(await self.tier.client.configure(configuration(5, service=""), 5), 400)
        self.assertEqual((await self.tier.client.configured())["revision"], 5)

    async def test_all_stateful_nodes_are_killed_right_after_a_job_is_accepted(self) -> None:
        self.tier.workers[0].pause = 0.05
        self.assertEqual(await self.tier.client.submit(self.tier.plan.edges[0], "job", ITEMS), 202)
        stateful_nodes = [*self.tier.plan.cores, *self.tier.plan.stores]
        for ip in stateful_nodes:
            self.tier.nodes.kill(ip)
        for ip in stateful_nodes:
            self.tier.nodes.run(ip)
        self.assert_complete("job", await self.tier.client.results(self.tier.plan.edges[1], "job", ITEMS))
        self.assertEqual((await self.tier.client.configured())["revision"], 2)

    async def test_each_storage_node_loses_its_disk_right_after_a_job_is_accepted(self) -> None:
        for number, ip in enumerate(self.tier.plan.stores):
            job = f"job{number}"
            self.assertEqual(await self.tier.client.submit(self.tier.plan.edges[0], job, ITEMS), 202)
            self.tier.nodes.kill(ip)
            self.tier.nodes.wipe(ip)
            self.tier.nodes.run(ip)
            await self.tier.nodes.rejoined(ip, batch_shard(HOST))
            for earlier in range(number + 1):
                results = await self.tier.client.results(self.tier.plan.edges[1], f"job{earlier}", ITEMS)
                self.assert_complete(f"job{earlier}", results)

    async def test_core_node_loses_its_disk_and_another_is_killed(self) -> None:
        first, second, _ = self.tier.plan.cores
        self.assertEqual(await self.tier.client.configure(configuration(7), 2), 200)
        self.tier.nodes.kill(first)
        self.tier.nodes.wipe(first)
        self.tier.nodes.run(first)
        await self.tier.nodes.rejoined(first, "config")
        self.assertEqual((await self.tier.client.configured())["revision"], 7)
        self.tier.nodes.kill(second)
        self.tier.nodes.run(second)
        self.assertEqual(await self.tier.client.configure(configuration(9), 7), 200)
        self.assertEqual((await self.tier.client.configured())["revision"], 9)
        await self.tier.client.ready()


if __name__ == "__main__":
    unittest.main()
