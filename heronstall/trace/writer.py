"""Writes a trace: blocks are encoded in the event loop's thread, compressed and written in another.

The writer thread runs only zstd and `write`, which both release the interpreter lock, so that a slow disk
does not delay the event loop. Records that the disk cannot accept in time are dropped and counted.
"""

from __future__ import annotations

import os
import queue
import threading
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from heronstall import interface as i
from heronstall.trace import frame
from heronstall.trace import trace_pb2 as pb
from heronstall.trace.records import BlockEncoder

MAX_BLOCK_RECORDS = 2000  # records of a full block: about 40 KiB, and one millisecond to encode
MAX_BLOCK_AGE_US = 1_000_000  # age at which a block is closed even if it is not full
MAX_QUEUED_BLOCKS = 8  # blocks that may wait for the disk
CLOSE_TIMEOUT_S = 5.0  # time to write the last blocks


class ClosedBlock(NamedTuple):
    """A closed block that waits to be written; times in microseconds."""

    type: int
    first: int
    last: int
    records: int
    payload: bytes


class TraceWriter:
    """Writes one file. `observe` never blocks; a write error calls `on_failure` in the writer thread."""

    def __init__(
        self,
        path: Path,
        about: pb.About,
        started_at: int,
        on_failure: Callable[[str], None],
        fd: int | None = None,
    ) -> None:
        self.path = path
        self.dropped = 0  # records dropped in the whole trace
        self._on_failure = on_failure
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o640) if fd is None else fd
        self._queue: queue.Queue[ClosedBlock | None] = queue.Queue(MAX_QUEUED_BLOCKS + 2)
        self._encoder: BlockEncoder | None = None
        self._dropped_since_block = 0  # records dropped since the last queued block
        self.has_failed = False
        self._entries: list[pb.Entry] = []
        self._sequence = self._offset = 0
        self._compressor = frame.new_compressor()
        self._thread = threading.Thread(target=self._run, name="trace", daemon=True)
        self._queue.put(ClosedBlock(frame.ABOUT, started_at, started_at, 1, about.SerializeToString()))
        self._thread.start()

    def observe(self, now: int, events: Sequence[i.Event], actions: Sequence[i.Action]) -> None:
        """Records the events and actions of one decision."""
        encoder = self._encoder
        if encoder is None:
            encoder = self._encoder = BlockEncoder(now, self._dropped_since_block)
        if encoder.add(now, events, actions) >= MAX_BLOCK_RECORDS or now - encoder.first >= MAX_BLOCK_AGE_US:
            self._close_block()

    def _close_block(self) -> None:
        encoder, self._encoder = self._encoder, None
        if encoder is None or not encoder.count:
            return
        try:
            if self.has_failed or self._queue.qsize() >= MAX_QUEUED_BLOCKS:
                raise queue.Full
            closed = ClosedBlock(frame.RECORDS, encoder.first, encoder.last, encoder.count, encoder.encode())
            self._queue.put_nowait(closed)
            self._dropped_since_block = 0
        except queue.Full:
            self._dropped_since_block += encoder.count
            self.dropped += encoder.count

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Queues the last block and the index; waits at most `timeout_s` seconds until they are written."""
        self._close_block()
        self._queue.put_nowait(None)  # the queue reserves two slots, so this cannot fail
        if timeout_s:
            self._thread.join(timeout_s)

    # ------------------------------------------------------------------ writer thread

    def _run(self) -> None:
        try:
            self._write(frame.file_header())
            while True:
                closed = self._queue.get()
                if closed is None:
                    break
                self._write_block(closed)
            self._write_index()
        except (OSError, frame.FrameError) as error:
            self.has_failed = True
            self._on_failure(str(error))
        finally:
            os.close(self._fd)

    def _write(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._fd, remaining) :]
        self._offset += len(data)

    def _write_block(self, closed: ClosedBlock) -> None:
        entry = pb.Entry(
            offset=self._offset,
            sequence=self._sequence,
            first=closed.first,
            last=closed.last,
            count=closed.records,
            type=closed.type,
        )
        encoded = frame.encode_block(
            closed.type, self._sequence, closed.first, closed.payload, self._compressor
        )
        self._write(encoded)
        self._entries.append(entry)
        self._sequence += 1

    def _write_index(self) -> None:
        offset = self._offset
        payload = pb.Index(entry=self._entries).SerializeToString()
        self._write(
            frame.encode_block(frame.INDEX, self._sequence, 0, payload) + frame.encode_trailer(offset)
        )
