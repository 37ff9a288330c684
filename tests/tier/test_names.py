"""Decisions depend on observations, not on names.

Workers and shared segments are placed by hashes of their names, so other names give other, equally even
placements; the tests of the planner and of the shares cover that. Nothing else may depend on a name.
"""

from __future__ import annotations

import json
import random
import unittest
from collections.abc import Callable

from heronstall.dataplane.admission import Admission
from heronstall.dataplane.misses import EndedRequest, miss_reason
from heronstall.dataplane.prefixes import NO_SHARED_PREFIX, parse_shared_prefix
from heronstall.dataplane.subset import DispatcherPosition
from heronstall.dataplane.workers import WorkerPool
from heronstall.routing.reading import parse_routes
from heronstall.sessions.loads import WorkerLoad
from heronstall.transport.messages import Worker
from tests.tier.test_misses import attempt, ended

WORKERS, CAPACITY = 12, 8
Rename = Callable[[str], str]


def unchanged(name: str) -> str:
    return name


def replaced(name: str) -> str:
    return f"quite-another-{name[::-1]}"


def configuration(rename: Rename) -> bytes:
    kinds = (("quick", "streaming", 200, 0), ("slow", "streaming", 500, 1), ("lots", "batch", 400, 2))
    routes = [
        {
            "name": rename(name),
            "hostname": f"{rename(name)}.example",
            "path_prefix": f"/{rename(name)}/",
            "route_type": kind,
            "timeout_ms": 4000,
            "target_latency_ms": aim,
            "priority": priority,
            "service": rename("lm"),
            "resumable": True,
            "gap_aim_ms": 250,
        }
        for name, kind, aim, priority in kinds
    ]
    return json.dumps({"revision": 3, "routes": routes, "services": [{"name": rename("lm")}]}).encode()


class Names(unittest.IsolatedAsyncioTestCase):
    def picked(self, rename: Rename) -> list[str]:
        """Returns the workers of a series of selections; their names are not changed."""
        pool = WorkerPool()
        pool.update(
            {
                f"i-{k}": Worker(
                    id=f"i-{k}",
                    service=rename("lm"),
                    state="ready",
                    capacity=CAPACITY,
                    zone=rename(f"z{k % 3}"),
                )
                for k in range(WORKERS)
            }
        )
        pool.position = DispatcherPosition(2, 5)
        admission = Admission(pool, random.Random(7), rename("z1"), clock=lambda: 100.0)
        admission.item_slots.started_at = 0.0
        pool.update_peer_loads({f"i-{k}": WorkerLoad(f"i-{k}", k % 5, k % 3) for k in range(WORKERS)})
        prompts = (
            NO_SHARED_PREFIX,
            parse_shared_prefix("aa:9000,bb:100"),
            NO_SHARED_PREFIX,
            parse_shared_prefix("cc:300,dd:100"),
        )
        selected = []
        for number in range(200):
            worker = admission.pick(rename("lm"), prompts[number % 4], set(), for_item=number % 4 == 2)
            selected.append(worker.entry.id if worker else "none")
            if worker is not None:
                admission.record_sent(worker)
                admission.record_first_event(worker, 500, 0.05 * (number % 7))
            if number % 3 == 0 and worker is not None:
                admission.record_finished(worker, number % 9 != 0)
        return [*selected, str(admission.max_leased_items(rename("lm")))]

    async def test_selections_are_the_same_with_other_names_of_services_and_zones(self) -> None:
        self.assertEqual(self.picked(unchanged), self.picked(replaced))
        self.assertGreater(len(set(self.picked(unchanged))), 6, "the selections differ")

    def test_routes_with_other_names_are_equivalent(self) -> None:
        plain, other = parse_routes(configuration(unchanged)), parse_routes(configuration(replaced))
        for name in ("quick", "slow", "lots"):
            one = plain.find(f"{name}.example", f"/{name}/x")
            two = other.find(f"{replaced(name)}.example", f"/{replaced(name)}/x")
            assert one is not None and two is not None
            with self.subTest(route=name):
                self.assertEqual((one.type, one.target_latency), (two.type, two.target_latency))
                if name != "lots":
                    self.assertEqual(plain.is_deferrable(one), other.is_deferrable(two))

    def test_the_reason_of_a_miss_is_independent_of_names(self) -> None:
        for request in (ended(attempt(0.1, 0.5)), ended(status=503), ended(attempt(0.0, 0.1, gap=0.9))):
            named = EndedRequest(**{**request.__dict__, "request_id": "another"})
            self.assertIs(miss_reason(request, 1001.0), miss_reason(named, 1001.0))


if __name__ == "__main__":
    unittest.main()
