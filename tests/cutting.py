"""The command line, killed by SIGKILL after each step that it journals: `python -m tests.cutting FOLDER ...`.

A step is a kind of record for one dispatcher, stage and look. The process dies once at each step, before it
carries the record out, and for every third record also in the middle of writing it. The caller restarts it
until it ends by itself; FOLDER holds a marker for each death.
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

from heronstall.cli import main
from heronstall.keeper import log
from heronstall.rollout.journal import Record, encode_record

FOLDER = Path(sys.argv[1])
original_append = log.JournalFile.append


def first_time(name: str) -> bool:
    """Returns whether this is the first call with a name, over all restarts."""
    marker = FOLDER / f"{name}.cut"
    if marker.exists():
        return False
    marker.touch()
    return True


def append_and_die(self: log.JournalFile, kind: str, fields: Record) -> Record:
    """Writes a record, or half of it, and kills the process."""
    step = "-".join(str(fields.get(key, "")) for key in ("d", "dispatcher", "stage", "look"))
    name = f"{self.path.stem}-{kind}-{step}".replace("/", "_")
    index = len(self.records)
    if index % 3 == 1 and first_time(f"{name}-half"):
        line = encode_record(index, log.unix_us(), kind, fields)
        os.write(self._fd, line[: len(line) // 2])
        os.kill(os.getpid(), signal.SIGKILL)
    record = original_append(self, kind, fields)
    if first_time(name):
        os.kill(os.getpid(), signal.SIGKILL)
    return record


log.JournalFile.append = append_and_die  # type: ignore[method-assign]
del sys.argv[1]
main()
