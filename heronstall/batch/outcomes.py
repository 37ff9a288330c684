"""What a dispatcher reports of an item."""

from __future__ import annotations

from enum import IntEnum


class Outcome(IntEnum):
    """Numbers as they stand in ItemReport."""

    DONE = 1
    UNPROCESSABLE = 2
    FAILED = 3
    RETURNED = 4
    ROUTE_GONE = 5
