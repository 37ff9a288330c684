"""Files in which the processes of one dispatcher share their state: the banned servers and the drain.

Each process writes a file of its own in a shared directory, to a temporary name first and then renamed, and
reads the others' files when the directory has changed. A file is one JSON object:

    {"format": "heronstall.state", "v": 1, "node": "n0", "sum": CRC-32 of the rest as JSON,
     "bans": [["s-5be2a07c", AT, OUT], ...], "drain": [AT, OUT]}

AT is Unix time in microseconds, OUT true or false; the newest record wins (`bans.py`). A file that is
truncated, damaged, foreign or of another version is reported once as an `InvalidFile` and ignored as a whole.
A process holds a lock for as long as it lives; the file of a dead process is read once more and removed.
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
MAX_FILE_BYTES = 1024 * 1024
CLOCK_TICK_NS = 100_000_000  # more than the clock tick of any file system
STATE_SUFFIX, LOCK_SUFFIX = ".state", ".lock"


class State(NamedTuple):
    """What operators have told one process."""

    bans: list[tuple[str, TimedFlag]]
    drain: TimedFlag | None  # its `out` means drained
    alive: bool = True  # whether the process that wrote it still runs


class InvalidFile(NamedTuple):
    """A file that cannot be used, and why."""

    path: str
    reason: str


def pack(node: str, state: State) -> bytes:
    """Encodes a state as the content of a file."""
    content = {
        "bans": [[uid, record.at_us, record.out] for uid, record in state.bans],
        "drain": list(state.drain) if state.drain else None,
    }
    document = {
        "format": FORMAT,
        "v": VERSION,
        "node": node,
        "sum": crc32(ujson.dumps(content).encode()),
        **content,
    }
    return ujson.dumps(document).encode()


def unpack(node: str, data: bytes) -> State:
    """Decodes a file's content. Raises ValueError with the reason."""
    try:
        document = ujson.loads(data)
    except ValueError:
        raise ValueError("truncated or not JSON") from None
    if not isinstance(document, dict) or document.get("format") != FORMAT:
        raise ValueError("not a state file")
    if document.get("v") != VERSION:
        raise ValueError(f"version {document.get('v')!r}, {VERSION} is known")
    if document.get("node") != node:
        raise ValueError(f"belongs to another dispatcher, {document.get('node')!r}")
    content: dict[str, Any] = {"bans": document.get("bans"), "drain": document.get("drain")}
    if document.get("sum") != crc32(ujson.dumps(content).encode()):
        raise ValueError("damaged: wrong checksum")
    try:
        bans = [(_text(uid), _timed_flag(at_us, out)) for uid, at_us, out in content["bans"]]
        return State(bans, None if content["drain"] is None else _timed_flag(*content["drain"]))
    except (TypeError, ValueError):
        raise ValueError("damaged: invalid row") from None


def _text(uid: Any) -> str:
    if not isinstance(uid, str):
        raise ValueError(uid)
    return uid


def _timed_flag(at_us: Any, out: Any) -> TimedFlag:
    if not isinstance(at_us, int) or not isinstance(out, bool):
        raise ValueError(at_us)
    return TimedFlag(at_us, out)


class StateDirectory:
    """The state files of one dispatcher's processes.

    Only the constructor raises OSError for a directory that cannot be used at all.
    """

    def __init__(self, directory: Path, node: str) -> None:
        self._directory, self._node = directory, node
        safe_name = "".join(letter if letter.isalnum() else "_" for letter in node)
        self.file_prefix = f"heronstall-{safe_name}-"
        self._own_path = directory / f"{self.file_prefix}{os.urandom(6).hex()}"
        self._lock = os.open(f"{self._own_path}{LOCK_SUFFIX}", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self._read_mtime, self._settled = -1, False  # the directory's modification time at the last read
        self._file_stamps: dict[str, tuple[int, int, int]] = {}

    def write(self, state: State) -> None:
        """Replaces this process's state file. Raises OSError."""
        temporary = f"{self._own_path}.aside"
        with open(temporary, "wb") as file:
            file.write(pack(self._node, state))
        os.replace(temporary, f"{self._own_path}{STATE_SUFFIX}")

    def read(self) -> Iterator[State | InvalidFile]:
        """Yields the other processes' states that have changed since the last call. Raises OSError."""
        mtime = os.stat(self._directory).st_mtime_ns
        if mtime == self._read_mtime and self._settled:
            return
        # A file may still be written within the clock tick of the last read, and leave the time unchanged.
        self._read_mtime, self._settled = mtime, time.time_ns() - mtime > CLOCK_TICK_NS
        for path in self._other_files():
            try:
                status = path.stat()
                stamp = (status.st_ino, status.st_mtime_ns, status.st_size)
                if self._file_stamps.get(path.name) == stamp:
                    continue
                self._file_stamps[path.name] = stamp
                if status.st_size > MAX_FILE_BYTES:
                    raise ValueError("too large")
                state = unpack(self._node, path.read_bytes())
            except FileNotFoundError:
                continue  # its process has just ended
            except (OSError, ValueError) as error:
                yield InvalidFile(str(path), str(error))
            else:
                yield state._replace(alive=self._is_alive(path))

    def remove_stale_files(self) -> None:
        """Removes the files of dead processes. Call it after their states were read and written again."""
        for path in self._other_files():
            if not self._is_alive(path):
                for suffix in (STATE_SUFFIX, LOCK_SUFFIX):
                    with contextlib.suppress(OSError):
                        path.with_suffix(suffix).unlink()

    def _other_files(self) -> list[Path]:
        """Returns the other processes' state files, sorted by name."""
        found = sorted(self._directory.glob(f"{self.file_prefix}*{STATE_SUFFIX}"))
        return [path for path in found if not path.name.startswith(self._own_path.name)]

    def _is_alive(self, path: Path) -> bool:
        """Returns whether the process that wrote a file still holds its lock."""
        try:
            lock = os.open(path.with_suffix(LOCK_SUFFIX), os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(lock)
        return False
