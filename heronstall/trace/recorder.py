"""Records traces of a running dispatcher: rotates files, removes old ones and tolerates disk failures."""

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
from heronstall.trace.writer import CLOSE_TIMEOUT_S, TraceWriter

SUFFIX = ".hst"
log = logging.getLogger("heronstall.trace")


class TraceSettings(Protocol):
    """The trace settings of the operator's file."""

    @property
    def trace_dir(self) -> str:
        """The directory of the trace files."""

    @property
    def trace_rotate_s(self) -> float:
        """Seconds that one file covers."""

    @property
    def trace_keep(self) -> int:
        """The number of files retained per dispatcher."""


class Recorder:
    """Observes a `Dispatcher`, writes consecutive traces and retains the latest.

    Failures of the recorder do not affect the dispatcher.
    """

    def __init__(self, settings: TraceSettings, node: str, settings_json: str, now: int) -> None:
        self._settings, self._node, self._settings_json = settings, node, settings_json
        self._folder = Path(settings.trace_dir)
        self._rotation_us = int(settings.trace_rotate_s * 1e6)
        self._writer: TraceWriter | None = None
        self._rotate_at = 0
        self._open(now)

    def _open(self, now: int) -> None:
        unix = time.time_ns() // 1000
        about = pb.About(
            format=VERSION, node=self._node, unix_us=unix - now, settings=self._settings_json, started=now
        )
        path = self._folder / f"{self._node}-{unix}{SUFFIX}"
        self._rotate_at = now + self._rotation_us
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._writer = TraceWriter(path, about, now, self._on_failure)
            self._remove_old_traces()
        except OSError as error:
            self._writer = None
            log_event(log, events.TRACE_FAILED, path=str(path), reason=str(error))
        else:
            log_event(log, events.TRACE_STARTED, path=str(path))

    def _remove_old_traces(self) -> None:
        own_traces = sorted(self._folder.glob(f"{self._node}-*{SUFFIX}"))
        for path in own_traces[: -self._settings.trace_keep]:
            path.unlink(missing_ok=True)

    def _on_failure(self, reason: str) -> None:
        # Called in the writer thread before it ends; the dispatcher continues without a trace.
        writer = self._writer
        log_event(log, events.TRACE_FAILED, path=str(writer.path if writer else self._folder), reason=reason)

    def observe(self, now: int, inputs: Sequence[i.Event], actions: Sequence[i.Action]) -> None:
        """Records the events and actions of one decision."""
        writer = self._writer
        if writer is None:
            return
        writer.observe(now, inputs, actions)
        if now >= self._rotate_at:
            self.close(0.0)
            self._open(now)

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Ends the current trace; waits at most `timeout_s` seconds until it is written."""
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.close(timeout_s)
            log_event(log, events.TRACE_ENDED, path=str(writer.path), dropped=writer.dropped)
