"""Reads a trace block by block, with at most one block in memory; skips and reports damaged blocks."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import BinaryIO

from google.protobuf.message import DecodeError

from heronstall.trace import frame
from heronstall.trace import trace_pb2 as pb
from heronstall.trace.records import ColumnError, TraceRecord, decode

SEARCH_CHUNK_BYTES = 1 << 16  # bytes read at a time when searching for the next block


class TraceError(ValueError):
    """The file is not a trace, has an unsupported version or cannot be opened."""


@dataclass
class ReadDiagnostics:
    """Problems and counts of one reading."""

    damaged_blocks: list[str] = field(default_factory=list)
    blocks: int = 0
    missing_blocks: int = 0  # gaps in the sequence numbers
    dropped_records: int = 0  # records that the writer dropped
    truncated: bool = False  # no trailer: the writer was killed or is still writing


class TraceReader:
    """Reads one trace file. The constructor raises TraceError if the file is not a readable trace."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.diagnostics = ReadDiagnostics()
        try:
            self._file: BinaryIO = path.open("rb")
        except OSError as error:
            raise TraceError(f"{path}: cannot be read: {error.strerror}") from None
        try:
            frame.check_file_header(self._file.read(frame.FILE_HEADER_SIZE))
            self.index = self._read_index()
            self.about = self._read_about()
        except frame.FrameError as error:
            self._file.close()
            raise TraceError(f"{path}: {error}") from None
        except TraceError:
            self._file.close()
            raise

    def close(self) -> None:
        """Closes the file."""
        self._file.close()

    def __enter__(self) -> TraceReader:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _read_index(self) -> pb.Index | None:
        """Returns the index of a properly closed file; None if it is missing or damaged."""
        size = self._file.seek(0, 2)
        if size < frame.FILE_HEADER_SIZE + frame.TRAILER_SIZE:
            self.diagnostics.truncated = True
            return None
        self._file.seek(size - frame.TRAILER_SIZE)
        offset = frame.index_offset(self._file.read(frame.TRAILER_SIZE))
        if offset is None or not frame.FILE_HEADER_SIZE <= offset < size:
            self.diagnostics.truncated = True
            return None
        try:
            header, data = self._read_block(offset)
            return pb.Index.FromString(data) if header.type == frame.INDEX else None
        except (frame.FrameError, DecodeError):
            return None

    def _read_about(self) -> pb.About:
        try:
            header, data = self._read_block(frame.FILE_HEADER_SIZE)
            if header.type == frame.ABOUT:
                return pb.About.FromString(data)
        except (frame.FrameError, DecodeError):
            pass
        return pb.About()  # the records can be read without it

    def _read_block(self, offset: int) -> tuple[frame.BlockHeader, bytes]:
        self._file.seek(offset)
        header_bytes = self._file.read(frame.BLOCK_HEADER_SIZE)
        header = frame.decode_block_header(header_bytes)
        stored = self._file.read(header.stored)
        if len(stored) < header.stored:
            raise frame.FrameError("truncated block")
        return header, frame.decode_payload(header, header_bytes, stored)

    def blocks(
        self, start: int = frame.FILE_HEADER_SIZE
    ) -> Iterator[tuple[frame.BlockHeader, list[TraceRecord]]]:
        """Yields the record blocks from an offset on, each with its records."""
        offset, expected = start, None
        diagnostics = self.diagnostics
        while True:
            self._file.seek(offset)
            header_bytes = self._file.read(frame.BLOCK_HEADER_SIZE)
            if not header_bytes or (
                len(header_bytes) == frame.TRAILER_SIZE and frame.index_offset(header_bytes) is not None
            ):
                return
            try:
                header = frame.decode_block_header(header_bytes)
                stored = self._file.read(header.stored)
                if len(stored) < header.stored:
                    # Either the file ends here or the length is damaged; in the latter case a block follows.
                    raise frame.FrameError("truncated block")
                records = self._decode_records(header, frame.decode_payload(header, header_bytes, stored))
            except frame.FrameError as error:
                found = self._find_next_block(offset + 1)
                if found is None:
                    diagnostics.truncated = True
                    if str(error) not in ("truncated block", "truncated block header"):
                        diagnostics.damaged_blocks.append(f"at byte {offset}: {error}")
                    return
                diagnostics.damaged_blocks.append(f"at byte {offset}: {error}")
                offset = found
                continue
            offset += frame.BLOCK_HEADER_SIZE + header.stored
            diagnostics.blocks += 1
            if expected is not None and header.sequence > expected:
                diagnostics.missing_blocks += header.sequence - expected
            expected = header.sequence + 1
            if records is not None:
                yield header, records

    def _decode_records(self, header: frame.BlockHeader, data: bytes) -> list[TraceRecord] | None:
        if header.type != frame.RECORDS:
            return None
        try:
            block = pb.Records.FromString(data)
            items = decode(block)
        except (DecodeError, ColumnError):
            raise frame.FrameError(f"block {header.sequence} contains invalid records") from None
        self.diagnostics.dropped_records += block.dropped
        return items

    def _find_next_block(self, offset: int) -> int | None:
        """Returns the offset of the next block mark; None if there is none."""
        buffer = b""
        self._file.seek(offset)
        while True:
            chunk = self._file.read(SEARCH_CHUNK_BYTES)
            if not chunk:
                return None
            buffer += chunk
            found = buffer.find(frame.BLOCK_MARK)
            if found >= 0:
                return offset + found
            offset += len(buffer) - (len(frame.BLOCK_MARK) - 1)
            buffer = buffer[-(len(frame.BLOCK_MARK) - 1) :]

    def items(self, since: int | None = None, until: int | None = None) -> Iterator[TraceRecord]:
        """Yields the records from `since` on and before `until`, in microseconds on the trace's clock."""
        start = frame.FILE_HEADER_SIZE
        if since is not None and self.index is not None:
            candidates = [e.offset for e in self.index.entry if e.type == frame.RECORDS and e.first <= since]
            start = candidates[-1] if candidates else start
        for header, records in self.blocks(start):
            if until is not None and header.first >= until:
                return
            for item in records:
                if (since is None or item.at >= since) and (until is None or item.at < until):
                    yield item
