"""A clock that a test sets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class ManualClock:
    """Returns `now`, in seconds, when it is called."""

    now: float

    def __call__(self) -> float:
        return self.now
