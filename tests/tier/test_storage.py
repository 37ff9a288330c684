"""The journal on disk: whole slots, cut tails, holes, refused writes."""

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

    def opened(self) -> tuple[Journal, tuple[bytes, ...] | None, tuple[bytes, ...]]:
        journal = Journal(self.folder)
        found = journal.recover()
        return journal, found.parts, found.records

    def begun(self) -> Journal:
        journal, parts, _ = self.opened()
        self.assertIsNone(parts)
        journal.write_slot([b"me"])
        return journal

    def test_records_come_back_in_order(self) -> None:
        journal = self.begun()
        journal.append([b"one", b"two"])
        journal.append([b"three"])
        journal.sync()
        _, parts, records = self.opened()
        self.assertEqual((parts, records), ((b"me",), (b"one", b"two", b"three")))

    def test_a_slot_replaces_the_log(self) -> None:
        journal = self.begun()
        journal.append([b"old"])
        journal.write_slot([b"me", b"image"])
        journal.append([b"new"])
        journal.sync()
        _, parts, records = self.opened()
        self.assertEqual((parts, records), ((b"me", b"image"), (b"new",)))
        self.assertEqual(len(list(self.folder.glob("log-*"))), 1)

    def test_a_torn_slot_leaves_the_one_before_and_its_log(self) -> None:
        journal = self.begun()
        journal.append([b"kept"])
        journal.sync()
        (self.folder / "slot-0").write_bytes(encode_slot(2, [b"me", b"image"])[:-3])
        _, parts, records = self.opened()
        self.assertEqual((parts, records), ((b"me",), (b"kept",)))

    def test_both_slots_bad_is_a_lost_disk_and_is_said(self) -> None:
        journal = self.begun()
        journal.write_slot([b"me", b"image"])
        for slot in self.folder.glob("slot-*"):
            slot.write_bytes(b"rubbish")
        found = Journal(self.folder).recover()
        self.assertIsNone(found.parts)
        self.assertTrue(found.damaged)

    def test_a_cut_tail_ends_the_log_and_new_records_follow_it(self) -> None:
        journal = self.begun()
        journal.append([b"one", b"two"])
        journal.sync()
        log = next(self.folder.glob("log-*"))
        log.write_bytes(log.read_bytes()[:-1])
        journal, _, records = self.opened()
        self.assertEqual(records, (b"one",))
        journal.append([b"next"])
        journal.sync()
        self.assertEqual(self.opened()[2], (b"one", b"next"))

    def test_a_hole_before_a_whole_record_ends_the_log(self) -> None:
        data = encode_record(b"one") + bytes(len(encode_record(b"gone"))) + encode_record(b"three")
        self.assertEqual(decode_records(data)[0], [b"one"])

    def test_a_refused_write_leaves_the_log_as_it_was(self) -> None:
        journal = self.begun()
        journal.append([b"one"])
        with mock.patch("os.pwrite", side_effect=OSError(28, "full")), self.assertRaises(OSError):
            journal.append([b"two"])
        journal.append([b"three"])
        journal.sync()
        self.assertEqual(self.opened()[2], (b"one", b"three"))

    def test_a_slot_holds_once_its_log_is_there(self) -> None:
        journal = self.begun()
        journal.append([b"one"])
        journal.sync()
        (self.folder / "slot-0").write_bytes(encode_slot(2, [b"me", b"image"]))  # its log was never made
        _, parts, records = self.opened()
        self.assertEqual((parts, records), ((b"me",), (b"one",)))

    def test_no_changed_byte_is_taken_for_a_whole_slot_or_record(self) -> None:
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

    def test_rubbish_is_never_more_than_refused(self) -> None:
        rng = random.Random(5)
        for _ in range(2000):
            data = rng.randbytes(rng.randrange(200))
            decode_slot(data)
            decode_records(data)


class Refusals:
    """A journal's calls to the system, of which some fail; what was not synced is then dropped."""

    NAMES = ("open", "write", "pwrite", "fsync", "fdatasync", "ftruncate", "unlink")

    def __init__(self, first: int, count: int) -> None:
        self.calls = 0
        self._failing = range(first, first + count)
        self._real = {name: getattr(os, name) for name in self.NAMES}
        self._synced: dict[int, int] = {}  # by descriptor: bytes that are on the disk

    def patches(self) -> list[Any]:
        """What puts these calls in the system's place."""
        return [mock.patch(f"os.{name}", self._made(name)) for name in self.NAMES]

    def _made(self, name: str) -> Any:
        def call(*args: Any, **options: Any) -> Any:
            self.calls += 1
            if self.calls in self._failing:
                if name == "fdatasync":
                    self._drop(args[0])
                raise OSError(5, f"planted, call {self.calls}: {name}")
            found = self._real[name](*args, **options)
            if name in ("fsync", "fdatasync"):
                self._synced[args[0]] = os.fstat(args[0]).st_size
            elif name == "open":
                self._synced[found] = 0
            return found

        return call

    def _drop(self, descriptor: int) -> None:
        """What a failed sync leaves: zeros where nothing was written, and no word of it later."""
        synced, size = self._synced.get(descriptor, 0), os.fstat(descriptor).st_size
        if size > synced:
            self._real["pwrite"](descriptor, bytes(size - synced), synced)
        self._synced[descriptor] = size


class FailingCalls(JournalCase):
    """Every call to the system fails once, alone and with those after it, while a node runs."""

    STEPS, SLOT_EVERY = 14, 4

    def live(self, refusals: Refusals) -> list[list[bytes]]:
        """Append, sync and write slots as `GroupHost` does; the acknowledged records, and the others."""
        acked: list[bytes] = []
        pending: list[bytes] = []
        with contextlib.ExitStack() as stack:
            journal = self.begun()
            for patch in refusals.patches():
                stack.enter_context(patch)
            for step in range(1, self.STEPS + 1):
                pending.append(b"r%d;" % step)
                with contextlib.suppress(OSError):
                    journal.append(pending)
                    journal.sync()
                    acked += pending
                    pending = []
                if not pending and step % self.SLOT_EVERY == 0:
                    with contextlib.suppress(OSError):
                        journal.write_slot([b"me", b"".join(acked)])
        return [acked, pending]

    def kept(self) -> bytes:
        """What a node finds that starts from these files."""
        _, parts, records = self.opened()
        assert parts is not None
        return b"".join(parts[1:]) + b"".join(records)

    def test_nothing_acknowledged_is_lost(self) -> None:
        counted = Refusals(0, 0)
        acked, _ = self.live(counted)
        self.assertEqual(len(acked), self.STEPS)
        self.assertGreater(counted.calls, 50)
        for count in (1, 2, 3, 6):
            for first in range(1, counted.calls + 1):
                with self.subTest(first=first, count=count):
                    shutil.rmtree(self.folder)
                    acked, pending = self.live(Refusals(first, count))
                    known = self.kept()
                    wanted = [b"".join(acked + pending[:n]) for n in range(len(pending) + 1)]
                    self.assertIn(known, wanted)


if __name__ == "__main__":
    unittest.main()
