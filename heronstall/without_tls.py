"""Keeps `ssl` out of a process. Imported first, before asyncio and aiohttp, by programs that speak no TLS.

aiohttp reads the machine's certificates as soon as it is imported. Nodes talk plain HTTP and frames, and
restart often: without it a start takes a third less processor time and 4 MB less memory. All libraries in use
take its absence for a Python that was built without it.
"""

from __future__ import annotations

import sys

sys.modules["ssl"] = None  # type: ignore[assignment]
