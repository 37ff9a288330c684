"""Waiting for events with a timeout, and ending a timeout early."""

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


def expire_now(timeout: asyncio.Timeout) -> None:
    """Makes an entered timeout expire at once.

    One that has expired is left alone: its task may not have run since, and asyncio forbids to reschedule it.
    """
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())
