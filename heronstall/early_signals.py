"""Signals while a program of the tier is being loaded. Imported first, before what takes time.

SIGHUP would end a process that has yet to set its handlers. It tells that the settings file has changed; that
is read when it is needed, so the signal is ignored for good. SIGTERM ends a process at once: it has taken
nothing yet that could be owed to anybody. Later the event loop takes it over.
"""

from __future__ import annotations

import os
import signal
import time
from types import FrameType

BEGAN = time.monotonic()  # steady time at which this process began to load


def _end(number: int, frame: FrameType | None) -> None:
    os._exit(0)


signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, _end)
