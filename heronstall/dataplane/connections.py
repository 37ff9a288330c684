"""Keep-alive connections to one worker: which is reused next, and how long one may stay idle."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import aiohttp
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection

INITIAL_IDLE_LIMIT_S = 2.0  # until the worker advertises its keep-alive timeout
ADVERTISED_SHARE = 0.7  # fraction of the advertised timeout that is used
RESET_SHARE = 0.6  # fraction, used as the new limit, of the idle time after which a connection was reset
MIN_IDLE_LIMIT_S = 0.1
RECOVERY_FACTOR = 1.04  # by which each response lengthens a limit that a reset has shortened


class IdleLimit:
    """How long a connection to one worker may stay idle before it is no longer reused. Performs no I/O.

    A worker may drop an idle connection silently. A request sent on it is then reset, and must not be sent
    again if a second execution is forbidden. The limit follows the worker's advertised timeout and is
    shortened by resets.
    """

    def __init__(self) -> None:
        self._advertised = INITIAL_IDLE_LIMIT_S
        self._observed = float("inf")

    @property
    def seconds(self) -> float:
        """The current limit."""
        return min(self._advertised, self._observed)

    def set_advertised(self, seconds: float) -> None:
        """Sets the keep-alive timeout that the worker has advertised."""
        self._advertised = max(MIN_IDLE_LIMIT_S, ADVERTISED_SHARE * seconds)

    def record_reset(self, idle_seconds: float) -> None:
        """Records that a connection was reset by the first request after this idle time."""
        self._observed = max(MIN_IDLE_LIMIT_S, min(self._observed, RESET_SHARE * idle_seconds))

    def record_response(self) -> None:
        """Records that a request was answered."""
        self._observed *= RECOVERY_FACTOR


class MostRecentlyUsedConnector(aiohttp.TCPConnector):
    """Reuses the connection with the shortest idle time first, and reports that idle time."""

    def __init__(self, limit: IdleLimit) -> None:
        super().__init__(
            limit=0, keepalive_timeout=INITIAL_IDLE_LIMIT_S, enable_cleanup_closed=False, use_dns_cache=False
        )
        self._idle_limit = limit
        self._idle_times: dict[asyncio.Task[Any] | None, float] = {}

    async def _get(self, key: ConnectionKey, traces: list[Any]) -> Connection | None:
        # aiohttp reuses the connection with the longest idle time first; its public API has no other order.
        self._keepalive_timeout = self._idle_limit.seconds
        self._close_unusable(key)
        idle = self._conns.get(key)
        idle_seconds: float | None = None
        if idle:
            idle.rotate(1)
            idle_seconds = time.monotonic() - idle[0][1]
        connection = await super()._get(key, traces)
        if connection is not None and idle_seconds is not None:
            self._idle_times[asyncio.current_task()] = idle_seconds
        return connection

    def _close_unusable(self, key: ConnectionKey) -> None:
        """Closes idle connections that received unrequested bytes, which may be a late response."""
        idle = self._conns.get(key)
        for entry in [e for e in idle or () if e[0].should_close]:
            entry[0].close()
            idle.remove(entry)  # type: ignore[union-attr]
        if idle is not None and not idle:
            del self._conns[key]

    def has_idle_connection(self, now: float) -> bool:
        """Returns whether an idle connection can still be reused."""
        limit = self._idle_limit.seconds
        return any(idle and now - idle[-1][1] < limit for idle in self._conns.values())

    def close_idle_connections(self) -> None:
        """Closes all idle connections."""
        for idle in self._conns.values():
            for protocol, _ in idle:
                protocol.close()
        self._conns.clear()

    def pop_idle_seconds(self) -> float | None:
        """Removes and returns the idle time of the connection that this task obtained; None for a new one."""
        return self._idle_times.pop(asyncio.current_task(), None)
