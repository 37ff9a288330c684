"""A model worker's stand-in, a process of its own: registers, beats, streams events, heeds the protocol.

SIGUSR1 has it leave as PROTOCOL and the news pages say of some workers: it sends DELETE first, serves on for
drain_ms after the acknowledgement and some seconds longer, and ends once nothing runs there.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from typing import Any

import aiohttp
from aiohttp import web

SERVES_ON_LONGER = 6.0  # seconds after drain_ms
LIVE_EVENTS = 3
PLAIN = "/pickups/"  # requests below this path have a plain answer, after this many seconds of work
PLAIN_WORK = 0.15


class Worker:
    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.name, self.address = options["id"], options["address"]
        self.running = 0
        self.sequence = 0
        self.leaving = asyncio.Event()
        self._log = open(options["log"], "a", encoding="utf-8")  # noqa: SIM115

    def log(self, **entry: Any) -> None:
        self._log.write(json.dumps({"at": time.time(), **entry}) + "\n")
        self._log.flush()

    async def serve(self) -> None:
        runner = web.ServerRunner(web.Server(self.answer, handler_cancellation=True))
        await runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, self.leaving.set)
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as calls:
            await self.beat(calls)
            await self.leave(calls)
        await runner.cleanup()

    async def tell(self, calls: aiohttp.ClientSession, method: str, body: Any) -> bool:
        """Tell the control nodes something. Whether one acknowledged it."""
        control = self.options["control"]
        for address in [*control]:
            url = f"http://{address}/-/instances/{self.name}"
            with contextlib.suppress(aiohttp.ClientError, OSError, asyncio.TimeoutError):
                async with calls.request(method, url, json=body) as answer:
                    if 200 <= answer.status < 300:
                        with contextlib.suppress(ValueError, KeyError):
                            preferred = json.loads(await answer.text())["heartbeat_url"]
                            control.sort(key=lambda a: a != preferred)
                        return True
        return False

    async def beat(self, calls: aiohttp.ClientSession) -> None:
        while not self.leaving.is_set():
            self.sequence += 1
            body = {
                "service": self.options["service"],
                "address": self.address,
                "zone": "zone-0",
                "revision": "v1",
                "capacity": self.options["capacity"],
                "state": "ready",
                "cold_remaining_ms": 0,
                "stage": "both",
                "models": [{"name": "m", "revision": 1, "adapters": []}],
                "sequence": self.sequence,
            }
            await self.tell(calls, "PUT", body)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.leaving.wait(), self.options["beat_s"])

    async def leave(self, calls: aiohttp.ClientSession) -> None:
        for _ in range(10):
            if await self.tell(calls, "DELETE", None):
                break
            await asyncio.sleep(0.2)
        self.log(did="deregistered")
        least = time.monotonic() + self.options["drain_s"] + SERVES_ON_LONGER
        while time.monotonic() < least or self.running:
            await asyncio.sleep(0.05)
        self.log(did="ended")

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if request.method == "GET":
            return web.Response(status=200, headers={"Heronstall-Instance-Id": self.name})
        name = request.headers.get("Heronstall-Request-Id", "")
        own = {"Heronstall-Request-Id": name}
        if request.headers.get("Heronstall-Target-Instance", self.name) != self.name:
            return web.Response(status=421, headers=own | {"Heronstall-Not-Executed": "1"})
        if self.running >= self.options["capacity"]:
            return web.Response(status=503, headers=own | {"Heronstall-Not-Executed": "1"})
        self.running += 1
        padding = "x" * self.options.get("padding", 0)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        # items name their tokens here; other requests are short
        events = self.options["events"] if "Heronstall-Token-Usage" in request.headers else LIVE_EVENTS
        self.log(did="runs", id=name, path=request.path, bytes=len(body), first=first)
        outcome = "cut"
        try:
            if request.path.startswith(PLAIN):
                await asyncio.sleep(PLAIN_WORK)
                outcome = "whole"
                stamp = {"Heronstall-Response-Signature": f"sig-{name}"}
                return web.Response(body=f"done {name}".encode(), headers=own | stamp)
            response = web.StreamResponse(
                headers=own
                | {"Content-Type": "text/event-stream", "Heronstall-Response-Signature": f"sig-{name}"}
            )
            await response.prepare(request)
            for number in range(first, events + 1):
                await response.write(f"id: {number}\ndata: {name}-{number}{padding}\n\n".encode())
                await asyncio.sleep(self.options["pause"])
            await response.write_eof()
            outcome = "whole"
            return response
        finally:
            self.running -= 1
            self.log(did="ended run", id=name, outcome=outcome)


if __name__ == "__main__":
    print(os.getpid(), flush=True)
    asyncio.run(Worker(json.loads(sys.argv[1])).serve())
