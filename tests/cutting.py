"""The command line, killed outright right after each step that it writes down: `python -m tests.cutting
FOLDER ...`.

A step is a kind of record for one dispatcher, stage and look. At each it dies once, before it does what it
has written; every third time in the middle of the record, too. Whoever runs this starts it again until it
ends by itself; FOLDER holds what it has died of already.
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

from heronstall.cli import main
from heronstall.keeper import log
from heronstall.rollout.journal import Record, pack

FOLDER = Path(sys.argv[1])
append = log.Log.append


def once(name: str) -> bool:
    """Whether this is the first time."""
    marker = FOLDER / f"{name}.cut"
    if marker.exists():
        return False
    marker.touch()
    return True


def cut(self: log.Log, kind: str, fields: Record) -> Record:
    """Write a record, or a part of one, and die."""
    step = "-".join(str(fields.get(key, "")) for key in ("d", "dispatcher", "stage", "look"))
    name = f"{self.path.stem}-{kind}-{step}".replace("/", "_")
    nth = len(self.records)
    if nth % 3 == 1 and once(f"{name}-half"):
        line = pack(nth, log.unix_us(), kind, fields)
        os.write(self._fd, line[: len(line) // 2])
        os.kill(os.getpid(), signal.SIGKILL)
    record = append(self, kind, fields)
    if once(name):
        os.kill(os.getpid(), signal.SIGKILL)
    return record


log.Log.append = cut  # type: ignore[method-assign]
del sys.argv[1]
main()
