"""An edge node: everything that the data plane program runs, put together."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

import structlog
from aiohttp import web

from heronstall.config import NodeSettings
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.batch_front import BatchFront
from heronstall.dataplane.batch_runner import BatchRunner
from heronstall.dataplane.deferred import DeferredLane
from heronstall.dataplane.forwarding import Forwarder
from heronstall.dataplane.ingress import Ingress
from heronstall.dataplane.routing import read_routes
from heronstall.dataplane.shard_client import ShardClient
from heronstall.dataplane.subset import Seat
from heronstall.dataplane.workers import WorkerPool
from heronstall.distribution.freshness import KnowledgeLimits
from heronstall.distribution.view import View
from heronstall.sessions.loads import pack
from heronstall.transport.links import Links
from heronstall.transport.messages import Session
from heronstall.transport.pulling import Puller

log = structlog.get_logger()

LEAVE_AFTER = 2.3  # seconds of not being ready until clients have gone elsewhere
SWEEP = 1.0  # seconds between looks for connections that rest too long
LAST_MOMENT = 0.6  # seconds of the grace time that are kept for the end


class EdgeNode:
    """One dispatcher."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        rng = random.Random()
        self.links = Links()
        self.view = View()
        self.pool = WorkerPool()
        self.admission = Admission(self.pool, rng, settings.zone)
        shards = ShardClient(self.links, self.view)
        self.deferred = DeferredLane(self.admission.utilisation)
        self.runner = BatchRunner(
            settings.name, shards, self.admission, self.deferred, lambda: self.ingress.routes
        )
        forwarder = Forwarder(self.pool, self.admission)
        bounds = settings.bounds
        self.ingress = Ingress(
            forwarder,
            BatchFront(shards),
            self.deferred,
            rng,
            lambda: time.monotonic() - self.puller.known_at,
            KnowledgeLimits.within(bounds.config_apply, bounds.max_skew, bounds.recover),
        )

        def seeds() -> list[str]:
            return settings.read_again().seed_addresses

        self.puller = Puller(self.links, self.view, self._session, seeds, self._news, self._answered)
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[web.ServerRunner] = []
        self._seen: dict[Any, float] = {}  # front connections: their latest answer, or when first seen

    async def start(self) -> None:
        """Begin to pull the control state and to listen."""
        runs = (
            self.puller.run(),
            self.runner.report(),
            self.deferred.run(),
            self.pool.watch(),
            self._sweep(),
        )
        self._tasks = [asyncio.create_task(run) for run in runs]
        await self._listen("front", self.ingress.handle, handler_cancellation=True)
        await self._listen("readiness", self._ready)

    async def stop(self) -> None:
        """Leave without a cut answer: out of the platform's list, then no more connections, then the end."""
        began = time.monotonic()
        self.ingress.drain()
        log.info("drain begun", connections=len(self._front_connections()), requests=self.ingress.active)
        await self.runner.stop()
        await asyncio.sleep(LEAVE_AFTER)
        await self._close_front()
        until = began + self.settings.bounds.grace - LAST_MOMENT
        while time.monotonic() < until and (self.ingress.active or self.runner.running):
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)
        log.info(
            "drain ended",
            seconds=round(time.monotonic() - began, 3),
            connections=len(self._front_connections()),
            requests=self.ingress.active,
        )
        for task in self._tasks:
            task.cancel()

    def _front_connections(self) -> list[Any]:
        """Open connections of clients."""
        server = self._runners[0].server if self._runners else None
        return list(server.connections) if server is not None else []

    async def _sweep(self) -> None:
        """Close connections on which no whole head has come for the configured time."""
        while True:
            await asyncio.sleep(SWEEP)
            front = self._runners[0].server if self._runners else None
            if front is None:
                continue
            now, answered = time.monotonic(), self.ingress.answered_at
            self._seen = {c: answered.pop(c, self._seen.get(c, now)) for c in front.connections}
            answered.clear()
            most = self.ingress.routes.limits.idle_timeout + SWEEP
            for connection, since in self._seen.items():
                if now - since > most and _rests(connection):
                    connection.force_close()

    async def _close_front(self) -> None:
        """Take no new connection, and end those that rest; the others end with their answer."""
        front = self._runners[0]
        for site in list(front.sites):
            await site.stop()
        resting = waiting = 0
        for connection in self._front_connections():
            self.ingress.told_to_end.add(connection)
            if _rests(connection):
                resting += 1
                connection.force_close()  # close() alone leaves it open, with nobody to answer
            else:
                waiting += bool(connection._messages)
                connection.close()
        log.info(
            "front closed",
            resting=resting,
            others=len(self.ingress.told_to_end) - resting,
            not_begun=waiting,
            requests=self.ingress.active,
        )

    def _session(self) -> Session:
        address = f"{self.settings.ip}:{self.settings.port}"
        return Session(
            name=self.settings.name,
            machine_class="edge",
            address=address,
            zone=self.settings.zone,
            loads=pack(self.pool.loads()),
        )

    def _answered(self) -> None:
        self.admission.seat = Seat(self.view.edge_number, self.view.edges)
        self.pool.take_loads(self.view.loads)

    def _news(self, changed: set[str]) -> None:
        if "config" in changed:
            self.ingress.routes = read_routes(self.view.document)
            log.info("configuration", revision=self.ingress.routes.revision)
            self.runner.routes_changed()
        if "workers" in changed:
            self.pool.update(self.view.all_workers())

    async def _ready(self, request: web.BaseRequest) -> web.StreamResponse:
        ready = self.ingress.may_serve and not self.ingress.draining
        return web.Response(status=200 if ready else 503)

    async def _listen(self, name: str, handle: Any, **options: Any) -> None:
        server = web.Server(
            handle,
            request_factory=self._request,
            access_log=None,
            max_line_size=65536,
            max_field_size=65536,
            auto_decompress=False,
            lingering_time=1.0,
            **options,
        )
        runner = web.ServerRunner(server)
        await runner.setup()
        host, _, port = self.settings.listen[name].rpartition(":")
        site = web.TCPSite(runner, host, int(port), reuse_address=True, backlog=1024, shutdown_timeout=0.1)
        await site.start()
        self._runners.append(runner)

    def _request(self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> web.BaseRequest:
        limit = self.ingress.routes.limits.body_bytes
        loop = asyncio.get_running_loop()
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=limit)


def _rests(connection: Any) -> bool:
    """Whether a connection waits for a request; aiohttp has no public word for it."""
    waiter = connection._waiter
    return waiter is not None and not waiter.done()
