"""What a change of the program is judged by and INFO does not say: lateness, latency, footprint, cost,
version.

An `Observer` of the `Dispatcher`, made only where the operator's file asks for it (`figures: detail:
true`). All counts run from the process's start; whoever reads them takes differences. Latencies and loop
delays are HdrHistogram V2 (Gil Tene), compressed, in base64, so that differences and sums of them are
exact.
"""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable, Iterator, Mapping, Sequence

from hdrh.histogram import HdrHistogram

from heronstall import events
from heronstall import interface as i

VERSION = 1  # of the rows; a reader passes over names that it does not know
STEP = 100  # microseconds: what histograms count in
LONGEST = 6_000_000  # steps: ten minutes
DIGITS = 2
RELEASE = "HERONSTALL_RELEASE"  # name@digest, as whoever started this process told it
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
GUARDS = tuple(event.name for event in (events.NO_ANSWER, events.NOT_MADE, events.UNKNOWN_SESSION))
COUNTS = ("taken", "intime", "served", "refused", "failed", "gone")


def resident_kb() -> int:
    """This process's memory now, in KiB; 0 where the system does not tell."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * PAGE_KB
    except (OSError, ValueError, IndexError):
        return 0


def own_cost() -> tuple[int, int]:
    """This process's CPU time so far in microseconds, and its memory in KiB."""
    return time.process_time_ns() // 1000, resident_kb()


class DetailedMetrics:
    """Counts by class, histograms, and what this process is. Free of I/O but for its own memory's size."""

    def __init__(
        self, names: Sequence[str], classes: Sequence[i.RequestClass], born: int, environ: Mapping[str, str]
    ) -> None:
        self._names, self._classes = list(names), classes
        self._born, self._release = born, environ.get(RELEASE, "-")
        self._open: dict[int, tuple[int, int, int]] = {}  # request: class, when taken, when it is late
        self._counts = {name: [0] * len(self._names) for name in COUNTS}
        self._latency = [HdrHistogram(1, LONGEST, DIGITS) for _ in self._names]
        self._loop = HdrHistogram(1, LONGEST, DIGITS)
        self._probes = 0
        self.alarms = 0  # times that a guard met a rule about to break
        self.attempts: Callable[[], int] = lambda: 0  # written whole
        self.cost: Callable[[], tuple[int, int]] = own_cost
        self.connects: Callable[[], int] = lambda: 0  # connections to servers that were asked for

    # ------------------------------------------------------------------ what is seen

    def observe(self, now: int, told: Sequence[i.Event], said: Sequence[i.Action]) -> None:
        """One turn of the decisions."""
        for event in told:
            if isinstance(event, i.Outcome):
                if event.ended and event.request in self._open:
                    # UNUSABLE ends its request too, without a result.
                    self._end(now, event.request, "served" if event.status == "ok" else "failed")
            elif isinstance(event, i.Arrival):
                cls = self._classes[event.cls]
                late = now + cls.aim + int(cls.stretch * (event.work or 0))
                self._open[event.request] = (event.cls, now, late)
                self.record_accepted(event.cls)
            elif isinstance(event, i.ClientGone):
                self._end(now, event.request, "gone")
        for action in said:
            if isinstance(action, i.Probe):
                self._probes += 1
            elif isinstance(action, i.Refuse):
                self._end(now, action.request, "refused")
            elif isinstance(action, i.Fail):
                self._end(now, action.request, "failed")

    def record_accepted(self, cls: int) -> None:
        """A job has come whole."""
        self._counts["taken"][cls] += 1

    def _end(self, now: int, request: int, how: str) -> None:
        row = self._open.pop(request, None)
        if row is None:
            return
        cls, taken, late = row
        self.record_end(cls, how, now - taken, now <= late)

    def record_end(self, cls: int, how: str, after: int, intime: bool) -> None:
        """A job that was taken has its end, so many microseconds later."""
        self._counts[how][cls] += 1
        if how == "served":
            self._counts["intime"][cls] += intime
            self._latency[cls].record_value(min(LONGEST, max(1, after // STEP)))

    def record_loop_delay(self, by: int) -> None:
        """A call of the loop came so many microseconds after it was due."""
        self._loop.record_value(min(LONGEST, max(1, by // STEP)))

    # ------------------------------------------------------------------ what is told

    def rows(self) -> Iterator[tuple[str, str]]:
        """Every figure by its name."""
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
        yield "loop", self._loop.encode().decode()
        for n, name in enumerate(self._names):
            for count in COUNTS:
                yield f"{count}.{name}", str(self._counts[count][n])
            yield f"worth.{name}", repr(self._classes[n].worth)
            yield f"latency.{name}", self._latency[n].encode().decode()


class AlarmCounter(logging.Handler):
    """Counts the log lines by which this program's own guards say that a rule was about to break."""

    def __init__(self, detail: DetailedMetrics) -> None:
        super().__init__(logging.ERROR)
        self._detail = detail

    def emit(self, record: logging.LogRecord) -> None:
        """One line."""
        if getattr(record, "event", None) in GUARDS:
            self._detail.alarms += 1
