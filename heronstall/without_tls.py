"""Prevents the import of `ssl`. Programs without TLS import this module before asyncio and aiohttp.

aiohttp loads the machine's certificates on import. Nodes use plain HTTP and frames and restart often; without
`ssl` a start takes a third less processor time and 4 MB less memory. All libraries in use treat its absence
like a Python that was built without it.
"""

from __future__ import annotations

import sys

sys.modules["ssl"] = None  # type: ignore[assignment]
