"""The writer: records are put together in the loop's thread, packed and written in another.

Only zstd and `write` run there, and both let go of the interpreter, so that a slow disk delays nobody. What
the disk cannot take in time is dropped and counted.
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
from heronstall.trace.records import Encoder

FULL = 2000  # records that make a block: some 40 KiB, and a millisecond to take apart
OLD = 1_000_000  # microseconds after which a block is closed however little it holds
WAITING = 8  # blocks that may wait for the disk
END_TIME = 5.0  # seconds that the last blocks get


class Closed(NamedTuple):
    """A block on its way to the disk."""

    type: int
    first: int
    last: int
    records: int
    payload: bytes


class TraceWriter:
    """Writes one file. `observe` never blocks; `failed` is called in the writing thread if the disk fails."""

    def __init__(
        self, path: Path, about: pb.About, at: int, failed: Callable[[str], None], fd: int | None = None
    ) -> None:
        self.path = path
        self.dropped = 0  # records, over the whole trace
        self._failed = failed
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o640) if fd is None else fd
        self._queue: queue.Queue[Closed | None] = queue.Queue(WAITING + 2)
        self._encoder: Encoder | None = None
        self._lost = 0  # records dropped since the last block that got through
        self.broken = False
        self._entries: list[pb.Entry] = []
        self._sequence = self._offset = 0
        self._packer = frame.compressor()
        self._thread = threading.Thread(target=self._write_all, name="trace", daemon=True)
        self._queue.put(Closed(frame.ABOUT, at, at, 1, about.SerializeToString()))
        self._thread.start()

    def observe(self, now: int, events: Sequence[i.Event], actions: Sequence[i.Action]) -> None:
        """What the decisions were told at a moment, and what they said."""
        encoder = self._encoder
        if encoder is None:
            encoder = self._encoder = Encoder(now, self._lost)
        if encoder.add(now, events, actions) >= FULL or now - encoder.first >= OLD:
            self._close_block()

    def _close_block(self) -> None:
        encoder, self._encoder = self._encoder, None
        if encoder is None or not encoder.count:
            return
        try:
            if self.broken or self._queue.qsize() >= WAITING:
                raise queue.Full
            closed = Closed(frame.RECORDS, encoder.first, encoder.last, encoder.count, encoder.done())
            self._queue.put_nowait(closed)
            self._lost = 0
        except queue.Full:
            self._lost += encoder.count
            self.dropped += encoder.count

    def close(self, wait: float = END_TIME) -> None:
        """Have what is left and the index written; waits so many seconds at the most for the disk."""
        self._close_block()
        self._queue.put_nowait(None)  # there is always room for it
        if wait:
            self._thread.join(wait)

    # ------------------------------------------------------------------ the writing thread

    def _write_all(self) -> None:
        try:
            self._write(frame.head())
            while True:
                closed = self._queue.get()
                if closed is None:
                    break
                self._write_block(closed)
            self._write_index()
        except (OSError, frame.FrameError) as error:
            self.broken = True
            self._failed(str(error))
        finally:
            os.close(self._fd)

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]
        self._offset += len(data)

    def _write_block(self, closed: Closed) -> None:
        entry = pb.Entry(
            offset=self._offset,
            sequence=self._sequence,
            first=closed.first,
            last=closed.last,
            count=closed.records,
            type=closed.type,
        )
        packed = frame.block(closed.type, self._sequence, closed.first, closed.payload, self._packer)
        self._write(packed)
        self._entries.append(entry)
        self._sequence += 1

    def _write_index(self) -> None:
        offset = self._offset
        payload = pb.Index(entry=self._entries).SerializeToString()
        self._write(frame.block(frame.INDEX, self._sequence, 0, payload) + frame.tail(offset))
