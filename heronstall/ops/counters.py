"""What a dispatcher has done since its process started: counters, read at the call. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Literal

Fate = Literal["succeeded", "declined", "aborted"]
FATES: tuple[Fate, ...] = ("succeeded", "declined", "aborted")


class Figures:
    """Counts of jobs by class and fate, and of attempts."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._names = list(classes)  # in the settings' order
        self._ended: dict[Fate, list[int]] = {fate: [0] * len(self._names) for fate in FATES}
        self.outstanding = 0  # jobs taken and not ended
        self.forwards = 0  # attempts whose last byte has been written

    def taken(self) -> None:
        """A job has come whole."""
        self.outstanding += 1

    def ended(self, cls: int, fate: Fate) -> None:
        """A job that was taken has its end: once each, whatever ended it. Raises IndexError for no class."""
        self._ended[fate][cls] += 1
        self.outstanding -= 1

    def forwarded(self) -> None:
        """An attempt's last byte has been written."""
        self.forwards += 1

    def rows(self) -> Iterator[tuple[str, int]]:
        """Every figure by its name, those that are zero too."""
        for fate in FATES:
            for name, count in zip(self._names, self._ended[fate], strict=True):
                yield f"{fate}.{name}", count
        yield "forwards", self.forwards
        yield "outstanding", self.outstanding
