"""Processes of this machine: started apart from their keeper, found by their mark, watched to their end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path

from heronstall.keeper.place import Fault
from heronstall.keeper.release import KEPT

# Ends that a program brings about by itself; any other signal came from outside, be it a person or the
# system.
OWN = frozenset(
    {
        signal.SIGSEGV,
        signal.SIGABRT,
        signal.SIGBUS,
        signal.SIGILL,
        signal.SIGFPE,
        signal.SIGSYS,
        signal.SIGPIPE,
    }
)
PROC = Path("/proc")
Ended = Callable[[str, Fault], None]


def start(command: Sequence[str], tree: str, environ: Mapping[str, str], log: Path) -> int:
    """Start a process in a session of its own: what befalls its keeper does not befall it. Raises OSError."""
    with log.open("ab") as out:
        process = subprocess.Popen(
            command,
            cwd=tree,
            env=dict(environ),
            stdin=subprocess.DEVNULL,
            stdout=out,
            stderr=out,
            start_new_session=True,
        )
    process.returncode = 0  # ours to wait for, by its descriptor: the library is to leave it alone
    return process.pid


def find(token: str, pid: int) -> int:
    """The process that bears a mark, looked for under `pid` first; 0 where none lives."""
    if pid and _bears(pid, token):
        return pid
    return next((one for one in pids() if _bears(one, token)), 0)


def pids() -> Iterator[int]:
    """All that the system tells of, those that have just ended too."""
    return (int(entry.name) for entry in PROC.iterdir() if entry.name.isdecimal())


def marks(pid: int) -> list[bytes]:
    """What a process was started with, `NAME=value` each; none for one that has ended or is not ours."""
    try:
        state = (PROC / str(pid) / "stat").read_text().rsplit(") ", 1)[1][0]
        return [] if state in "ZX" else (PROC / str(pid) / "environ").read_bytes().split(b"\0")
    except (OSError, IndexError):
        return []


def _bears(pid: int, token: str) -> bool:
    return f"{KEPT}={token}".encode() in marks(pid)


def tell(pid: int, number: int) -> None:
    """Send a signal; a process that has just gone is none to be told."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, number)


def watch(pid: int, ended: Ended) -> Callable[[], None]:
    """Have `ended` called once with how it ended and by whose doing. Returns what ends the watch.

    A child tells how it ended; one that a former keeper started does not tell us.
    """
    loop = asyncio.get_running_loop()
    try:
        fd = os.pidfd_open(pid)
    except ProcessLookupError:
        loop.call_soon(ended, "it had ended before anybody looked", "unseen")
        return lambda: None

    def over() -> None:
        nonlocal fd
        if fd >= 0:
            loop.remove_reader(fd)
            os.close(fd)
            fd = -1

    def readable() -> None:
        try:
            _, status = os.waitpid(pid, os.WNOHANG)
            how, fault = describe(status)
        except ChildProcessError:
            how, fault = "how it ended was not to be seen", "unseen"
        over()
        ended(how, fault)

    loop.add_reader(fd, readable)
    return over


def describe(status: int) -> tuple[str, Fault]:
    """A wait status in words, and whose doing it was."""
    if os.WIFSIGNALED(status):
        number = os.WTERMSIG(status)
        try:
            name = signal.Signals(number).name
        except ValueError:
            name = f"signal {number}"
        return f"killed by {name}", "own" if number in OWN else "outside"
    return f"exit code {os.WEXITSTATUS(status)}", "own"
