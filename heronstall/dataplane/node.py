"""An edge node: everything that the data plane program runs, put together."""

from __future__ import annotations

import asyncio
import random
import time

import structlog
from aiohttp import web

from heronstall.config import NodeSettings
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.batch_front import BatchFront
from heronstall.dataplane.batch_runner import BatchRunner
from heronstall.dataplane.deferred import DeferredLane
from heronstall.dataplane.forwarding import Forwarder
from heronstall.dataplane.ingress import Ingress
from heronstall.dataplane.misses import MissLog
from heronstall.dataplane.placing import PromptPlacer
from heronstall.dataplane.routing import read_routes
from heronstall.dataplane.shard_client import ShardClient
from heronstall.dataplane.subset import Seat
from heronstall.dataplane.workers import WorkerPool
from heronstall.distribution.freshness import StalenessLimits
from heronstall.distribution.view import ControlStateView
from heronstall.sessions.loads import pack_loads
from heronstall.transport.http_server import HttpServer
from heronstall.transport.links import Links
from heronstall.transport.messages import Session
from heronstall.transport.pulling import Puller

log = structlog.get_logger()

LEAVE_AFTER = 2.3  # seconds of not being ready until clients have gone elsewhere
SWEEP = 1.0  # seconds between looks for connections that rest too long
LAST_MOMENT = 0.6  # seconds of the grace time that are kept for the end
GIVEN_UP_WITHIN = 0.3  # seconds of these in which clients are told of what has been given up
CLOSED_WITHIN = 0.05  # seconds in which connections to workers are closed


class EdgeNode:
    """One dispatcher."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        rng = random.Random()
        self.links = Links()
        self.view = ControlStateView()
        self.pool = WorkerPool()
        self.admission = Admission(self.pool, rng, settings.zone)
        shards = ShardClient(self.links, self.view)
        self.deferred = DeferredLane(self.admission.utilisation)
        self.misses = MissLog()
        self.runner = BatchRunner(
            settings.name, shards, self.admission, self.deferred, lambda: self.ingress.routes, self.misses
        )
        forwarder = Forwarder(
            self.pool,
            self.admission,
            lambda request: self.front.closes_after(request),
            self.misses,
            PromptPlacer(self.links, self.view),
        )
        bounds = settings.bounds
        self.ingress = Ingress(
            forwarder,
            BatchFront(shards, self.misses, lambda: self.front.ending),
            self.deferred,
            rng,
            lambda: time.monotonic() - self.puller.known_at,
            StalenessLimits.from_bounds(bounds.config_apply, bounds.max_skew, bounds.recover),
        )

        def seeds() -> list[str]:
            return settings.read_again().seed_addresses

        self.puller = Puller(self.links, self.view, self._session, seeds, self._news, self._answered)
        self._tasks: list[asyncio.Task[None]] = []
        self.front = HttpServer(
            self.ingress.handle,
            lambda: self.ingress.routes.limits.body_bytes,
            auto_decompress=False,
            lingering_time=1.0,
            handler_cancellation=True,
        )
        self._readiness = HttpServer(self._ready, lambda: 0)

    async def start(self) -> None:
        """Begin to pull the control state and to listen."""
        runs = (
            self.puller.run(),
            self.runner.report(),
            self.deferred.run(),
            self.pool.watch(),
            self.misses.run(),
            self._sweep(),
        )
        self._tasks = [asyncio.create_task(run) for run in runs]
        await self.front.listen(self.settings.listen["front"])
        await self._readiness.listen(self.settings.listen["readiness"])

    async def stop(self) -> None:
        """Leave without a cut answer: out of the platform's list, then no more connections, then the end."""
        began = time.monotonic()
        until = began + self.settings.bounds.grace - LAST_MOMENT
        self.front.ending = True
        self._tell_drain("begun", began)
        await self.runner.stop()
        await asyncio.sleep(LEAVE_AFTER)
        self._tell_drain("front closes", began)
        await self.front.finish(until)
        await self.runner.finish(until)
        if self.front.connections:
            self._tell_drain("gives up", began)
            self.ingress.give_up()
            await self.front.finish(time.monotonic() + GIVEN_UP_WITHIN)
        self.pool.close()
        await asyncio.sleep(CLOSED_WITHIN)
        self.misses.tell()
        self._tell_drain("ended", began)
        for task in self._tasks:
            task.cancel()

    def _tell_drain(self, step: str, began: float) -> None:
        connections = self.front.connections
        log.info(
            "drain",
            step=step,
            seconds=round(time.monotonic() - began, 3),
            connections=len(connections),
            resting=sum(connection.rests for connection in connections),
            requests=self.ingress.active,
        )

    async def _sweep(self) -> None:
        """Close connections on which no whole head has come for the configured time."""
        while True:
            await asyncio.sleep(SWEEP)
            self.front.close_idle(self.ingress.routes.limits.idle_timeout + SWEEP)

    def _session(self) -> Session:
        address = f"{self.settings.ip}:{self.settings.port}"
        return Session(
            name=self.settings.name,
            machine_class="edge",
            address=address,
            zone=self.settings.zone,
            loads=pack_loads(self.pool.loads()),
        )

    def _answered(self) -> None:
        self.pool.seat = Seat(self.view.dispatcher_rank, self.view.dispatcher_count)
        self.pool.take_loads(self.view.loads)

    def _news(self, changed: set[str]) -> None:
        if "config" in changed:
            self.ingress.routes = read_routes(self.view.document)
            log.info("configuration", revision=self.ingress.routes.revision)
            self.runner.routes_changed()
        if "workers" in changed:
            self.pool.update(self.view.all_workers())

    async def _ready(self, request: web.BaseRequest) -> web.StreamResponse:
        ready = self.ingress.may_serve and not self.front.ending
        return web.Response(status=200 if ready else 503)
