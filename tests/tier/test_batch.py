"""Batch jobs: accepted once, results in fixed positions, and the owner's queue."""

from __future__ import annotations

import unittest
from unittest import mock

from heronstall.batch import jobs as batch
from heronstall.batch.items import encode_with_items, set_items, set_stored_items, stored_items
from heronstall.batch.jobs import BatchShard
from heronstall.batch.leases import CLAIM_WINDOW, HOLDER_TIMEOUT, MAX_RETRY_DELAY, RETRY_DELAY, LeaseQueue
from heronstall.transport.messages import BatchItem, BatchJob, Header, ItemResult
from tests.tier.manual_clock import ManualClock

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
    def test_items_survive_encoding(self) -> None:
        original = [
            BatchItem("a", "/p?q", [Header("n", "v"), Header("m", "")], b"\0\xff", 7),
            BatchItem("\u00e9", "/", [], b"", 0),
        ]
        record = BatchJob().parse(bytes(set_items(BatchJob(id="j"), original)))
        decoded = stored_items(record)
        self.assertEqual([item.decode() for item in decoded.values()], original)
        self.assertEqual([(name, item.tokens) for name, item in decoded.items()], [("a", 7), ("\u00e9", 0)])

    def test_a_job_encoded_with_its_items_equals_the_message_librarys_encoding(self) -> None:
        whole = job("j", 5)
        bare = BatchJob().parse(bytes(whole))
        items = stored_items(whole)
        set_stored_items(bare, {})
        self.assertEqual(BatchJob().parse(encode_with_items(bare, items)), whole)
        self.assertEqual(BatchJob().parse(encode_with_items(bare, {})), bare)

    def test_a_job_of_an_earlier_release_is_decoded(self) -> None:
        record = set_items(BatchJob(id="j"), [BatchItem("a", "/p", [], b"b", 7)])
        record.item_ids, record.item_tokens = [], []
        found = stored_items(BatchJob().parse(bytes(record)))
        self.assertEqual([(name, item.tokens) for name, item in found.items()], [("a", 7)])
        self.assertEqual(found["a"].decode().body, b"b")


class ShardCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(NOW)
        self.shard = BatchShard(self.clock, self.clock)
        self.index = 0

    def apply(self, command: bytes) -> bool:
        self.index += 1
        return self.shard.apply(self.index, command)

    def finish(self, name: str, item: str, text: bytes = b"t", succeeded: bool = True) -> None:
        self.apply(batch.encode_results([ItemResult(name, item, succeeded, text)]))


class Jobs(ShardCase):
    def test_a_job_is_accepted_once(self) -> None:
        self.assertTrue(self.apply(batch.encode_accept(job("a"))))
        self.assertFalse(self.apply(batch.encode_accept(job("a"))))
        self.assertEqual(self.shard.waiting_tokens["r"], 300)

    def test_acceptance_is_on_the_clock_in_force_when_the_shard_is_made(self) -> None:
        """Guards against a simulated day whose jobs were accepted on the machine's own clock."""
        accepted = job("a")
        accepted.accepted_unix_ms = int(NOW * 1000)
        for boot_age in (5.0, 1e7):
            with mock.patch("time.monotonic", return_value=boot_age):
                shard = BatchShard(wall_clock=self.clock)
                shard.apply(1, batch.encode_accept(accepted))
            self.assertEqual(shard.jobs["a"].accepted_at, boot_age)

    def test_a_position_never_changes(self) -> None:
        self.apply(batch.encode_accept(job("a")))
        self.finish("a", "a-1", b"first")
        self.finish("a", "a-1", b"second")
        self.finish("a", "a-0")
        self.assertEqual(
            [(r.item, r.text) for r in self.shard.jobs["a"].results], [("a-1", b"first"), ("a-0", b"t")]
        )
        self.assertEqual(self.shard.jobs["a"].total, 3)

    def test_tokens_are_released_once_by_results_and_the_end(self) -> None:
        self.apply(batch.encode_accept(job("a")))
        self.finish("a", "a-0")
        self.assertEqual(self.shard.waiting_tokens["r"], 200)
        self.apply(batch.encode_end("a"))
        self.apply(batch.encode_end("a"))
        self.assertEqual(self.shard.waiting_tokens["r"], 0)
        self.finish("a", "a-1")
        self.assertEqual(self.shard.waiting_tokens["r"], 0)

    def test_results_of_unknown_jobs_and_items_are_ignored(self) -> None:
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

    def test_forgetting_a_finished_job_leaves_nothing(self) -> None:
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

    def take(self, holder: str, count: int) -> list[str]:
        self.leases.record_contact(self.clock.now, holder)
        return [item for _, item, _ in self.leases.lease_items(self.clock.now, holder, count)]

    def test_the_earliest_deadline_is_leased_first(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        self.clock.now += 1
        early = job("b", 1)
        early.completion_ms = 2000
        self.apply(batch.encode_accept(early))
        self.assertEqual(self.take("edge", 5), ["b-0", "a-0"])

    def test_overdue_items_are_leased_last(self) -> None:
        self.apply(batch.encode_accept(job("late", 1)))
        self.clock.now += COMPLETION_MS / 1000
        new = job("new", 1)
        new.accepted_unix_ms = int(self.clock.now * 1000)
        self.apply(batch.encode_accept(new))
        self.assertEqual(self.take("edge", 1), ["new-0"])
        self.assertEqual(self.take("edge", 1), ["late-0"])

    def test_items_of_a_silent_dispatcher_are_requeued(self) -> None:
        self.apply(batch.encode_accept(job("a", 2)))
        self.assertEqual(len(self.take("edge", 2)), 2)
        self.assertEqual(self.take("other", 2), [])
        self.clock.now += HOLDER_TIMEOUT + 0.1
        self.leases.record_contact(self.clock.now, "other")
        self.assertEqual(self.leases.expire_silent_holders(self.clock.now), 2)
        self.assertEqual(len(self.take("other", 2)), 2)

    def test_a_finished_item_is_not_leased_again(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        self.take("edge", 1)
        self.finish("a", "a-0")
        self.leases.return_item("edge", ("a", "a-0"))
        self.assertEqual(self.take("edge", 1), [])

    def test_only_the_holder_can_return_an_item(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        self.take("edge", 1)
        self.leases.return_item("other", ("a", "a-0"))
        self.assertEqual(self.take("other", 1), [])

    def test_items_of_an_ended_job_are_not_leased(self) -> None:
        self.apply(batch.encode_accept(job("a", 2)))
        self.take("edge", 1)
        self.apply(batch.encode_end("a"))
        self.leases.return_item("edge", ("a", "a-0"))
        self.assertEqual(self.take("edge", 2), [])

    def test_a_new_owner_leases_all_open_items(self) -> None:
        self.apply(batch.encode_accept(job("a", 2)))
        self.take("edge", 2)
        self.finish("a", "a-0")
        self.leases.set_ownership(self.clock.now, False)
        self.assertEqual(self.take("edge", 2), [])
        self.leases.set_ownership(self.clock.now, True)
        self.assertEqual(self.take("edge", 2), [])
        self.clock.now += CLAIM_WINDOW
        self.assertEqual(self.take("edge", 2), ["a-1"])

    def test_a_new_owner_accepts_claims_of_running_items(self) -> None:
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

    def test_failures_are_counted_per_item(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        for count in (1, 2, 3):
            self.take("edge", 1)
            self.assertEqual(self.leases.record_failure(self.clock.now, "edge", ("a", "a-0")), count)

    def test_the_retry_delay_grows_with_each_failure(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        self.assertEqual(self.take("edge", 1), ["a-0"])
        for pause in (RETRY_DELAY, 2 * RETRY_DELAY, 4 * RETRY_DELAY, MAX_RETRY_DELAY, MAX_RETRY_DELAY):
            self.leases.record_failure(self.clock.now, "edge", ("a", "a-0"))
            self.clock.now += pause - 0.01
            self.assertEqual(self.leases.resume_paused(self.clock.now), 0)
            self.assertEqual(self.leases.waiting, 0)
            self.clock.now += 0.02
            self.assertEqual(self.take("edge", 1), ["a-0"])

    def test_a_paused_item_can_be_finished_claimed_and_ended(self) -> None:
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

    def test_a_new_owner_has_no_retry_delays(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        self.take("edge", 1)
        self.leases.record_failure(self.clock.now, "edge", ("a", "a-0"))
        self.leases.set_ownership(self.clock.now, True)
        self.clock.now += CLAIM_WINDOW
        self.assertEqual(self.take("edge", 1), ["a-0"])
        self.assertEqual(self.leases.resume_paused(self.clock.now + MAX_RETRY_DELAY), 0)

    def test_a_failure_reported_twice_counts_once(self) -> None:
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

    def test_leases_of_a_lost_reply_are_requeued(self) -> None:
        self.apply(batch.encode_accept(job("a", 3)))
        self.assertTrue(self.leases.begin_call("edge", 1))
        self.assertEqual(self.take("edge", 1), ["a-0"])
        self.assertTrue(self.leases.begin_call("edge", 2))
        self.assertEqual(self.take("edge", 1), ["a-1"])  # the reply is lost
        self.assertTrue(self.leases.begin_call("edge", 3))
        self.assertEqual(self.leases.reclaim_lost_leases("edge", {("a", "a-0")}), 1)
        self.assertEqual(sorted(self.take("other", 3)), ["a-1", "a-2"])
        self.assertEqual(self.leases.reclaim_lost_leases("edge", {("a", "a-0")}), 0)

    def test_a_late_call_is_rejected(self) -> None:
        self.assertTrue(self.leases.begin_call("edge", 2))
        self.assertFalse(self.leases.begin_call("edge", 1))
        self.assertTrue(self.leases.begin_call("edge", 2))  # the same call, first sent to another replica
        self.assertFalse(self.leases.begin_call("edge", 1))
        self.assertTrue(self.leases.begin_call("other", 1))

    def test_a_call_sent_before_a_report_does_not_restart_its_lease(self) -> None:
        key = ("a", "a-0")
        self.apply(batch.encode_accept(job("a", 1)))
        (_, _, former) = self.leases.lease_items(self.clock.now, "edge", 1)[0]
        self.leases.set_ownership(self.clock.now, True, 1)
        self.clock.now += CLAIM_WINDOW
        for lease_number in (former, None):  # of a former owner, then of this one
            lease_number = lease_number or self.leases.lease_items(self.clock.now, "edge", 1)[0].lease_number
            self.leases.claim(self.clock.now, "edge", {key: lease_number})
            failures = self.leases.record_failure(self.clock.now, "edge", key, lease_number)
            self.leases.claim(self.clock.now, "edge", {key: lease_number})
            self.clock.now += MAX_RETRY_DELAY
            self.assertEqual(self.leases.resume_paused(self.clock.now), 1)
            self.assertEqual(self.leases.waiting, 1)
            self.assertEqual(self.leases.record_failure(self.clock.now, "edge", key, lease_number), failures)
        self.assertEqual(failures, 2)

    def test_a_failure_of_an_expired_lease_counts(self) -> None:
        self.apply(batch.encode_accept(job("a", 1)))
        self.leases.record_contact(self.clock.now, "edge")
        (_, _, first) = self.leases.lease_items(self.clock.now, "edge", 1)[0]
        self.clock.now += HOLDER_TIMEOUT + 0.1
        self.assertEqual(self.leases.expire_silent_holders(self.clock.now), 1)
        self.assertEqual(self.leases.record_failure(self.clock.now, "edge", ("a", "a-0"), first), 1)
        self.assertEqual(self.leases.waiting, 1)

    def test_a_reply_exceeds_its_byte_limit_by_at_most_one_item(self) -> None:
        self.apply(batch.encode_accept(job("a", 4)))
        size = len(self.shard.jobs["a"].open_items["a-0"].encoded)
        self.assertGreater(size, 0)
        self.assertEqual(len(self.leases.lease_items(self.clock.now, "edge", 4, size + 1)), 2)
        self.assertEqual(len(self.leases.lease_items(self.clock.now, "edge", 4, 1)), 1)

    def test_lease_numbers_increase_with_the_owners_term(self) -> None:
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
