"""Limits on the batch items of a dispatcher, and the workers that accept them."""

from __future__ import annotations

import random
import unittest
from collections import Counter, defaultdict

from heronstall.dataplane.admission import Admission
from heronstall.dataplane.item_slots import INITIAL_SLOTS, URGENCY_LIFETIME_S
from heronstall.dataplane.prefixes import NO_SHARED_PREFIX
from heronstall.dataplane.subset import DispatcherPosition, WorkerShare, hash_ring, worker_shares
from heronstall.dataplane.workers import WorkerPool
from heronstall.transport.messages import Worker
from tests.tier.manual_clock import ManualClock

LONG_AFTER = 100.0  # seconds, by which the limit after a start has fully grown


class ItemSlotsCase(unittest.IsolatedAsyncioTestCase):
    """One or more dispatchers with workers of ten slots."""

    def dispatcher(
        self, position: DispatcherPosition, workers: int = 4, capacity: int = 10
    ) -> tuple[WorkerPool, Admission, ManualClock]:
        pool, clock = WorkerPool(), ManualClock(0.0)
        entries = {
            f"w{k}": Worker(id=f"w{k}", service="s", state="ready", capacity=capacity) for k in range(workers)
        }
        pool.update(entries)
        pool.position = position
        admission = Admission(pool, random.Random(3), clock=clock)
        clock.now = LONG_AFTER
        return pool, admission, clock


class Limits(ItemSlotsCase):
    async def test_full_workers_accept_no_items(self) -> None:
        pool, admission, _ = self.dispatcher(DispatcherPosition(1, 1))
        for worker in pool.by_id.values():
            worker.peer_requests = 7  # of 10: fewer slots are free than 1.2 square roots of the capacity
        self.assertFalse(admission.can_start_item("s"))
        self.assertIsNone(admission.pick("s", NO_SHARED_PREFIX, set(), for_item=True))

    async def test_the_limit_grows_after_the_start(self) -> None:
        _, admission, clock = self.dispatcher(DispatcherPosition(1, 1))
        clock.now = 0.0
        self.assertEqual(admission.item_slots.max_running("s"), INITIAL_SLOTS)
        clock.now = 1.0
        self.assertEqual(admission.item_slots.max_running("s"), 7)

    async def test_live_requests_reduce_the_slots_for_items(self) -> None:
        pool, admission, _ = self.dispatcher(DispatcherPosition(1, 1))
        self.assertEqual(
            admission.item_slots.max_running("s"), 24
        )  # of 40, with 1.2 square roots of ten free at each
        for worker in pool.by_id.values():
            worker.peer_requests = 4
        self.assertEqual(admission.item_slots.max_running("s"), 8)
        for worker in pool.by_id.values():
            worker.peer_requests = 30
        self.assertEqual(
            admission.item_slots.max_running("s"), 4, "one slot at each worker, usable as it gets capacity"
        )

    async def test_urgent_items_get_slots_that_are_otherwise_reserved(self) -> None:
        _, admission, clock = self.dispatcher(DispatcherPosition(1, 1))
        relaxed = admission.item_slots.max_running("s")
        limits = []
        for time_left in (0.9, 0.6, 0.4, 0.2, 0.05):
            admission.item_slots.record_lease(time_left, backlog=False)
            limits.append(admission.item_slots.max_running("s"))
        self.assertEqual(limits[0], relaxed)
        self.assertEqual(limits, sorted(limits))
        self.assertGreaterEqual(limits[-1], relaxed + 10)
        admission.item_slots.record_lease(0.9, backlog=True)
        backlog = admission.item_slots.max_running("s")
        self.assertTrue(relaxed + 6 <= backlog < limits[-1], backlog)
        admission.item_slots.record_lease(0.1, backlog=True)
        self.assertEqual(admission.item_slots.max_running("s"), limits[-1])
        clock.now += URGENCY_LIFETIME_S + 0.1
        self.assertEqual(admission.item_slots.max_running("s"), relaxed, "the latest lease has expired")

    async def test_some_items_are_leased_ahead_but_none_without_slots(self) -> None:
        pool, admission, _ = self.dispatcher(DispatcherPosition(1, 1))
        self.assertEqual(admission.max_leased_items("s"), 32)  # 24 slots and 30 % more
        for worker in pool.by_id.values():
            worker.avoid_until = LONG_AFTER + 1
        self.assertEqual(admission.max_leased_items("s"), 0)

    async def test_a_worker_with_one_slot_accepts_an_item_when_idle(self) -> None:
        pool, admission, _ = self.dispatcher(DispatcherPosition(1, 1), workers=1, capacity=1)
        self.assertTrue(admission.can_start_item("s"))
        pool.by_id["w0"].peer_requests = 1
        self.assertFalse(admission.can_start_item("s"))

    async def test_a_dispatcher_without_a_slot_runs_one_item_at_a_nearly_idle_worker(self) -> None:
        pool, admission, _ = self.dispatcher(DispatcherPosition(1, 40), workers=1)  # a fortieth of six slots
        self.assertEqual(admission.item_slots.max_running("s"), 1)
        worker = admission.pick("s", NO_SHARED_PREFIX, set(), for_item=True)
        assert worker is not None
        worker.items, worker.inflight = 1, 1
        self.assertFalse(admission.can_start_item("s"), "one item at a time")
        worker.items, worker.inflight, worker.peer_requests = 0, 0, 5
        self.assertEqual(admission.item_slots.max_running("s"), 0)

    async def test_leased_items_go_elsewhere_while_a_shared_worker_is_unreachable(self) -> None:
        pool, admission, _ = self.dispatcher(DispatcherPosition(1, 4))
        (own,) = pool.worker_shares("s")
        running_before = admission.item_slots.max_running("s")
        for worker in pool.by_id.values():
            worker.peer_requests = 4
        others = [w for name, w in pool.by_id.items() if name != own]
        self.assertFalse(any(admission.item_slots.accepts(w) for w in others))
        pool.by_id[own].avoid_until = LONG_AFTER + 1
        self.assertTrue(all(admission.item_slots.accepts(w) for w in others))
        others[0].items, others[0].inflight = 1, 1
        self.assertFalse(admission.item_slots.accepts(others[0]), "one item at each worker")
        self.assertLess(
            admission.item_slots.max_running("s"), running_before, "no more items are leased for its slots"
        )


class Shares(ItemSlotsCase):
    async def test_dispatchers_together_use_each_slot_once(self) -> None:
        for workers, count, capacity, live in (
            (45, 68, 12, 4.0),
            (6, 7, 32, 9.0),
            (5, 6, 48, 20.0),
            (3, 50, 4, 1.0),
            (7, 2, 10, 0.0),
        ):
            with self.subTest(workers=workers, dispatchers=count):
                running: Counter[str] = Counter()
                for number in range(1, count + 1):
                    pool, admission, _ = self.dispatcher(DispatcherPosition(number, count), workers, capacity)
                    for worker in pool.by_id.values():
                        worker.peer_requests = live
                        while (
                            worker.peer_requests
                            and admission.item_slots.accepts(worker)
                            and worker.items < capacity
                        ):
                            worker.items += 1
                            worker.inflight += 1
                        if pool.worker_shares("s").get(worker.entry.id):
                            running[worker.entry.id] += worker.items
                if live:
                    self.assertEqual(len(running), workers)
                    self.assertLessEqual(max(running.values()) - min(running.values()), 1)

    def test_the_shares_of_all_dispatchers_cover_the_whole_ring(self) -> None:
        for workers, dispatchers in ((45, 68), (6, 7), (600, 350), (1, 9), (9, 1), (36, 36)):
            names = hash_ring(f"i-{k}" for k in range(workers))
            covered: defaultdict[str, float] = defaultdict(float)
            slots: Counter[str] = Counter()
            for number in range(1, dispatchers + 1):
                for name, share in worker_shares(names, DispatcherPosition(number, dispatchers)).items():
                    covered[name] += share.end - share.begin
                    slots[name] += share.slots(7.3)
            with self.subTest(workers=workers, dispatchers=dispatchers):
                self.assertEqual(set(covered), set(names))
                for name in names:
                    self.assertAlmostEqual(covered[name], 1.0)
                    self.assertEqual(slots[name], 7)

    def test_an_unknown_position_has_no_share(self) -> None:
        self.assertEqual(worker_shares(hash_ring(["a", "b"]), DispatcherPosition(0, 4)), {})
        self.assertEqual(worker_shares([], DispatcherPosition(1, 4)), {})

    def test_a_whole_share_has_all_slots(self) -> None:
        self.assertEqual(WorkerShare(0.0, 1.0).slots(11.6), 12)

    async def test_a_new_position_and_a_new_registry_change_the_shares(self) -> None:
        pool, _, _ = self.dispatcher(DispatcherPosition(1, 2))
        first = pool.worker_shares("s")
        pool.position = DispatcherPosition(2, 2)
        second = pool.worker_shares("s")
        self.assertFalse(set(first) & set(second))
        pool.update({"w9": Worker(id="w9", service="s", state="ready", capacity=4)})
        self.assertEqual(set(pool.worker_shares("s")), {"w9"})


if __name__ == "__main__":
    unittest.main()
