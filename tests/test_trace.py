"""Traces: round trips; truncated, damaged and malicious files; disks that stall or fail."""

from __future__ import annotations

import os
import random
import struct
import threading
import time
import zlib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from heronstall import interface as i
from heronstall.trace import frame
from heronstall.trace import trace_pb2 as pb
from heronstall.trace.reader import TraceError, TraceReader
from heronstall.trace.records import STATUSES, BlockEncoder, TraceRecord, decode, hash_key
from heronstall.trace.writer import MAX_QUEUED_BLOCKS, TraceWriter

SECOND = 1_000_000
unsigned_values = st.integers(0, 2**31)
report_values = st.one_of(st.none(), st.floats(0, 1000, width=16))
report_strategy = st.builds(
    i.Report, report_values, report_values, report_values, report_values, report_values
)
entry_strategy = st.builds(
    i.WorkerEntry,
    unsigned_values,
    st.integers(0, 9),
    st.integers(0, 9),
    st.integers(0, 9),
    st.sampled_from(["active", "leaving", "left"]),
    st.floats(0, 10, width=16),
    st.one_of(st.none(), st.integers(-(2**40), 2**40)),
    st.integers(0, 2**32 - 1),
)
arrival_strategy = st.builds(
    i.Arrival,
    request=unsigned_values,
    cls=st.integers(0, 9),
    time_left=unsigned_values,
    tenant=st.integers(-1, 9),
    key=st.none(),
    memory=st.just(0.0),
    work=st.one_of(st.none(), st.integers(1, 2**31)),
    slots=st.sampled_from([1.0, 2.0, 4.0]),
    retry=st.booleans(),
)
event_values = st.one_of(
    arrival_strategy,
    st.builds(
        lambda r, a, s: i.JobNote(r, 0, a, s),
        unsigned_values,
        st.integers(0, 5),
        st.one_of(st.none(), st.just(0.5)),
    ),
    st.builds(
        i.Outcome,
        unsigned_values,
        unsigned_values,
        st.integers(0, 5),
        st.booleans(),
        st.sampled_from(STATUSES),
        unsigned_values,
        st.none() | report_strategy,
    ),
    st.builds(
        i.WorkerList,
        st.sampled_from(["changes", "complete"]),
        st.lists(entry_strategy, max_size=3).map(tuple),
    ),
    st.builds(i.ProbeResult, unsigned_values, st.booleans(), unsigned_values, st.none() | report_strategy),
    st.builds(i.ClientGone, unsigned_values),
)
action_values = st.one_of(
    st.builds(i.Send, unsigned_values, unsigned_values, unsigned_values),
    st.builds(i.Refuse, unsigned_values, unsigned_values),
    st.builds(i.Fail, unsigned_values),
    st.builds(i.Cancel, unsigned_values, st.integers(0, 5)),
)


def normalized(content: Any) -> Any:
    """Returns a form of an event for comparison, with numbers at the precision of a 32-bit float."""
    if isinstance(content, float):
        return pytest.approx(content, rel=1e-5, abs=1e-5)
    if isinstance(content, tuple):
        return (type(content).__name__, *map(normalized, content))
    return content


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2**30), st.lists(event_values, max_size=3), st.lists(action_values, max_size=2)
        ),
        max_size=6,
    )
)
def test_encoded_records_are_decoded_unchanged(
    decisions: list[tuple[int, list[i.Event], list[i.Action]]],
) -> None:
    at, encoder = 5, BlockEncoder(5)
    expected: list[tuple[int, i.Event | i.Action]] = []
    for after, events, actions in decisions:
        at += after
        encoder.add(at, events, actions)
        for content in (*events, *actions):
            expected.append((at, content))
    actual = list(decode(pb.Records.FromString(encoder.encode())))
    assert [(item.at, normalized(item.content)) for item in actual] == [
        (at, normalized(content)) for at, content in expected
    ]


def write(path: Path, seconds: int = 10, per_second: int = 50, close: bool = True) -> list[TraceRecord]:
    """Writes a trace of `seconds` seconds; returns its records."""
    writer = TraceWriter(path, pb.About(format=1, node="n1"), 0, lambda reason: pytest.fail(reason))
    items = []
    for n in range(seconds * per_second):
        at = n * SECOND // per_second
        event = i.Arrival(n, n % 2, 5 * SECOND, 0, None, 1000 + n)
        writer.observe(at, [event], [i.Send(n, n % 9)])
        items += [TraceRecord(at, event), TraceRecord(at, i.Send(n, n % 9))]
        # The simulated time passes faster than the disk writes, so wait for the queue.
        while writer._queue.qsize() > MAX_QUEUED_BLOCKS // 2:
            time.sleep(0.001)
    if close:
        writer.close()
    return items


def read(path: Path, **time_range: int) -> tuple[list[TraceRecord], Any]:
    with TraceReader(path) as reader:
        return list(reader.items(**time_range)), reader.diagnostics


def test_trace_is_read_completely_or_by_time_range(tmp_path: Path) -> None:
    items = write(tmp_path / "t")
    actual, diagnostics = read(tmp_path / "t")
    assert actual == items and (
        diagnostics.truncated,
        diagnostics.damaged_blocks,
        diagnostics.dropped_records,
    ) == (False, [], 0)
    with TraceReader(tmp_path / "t") as reader:
        assert reader.about.node == "n1" and reader.index is not None
    selected, diagnostics = read(tmp_path / "t", since=4 * SECOND, until=6 * SECOND)
    assert selected == [item for item in items if 4 * SECOND <= item.at < 6 * SECOND]
    assert diagnostics.blocks <= 4  # of about eleven in the file


def test_killed_writer_loses_at_most_its_last_block(tmp_path: Path) -> None:
    items = write(tmp_path / "t")
    data = (tmp_path / "t").read_bytes()
    with TraceReader(tmp_path / "t") as reader:
        assert reader.index is not None
        starts = [entry.offset for entry in reader.index.entry]
    for size in range(starts[3], starts[5], 7):
        (tmp_path / "cut").write_bytes(data[:size])
        actual, diagnostics = read(tmp_path / "cut")
        assert actual == items[: len(actual)] and diagnostics.truncated and diagnostics.damaged_blocks == []
        # All blocks that begin before the cut, without the About block and the truncated one.
        whole_blocks = sum(start <= size for start in starts) - 2
        assert diagnostics.blocks >= whole_blocks


def test_damaged_blocks_are_skipped_and_reported(tmp_path: Path) -> None:
    items = write(tmp_path / "t", seconds=200, per_second=20)
    data = bytearray((tmp_path / "t").read_bytes())
    with TraceReader(tmp_path / "t") as reader:
        assert reader.index is not None
        rows = [entry for entry in reader.index.entry if entry.type == frame.RECORDS]
    damaged_entries = [rows[50], rows[120]]
    for row in damaged_entries:
        data[row.offset + frame.BLOCK_HEADER_SIZE + 9] ^= 0x55
    (tmp_path / "bad").write_bytes(data)
    actual, diagnostics = read(tmp_path / "bad")
    lost = [item for item in items if any(row.first <= item.at <= row.last for row in damaged_entries)]
    assert len(actual) == len(items) - len(lost)
    assert (
        len(diagnostics.damaged_blocks) == 2 and diagnostics.missing_blocks == 2 and not diagnostics.truncated
    )


def make_block(raw: int, stored: bytes, flags: int) -> bytes:
    """Returns a block with a valid checksum and arbitrary lengths."""
    header = struct.pack("<4sBBHIIIq", b"HSBK", 2, flags, 0, 0, len(stored), raw, 0)
    return header + struct.pack("<I", zlib.crc32(stored, zlib.crc32(header))) + stored


def test_malicious_file_is_rejected_without_large_allocations(tmp_path: Path) -> None:
    import zstandard

    compression_bomb = zstandard.ZstdCompressor().compress(bytes(64 * 1024 * 1024))
    for name, body in (
        ("bomb", make_block(1000, compression_bomb, 1)),
        ("huge", struct.pack("<4sBBHIIIqI", b"HSBK", 2, 0, 0, 0, 2**32 - 1, 10, 0, 0)),
        ("no records", make_block(4, b"\xff\xff\xff\xff", 0)),
        ("no zstd", make_block(4, b"abcd", 1)),
    ):
        path = tmp_path / name.replace(" ", "")
        path.write_bytes(frame.file_header() + body)
        actual, diagnostics = read(path)
        assert actual == [] and len(diagnostics.damaged_blocks) == 1, name
    for name, data, expected_text in (
        ("short", b"HST", "shorter"),
        ("other", b"PK\x03\x04" + bytes(40), "not a trace"),
        ("newer", struct.pack("<8sHH", frame.MAGIC, 2, 0), "version 2"),
    ):
        path = tmp_path / name
        path.write_bytes(data + struct.pack("<I", zlib.crc32(data)) if name == "newer" else data)
        with pytest.raises(TraceError, match=expected_text):
            TraceReader(path)
    with pytest.raises(TraceError, match="cannot be read"):
        TraceReader(tmp_path / "none")


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(st.integers(0, 2**32))
def test_random_damage_is_reported_or_rejected(tmp_path: Path, seed: int) -> None:
    if not (tmp_path / "t").exists():
        write(tmp_path / "t", seconds=4)
    random_source, data = random.Random(seed), bytearray((tmp_path / "t").read_bytes())
    for _ in range(random_source.randrange(1, 6)):
        at = random_source.randrange(len(data))
        if random_source.random() < 0.5:
            data[at] = random_source.randrange(256)
        else:
            del data[at : at + random_source.randrange(1, 40)]
    (tmp_path / "fuzzed").write_bytes(data)
    try:
        actual, _ = read(tmp_path / "fuzzed")
        assert len(actual) <= 400
    except TraceError:
        pass


def test_stalled_disk_drops_and_counts_records_without_blocking(tmp_path: Path) -> None:
    reading, writing = os.pipe()  # without a reader the writer thread blocks in its first large write
    writer = TraceWriter(tmp_path / "t", pb.About(node="n" * 200_000), 0, lambda reason: None, fd=writing)
    for n in range(40):
        writer.observe(n * SECOND, [i.ClientGone(n)], [])
    # Each block holds two records.
    assert 40 - 2 * (MAX_QUEUED_BLOCKS + 2) <= writer.dropped <= 40 - 2 * (MAX_QUEUED_BLOCKS - 1)
    received = bytearray()

    def drain() -> None:
        while more := os.read(reading, 65536):
            received.extend(more)

    thread = threading.Thread(target=drain)
    thread.start()
    for n in range(40, 60):
        threading.Event().wait(0.01)
        writer.observe(n * SECOND, [i.ClientGone(n)], [])
    dropped = writer.dropped
    writer.close()
    thread.join(10)
    os.close(reading)
    (tmp_path / "t").write_bytes(received)
    actual, diagnostics = read(tmp_path / "t")
    assert (
        diagnostics.dropped_records == dropped
        and len(actual) == 60 - dropped
        and diagnostics.damaged_blocks == []
    )


def test_failed_disk_ends_only_the_trace(tmp_path: Path) -> None:
    reading, writing = os.pipe()
    os.close(reading)
    failures: list[str] = []
    writer = TraceWriter(tmp_path / "t", pb.About(), 0, failures.append, fd=writing)
    for n in range(30):
        writer.observe(n * SECOND, [i.ClientGone(n)], [])
    writer.close()
    assert len(failures) == 1 and writer.has_failed


def test_request_key_is_stored_as_hash() -> None:
    encoder = BlockEncoder(0)
    encoder.add(0, [i.Arrival(1, 0, 1, 0, "customer-4711")], [])
    data = encoder.encode()
    assert b"customer" not in data
    arrival = next(iter(decode(pb.Records.FromString(data)))).content
    assert isinstance(arrival, i.Arrival) and arrival.key == f"{hash_key('customer-4711'):016x}"
