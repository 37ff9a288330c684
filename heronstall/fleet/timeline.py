"""What drives the fleet: a clock to read and moments to be called at."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Moment(Protocol):
    """A call to come."""

    def cancel(self) -> None:
        """Have it not come."""


class Timeline(Protocol):
    """Time in whole microseconds from the run's start; it never goes back."""

    @property
    def now(self) -> int:
        """The present."""

    def at(self, when: int, call: Callable[[], None]) -> Moment:
        """Call at `when`, or as soon as possible after it; calls of one moment in the order asked for."""
