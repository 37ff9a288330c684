"""JSON objects out of a stream: one a line as a rule, or spread over several lines where indented."""

from __future__ import annotations

import re
from typing import Any

import ujson

from heronstall.net.connection import ConnectionEnded, Ending, LineSplitter

# What moves the depth of nesting, and the strings in which it does not: no string spans two lines.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]')


class JsonStream:
    """Splits a stream into objects."""

    def __init__(self, limit: int) -> None:
        self._limit = limit  # bytes of one object
        self._lines = LineSplitter(limit, keep_blank=True)
        self._held: list[bytes] = []  # lines of an object that has begun
        self._depth = 0
        self._size = 0

    @property
    def inside(self) -> bool:
        """Whether an object has begun and is not whole."""
        return bool(self._held)

    def feed(self, data: bytes) -> list[Any]:
        """The objects that are whole now. Raises ConnectionEnded MALFORMED for what cannot become one."""
        found = []
        for line in self._lines.feed(data):
            if not self._held:
                if not line:
                    continue
                try:
                    found.append(ujson.loads(line))
                    continue
                except ValueError:
                    pass  # nonsense, or the first line of an indented one
            message = self._more(line)
            if message is not None:
                found.append(message)
        return found

    def _more(self, line: bytes) -> Any:
        """Another line of an indented object; the object if that was its last one."""
        self._held.append(line)
        self._size += len(line)
        for token in _TOKEN.findall(line):
            if token in b"[{":
                self._depth += 1
            elif token in b"]}":
                self._depth -= 1
        if self._depth > 0 and line and self._size <= self._limit:
            return None
        text = b"\n".join(self._held)
        self._held, self._depth, self._size = [], 0, 0
        try:
            return ujson.loads(text)
        except ValueError:
            raise ConnectionEnded(Ending.MALFORMED, f"not JSON: {text[:80]!r}") from None
