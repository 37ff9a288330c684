"""Recording for a live program: where traces go, when the next begins, what a failing disk does."""

from __future__ import annotations

import logging
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

from heronstall import events
from heronstall import interface as i
from heronstall.events import log_event
from heronstall.trace import trace_pb2 as pb
from heronstall.trace.frame import VERSION
from heronstall.trace.writer import END_TIME, TraceWriter

SUFFIX = ".hst"
log = logging.getLogger("heronstall.trace")


class Settings(Protocol):
    """What the operator's file says of traces."""

    @property
    def trace_dir(self) -> str:
        """The folder."""

    @property
    def trace_rotate_s(self) -> float:
        """Seconds that one file covers."""

    @property
    def trace_keep(self) -> int:
        """Files kept of one dispatcher."""


class Recorder:
    """Writes one trace after another and keeps the latest. It observes a `Dispatcher` and cannot fail it."""

    def __init__(self, settings: Settings, node: str, told: str, now: int) -> None:
        self._settings, self._node, self._told = settings, node, told
        self._folder = Path(settings.trace_dir)
        self._rotate = int(settings.trace_rotate_s * 1e6)
        self._writer: TraceWriter | None = None
        self._until = 0
        self._open(now)

    def _open(self, now: int) -> None:
        unix = time.time_ns() // 1000
        about = pb.About(
            format=VERSION, node=self._node, unix_us=unix - now, settings=self._told, started=now
        )
        path = self._folder / f"{self._node}-{unix}{SUFFIX}"
        self._until = now + self._rotate
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._writer = TraceWriter(path, about, now, self._failed)
            self._drop_old()
        except OSError as error:
            self._writer = None
            log_event(log, events.TRACE_FAILED, path=str(path), reason=str(error))
        else:
            log_event(log, events.TRACE_STARTED, path=str(path))

    def _drop_old(self) -> None:
        mine = sorted(self._folder.glob(f"{self._node}-*{SUFFIX}"))
        for path in mine[: -self._settings.trace_keep]:
            path.unlink(missing_ok=True)

    def _failed(self, reason: str) -> None:
        # Called in the writing thread, which ends with it; the dispatcher goes on without a trace.
        writer = self._writer
        log_event(log, events.TRACE_FAILED, path=str(writer.path if writer else self._folder), reason=reason)

    def observe(self, now: int, told: Sequence[i.Event], said: Sequence[i.Action]) -> None:
        """What the decisions were told at a moment, and what they said."""
        writer = self._writer
        if writer is None:
            return
        writer.observe(now, told, said)
        if now >= self._until:
            self.close(0.0)
            self._open(now)

    def close(self, wait: float = END_TIME) -> None:
        """End the trace in hand; waits so many seconds at the most for the disk."""
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.close(wait)
            log_event(log, events.TRACE_ENDED, path=str(writer.path), dropped=writer.dropped)
