"""The interface that drives the fleet: a clock and scheduled callbacks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Moment(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None:
        """Cancels the callback."""


class Timeline(Protocol):
    """Time in integer microseconds since the start of the run; it never decreases."""

    @property
    def now(self) -> int:
        """Returns the current time."""

    def at(self, when: int, call: Callable[[], None]) -> Moment:
        """Schedules `call` for `when` or as soon as possible after it.

        Callbacks scheduled for the same time run in the order in which they were scheduled.
        """
