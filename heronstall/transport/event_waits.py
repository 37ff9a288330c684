"""Waiting for events with a timeout."""

from __future__ import annotations

import asyncio


async def wait_at_most(event: asyncio.Event, seconds: float) -> None:
    """Returns when the event is set or after the given number of seconds."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
