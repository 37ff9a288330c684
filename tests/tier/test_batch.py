"""Batch jobs: accepted once, results in fixed positions, the queue of the owner."""

from __future__ import annotations

import unittest

from heronstall.batch import jobs as batch
from heronstall.batch.items import encode_with_items, set_items, set_stored_items, stored_items
from heronstall.batch.jobs import BatchShard
from heronstall.batch.leases import CLAIM_WINDOW, HOLDER_TIMEOUT, MAX_RETRY_DELAY, RETRY_DELAY, LeaseQueue
from heronstall.transport.messages import BatchItem, BatchJob, Header, ItemResult

NOW = 1000.0
COMPLETION_MS = 8000


def job(name: str, items: int = 3, route: str = "r") -> BatchJob:
    listed = [BatchItem(id=f"{name}-{k}", path="/p/", body=b"x" * 10, tokens=100) for k in range(items)]
    record = BatchJob(
        id=name,
        route=route,
        host="h",
        accepted_unix_ms=int(NOW * 1000),
        completion_ms=COMPLETION_MS,
        retention_ms=40_000,
        max_attempts=3,
    )
    return set_items(record, listed)


class Items(unittest.TestCase):
    def test_items_come_back_as_they_were(self) -> None:
        given = [
            BatchItem("a", "/p?q", [Header("n", "v"), Header("m", "")], b"\0\xff", 7),
            BatchItem("\u00e9", "/", [], b"", 0),
        ]
        record = BatchJob().parse(bytes(set_items(BatchJob(id="j"), given)))
        found = stored_items(record)
        self.assertEqual([item.decode() for item in found.values()], given)
        self.assertEqual([(name, item.tokens) for name, item in found.items()], [("a", 7), ("\u00e9", 0)])

    def test_encoded_with_its_items_a_job_is_as_the_message_library_has_it(self) -> None:
        whole = job("j", 5)
        bare = BatchJob().parse(bytes(whole))
        items = stored_items(whole)
        set_stored_items(bare, {})
        self.assertEqual(BatchJob().parse(encode_with_items(bare, items)), whole)
        self.assertEqual(BatchJob().parse(encode_with_items(bare, {})), bare)

    def test_a_job_of_an_earlier_release_is_read_too(self) -> None:
        record = set_items(BatchJob(id="j"), [BatchItem("a", "/p", [], b"b", 7)])
        record.item_ids, record.item_tokens = [], []
        found = stored_items(BatchJob().parse(bytes(record)))
        self.assertEqual([(name, item.tokens) for name, item in found.items()], [("a", 7)])
        self.assertEqual(found["a"].decode().body, b"b")


class Clock:
    def __init__(self) -> None:
        self.now = NOW

    def __call__(self) -> float:
        return self.now


class ShardCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.shard = BatchShard(self.clock, self.clock)
        self.index = 0

    def apply(self, command: bytes) -> bool:
        self.index += 1
        return self.shard.apply(self.index, command)

    def finish(self, name: str, item: str, text: bytes = b"t", succeeded: bool = True) -> None:
        self.apply(batch.encode_results([ItemResult(name, item, succeeded, text)]))


class Jobs(ShardCase):
    def test_a_job_is_taken_once(self) -> None:
        self.assertTrue(self.apply(batch.encode_accept(job("a"))))
        self.assertFalse(self.apply(batch.encode_accept(job("a"))))
        self.assertEqual(self.shard.waiting_tokens["r"], 300)

    def test_a_position_never_changes(self) -> None:
        self.apply(batch.encode_accept(job("a")))
        self.finish("a", "a-1", b"first")
        self.finish("a", "a-1", b"second")
        self.finish("a", "a-0")
        self.assertEqual(
            [(r.item, r.text) for r in self.shard.jobs["a"].results], [("a-1", b"first"), ("a-0", b"t")]
        )
        self.assertEqual(self.shard.jobs["a"].total, 3)

    def test_tokens_are_released_by_results_and_by_the_end_once(self) -> None:
        self.apply(batch.encode_accept(job("a")))
        self.finish("a", "a-0")
        self.assertEqual(self.shard.waiting_tokens["r"], 200)
        self.apply(batch.encode_end("a"))
        self.apply(batch.encode_end("a"))
        self.assertEqual(self.shard.waiting_tokens["r"], 0)
        self.finish("a", "a-1")
        self.assertEqual(self.shard.waiting_tokens["r"], 0)

    def test_a_result_of_another_job_or_an_unknown_item_changes_nothing(self) -> None:
        self.apply(batch.encode_accept(job("a")))
        self.finish("b", "a-0")
        self.finish("a", "b-0")
        self.assertEqual(self.shard.jobs["a"].results, [])

    def test_a_dump_restores_jobs_results_ends_and_tokens(self) -> None:
        for name in ("a", "b", "c"):
            self.apply(batch.encode_accept(job(name)))
        self.finish("a", "a-2", b"text")
        self.apply(batch.encode_end("b"))
        other = BatchShard(self.clock, self.clock)
        other.restore(self.shard.dump())
        self.assertEqual(other.jobs["a"].results, self.shard.jobs["a"].results)
        self.assertEqual(other.jobs["a"].total, 3)
        self.assertTrue(other.jobs["b"].ended)
        self.assertEqual(other.waiting_tokens["r"], self.shard.waiting_tokens["r"])
        self.assertEqual(other.dump(), self.shard.dump())

    def test_the_size_counted_returns_to_nothing(self) -> None:
        self.apply(batch.encode_accept(job("a")))
        for k in range(3):
            self.finish("a", f"a-{k}", b"text")
        self.apply(batch.encode_forget(["a"]))
        self.assertEqual(self.shard.jobs, {})
        self.assertEqual(self.shard.waiting_tokens["r"], 0)


class Queue(ShardCase):
    def setUp(self) -> None:
        super().setUp()
        self.leases = LeaseQueue(self.shard)
        self.shard.listener = self.leases
        self.leases.set_ownership(self.clock.now, True)

    def take(self, holder: str, want: int) -> list[str]:
        self.leases.record_contact(self.clock.now, holder)
        return [item for _, item, _ in self.leases.lease_items(self.clock.now, holder, want)]

    def test_the_earliest_deadline_goes_first(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        self.clock.now += 1
        early = job("b", 1)
        early.completion_ms = 2000
        self.apply(batch.encode_accept(early))
        self.assertEqual(self.take("edge", 5), ["b-0", "a-0"])

    def test_what_cannot_be_in_time_gives_way(self) -> None:
        self.apply(batch.encode_accept(job("late", 1)))
        self.clock.now += COMPLETION_MS / 1000
        new = job("new", 1)
        new.accepted_unix_ms = int(self.clock.now * 1000)
        self.apply(batch.encode_accept(new))
        self.assertEqual(self.take("edge", 1), ["new-0"])
        self.assertEqual(self.take("edge", 1), ["late-0"])

    def test_items_of_a_silent_dispatcher_wait_again(self) -> None:
        self.apply(batch.encode_accept(job("a", 2)))
        self.assertEqual(len(self.take("edge", 2)), 2)
        self.assertEqual(self.take("other", 2), [])
        self.clock.now += HOLDER_TIMEOUT + 0.1
        self.leases.record_contact(self.clock.now, "other")
        self.assertEqual(self.leases.expire_silent_holders(self.clock.now), 2)
        self.assertEqual(len(self.take("other", 2)), 2)

    def test_a_listed_item_is_not_given_out_again(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        self.take("edge", 1)
        self.finish("a", "a-0")
        self.leases.return_item("edge", ("a", "a-0"))
        self.assertEqual(self.take("edge", 1), [])

    def test_only_the_holder_gives_back(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        self.take("edge", 1)
        self.leases.return_item("other", ("a", "a-0"))
        self.assertEqual(self.take("other", 1), [])

    def test_an_ended_job_is_not_given_out(self) -> None:
        self.apply(batch.encode_accept(job("a", 2)))
        self.take("edge", 1)
        self.apply(batch.encode_end("a"))
        self.leases.return_item("edge", ("a", "a-0"))
        self.assertEqual(self.take("edge", 2), [])

    def test_a_new_owner_gives_out_all_open_items(self) -> None:
        self.apply(batch.encode_accept(job("a", 2)))
        self.take("edge", 2)
        self.finish("a", "a-0")
        self.leases.set_ownership(self.clock.now, False)
        self.assertEqual(self.take("edge", 2), [])
        self.leases.set_ownership(self.clock.now, True)
        self.assertEqual(self.take("edge", 2), [])
        self.clock.now += CLAIM_WINDOW
        self.assertEqual(self.take("edge", 2), ["a-1"])

    def test_a_new_owner_leaves_items_with_the_dispatchers_that_run_them(self) -> None:
        self.apply(batch.encode_accept(job("a", 3)))
        self.take("edge", 2)
        self.leases.set_ownership(self.clock.now, False)
        self.leases.set_ownership(self.clock.now, True)
        self.leases.claim(self.clock.now, "edge", {("a", "a-0"): 1, ("a", "a-1"): 2, ("a", "unknown"): 3})
        self.leases.claim(self.clock.now, "other", {("a", "a-0"): 1})
        self.clock.now += CLAIM_WINDOW
        self.assertEqual(self.take("other", 3), ["a-2"])
        self.leases.return_item("edge", ("a", "a-0"))
        self.assertEqual(self.take("other", 3), ["a-0"])

    def test_failures_are_counted_an_item(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        for count in (1, 2, 3):
            self.take("edge", 1)
            self.assertEqual(self.leases.record_failure(self.clock.now, "edge", ("a", "a-0")), count)

    def test_an_item_rests_after_a_failure_and_longer_after_each_further_one(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        self.assertEqual(self.take("edge", 1), ["a-0"])
        for pause in (RETRY_DELAY, 2 * RETRY_DELAY, 4 * RETRY_DELAY, MAX_RETRY_DELAY, MAX_RETRY_DELAY):
            self.leases.record_failure(self.clock.now, "edge", ("a", "a-0"))
            self.clock.now += pause - 0.01
            self.assertEqual(self.leases.resume_paused(self.clock.now), 0)
            self.assertEqual(self.leases.waiting, 0)
            self.clock.now += 0.02
            self.assertEqual(self.take("edge", 1), ["a-0"])

    def test_an_item_that_rests_is_given_back_listed_and_claimed_like_one_that_waits(self) -> None:
        self.apply(batch.encode_accept(job("a", 3)))
        self.assertEqual(len(self.take("edge", 3)), 3)
        for item in ("a-0", "a-1", "a-2"):
            self.leases.record_failure(self.clock.now, "edge", ("a", item))
        self.finish("a", "a-0")
        self.leases.claim(self.clock.now, "other", {("a", "a-1"): 9})
        self.clock.now += RETRY_DELAY
        self.assertEqual(self.take("edge", 3), ["a-2"])
        self.leases.record_failure(self.clock.now, "edge", ("a", "a-2"))
        self.apply(batch.encode_end("a"))
        self.clock.now += MAX_RETRY_DELAY
        self.assertEqual(self.leases.resume_paused(self.clock.now), 0)
        self.assertEqual(self.take("edge", 3), [])

    def test_a_new_owner_knows_of_no_pause(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        self.take("edge", 1)
        self.leases.record_failure(self.clock.now, "edge", ("a", "a-0"))
        self.leases.set_ownership(self.clock.now, True)
        self.clock.now += CLAIM_WINDOW
        self.assertEqual(self.take("edge", 1), ["a-0"])
        self.assertEqual(self.leases.resume_paused(self.clock.now + MAX_RETRY_DELAY), 0)

    def test_a_failure_that_is_reported_twice_counts_once(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        (_, _, first) = self.leases.lease_items(self.clock.now, "edge", 1)[0]
        self.assertEqual(self.leases.record_failure(self.clock.now, "edge", ("a", "a-0"), first), 1)
        self.assertEqual(self.leases.record_failure(self.clock.now, "edge", ("a", "a-0"), first), 1)
        self.clock.now += RETRY_DELAY
        (_, _, second) = self.leases.lease_items(self.clock.now, "edge", 1)[0]
        self.assertEqual(self.leases.record_failure(self.clock.now, "edge", ("a", "a-0"), first), 1)
        self.assertEqual(self.leases.record_failure(self.clock.now, "edge", ("a", "a-0"), second), 2)

    def test_a_late_report_does_not_end_a_later_lease(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        (_, _, first) = self.leases.lease_items(self.clock.now, "edge", 1)[0]
        self.assertTrue(self.leases.return_item("edge", ("a", "a-0"), first))
        (_, _, second) = self.leases.lease_items(self.clock.now, "edge", 1)[0]
        self.assertFalse(self.leases.return_item("edge", ("a", "a-0"), first))
        self.assertEqual(self.take("other", 1), [])
        self.assertTrue(self.leases.return_item("edge", ("a", "a-0"), second))

    def test_leases_of_an_answer_that_was_lost_wait_again(self) -> None:
        self.apply(batch.encode_accept(job("a", 3)))
        self.assertTrue(self.leases.begin_call("edge", 1))
        self.assertEqual(self.take("edge", 1), ["a-0"])
        self.assertTrue(self.leases.begin_call("edge", 2))
        self.assertEqual(self.take("edge", 1), ["a-1"])  # lost on its way
        self.assertTrue(self.leases.begin_call("edge", 3))
        self.assertEqual(self.leases.reclaim_lost_leases("edge", {("a", "a-0")}), 1)
        self.assertEqual(sorted(self.take("other", 3)), ["a-1", "a-2"])
        self.assertEqual(self.leases.reclaim_lost_leases("edge", {("a", "a-0")}), 0)

    def test_a_call_that_comes_late_takes_nothing_back(self) -> None:
        self.assertTrue(self.leases.begin_call("edge", 2))
        self.assertFalse(self.leases.begin_call("edge", 1))
        self.assertTrue(self.leases.begin_call("edge", 2))  # the same, sent to another replica first
        self.assertFalse(self.leases.begin_call("edge", 1))
        self.assertTrue(self.leases.begin_call("other", 1))

    def test_a_call_that_was_sent_before_a_report_does_not_begin_its_lease_again(self) -> None:
        key = ("a", "a-0")
        self.apply(batch.encode_accept(job("a", 1)))
        (_, _, former) = self.leases.lease_items(self.clock.now, "edge", 1)[0]
        self.leases.set_ownership(self.clock.now, True, 1)
        self.clock.now += CLAIM_WINDOW
        for number in (former, None):  # of an owner before this one, and of this one
            number = number or self.leases.lease_items(self.clock.now, "edge", 1)[0].lease_number
            self.leases.claim(self.clock.now, "edge", {key: number})
            failures = self.leases.record_failure(self.clock.now, "edge", key, number)
            self.leases.claim(self.clock.now, "edge", {key: number})
            self.clock.now += MAX_RETRY_DELAY
            self.assertEqual(self.leases.resume_paused(self.clock.now), 1)
            self.assertEqual(self.leases.waiting, 1)
            self.assertEqual(self.leases.record_failure(self.clock.now, "edge", key, number), failures)
        self.assertEqual(failures, 2)

    def test_a_failure_of_a_lease_that_has_expired_counts(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        self.leases.record_contact(self.clock.now, "edge")
        (_, _, first) = self.leases.lease_items(self.clock.now, "edge", 1)[0]
        self.clock.now += HOLDER_TIMEOUT + 0.1
        self.assertEqual(self.leases.expire_silent_holders(self.clock.now), 1)
        self.assertEqual(self.leases.record_failure(self.clock.now, "edge", ("a", "a-0"), first), 1)
        self.assertEqual(self.leases.waiting, 1)

    def test_an_answer_holds_no_more_than_so_many_bytes_and_one_item(self) -> None:
        self.apply(batch.encode_accept(job("a", 4)))
        size = len(self.shard.jobs["a"].open_items["a-0"].encoded)
        self.assertGreater(size, 0)
        self.assertEqual(len(self.leases.lease_items(self.clock.now, "edge", 4, size + 1)), 2)
        self.assertEqual(len(self.leases.lease_items(self.clock.now, "edge", 4, 1)), 1)

    def test_lease_numbers_rise_with_the_term_of_the_owner(self) -> None:
        self.apply(batch.encode_accept(job("a", 2)))
        self.leases.set_ownership(self.clock.now, True, 3)
        self.clock.now += CLAIM_WINDOW
        (_, _, former) = self.leases.lease_items(self.clock.now, "edge", 1)[0]
        self.leases.set_ownership(self.clock.now, True, 4)
        self.clock.now += CLAIM_WINDOW
        (_, _, later) = self.leases.lease_items(self.clock.now, "edge", 1)[0]
        self.assertGreater(later, former)


if __name__ == "__main__":
    unittest.main()
