"""An asyncio loop whose clock jumps to the next timer: no test waits for real seconds."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

T = TypeVar("T")
START = 1_000.0  # seconds on the clock at the start


class Stuck(AssertionError):
    """Nothing is scheduled, and the test is not over."""


class _Selector(selectors.SelectSelector):
    """Passes time instead of waiting for sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise Stuck("no timer, no callback")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop in virtual time."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


def run_virtually(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time, which `time.monotonic` tells too."""
    loop = VirtualLoop()
    with mock.patch("time.monotonic", loop.time):
        try:
            return loop.run_until_complete(main)
        finally:
            left = asyncio.all_tasks(loop)
            for task in left:
                task.cancel()
            if left:
                loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
            loop.close()
