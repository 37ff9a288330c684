"""The outcomes of a batch item that a dispatcher reports."""

from __future__ import annotations

from enum import IntEnum


class Outcome(IntEnum):
    """Outcome numbers as used in ItemReport."""

    DONE = 1
    UNPROCESSABLE = 2
    FAILED = 3
    RETURNED = 4
    ROUTE_GONE = 5
