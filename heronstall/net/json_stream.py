"""Reads JSON objects from a stream: usually one per line, or spread over several lines if indented."""

from __future__ import annotations

import re
from typing import Any

import ujson

from heronstall.net.connection import ConnectionEnded, Ending, LineSplitter

# Matches brackets, which change the nesting depth, and strings, inside which brackets do not count. A JSON
# string never spans two lines.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]')


class JsonStream:
    """Splits a stream into JSON objects."""

    def __init__(self, limit: int) -> None:
        self._limit = limit  # bytes of one object
        self._lines = LineSplitter(limit, keep_blank=True)
        self._object_lines: list[bytes] = []  # of an object that is not complete
        self._depth = 0
        self._size = 0

    @property
    def in_object(self) -> bool:
        """Whether an object has begun and is not complete."""
        return bool(self._object_lines)

    def feed(self, data: bytes) -> list[Any]:
        """Returns the objects completed by the data. Raises ConnectionEnded (MALFORMED) for invalid JSON."""
        objects = []
        for line in self._lines.feed(data):
            if not self._object_lines:
                if not line:
                    continue
                try:
                    objects.append(ujson.loads(line))
                    continue
                except ValueError:
                    pass  # invalid, or the first line of an indented object
            completed = self._add_line(line)
            if completed is not None:
                objects.append(completed)
        return objects

    def _add_line(self, line: bytes) -> Any:
        """Adds a line to an indented object; returns the object if it is now complete."""
        self._object_lines.append(line)
        self._size += len(line)
        for token in _TOKEN.findall(line):
            if token in b"[{":
                self._depth += 1
            elif token in b"]}":
                self._depth -= 1
        if self._depth > 0 and line and self._size <= self._limit:
            return None
        text = b"\n".join(self._object_lines)
        self._object_lines, self._depth, self._size = [], 0, 0
        try:
            return ujson.loads(text)
        except ValueError:
            raise ConnectionEnded(Ending.MALFORMED, f"invalid JSON: {text[:80]!r}") from None
