"""Detailed metrics for judging a new release: lateness, latency, memory, CPU cost and version.

The dispatcher's INFO figures lack these. `DetailedMetrics` is an `Observer` of the `Dispatcher`, created only
where the operator's file enables it (`figures: detail: true`). All counts run from the process's start;
readers take differences. Latencies and loop delays are HdrHistogram V2 (Gil Tene), compressed, in base64, so
that their differences and sums are exact.
"""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable, Iterator, Mapping, Sequence

from hdrh.histogram import HdrHistogram

from heronstall import events
from heronstall import interface as i

VERSION = 1  # of the rows; readers ignore names that they do not know
HISTOGRAM_STEP_US = 100  # the histograms' unit
HISTOGRAM_MAX_STEPS = 6_000_000  # ten minutes
HISTOGRAM_DIGITS = 2  # significant digits
RELEASE_VARIABLE = "HERONSTALL_RELEASE"  # environment variable, name@digest, set by what starts the process
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
INVARIANT_EVENTS = tuple(
    event.name
    for event in (events.REQUEST_UNANSWERED, events.DISPATCH_FAILED, events.DISPATCH_UNKNOWN_REQUEST)
)
COUNTS = ("taken", "intime", "served", "refused", "failed", "gone")


def resident_kb() -> int:
    """Returns this process's resident memory in KiB; 0 where the system does not report it."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * PAGE_KB
    except (OSError, ValueError, IndexError):
        return 0


def process_cost() -> tuple[int, int]:
    """Returns this process's CPU time so far in microseconds, and its memory in KiB."""
    return time.process_time_ns() // 1000, resident_kb()


class DetailedMetrics:
    """Counts by class, histograms, and the process's identity. Its only I/O is reading its memory size."""

    def __init__(
        self, names: Sequence[str], classes: Sequence[i.RequestClass], born: int, environ: Mapping[str, str]
    ) -> None:
        self._names, self._classes = list(names), classes
        self._born, self._release = born, environ.get(RELEASE_VARIABLE, "-")
        self._open_requests: dict[int, tuple[int, int, int]] = {}  # class, arrival, when it becomes late
        self._counts = {name: [0] * len(self._names) for name in COUNTS}
        self._latency = [HdrHistogram(1, HISTOGRAM_MAX_STEPS, HISTOGRAM_DIGITS) for _ in self._names]
        self._loop_delay = HdrHistogram(1, HISTOGRAM_MAX_STEPS, HISTOGRAM_DIGITS)
        self._probes = 0
        self.alarms = 0  # how often a check prevented the violation of a rule
        self.attempts: Callable[[], int] = lambda: 0  # attempts that were written completely
        self.cost: Callable[[], tuple[int, int]] = process_cost
        self.connects: Callable[[], int] = lambda: 0  # connections to servers that were requested

    # ------------------------------------------------------------------ recording

    def observe(self, now: int, seen_events: Sequence[i.Event], actions: Sequence[i.Action]) -> None:
        """Records the events and actions of one turn of the decisions."""
        for event in seen_events:
            if isinstance(event, i.Outcome):
                if event.ended and event.request in self._open_requests:
                    # UNUSABLE ends its request too, without a result.
                    self._end_request(now, event.request, "served" if event.status == "ok" else "failed")
            elif isinstance(event, i.Arrival):
                cls = self._classes[event.cls]
                late_at = now + cls.aim + int(cls.stretch * (event.work or 0))
                self._open_requests[event.request] = (event.cls, now, late_at)
                self.record_accepted(event.cls)
            elif isinstance(event, i.ClientGone):
                self._end_request(now, event.request, "gone")
        for action in actions:
            if isinstance(action, i.Probe):
                self._probes += 1
            elif isinstance(action, i.Refuse):
                self._end_request(now, action.request, "refused")
            elif isinstance(action, i.Fail):
                self._end_request(now, action.request, "failed")

    def record_accepted(self, cls: int) -> None:
        """Counts a job that was received completely."""
        self._counts["taken"][cls] += 1

    def _end_request(self, now: int, request: int, end: str) -> None:
        row = self._open_requests.pop(request, None)
        if row is None:
            return
        cls, arrived, late_at = row
        self.record_end(cls, end, now - arrived, now <= late_at)

    def record_end(self, cls: int, end: str, duration: int, in_time: bool) -> None:
        """Counts the end of an accepted job, after `duration` microseconds."""
        self._counts[end][cls] += 1
        if end == "served":
            self._counts["intime"][cls] += in_time
            self._latency[cls].record_value(min(HISTOGRAM_MAX_STEPS, max(1, duration // HISTOGRAM_STEP_US)))

    def record_loop_delay(self, delay: int) -> None:
        """Records by how many microseconds a timer of the event loop was late."""
        self._loop_delay.record_value(min(HISTOGRAM_MAX_STEPS, max(1, delay // HISTOGRAM_STEP_US)))

    # ------------------------------------------------------------------ reporting

    def rows(self) -> Iterator[tuple[str, str]]:
        """Yields every figure by its name."""
        yield "about.v", str(VERSION)
        yield "about.release", self._release
        yield "about.pid", str(os.getpid())
        yield "about.born_us", str(self._born)
        cpu_us, memory_kb = self.cost()
        yield "cpu_us", str(cpu_us)
        yield "memory_kb", str(memory_kb)
        yield "attempts", str(self.attempts())
        yield "connects", str(self.connects())
        yield "probes", str(self._probes)
        yield "alarms", str(self.alarms)
        yield "loop", self._loop_delay.encode().decode()
        for n, name in enumerate(self._names):
            for count in COUNTS:
                yield f"{count}.{name}", str(self._counts[count][n])
            yield f"worth.{name}", repr(self._classes[n].worth)
            yield f"latency.{name}", self._latency[n].encode().decode()


class AlarmCounter(logging.Handler):
    """Counts the log events of checks that prevented the violation of a rule."""

    def __init__(self, metrics: DetailedMetrics) -> None:
        super().__init__(logging.ERROR)
        self._metrics = metrics

    def emit(self, record: logging.LogRecord) -> None:
        """Counts one log record if it is such an event."""
        if getattr(record, "event", None) in INVARIANT_EVENTS:
            self._metrics.alarms += 1
