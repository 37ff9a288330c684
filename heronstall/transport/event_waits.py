"""Waiting for events with a timeout."""

from __future__ import annotations

import asyncio


async def wait_at_most(event: asyncio.Event, seconds: float) -> bool:
    """Waits until the event is set, at most this many seconds, and returns whether it is set."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        pass
    return event.is_set()
