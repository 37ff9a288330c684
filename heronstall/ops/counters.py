"""Counters of what a dispatcher has done since its process started. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Literal

JobResult = Literal["succeeded", "declined", "aborted"]
JOB_RESULTS: tuple[JobResult, ...] = ("succeeded", "declined", "aborted")


class JobCounters:
    """Counts jobs by class and result, and attempts."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._class_names = list(classes)  # in the settings' order
        self._results: dict[JobResult, list[int]] = {
            result: [0] * len(self._class_names) for result in JOB_RESULTS
        }
        self.outstanding = 0  # jobs accepted and not finished
        self.forwards = 0  # attempts whose last byte has been written

    def record_accepted(self) -> None:
        """Counts a job that was received completely."""
        self.outstanding += 1

    def record_result(self, cls: int, result: JobResult) -> None:
        """Counts the result of an accepted job, once per job. Raises IndexError for an unknown class."""
        self._results[result][cls] += 1
        self.outstanding -= 1

    def record_forward(self) -> None:
        """Counts an attempt whose last byte has been written."""
        self.forwards += 1

    def rows(self) -> Iterator[tuple[str, int]]:
        """Yields every counter by its name, including those that are zero."""
        for result in JOB_RESULTS:
            for name, count in zip(self._class_names, self._results[result], strict=True):
                yield f"{result}.{name}", count
        yield "forwards", self.forwards
        yield "outstanding", self.outstanding
