"""What processes that serve as one dispatcher tell each other in files: who is out by hand, and the drain.

Each process writes a file of its own in a folder that they share, aside and then renamed, and reads those of
the others when the folder has changed. A file is one JSON object:

    {"format": "heronstall.state", "v": 1, "node": "n0", "sum": CRC-32 of the rest as JSON,
     "bans": [["s-5be2a07c", AT, OUT], ...], "drain": [AT, OUT]}

AT is Unix time in microseconds, OUT true or false; the newest word wins (`bans.py`). A file that is cut,
damaged, foreign or of another version is a `Wrong`, told once, and nothing of it counts. A process holds a
lock for as long as it lives; what a dead one left is read once more and removed.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple
from zlib import crc32

import ujson

from heronstall.ops.bans import TimedFlag

FORMAT, VERSION = "heronstall.state", 1
LARGEST = 1024 * 1024  # bytes of a file
TICK = 100_000_000  # nanoseconds: more than a tick of any file system's clock
STATE, LOCK = ".state", ".lock"


class State(NamedTuple):
    """What a process has heard by hand."""

    bans: list[tuple[str, TimedFlag]]
    drain: TimedFlag | None  # out: drained
    alive: bool = True  # whether whoever wrote it is


class InvalidFile(NamedTuple):
    """A file that cannot be used, and why."""

    path: str
    reason: str


def pack(node: str, state: State) -> bytes:
    """A state as a file holds it."""
    told = {
        "bans": [[uid, word.at_us, word.out] for uid, word in state.bans],
        "drain": list(state.drain) if state.drain else None,
    }
    whole = {"format": FORMAT, "v": VERSION, "node": node, "sum": crc32(ujson.dumps(told).encode()), **told}
    return ujson.dumps(whole).encode()


def unpack(node: str, data: bytes) -> State:
    """The state that a file holds. Raises ValueError that says what is wrong."""
    try:
        whole = ujson.loads(data)
    except ValueError:
        raise ValueError("cut or not JSON") from None
    if not isinstance(whole, dict) or whole.get("format") != FORMAT:
        raise ValueError("not a state of ours")
    if whole.get("v") != VERSION:
        raise ValueError(f"version {whole.get('v')!r}, {VERSION} is known")
    if whole.get("node") != node:
        raise ValueError(f"of another dispatcher, {whole.get('node')!r}")
    told: dict[str, Any] = {"bans": whole.get("bans"), "drain": whole.get("drain")}
    if whole.get("sum") != crc32(ujson.dumps(told).encode()):
        raise ValueError("damaged: its sum is wrong")
    try:
        bans = [(_text(uid), _word(at, out)) for uid, at, out in told["bans"]]
        return State(bans, None if told["drain"] is None else _word(*told["drain"]))
    except (TypeError, ValueError):
        raise ValueError("damaged: a row is wrong") from None


def _text(uid: Any) -> str:
    if not isinstance(uid, str):
        raise ValueError(uid)
    return uid


def _word(at: Any, out: Any) -> TimedFlag:
    if not isinstance(at, int) or not isinstance(out, bool):
        raise ValueError(at)
    return TimedFlag(at, out)


class StateDirectory:
    """The files of one dispatcher's processes. Raises OSError at the start only, where it cannot be used."""

    def __init__(self, folder: Path, node: str) -> None:
        self._folder, self._node = folder, node
        safe = "".join(letter if letter.isalnum() else "_" for letter in node)
        self.file_prefix = f"heronstall-{safe}-"
        self._mine = folder / f"{self.file_prefix}{os.urandom(6).hex()}"
        self._lock = os.open(f"{self._mine}{LOCK}", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self._changed, self._settled = -1, False  # the folder's time of change when it was read last
        self._seen: dict[str, tuple[int, int, int]] = {}

    def write(self, state: State) -> None:
        """Put this process's state in the place of its last one. Raises OSError."""
        aside = f"{self._mine}.aside"
        with open(aside, "wb") as file:
            file.write(pack(self._node, state))
        os.replace(aside, f"{self._mine}{STATE}")

    def read(self) -> Iterator[State | InvalidFile]:
        """The others' states that are new since the last call. Raises OSError."""
        changed = os.stat(self._folder).st_mtime_ns
        if changed == self._changed and self._settled:
            return
        # Guards against a file that comes within the same tick of the file system's clock as the last look.
        self._changed, self._settled = changed, time.time_ns() - changed > TICK
        for path in self._others():
            try:
                about = path.stat()
                mark = (about.st_ino, about.st_mtime_ns, about.st_size)
                if self._seen.get(path.name) == mark:
                    continue
                self._seen[path.name] = mark
                if about.st_size > LARGEST:
                    raise ValueError("too large")
                state = unpack(self._node, path.read_bytes())
            except FileNotFoundError:
                continue  # its process has just gone
            except (OSError, ValueError) as error:
                yield InvalidFile(str(path), str(error))
            else:
                yield state._replace(alive=self._alive(path))

    def remove_stale_files(self) -> None:
        """Remove what dead processes have left. To be called once their states are read and written anew."""
        for path in self._others():
            if not self._alive(path):
                for end in (STATE, LOCK):
                    with contextlib.suppress(OSError):
                        path.with_suffix(end).unlink()

    def _others(self) -> list[Path]:
        """The other processes' state files, in a fixed order."""
        found = sorted(self._folder.glob(f"{self.file_prefix}*{STATE}"))
        return [path for path in found if not path.name.startswith(self._mine.name)]

    def _alive(self, path: Path) -> bool:
        """Whether the process that wrote a file still holds its lock."""
        try:
            lock = os.open(path.with_suffix(LOCK), os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(lock)
        return False
