"""Long-lived tasks of a process: one that fails is logged and started again."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

log = structlog.get_logger()

INITIAL_RESTART_DELAY_S = 0.1  # doubled by each further failure
MAX_RESTART_DELAY_S = 5.0
STABLE_AFTER_S = 30.0  # that a task must run until its earlier failures are forgotten

Run = Callable[[], Coroutine[Any, Any, None]]


class BackgroundTasks:
    """The long-lived tasks of one node.

    Each runs until it returns or is cancelled. An exception does not end it: it is logged with its stack and
    the task is started again, so that no work of the node stops unseen for the life of the process.
    """

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, run: Run) -> None:
        """Starts a task, which must find all that it needs in the state of its node when it starts again."""
        self._tasks.append(asyncio.create_task(_run_restarting(name, run), name=name))

    def start_once(self, name: str, run: Run) -> None:
        """Starts a task that must not go on after a failure, since it may have left its work half done."""
        self._tasks.append(asyncio.create_task(_run_once(name, run), name=name))

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()


async def _run_restarting(name: str, run: Run) -> None:
    delay = INITIAL_RESTART_DELAY_S
    while True:
        started_at = time.monotonic()
        try:
            await run()
            return
        except Exception:
            if time.monotonic() - started_at >= STABLE_AFTER_S:
                delay = INITIAL_RESTART_DELAY_S
            log.exception("background task failed", task=name, restart_s=delay)
        await asyncio.sleep(delay)
        delay = min(MAX_RESTART_DELAY_S, 2 * delay)


async def _run_once(name: str, run: Run) -> None:
    try:
        await run()
    except Exception:
        log.exception("background task failed", task=name, restart_s=None)
