"""A model worker's stand-in: streams a few events, and heeds what the protocol asks of a worker."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from aiohttp import web

from heronstall.transport.connection_limits import RequestLimits

EVENTS = 5  # of one run


class Worker:
    """Streams events; `pause` is the time between them in seconds, `padding` a text added to each."""

    def __init__(self, address: str, name: str = "i-1", pause: float = 0.0) -> None:
        self.address, self.name, self.pause = address, name, pause
        self.padding = ""
        self.runs: dict[str, int] = {}  # by request id
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen."""
        self._runner = web.ServerRunner(web.Server(self._answer, request_factory=_create_request))
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Close everything."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        name = request.headers["Heronstall-Request-Id"]
        if request.headers.get("Heronstall-Target-Instance") != self.name:
            return web.Response(status=421, headers={"Heronstall-Not-Executed": "1"})
        self.runs[name] = self.runs.get(name, 0) + 1
        headers = {
            "Content-Type": "text/event-stream",
            "Heronstall-Request-Id": name,
            "Heronstall-Response-Signature": f"sig-{name}",
        }
        response = web.StreamResponse(headers=headers)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        with contextlib.suppress(ConnectionResetError):  # the dispatcher has given this run up
            await response.prepare(request)
            for number in range(first, EVENTS + 1):
                await response.write(f"id: {number}\ndata: {name}-{number}{self.padding}\n\n".encode())
                await asyncio.sleep(self.pause)
            await response.write_eof()
        return response


def _create_request(message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> web.BaseRequest:
    """Create a request whose body may be as large as a client's; aiohttp takes 1 MB by itself."""
    loop = asyncio.get_running_loop()
    return web.BaseRequest(
        message, payload, protocol, writer, task, loop, client_max_size=RequestLimits().body_bytes
    )


def text_of(name: str) -> str:
    """The whole output of a run."""
    return "\n".join(f"{name}-{n}" for n in range(1, EVENTS + 1))
