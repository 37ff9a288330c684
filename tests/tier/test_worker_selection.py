"""Selections among many workers compare some of them, with the same preferences as among all."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from heronstall.dataplane import worker_selection
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.prefixes import NO_SHARED_PREFIX, SharedPrefix, parse_shared_prefix
from heronstall.dataplane.subset import MIN_SUBSET_SIZE, DispatcherPosition
from heronstall.dataplane.workers import MAX_HOME_WORKERS, WorkerPool
from heronstall.placement.prefill import affinity
from heronstall.transport.messages import Worker

SERVICE = "s"
CAPACITY = 12
MANY = 200
SELECTIONS = 4000
TOLERANCE = 5  # standard deviations of a share of the selections


class WorkerSelection(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = WorkerPool()
        self.now = 100.0
        self.admission = Admission(self.pool, random.Random(5), "z", lambda: self.now)

    def workers(self, count: int, position: DispatcherPosition | None = None) -> None:
        names = [f"i-{k:05d}" for k in range(count)]
        self.pool.update({n: Worker(id=n, service=SERVICE, state="ready", capacity=CAPACITY) for n in names})
        self.pool.position = position or DispatcherPosition()

    def select_often(self, prefix: SharedPrefix = NO_SHARED_PREFIX, times: int = SELECTIONS) -> Counter[str]:
        found: Counter[str] = Counter()
        for _ in range(times):
            worker = self.admission.pick(SERVICE, prefix, set())
            assert worker is not None
            found[worker.entry.id] += 1
        return found

    def shares_by_load(self, found: Counter[str]) -> dict[float, float]:
        shares: Counter[float] = Counter()
        for name, count in found.items():
            shares[self.pool.by_id[name].peer_requests] += count
        return {load: count / found.total() for load, count in shares.items()}

    def test_a_partial_set_is_weighted_by_load_like_the_whole_set(self) -> None:
        self.workers(MANY)
        for number, worker in enumerate(self.pool.by_id.values()):
            worker.peer_requests = (0.0, 4.0, 8.0, 11.0)[number % 4]
        partial = self.shares_by_load(self.select_often())
        original, worker_selection.MAX_COMPARED_WORKERS = worker_selection.MAX_COMPARED_WORKERS, MANY
        self.addCleanup(setattr, worker_selection, "MAX_COMPARED_WORKERS", original)
        complete = self.shares_by_load(self.select_often())
        worker_selection.MAX_COMPARED_WORKERS = original
        deviation = (0.25 / SELECTIONS) ** 0.5  # of a share, upper bound
        for load, share in complete.items():
            self.assertLess(abs(partial[load] - share), 2**0.5 * TOLERANCE * deviation, (complete, partial))

    def test_every_worker_may_be_selected(self) -> None:
        self.workers(MANY)
        self.assertEqual(len(self.select_often(times=60 * MANY)), MANY)

    def test_the_subset_of_a_dispatcher_is_always_compared(self) -> None:
        self.workers(MANY, DispatcherPosition(3, 100))
        found = self.select_often(times=600)
        subset = [name for name, _ in found.most_common(MIN_SUBSET_SIZE)]
        # The share of the subset, whose weight is relative to that of all workers together.
        weight = (
            MIN_SUBSET_SIZE
            * worker_selection.SUBSET_WEIGHT
            / (MIN_SUBSET_SIZE * worker_selection.SUBSET_WEIGHT + 1)
        )
        deviation = (weight * (1 - weight) / 600) ** 0.5
        self.assertGreater(sum(found[name] for name in subset) / 600, weight - TOLERANCE * deviation)

    def test_a_large_prompt_goes_to_its_home_worker(self) -> None:
        self.workers(MANY)
        prefix = parse_shared_prefix("5c1e07a2:13000,e4402b7d:250")
        home = max(self.pool.by_id, key=lambda name: affinity(prefix.segment, name))
        self.assertGreater(self.select_often(prefix, 300)[home], 240)
        self.assertEqual(self.admission.home_rank(self.pool.by_id[home], prefix), 0)
        last = min(self.pool.by_id, key=lambda name: affinity(prefix.segment, name))
        self.assertEqual(self.admission.home_rank(self.pool.by_id[last], prefix), MAX_HOME_WORKERS)
        self.assertIsNone(self.admission.home_rank(self.pool.by_id[home], NO_SHARED_PREFIX))

    def test_home_workers_follow_the_registry(self) -> None:
        self.workers(MANY)
        prefix = parse_shared_prefix("5c1e07a2:13000,e4402b7d:250")
        first = self.pool.home_workers(SERVICE, prefix.segment)[0]
        entries = {name: worker.entry for name, worker in self.pool.by_id.items() if name != first}
        self.pool.update(entries)
        self.assertNotIn(first, self.pool.home_workers(SERVICE, prefix.segment))

    def test_the_only_healthy_worker_is_found_among_many(self) -> None:
        self.workers(MANY)
        for worker in self.pool.by_id.values():
            worker.avoid_until = self.now + 1
        healthy = self.pool.by_id["i-00123"]
        healthy.avoid_until = 0.0
        self.assertEqual(set(self.select_often(times=20)), {"i-00123"})

    def test_an_item_finds_the_worker_that_accepts_it(self) -> None:
        self.workers(MANY, DispatcherPosition(1, 1))
        for worker in self.pool.by_id.values():
            worker.peer_requests = 2.0 * CAPACITY
        self.pool.by_id["i-00077"].peer_requests = 0.0
        picked = self.admission.pick(SERVICE, NO_SHARED_PREFIX, set(), for_item=True)
        assert picked is not None
        self.assertEqual(picked.entry.id, "i-00077")

    def test_a_worker_is_usable_by_name_only_if_it_is_healthy(self) -> None:
        self.workers(MANY)
        self.assertIsNotNone(self.admission.usable_worker("i-00010", SERVICE))
        self.assertIsNone(self.admission.usable_worker("i-00010", "other"))
        self.assertIsNone(self.admission.usable_worker("i-99999", SERVICE))
        self.pool.by_id["i-00010"].avoid_until = self.now + 1
        self.assertIsNone(self.admission.usable_worker("i-00010", SERVICE))


if __name__ == "__main__":
    unittest.main()
