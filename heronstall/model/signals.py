"""What a dispatcher felt of its fleet, from the turns of its decisions: a run's or a recording's alike."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from heronstall import interface as i
from heronstall.trace.records import TraceRecord


@dataclass
class Signals:
    """Samples, in milliseconds unless it says otherwise."""

    queue_delay: list[float] = field(default_factory=list)  # from arrival to the first dispatch
    start_latency: list[float] = field(default_factory=list)  # from a dispatch to the note of its start
    probe_latency: list[float] = field(default_factory=list)
    report_life: list[float] = field(default_factory=list)  # from one report of a server to another one
    run_ratio: dict[int, list[float]] = field(default_factory=dict)  # by server: log of run time by hint
    served: int = 0
    ended: int = 0

    def join(self, other: Signals) -> None:
        """Take in another dispatcher's."""
        self.queue_delay += other.queue_delay
        self.start_latency += other.start_latency
        self.probe_latency += other.probe_latency
        self.report_life += other.report_life
        for server, row in other.run_ratio.items():
            self.run_ratio.setdefault(server, []).extend(row)
        self.served += other.served
        self.ended += other.ended


class Listener:
    """Draws signals from turns as they come; it can observe a `Dispatcher`."""

    def __init__(self) -> None:
        self.signals = Signals()
        self._arrived: dict[int, tuple[int, int | None]] = {}
        self._sent: dict[int, tuple[int, int]] = {}  # session: when, and to which server
        self._started: dict[int, int] = {}
        self._reports: dict[int, tuple[i.Report, int]] = {}

    def observe(self, now: int, told: Sequence[i.Event], said: Sequence[i.Action]) -> None:
        """One turn."""
        for what in (*told, *said):
            self._take(now, what)

    def read(self, items: Iterable[TraceRecord]) -> None:
        """A recording."""
        for at, what in items:
            self._take(at, what)

    def _take(self, now: int, what: i.Event | i.Action) -> None:
        s = self.signals
        if isinstance(what, i.Arrival):
            self._arrived[what.request] = (now, what.work)
        elif isinstance(what, i.Send):
            came = self._arrived.get(what.request)
            if came is not None and what.request not in self._sent:
                s.queue_delay.append((now - came[0]) / 1000)
            self._sent[what.request] = (now, what.worker)
            self._started.pop(what.request, None)
        elif isinstance(what, i.JobNote):
            sent = self._sent.get(what.request)
            if sent is not None and what.share is None and what.request not in self._started:
                self._started[what.request] = now
                s.start_latency.append((now - sent[0]) / 1000)
        elif isinstance(what, i.Outcome):
            self._outcome(now, what)
        elif isinstance(what, i.ProbeResult):
            if what.ok:
                s.probe_latency.append(what.latency / 1000)
            self._reported(now, what.worker, what.report)
        elif isinstance(what, (i.Refuse, i.Fail, i.ClientGone)):
            s.ended += 1
            self._forget(what.request)

    def _outcome(self, now: int, what: i.Outcome) -> None:
        self._reported(now, what.worker, what.report)
        if what.status != "ok":
            return
        self.signals.served += 1
        self.signals.ended += 1
        started, came = self._started.get(what.request), self._arrived.get(what.request)
        if started is not None and came is not None and came[1] and now > started:
            self.signals.run_ratio.setdefault(what.worker, []).append(math.log((now - started) / came[1]))
        self._forget(what.request)

    def _reported(self, now: int, server: int, report: i.Report | None) -> None:
        if report is None:
            return
        last = self._reports.get(server)
        if last is None or last[0] != report:
            if last is not None:
                self.signals.report_life.append((now - last[1]) / 1000)
            self._reports[server] = (report, now)

    def _forget(self, session: int) -> None:
        for held in (self._arrived, self._sent, self._started):
            held.pop(session, None)
