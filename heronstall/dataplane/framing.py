"""Tells whether an HTTP response has a self-delimited body."""

from __future__ import annotations

import aiohttp

STATUSES_WITHOUT_BODY = frozenset({204, 304})


def is_framed(upstream: aiohttp.ClientResponse) -> bool:
    """Whether a response has a length or chunks. One that ends with its connection may be truncated."""
    chunked = "chunked" in upstream.headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in upstream.headers or upstream.status in STATUSES_WITHOUT_BODY
