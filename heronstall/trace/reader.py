"""The reader: block by block, at most one of them in memory; what is damaged is skipped and said."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import BinaryIO

from google.protobuf.message import DecodeError

from heronstall.trace import frame
from heronstall.trace import trace_pb2 as pb
from heronstall.trace.records import ColumnError, Item, decode

SEARCH = 1 << 16  # bytes looked through at a time for the next block


class TraceError(ValueError):
    """A file that is no trace, or one of a version that is not known."""


@dataclass
class Notes:
    """What was met in reading."""

    damaged: list[str] = field(default_factory=list)
    blocks: int = 0
    missing: int = 0  # blocks, by their sequence numbers
    dropped: int = 0  # records that the writer had to drop
    cut: bool = False  # no orderly end: the writer was killed, or writes still


class TraceReader:
    """One file. Raises TraceError in its making for what is no trace."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.notes = Notes()
        try:
            self._file: BinaryIO = path.open("rb")
        except OSError as error:
            raise TraceError(f"{path}: cannot be read: {error.strerror}") from None
        try:
            frame.check_head(self._file.read(frame.HEAD_SIZE))
            self.index = self._index()
            self.about = self._about()
        except frame.FrameError as error:
            self._file.close()
            raise TraceError(f"{path}: {error}") from None
        except TraceError:
            self._file.close()
            raise

    def close(self) -> None:
        """Let go of the file."""
        self._file.close()

    def __enter__(self) -> TraceReader:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _index(self) -> pb.Index | None:
        """The index of an orderly end; None where there is none or it is damaged."""
        size = self._file.seek(0, 2)
        if size < frame.HEAD_SIZE + frame.TAIL_SIZE:
            self.notes.cut = True
            return None
        self._file.seek(size - frame.TAIL_SIZE)
        offset = frame.index_offset(self._file.read(frame.TAIL_SIZE))
        if offset is None or not frame.HEAD_SIZE <= offset < size:
            self.notes.cut = True
            return None
        try:
            told, data = self._block(offset)
            return pb.Index.FromString(data) if told.type == frame.INDEX else None
        except (frame.FrameError, DecodeError):
            return None

    def _about(self) -> pb.About:
        try:
            told, data = self._block(frame.HEAD_SIZE)
            if told.type == frame.ABOUT:
                return pb.About.FromString(data)
        except (frame.FrameError, DecodeError):
            pass
        return pb.About()  # the records stand without it

    def _block(self, offset: int) -> tuple[frame.Block, bytes]:
        self._file.seek(offset)
        head = self._file.read(frame.BLOCK_SIZE)
        told = frame.block_head(head)
        stored = self._file.read(told.stored)
        if len(stored) < told.stored:
            raise frame.FrameError("cut off")
        return told, frame.payload(told, head, stored)

    def blocks(self, start: int = frame.HEAD_SIZE) -> Iterator[tuple[frame.Block, list[Item]]]:
        """The blocks of records from an offset on, each with its records."""
        offset, expected = start, None
        notes = self.notes
        while True:
            self._file.seek(offset)
            head = self._file.read(frame.BLOCK_SIZE)
            if not head or (len(head) == frame.TAIL_SIZE and frame.index_offset(head) is not None):
                return
            try:
                told = frame.block_head(head)
                stored = self._file.read(told.stored)
                if len(stored) < told.stored:
                    # Cut off here, or a length that is damaged: a block that follows tells which.
                    raise frame.FrameError("cut off")
                records = self._records(told, frame.payload(told, head, stored))
            except frame.FrameError as error:
                found = self._search(offset + 1)
                if found is None:
                    notes.cut = True
                    if str(error) not in ("cut off", "cut off in a block's head"):
                        notes.damaged.append(f"at byte {offset}: {error}")
                    return
                notes.damaged.append(f"at byte {offset}: {error}")
                offset = found
                continue
            offset += frame.BLOCK_SIZE + told.stored
            notes.blocks += 1
            if expected is not None and told.sequence > expected:
                notes.missing += told.sequence - expected
            expected = told.sequence + 1
            if records is not None:
                yield told, records

    def _records(self, told: frame.Block, data: bytes) -> list[Item] | None:
        if told.type != frame.RECORDS:
            return None
        try:
            block = pb.Records.FromString(data)
            items = decode(block)
        except (DecodeError, ColumnError):
            raise frame.FrameError(f"block {told.sequence} holds no records") from None
        self.notes.dropped += block.dropped
        return items

    def _search(self, offset: int) -> int | None:
        """Where the next block seems to begin; None where none does."""
        held = b""
        self._file.seek(offset)
        while True:
            more = self._file.read(SEARCH)
            if not more:
                return None
            held += more
            found = held.find(frame.MARK)
            if found >= 0:
                return offset + found
            offset += len(held) - (len(frame.MARK) - 1)
            held = held[-(len(frame.MARK) - 1) :]

    def items(self, since: int | None = None, until: int | None = None) -> Iterator[Item]:
        """All records from `since` on and before `until`, microseconds on the trace's clock."""
        start = frame.HEAD_SIZE
        if since is not None and self.index is not None:
            before = [e.offset for e in self.index.entry if e.type == frame.RECORDS and e.first <= since]
            start = before[-1] if before else start
        for told, records in self.blocks(start):
            if until is not None and told.first >= until:
                return
            for item in records:
                if (since is None or item.at >= since) and (until is None or item.at < until):
                    yield item
