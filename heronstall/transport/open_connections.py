"""The open connections of a server: what each holds, and which give way when there is too much.

Performs no I/O. A connection is between requests, or it receives a request, or its request is held: it is
whole and was passed on. A held request may be running elsewhere, so that it is never refused here.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Generic, TypeVar

Connection = TypeVar("Connection")

SMALL_REQUEST_BYTES = 64 * 1024  # ordinary requests are no larger
LARGE_SHARE = 0.75  # share of the limit that larger requests may take
CANDIDATES = 8  # connections of a kind that are offered to be closed


class OpenConnections(Generic[Connection]):
    """Counts the bytes that connections hold. In each of its rows, the longest without news comes first."""

    def __init__(self, received_bytes: int) -> None:
        self._limit = received_bytes
        self._total = self._large_total = self._large_requests = 0
        self._held: dict[Connection, int] = {}  # bytes, of all connections
        self._new: dict[Connection, None] = {}  # no request yet
        self._resting: dict[Connection, None] = {}  # between requests
        self._receiving_small: dict[Connection, None] = {}
        self._receiving_large: dict[Connection, None] = {}

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._held)

    def __contains__(self, connection: Connection) -> bool:
        return connection in self._held

    @property
    def received_bytes(self) -> int:
        """The bytes that all connections hold."""
        return self._total

    def add(self, connection: Connection) -> None:
        """Adds a connection that was just opened."""
        self._held[connection] = 0
        self._new[connection] = None

    def remove(self, connection: Connection) -> None:
        """Removes a connection that was closed."""
        if connection in self._held:
            self._leave_rows(connection)
            self._set_held(connection, 0)
            del self._held[connection]

    def receive(self, connection: Connection, size: int) -> None:
        """Counts bytes of a request that is being received."""
        self._leave_rows(connection)
        held = self._held[connection] + size
        self._set_held(connection, held)
        row = self._receiving_large if _is_large(held) else self._receiving_small
        row[connection] = None

    def receive_behind(self, connection: Connection, size: int) -> None:
        """Counts bytes that arrive behind a request that is held."""
        self._set_held(connection, self._held[connection] + size)

    def hold(self, connection: Connection) -> None:
        """Marks the request of a connection as passed on: it still counts, and is not refused any more."""
        self._leave_rows(connection)

    def release(self, connection: Connection) -> None:
        """Stops counting the bytes of a connection whose request is not needed any more."""
        if connection in self._held:
            self._leave_rows(connection)
            self._set_held(connection, 0)

    def rest(self, connection: Connection) -> None:
        """Marks a connection as being between requests."""
        if connection in self._held:
            self.release(connection)
            self._resting[connection] = None

    def next_to_refuse(self) -> Connection | None:
        """Returns the connection whose request is to be refused now, or None if all requests fit.

        It is the one that has waited longest for more bytes. Large requests give way first, and leave room
        for small ones; a single large request fits whatever its size.
        """
        large_limit = LARGE_SHARE * self._limit
        if self._large_total > large_limit and self._large_requests > 1 and self._receiving_large:
            return next(iter(self._receiving_large))
        if self._total <= self._limit or len(self._held) == 1:
            return None
        return next(iter(self._receiving_large or self._receiving_small), None)

    def candidates_to_close(self) -> Iterator[Connection]:
        """Yields connections that may be closed for the sake of others, the least useful first."""
        for row in (self._new, self._receiving_small, self._resting, self._receiving_large):
            yield from list(islice(row, CANDIDATES))

    def _leave_rows(self, connection: Connection) -> None:
        for row in (self._new, self._resting, self._receiving_small, self._receiving_large):
            row.pop(connection, None)

    def _set_held(self, connection: Connection, size: int) -> None:
        earlier = self._held[connection]
        self._held[connection] = size
        self._total += size - earlier
        if _is_large(earlier):
            self._large_total -= earlier
            self._large_requests -= 1
        if _is_large(size):
            self._large_total += size
            self._large_requests += 1


def _is_large(size: int) -> bool:
    return size > SMALL_REQUEST_BYTES
