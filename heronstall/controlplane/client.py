"""Calls the operator's API as its page asks: any node, two redirects, the same again when unsure."""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple
from urllib.parse import urlsplit

ANSWER_WITHIN = 1.5  # seconds for one node
REDIRECTS = 2
FIRST_PAUSE, MOST_PAUSE = 0.1, 1.0  # seconds before the next node is called
FINAL = frozenset({200, 400, 404, 405, 409, 412, 413, 422})


class ControlAnswer(NamedTuple):
    """A node's clear answer."""

    status: int
    body: bytes
    address: str


class NoAnswer(Exception):
    """No node gave a clear answer in time; the message says what the last one said."""


class ControlClient:
    """Calls control nodes in turn until one answers clearly."""

    def __init__(
        self, addresses: Sequence[str], within: float = 10.0, pause: Callable[[float], None] = time.sleep
    ) -> None:
        self._addresses, self._within, self._pause = list(addresses), within, pause

    def call(self, method: str, path: str, body: bytes = b"", if_match: str = "") -> ControlAnswer:
        """Send one order, the same again to the next node when a node is silent or can't say."""
        until = time.monotonic() + self._within
        pause, last = FIRST_PAUSE, "no node was called"
        turn = 0
        while time.monotonic() < until:
            address = self._addresses[turn % len(self._addresses)]
            turn += 1
            try:
                answer = self._at(address, method, path, body, if_match)
            except (OSError, http.client.HTTPException) as error:
                last = f"{address}: {error or type(error).__name__}"
            else:
                if answer.status in FINAL:
                    return answer
                last = f"{answer.address}: status {answer.status}"
            self._pause(pause)
            pause = min(MOST_PAUSE, 2 * pause)
        raise NoAnswer(last)

    def _at(self, address: str, method: str, path: str, body: bytes, if_match: str) -> ControlAnswer:
        headers = {"Content-Type": "application/json"}
        if if_match:
            headers["If-Match"] = if_match
        for _ in range(REDIRECTS + 1):
            connection = http.client.HTTPConnection(address, timeout=ANSWER_WITHIN)
            try:
                connection.request(method, path, body or None, headers)
                response = connection.getresponse()
                content = response.read()
            finally:
                connection.close()
            location = response.getheader("Location")
            if response.status != 307 or location is None:
                return ControlAnswer(response.status, content, address)
            address = urlsplit(location).netloc
        return ControlAnswer(307, b"", address)
