"""Splits a text/event-stream into complete events. Does no I/O."""

from __future__ import annotations

from typing import NamedTuple

EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")


class StreamEvent(NamedTuple):
    """A complete event: its bytes including the blank line, its id, and its data lines joined."""

    raw: bytes
    id: int | None
    data: bytes


class EventReader:
    """Reassembles the events of a stream that arrives in chunks."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def partial(self) -> bytes:
        """The bytes received of an incomplete event."""
        return self._buffer

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Adds a chunk and returns the events that it completes."""
        self._buffer += chunk
        events: list[StreamEvent] = []
        while True:
            found = [(position, end) for end in EVENT_DELIMITERS if (position := self._buffer.find(end)) >= 0]
            if not found:
                return events
            position, end = min(found)
            raw = self._buffer[: position + len(end)]
            self._buffer = self._buffer[position + len(end) :]
            events.append(parse_event(raw))


def parse_event(raw: bytes) -> StreamEvent:
    """Parses the fields of one event."""
    event_id: int | None = None
    data: list[bytes] = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id" and value.strip().isdigit():
            event_id = int(value)
    return StreamEvent(raw, event_id, b"\n".join(data))
