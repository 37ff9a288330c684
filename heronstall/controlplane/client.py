"""A client of the operator's HTTP API.

It calls any core node, follows up to two redirects, and repeats the request at the next node when the
outcome is unknown.
"""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple
from urllib.parse import urlsplit

ANSWER_TIMEOUT = 1.5  # seconds per node
MAX_REDIRECTS = 2
INITIAL_RETRY_DELAY, MAX_RETRY_DELAY = 0.1, 1.0  # seconds until the next node is called
FINAL_STATUSES = frozenset({200, 400, 404, 405, 409, 412, 413, 422})


class ControlAnswer(NamedTuple):
    """A node's definitive answer."""

    status: int
    body: bytes
    address: str


class NoAnswer(Exception):
    """Raised when no node gave a definitive answer in time. The message names the last error."""


class ControlClient:
    """Calls control nodes in turn until one gives a definitive answer."""

    def __init__(
        self,
        addresses: Sequence[str],
        timeout_seconds: float = 10.0,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._addresses, self._timeout_seconds, self._sleep = list(addresses), timeout_seconds, sleep

    def call(self, method: str, path: str, body: bytes = b"", if_match: str = "") -> ControlAnswer:
        """Sends a request, and repeats it at the next node when a node gives no definitive answer."""
        deadline = time.monotonic() + self._timeout_seconds
        delay, last_error = INITIAL_RETRY_DELAY, "no node was called"
        attempt = 0
        while time.monotonic() < deadline:
            address = self._addresses[attempt % len(self._addresses)]
            attempt += 1
            try:
                answer = self._call_node(address, method, path, body, if_match)
            except (OSError, http.client.HTTPException) as error:
                last_error = f"{address}: {error or type(error).__name__}"
            else:
                if answer.status in FINAL_STATUSES:
                    return answer
                last_error = f"{answer.address}: status {answer.status}"
            self._sleep(delay)
            delay = min(MAX_RETRY_DELAY, 2 * delay)
        raise NoAnswer(last_error)

    def _call_node(self, address: str, method: str, path: str, body: bytes, if_match: str) -> ControlAnswer:
        headers = {"Content-Type": "application/json"}
        if if_match:
            headers["If-Match"] = if_match
        for _ in range(MAX_REDIRECTS + 1):
            connection = http.client.HTTPConnection(address, timeout=ANSWER_TIMEOUT)
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
