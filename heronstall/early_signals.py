"""Signal handling while a tier program loads. Must be imported before any slow import.

SIGHUP would end a process that has no handler yet. It announces a change of the settings file, which is read
again when it is needed, so the signal is always ignored. SIGTERM ends the process at once, since it has not
accepted any work yet. Later the event loop handles it.
"""

from __future__ import annotations

import os
import signal
import time
from types import FrameType

LOAD_STARTED_AT = time.monotonic()  # monotonic seconds


def _exit(number: int, frame: FrameType | None) -> None:
    os._exit(0)


signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, _exit)
