"""Talk between the processes of a run: messages over a pipe, read by asyncio."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from multiprocessing.connection import Connection
from typing import Any

Message = tuple[str, Any]


def listen(pipe: Connection, call: Callable[[str, Any], None], ended: Callable[[], None]) -> None:
    """Have `call` made with each message; `ended` once the other end has closed."""
    loop = asyncio.get_running_loop()

    def readable() -> None:
        try:
            while pipe.poll():
                what, value = pipe.recv()
                call(what, value)
        except (EOFError, OSError):
            loop.remove_reader(pipe.fileno())
            ended()

    loop.add_reader(pipe.fileno(), readable)


def end(done: asyncio.Future[None]) -> None:
    """Have a process's main return."""
    if not done.done():
        done.set_result(None)
