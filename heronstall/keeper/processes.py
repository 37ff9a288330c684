"""Processes of this machine: started apart from their supervisor, found by token, watched to exit."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path

from heronstall.keeper.dispatcher_state import ExitCause
from heronstall.keeper.release import TOKEN_VARIABLE

# Signals that a program raises by its own faults; any other signal comes from a person or the system.
SELF_CAUSED_SIGNALS = frozenset(
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
ExitHandler = Callable[[str, ExitCause], None]


def start_process(command: Sequence[str], tree: str, environ: Mapping[str, str], log: Path) -> int:
    """Starts a process in its own session, independent of the supervisor's. Raises OSError."""
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
    process.returncode = 0  # keeps subprocess from reaping it: its exit is awaited through a pidfd
    return process.pid


def find_process(token: str, pid: int) -> int:
    """Returns the pid of the process with a token, trying `pid` first; 0 if none lives."""
    if pid and _has_token(pid, token):
        return pid
    return next((other for other in list_pids() if _has_token(other, token)), 0)


def list_pids() -> Iterator[int]:
    """Yields the pids of all processes, including those that have just exited."""
    return (int(entry.name) for entry in PROC.iterdir() if entry.name.isdecimal())


def environment_entries(pid: int) -> list[bytes]:
    """Returns a process's initial environment as `NAME=value`; empty if it exited or is not accessible."""
    try:
        state = (PROC / str(pid) / "stat").read_text().rsplit(") ", 1)[1][0]
        return [] if state in "ZX" else (PROC / str(pid) / "environ").read_bytes().split(b"\0")
    except (OSError, IndexError):
        return []


def _has_token(pid: int, token: str) -> bool:
    return f"{TOKEN_VARIABLE}={token}".encode() in environment_entries(pid)


def send_signal(pid: int, number: int) -> None:
    """Sends a signal; does nothing if the process has exited."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, number)


def watch_exit(pid: int, on_exit: ExitHandler) -> Callable[[], None]:
    """Calls `on_exit` once with the exit's description and cause. Returns a function that stops watching.

    The status is known for child processes only, not for those that a former supervisor started.
    """
    loop = asyncio.get_running_loop()
    try:
        fd = os.pidfd_open(pid)
    except ProcessLookupError:
        loop.call_soon(on_exit, "it had ended before anybody looked", "unseen")
        return lambda: None

    def stop() -> None:
        nonlocal fd
        if fd >= 0:
            loop.remove_reader(fd)
            os.close(fd)
            fd = -1

    def readable() -> None:
        try:
            _, status = os.waitpid(pid, os.WNOHANG)
            how, cause = describe_exit(status)
        except ChildProcessError:
            how, cause = "how it ended was not to be seen", "unseen"
        stop()
        on_exit(how, cause)

    loop.add_reader(fd, readable)
    return stop


def describe_exit(status: int) -> tuple[str, ExitCause]:
    """Returns the description and cause of a wait status."""
    if os.WIFSIGNALED(status):
        number = os.WTERMSIG(status)
        try:
            name = signal.Signals(number).name
        except ValueError:
            name = f"signal {number}"
        return f"killed by {name}", "own" if number in SELF_CAUSED_SIGNALS else "outside"
    return f"exit code {os.WEXITSTATUS(status)}", "own"
