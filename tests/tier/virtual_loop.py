"""An asyncio event loop whose clock jumps to the next timer, so that tests do not wait in real time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

T = TypeVar("T")
START = 1_000.0  # seconds on the virtual clock at the start


class Stuck(AssertionError):
    """Nothing is scheduled, but the test has not finished."""


class _Selector(selectors.SelectSelector):
    """Advances the clock instead of waiting for sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise Stuck("no timer, no callback")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self._selector_clock = _Selector()
        super().__init__(self._selector_clock)

    def time(self) -> float:
        return self._selector_clock.now

    def advance(self, seconds: float) -> None:
        """Lets time pass without running anything, as while the process is stopped."""
        self._selector_clock.now += seconds


def run_virtually(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to completion in virtual time, which `time.monotonic` returns too."""
    loop = VirtualLoop()
    with mock.patch("time.monotonic", loop.time):
        try:
            return loop.run_until_complete(main)
        finally:
            remaining = asyncio.all_tasks(loop)
            for task in remaining:
                task.cancel()
            if remaining:
                loop.run_until_complete(asyncio.gather(*remaining, return_exceptions=True))
            loop.close()
