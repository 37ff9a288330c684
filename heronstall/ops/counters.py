"""What a dispatcher has done since its process started: counters, read at the call. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Literal

JobResult = Literal["succeeded", "declined", "aborted"]
JOB_RESULTS: tuple[JobResult, ...] = ("succeeded", "declined", "aborted")


class JobCounters:
    """Counts of jobs by class and fate, and of attempts."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._names = list(classes)  # in the settings' order
        self._ended: dict[JobResult, list[int]] = {fate: [0] * len(self._names) for fate in JOB_RESULTS}
        self.outstanding = 0  # jobs taken and not ended
        self.forwards = 0  # attempts whose last byte has been written

    def record_accepted(self) -> None:
        """A job has come whole."""
        self.outstanding += 1

    def record_result(self, cls: int, fate: JobResult) -> None:
        """A job that was taken has its end: once each, whatever ended it. Raises IndexError for no class."""
        self._ended[fate][cls] += 1
        self.outstanding -= 1

    def record_forward(self) -> None:
        """An attempt's last byte has been written."""
        self.forwards += 1

    def rows(self) -> Iterator[tuple[str, int]]:
        """Every figure by its name, those that are zero too."""
        for fate in JOB_RESULTS:
            for name, count in zip(self._names, self._ended[fate], strict=True):
                yield f"{fate}.{name}", count
        yield "forwards", self.forwards
        yield "outstanding", self.outstanding
