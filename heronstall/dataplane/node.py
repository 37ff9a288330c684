"""A dispatcher node: assembles everything that the data plane program runs."""

from __future__ import annotations

import asyncio
import math
import random
import time

import structlog
from aiohttp import web

from heronstall.background_tasks import BackgroundTasks
from heronstall.config import NodeSettings
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.batch_api import BatchApi
from heronstall.dataplane.batch_runner import BatchRunner
from heronstall.dataplane.deferred import DeferredQueue
from heronstall.dataplane.forwarding import Forwarder
from heronstall.dataplane.ingress import Ingress
from heronstall.dataplane.misses import MissLog
from heronstall.dataplane.prompt_placement import PromptPlacer
from heronstall.dataplane.shard_client import ShardClient
from heronstall.dataplane.subset import DispatcherPosition
from heronstall.dataplane.workers import WorkerPool
from heronstall.distribution.freshness import StalenessLimits, complete_until
from heronstall.distribution.view import ControlStateView
from heronstall.routing.reading import UnreadableConfiguration, parse_routes
from heronstall.sessions.loads import pack_loads
from heronstall.transport.connection_limits import SMALL_SERVER_LIMITS, server_limits
from heronstall.transport.http_server import HttpServer
from heronstall.transport.links import Links
from heronstall.transport.messages import Session
from heronstall.transport.pulling import StatePuller

log = structlog.get_logger()

UNREADY_PERIOD_S = 2.3  # of unreadiness, after which clients use other dispatchers
SHUTDOWN_RESERVE_S = 0.6  # part of the grace period that is reserved for the last steps
ABANDON_TIMEOUT_S = 0.3  # part of the reserve in which abandoned requests are answered
CLOSE_TIMEOUT_S = 0.05  # for closing the connections to workers


class DispatcherNode:
    """One dispatcher of the tier."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        rng = random.Random()
        self.links = Links()
        self.view = ControlStateView()
        self.pool = WorkerPool()
        self.admission = Admission(self.pool, rng, settings.zone)
        shards = ShardClient(self.links, self.view)
        self.deferred = DeferredQueue(self.admission.utilisation)
        self.misses = MissLog()
        self.runner = BatchRunner(
            settings.name,
            shards,
            self.admission,
            self.deferred,
            lambda: self.ingress.routes,
            self.misses,
            self._complete_until,
        )
        forwarder = Forwarder(
            self.pool,
            self.admission,
            lambda request: self.front.closes_connection_after(request),
            self.misses,
            PromptPlacer(self.links, self.view),
        )
        bounds = settings.bounds
        self.ingress = Ingress(
            forwarder,
            BatchApi(shards, self.misses, lambda: self.front.draining),
            self.deferred,
            rng,
            lambda: time.monotonic() - self.puller.current_as_of,
            StalenessLimits.from_bounds(bounds.config_apply, bounds.max_skew, bounds.recover),
        )

        def seeds() -> list[str]:
            return settings.reloaded().seed_addresses

        self.puller = StatePuller(
            self.links, self.view, self._session, seeds, self._apply_changes, self._apply_reply
        )
        self._background = BackgroundTasks()
        self.front = HttpServer(
            self.ingress.handle,
            server_limits(settings.memory_mb, settings.max_fds),
            lambda: self.ingress.routes.limits,
            handler_cancellation=True,
        )
        self._readiness = HttpServer(self._handle_readiness, SMALL_SERVER_LIMITS)

    async def start(self) -> None:
        """Starts pulling the control state and listening."""
        self._background.start("pull state", self.puller.run)
        self._background.start("send reports", self.runner.send_reports)
        self._background.start("release deferred work", self.deferred.run)
        self._background.start("end silent attempts", self.pool.end_silent_attempts)
        self._background.start("log misses", self.misses.run)
        await self.front.listen(self.settings.listen["front"])
        await self._readiness.listen(self.settings.listen["readiness"])

    async def stop(self) -> None:
        """Shuts down without truncating responses.

        Readiness is withdrawn first, so that the platform sends clients elsewhere. Then the listener closes
        and active requests finish.
        """
        started_at = time.monotonic()
        deadline = started_at + self.settings.bounds.grace - SHUTDOWN_RESERVE_S
        self.front.draining = True
        self._log_drain("begun", started_at)
        await self.runner.stop()
        await asyncio.sleep(UNREADY_PERIOD_S)
        self._log_drain("front closes", started_at)
        await self.front.drain(deadline)
        await self.runner.finish(deadline)
        if self.front.connections:
            self._log_drain("gives up", started_at)
            self.ingress.abandon_requests()
            await self.front.drain(time.monotonic() + ABANDON_TIMEOUT_S)
        self.pool.close()
        await asyncio.sleep(CLOSE_TIMEOUT_S)
        self.misses.log_tallies()
        self._log_drain("ended", started_at)
        self._background.cancel()
        self.runner.cancel()

    def _log_drain(self, step: str, started_at: float) -> None:
        connections = self.front.connections
        log.info(
            "drain",
            step=step,
            seconds=round(time.monotonic() - started_at, 3),
            connections=len(connections),
            resting=sum(connection.is_idle for connection in connections),
            requests=self.ingress.active_count,
        )

    def _session(self) -> Session:
        address = f"{self.settings.ip}:{self.settings.port}"
        return Session(
            name=self.settings.name,
            machine_class="edge",
            address=address,
            zone=self.settings.zone,
            loads=pack_loads(self.pool.own_loads()),
        )

    def _apply_reply(self) -> None:
        self.pool.position = DispatcherPosition(self.view.dispatcher_rank, self.view.dispatcher_count)
        self.pool.update_peer_loads(self.view.loads)
        self.runner.announce_view_update()

    def _apply_changes(self, changed: set[str]) -> None:
        if "config" in changed:
            self._apply_configuration()
        if "workers" in changed:
            self.pool.update(self.view.all_workers())

    def _apply_configuration(self) -> None:
        """Applies the newest configuration. The one before stays in force if this release cannot read it."""
        try:
            routes = parse_routes(self.view.document)
        except UnreadableConfiguration as error:
            self.ingress.routes_outdated = True
            log.error("configuration unreadable", version=self.view.versions["config"], field=str(error))
            return
        self.ingress.routes, self.ingress.routes_outdated = routes, False
        log.info("configuration", revision=routes.revision)
        self.runner.update_pollers()
        self.runner.return_items_without_route()

    def _complete_until(self) -> float:
        """Returns the time until which the routes in force contain all committed changes."""
        return -math.inf if self.ingress.routes_outdated else complete_until(self.puller.current_as_of)

    async def _handle_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        ready = self.ingress.may_serve and not self.front.draining
        return web.Response(status=200 if ready else 503)
