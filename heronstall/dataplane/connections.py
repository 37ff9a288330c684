"""Kept connections to one worker: which is used next, and how long one may rest."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import aiohttp
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection

FIRST_REST = 2.0  # seconds that a connection may rest before the worker has told more
TOLD_SHARE = 0.7  # part of the told time that is used
BROKEN_SHARE = 0.6  # part of a rest after which a connection was found broken
LEAST_REST = 0.1  # seconds
REGAINED = 1.04  # by which each answer lengthens a rest that was shortened


class RestLimit:
    """Seconds that a connection to one worker may rest: told by it, shortened by what breaks. Free of I/O.

    A worker may forget a resting connection without a word; what is sent on it then is reset, and may not
    be sent again where a second run is forbidden.
    """

    def __init__(self) -> None:
        self._told = FIRST_REST
        self._seen = float("inf")

    @property
    def seconds(self) -> float:
        """The limit that holds now."""
        return min(self._told, self._seen)

    def told(self, seconds: float) -> None:
        """The worker says how long it lets a connection rest."""
        self._told = max(LEAST_REST, TOLD_SHARE * seconds)

    def broken_after(self, rest: float) -> None:
        """A connection that had rested for so long was reset by the first thing sent on it."""
        self._seen = max(LEAST_REST, min(self._seen, BROKEN_SHARE * rest))

    def answered(self) -> None:
        """A request was answered."""
        self._seen *= REGAINED


class FreshestFirst(aiohttp.TCPConnector):
    """Uses the connection first that has rested least, and tells how long that was."""

    def __init__(self, limit: RestLimit) -> None:
        super().__init__(
            limit=0, keepalive_timeout=FIRST_REST, enable_cleanup_closed=False, use_dns_cache=False
        )
        self._rest_limit = limit
        self._rested: dict[asyncio.Task[Any] | None, float] = {}

    async def _get(self, key: ConnectionKey, traces: list[Any]) -> Connection | None:
        # The library's own order is the longest-rested first; it has no public word for another.
        self._keepalive_timeout = self._rest_limit.seconds
        self._end_spoiled(key)
        kept = self._conns.get(key)
        rest: float | None = None
        if kept:
            kept.rotate(1)
            rest = time.monotonic() - kept[0][1]
        connection = await super()._get(key, traces)
        if connection is not None and rest is not None:
            self._rested[asyncio.current_task()] = rest
        return connection

    def _end_spoiled(self, key: ConnectionKey) -> None:
        """End resting connections on which bytes came for which no request waits: an old answer, maybe."""
        kept = self._conns.get(key)
        for entry in [e for e in kept or () if e[0].should_close]:
            entry[0].close()
            kept.remove(entry)  # type: ignore[union-attr]
        if kept is not None and not kept:
            del self._conns[key]

    def has_kept(self, now: float) -> bool:
        """Whether a connection rests here that may still be used."""
        limit = self._rest_limit.seconds
        return any(kept and now - kept[-1][1] < limit for kept in self._conns.values())

    def forget_kept(self) -> None:
        """End all connections that rest."""
        for kept in self._conns.values():
            for protocol, _ in kept:
                protocol.close()
        self._conns.clear()

    def rest_of_this_task(self) -> float | None:
        """How long the connection that this task was given had rested; None for a new one."""
        return self._rested.pop(asyncio.current_task(), None)
