"""The journal on disk: intact slots, truncated tails, holes and failed writes."""

from __future__ import annotations

import contextlib
import os
import random
import shutil
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from heronstall.storage.journal import Journal, decode_records, decode_slot, encode_record, encode_slot


class JournalCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"

    def reopen(self) -> tuple[Journal, tuple[bytes, ...] | None, tuple[bytes, ...]]:
        journal = Journal(self.folder)
        found = journal.recover()
        return journal, found.parts, found.records

    def create(self) -> Journal:
        journal, parts, _ = self.reopen()
        self.assertIsNone(parts)
        journal.write_slot([b"me"])
        return journal

    def test_records_come_back_in_order(self) -> None:
        journal = self.create()
        journal.append([b"one", b"two"])
        journal.append([b"three"])
        journal.sync()
        _, parts, records = self.reopen()
        self.assertEqual((parts, records), ((b"me",), (b"one", b"two", b"three")))

    def test_a_slot_replaces_the_log(self) -> None:
        journal = self.create()
        journal.append([b"old"])
        journal.write_slot([b"me", b"image"])
        journal.append([b"new"])
        journal.sync()
        _, parts, records = self.reopen()
        self.assertEqual((parts, records), ((b"me", b"image"), (b"new",)))
        self.assertEqual(len(list(self.folder.glob("log-*"))), 1)

    def test_a_torn_slot_leaves_the_previous_one_and_its_log_valid(self) -> None:
        journal = self.create()
        journal.append([b"kept"])
        journal.sync()
        (self.folder / "slot-0").write_bytes(encode_slot(2, [b"me", b"image"])[:-3])
        _, parts, records = self.reopen()
        self.assertEqual((parts, records), ((b"me",), (b"kept",)))

    def test_two_damaged_slots_are_reported_as_a_lost_disk(self) -> None:
        journal = self.create()
        journal.write_slot([b"me", b"image"])
        for slot in self.folder.glob("slot-*"):
            slot.write_bytes(b"rubbish")
        found = Journal(self.folder).recover()
        self.assertIsNone(found.parts)
        self.assertTrue(found.damaged)

    def test_a_truncated_tail_ends_the_log_and_new_records_follow_it(self) -> None:
        journal = self.create()
        journal.append([b"one", b"two"])
        journal.sync()
        log = next(self.folder.glob("log-*"))
        log.write_bytes(log.read_bytes()[:-1])
        journal, _, records = self.reopen()
        self.assertEqual(records, (b"one",))
        journal.append([b"next"])
        journal.sync()
        self.assertEqual(self.reopen()[2], (b"one", b"next"))

    def test_a_hole_before_an_intact_record_ends_the_log(self) -> None:
        data = encode_record(b"one") + bytes(len(encode_record(b"gone"))) + encode_record(b"three")
        self.assertEqual(decode_records(data)[0], [b"one"])

    def test_a_failed_write_leaves_the_log_unchanged(self) -> None:
        journal = self.create()
        journal.append([b"one"])
        with mock.patch("os.pwrite", side_effect=OSError(28, "full")), self.assertRaises(OSError):
            journal.append([b"two"])
        journal.append([b"three"])
        journal.sync()
        self.assertEqual(self.reopen()[2], (b"one", b"three"))

    def test_a_slot_is_valid_once_its_log_exists(self) -> None:
        journal = self.create()
        journal.append([b"one"])
        journal.sync()
        (self.folder / "slot-0").write_bytes(encode_slot(2, [b"me", b"image"]))  # its log does not exist
        _, parts, records = self.reopen()
        self.assertEqual((parts, records), ((b"me",), (b"one",)))

    def test_slots_and_records_with_a_flipped_bit_are_rejected(self) -> None:
        rng = random.Random(4)
        slot = encode_slot(7, [b"me", b"image of a group"])
        log = encode_record(b"first record") + encode_record(b"second")
        for _ in range(3000):
            damaged = bytearray(slot)
            damaged[rng.randrange(len(slot))] ^= 1 << rng.randrange(8)
            decoded = decode_slot(bytes(damaged))
            self.assertTrue(decoded is None or decoded[1] == (b"me", b"image of a group"))
            damaged = bytearray(log)
            damaged[rng.randrange(len(log))] ^= 1 << rng.randrange(8)
            records, _ = decode_records(bytes(damaged))
            self.assertEqual(records, [b"first record", b"second"][: len(records)])

    def test_random_bytes_raise_no_error(self) -> None:
        rng = random.Random(5)
        for _ in range(2000):
            data = rng.randbytes(rng.randrange(200))
            decode_slot(data)
            decode_records(data)


class FailingSyscalls:
    """A journal's system calls, some of which fail; a failed sync discards what was not synced."""

    NAMES = ("open", "write", "pwrite", "fsync", "fdatasync", "ftruncate", "unlink")

    def __init__(self, first_failure: int, failure_count: int) -> None:
        self.calls = 0
        self._failing = range(first_failure, first_failure + failure_count)
        self._real = {name: getattr(os, name) for name in self.NAMES}
        self._synced: dict[int, int] = {}  # by descriptor: bytes on disk

    def patches(self) -> list[Any]:
        """Returns the patches that replace the system calls."""
        return [mock.patch(f"os.{name}", self._failing_call(name)) for name in self.NAMES]

    def _failing_call(self, name: str) -> Any:
        def call(*args: Any, **options: Any) -> Any:
            self.calls += 1
            if self.calls in self._failing:
                if name == "fdatasync":
                    self._lose_unsynced(args[0])
                raise OSError(5, f"injected, call {self.calls}: {name}")
            result = self._real[name](*args, **options)
            if name in ("fsync", "fdatasync"):
                self._synced[args[0]] = os.fstat(args[0]).st_size
            elif name == "open":
                self._synced[result] = 0
            return result

        return call

    def _lose_unsynced(self, descriptor: int) -> None:
        """Replaces unsynced bytes by zeros, as a failed sync may, and treats them as synced.

        The system does not report the loss again.
        """
        synced, size = self._synced.get(descriptor, 0), os.fstat(descriptor).st_size
        if size > synced:
            self._real["pwrite"](descriptor, bytes(size - synced), synced)
        self._synced[descriptor] = size


class FailingCalls(JournalCase):
    """Every system call fails once, alone and together with those after it, while a node runs."""

    STEPS, SLOT_EVERY = 14, 4

    def run_node(self, syscalls: FailingSyscalls) -> list[list[bytes]]:
        """Appends, syncs and writes slots as `GroupHost` does.

        Returns the acknowledged records and the others.
        """
        acknowledged: list[bytes] = []
        pending: list[bytes] = []
        with contextlib.ExitStack() as stack:
            journal = self.create()
            for patch in syscalls.patches():
                stack.enter_context(patch)
            for step in range(1, self.STEPS + 1):
                pending.append(b"r%d;" % step)
                with contextlib.suppress(OSError):
                    journal.append(pending)
                    journal.sync()
                    acknowledged += pending
                    pending = []
                if not pending and step % self.SLOT_EVERY == 0:
                    with contextlib.suppress(OSError):
                        journal.write_slot([b"me", b"".join(acknowledged)])
        return [acknowledged, pending]

    def recovered_content(self) -> bytes:
        """Returns what a node finds that starts from these files."""
        _, parts, records = self.reopen()
        assert parts is not None
        return b"".join(parts[1:]) + b"".join(records)

    def test_nothing_acknowledged_is_lost(self) -> None:
        undisturbed = FailingSyscalls(0, 0)
        acknowledged, _ = self.run_node(undisturbed)
        self.assertEqual(len(acknowledged), self.STEPS)
        self.assertGreater(undisturbed.calls, 50)
        for count in (1, 2, 3, 6):
            for first in range(1, undisturbed.calls + 1):
                with self.subTest(first=first, count=count):
                    shutil.rmtree(self.folder)
                    acknowledged, pending = self.run_node(FailingSyscalls(first, count))
                    recovered = self.recovered_content()
                    allowed = [
                        b"".join(acknowledged + pending[:length]) for length in range(len(pending) + 1)
                    ]
                    self.assertIn(recovered, allowed)


if __name__ == "__main__":
    unittest.main()
