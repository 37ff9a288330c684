"""What clients, workers and operators send to a local tier."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import aiohttp

from heronstall.lab.tier.plan import CONTROL, FRONT, READY, Plan
from heronstall.lab.tier.worker import Worker, text_of

HOST, STREAM, LOTS = "counter.example", "/quote/", "/lots/"
SERVICE = "lm"
LOOK = 0.05  # seconds between looks for what is waited for
BEAT_EVERY = 0.4  # seconds between a worker's heartbeats
CAPACITY = 8  # requests that a worker runs at a time
TROUBLES = (aiohttp.ClientError, OSError, TimeoutError)


class Streamed(NamedTuple):
    """An answer that was streamed; `first` is the time to its first byte in seconds."""

    status: int
    signature: str
    text: str
    first: float

    @property
    def data(self) -> str:
        """The events' data, a line each."""
        return "\n".join(line[6:] for line in self.text.splitlines() if line.startswith("data: "))

    def whole(self, name: str) -> bool:
        """Whether it is all that the worker's stand-in says to this request, signed by it."""
        return (self.status, self.signature, self.data) == (200, f"sig-{name}", text_of(name))


async def until(wanted: Callable[[], Awaitable[Any]], within: float = 20.0) -> Any:
    """The first answer of `wanted` that is true. Raises TimeoutError."""
    async with asyncio.timeout(within):
        while True:
            try:
                found = await wanted()
            except TROUBLES:
                found = None
            if found:
                return found
            await asyncio.sleep(LOOK)


def configuration(revision: int, service: str = SERVICE, retention_s: int = 60) -> dict[str, Any]:
    """A configuration with a streamed route and one for batch jobs."""
    common: dict[str, Any] = {"hostname": HOST, "timeout_ms": 5000, "service": service, "max_attempts": 3}
    stream = {**common, "name": "quote", "path_prefix": STREAM, "route_type": "streaming"}
    lots = {
        **common,
        "name": "lots",
        "path_prefix": LOTS,
        "route_type": "batch",
        "target_latency_ms": 400,
        "completion_target_ms": 8000,
        "retention_s": retention_s,
        "priority": 2,
    }
    return {"revision": revision, "routes": [stream, lots], "services": [{"name": service}], "limits": {}}


async def stream_at(calls: aiohttp.ClientSession, address: str, name: str) -> Streamed:
    """A streamed request to a dispatcher's address."""
    headers = {"Host": HOST, "Heronstall-Request-Id": name, "Heronstall-Deadline-Ms": "5000"}
    began = time.monotonic()
    async with calls.post(f"http://{address}{STREAM}x", headers=headers, data=b"prompt") as answer:
        signature = answer.headers.get("Heronstall-Response-Signature", "")
        begin = await answer.content.readany()
        first = time.monotonic() - began
        return Streamed(answer.status, signature, (begin + await answer.read()).decode(), first)


async def submit_at(calls: aiohttp.ClientSession, address: str, job: str, items: int) -> int:
    """Submit a batch job once to a dispatcher's address; the status."""
    listed = [
        {"id": f"{job}-{n}", "path": f"{LOTS}{n}", "headers": {}, "body": "cGF5", "tokens": 10}
        for n in range(items)
    ]
    headers = {"Host": HOST, "Heronstall-Request-Id": job}
    url = f"http://{address}{LOTS}{job}"
    async with calls.post(url, headers=headers, json={"requests": listed}) as answer:
        return answer.status


async def read_at(
    calls: aiohttp.ClientSession, address: str, job: str, start: int = 0, wait_ms: int = 0
) -> tuple[int, list[dict[str, Any]]]:
    """Read a job's results from a position on, once: the status, and what was read."""
    headers = {"Host": HOST}
    if wait_ms:
        headers["Heronstall-Wait-Ms"] = str(wait_ms)
    url = f"http://{address}/-/lots/{job}?start_after={start}"
    async with calls.get(url, headers=headers) as answer:
        found: list[dict[str, Any]] = (await answer.json())["results"] if answer.status == 200 else []
        return answer.status, found


class Client:
    """Calls to the nodes of a plan. `close` ends its connections."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self.calls = aiohttp.ClientSession()

    async def close(self) -> None:
        """End all connections."""
        await self.calls.close()

    # ------------------------------------------------------------------ workers

    async def beat(self, worker: Worker) -> None:
        """Send a worker's heartbeats until cancelled."""
        sequence = 0
        while True:
            sequence += 1
            for core in self._plan.cores:
                if await self._beat_at(core, worker, sequence):
                    break
            await asyncio.sleep(BEAT_EVERY)

    async def _beat_at(self, core: str, worker: Worker, sequence: int) -> bool:
        beat = {
            "service": SERVICE,
            "address": worker.address,
            "zone": "z",
            "state": "ready",
            "capacity": CAPACITY,
            "sequence": sequence,
        }
        url = f"http://{core}:{CONTROL}/-/instances/{worker.name}"
        limit = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.calls.put(url, json=beat, timeout=limit) as answer:
                return answer.status == 200
        except TROUBLES:
            return False

    # ------------------------------------------------------------------ the operator

    async def configure(self, document: dict[str, Any], base: int) -> int:
        """Send a configuration to the core nodes in turn until one answers clearly; its status."""

        async def order() -> int | None:
            for core in self._plan.cores:
                url = f"http://{core}:{CONTROL}/-/config"
                limit = aiohttp.ClientTimeout(total=3.0)
                headers = {"If-Match": str(base)}
                async with self.calls.put(url, json=document, headers=headers, timeout=limit) as answer:
                    if answer.status in (200, 400, 412):
                        return answer.status
            return None

        return int(await until(order))

    async def configured(self) -> dict[str, Any]:
        """The configuration as the operator reads it."""

        async def read() -> dict[str, Any] | None:
            for core in self._plan.cores:
                try:
                    async with self.calls.get(f"http://{core}:{CONTROL}/-/config") as answer:
                        if answer.status == 200:
                            return dict(await answer.json())
                except TROUBLES:
                    continue
            return None

        return dict(await until(read))

    async def ready(self, within: float = 20.0) -> None:
        """Return when all dispatchers are ready, a worker serves, and batch jobs have an owner."""

        async def look() -> bool:
            for edge in self._plan.edges:
                async with self.calls.get(f"http://{edge}:{READY}/-/readyz") as answer:
                    if answer.status != 200:
                        return False
                streamed = await self.stream(edge, f"ready-{random.getrandbits(40):x}")
                if streamed.status != 200 or await self.read_once(edge, "none") != 404:
                    return False
            return True

        await until(look, within)

    # ------------------------------------------------------------------ clients

    async def stream(self, edge: str, name: str) -> Streamed:
        """A streamed request."""
        return await stream_at(self.calls, f"{edge}:{FRONT}", name)

    async def submit(self, edge: str, job: str, items: int) -> int:
        """Submit a batch job once; the status."""
        return await submit_at(self.calls, f"{edge}:{FRONT}", job, items)

    async def read(self, edge: str, job: str, start: int = 0) -> tuple[int, list[dict[str, Any]]]:
        """Read a job's results from a position on, once: the status, and what was read."""
        return await read_at(self.calls, f"{edge}:{FRONT}", job, start)

    async def read_once(self, edge: str, job: str) -> int:
        """Read a job's results once; the status."""
        return (await self.read(edge, job))[0]

    async def results(self, edge: str, job: str, items: int, within: float = 30.0) -> list[dict[str, Any]]:
        """All results of a job in position, once there are so many. Raises TimeoutError, AssertionError."""

        async def read() -> list[dict[str, Any]] | None:
            status, found = await self.read(edge, job)
            assert status != 404, "an accepted job is not known"
            return found if len(found) == items else None

        return list(await until(read, within))
