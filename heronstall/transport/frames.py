"""Frames on an internal connection: a fixed head, then an encoded message. Free of I/O."""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

HEAD = struct.Struct("!IBBI")  # length of the body, version and kind, status, number of the call
VERSION = 1
MAX_BODY = 256 * 1024 * 1024  # bytes; a longer frame is an error of the sender


class Kind(IntEnum):
    """What a frame carries. A reply repeats the kind of its call."""

    GROUP = 1
    SYNC = 2
    SUBMIT = 3
    READ = 4
    BODY = 5
    END = 6
    LEASE = 7
    FINISH = 8
    SESSIONS = 9
    WORKER_END = 10
    PLACE = 11


class Status(IntEnum):
    """How a call ended. docs/result-codes.md explains each."""

    CALL = 0  # the frame is a call or a one-way message, not a reply
    OK = 1
    NOT_OWNER = 2
    UNSURE = 3
    UNKNOWN = 4
    OVER_QUOTA = 5
    REFUSED = 6
    FAILED = 7


class FrameError(ValueError):
    """The bytes are not a frame of this protocol."""


class Frame(NamedTuple):
    """One message on the wire; `call` 0 wants no reply."""

    kind: Kind
    status: Status
    call: int
    body: bytes


def encode(frame: Frame) -> bytes:
    """The bytes of a frame."""
    head = HEAD.pack(len(frame.body), VERSION << 4 | frame.kind, frame.status, frame.call)
    return head + frame.body


class FrameReader:
    """Cuts a stream of bytes into frames. Raises FrameError on bytes that can't be one."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Take bytes; return the frames that are whole now."""
        self._buffer += data
        frames: list[Frame] = []
        start = 0
        while len(self._buffer) - start >= HEAD.size:
            length, kind, status, call = HEAD.unpack_from(self._buffer, start)
            if kind >> 4 != VERSION or length > MAX_BODY:
                raise FrameError(f"version {kind >> 4}, length {length}")
            end = start + HEAD.size + length
            if len(self._buffer) < end:
                break
            try:
                named = Kind(kind & 0x0F), Status(status)
            except ValueError as error:
                raise FrameError(str(error)) from error
            frames.append(Frame(named[0], named[1], call, bytes(self._buffer[start + HEAD.size : end])))
            start = end
        del self._buffer[:start]
        return frames
