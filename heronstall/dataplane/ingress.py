"""Handles clients' requests on the front address: reads, routes and answers them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NoReturn

import structlog
from aiohttp import web

from heronstall.dataplane.batch_api import BatchApi
from heronstall.dataplane.deferred import DeferredQueue
from heronstall.dataplane.forwarding import (
    DEADLINE_HEADER,
    STARTING_RETRY_AFTER_S,
    Forwarder,
    ForwardingError,
    RequestContext,
    empty_response,
    service_unavailable,
)
from heronstall.dataplane.whole_numbers import parse_whole_number
from heronstall.distribution.freshness import StalenessLimits
from heronstall.routing.routes import Routes, RouteType
from heronstall.transport.event_waits import expire_now
from heronstall.transport.http_connection import read_body

log = structlog.get_logger()

JOBS_PATH = "/-/lots/"
ITEMS_PATH = "/-/items/"
DEFERRAL_SHARE = 0.2  # share of the target latency by which a request may be deferred; more is penalized
CONFIGURATION_WAIT_S = 0.5  # for which a request waits for the first configuration after startup
DEFAULT_TIME_LIMIT_S = 60.0  # for requests without a deadline


@dataclass(eq=False)
class ActiveRequest:
    """A request that is being handled."""

    timeout: asyncio.Timeout = field(init=False)
    dispatched: bool = False  # passed to the batch API or the forwarder: another process may have seen it
    forwarded: RequestContext | None = None  # set for requests of live routes


class Ingress:
    """Answers the requests of clients."""

    def __init__(
        self,
        forwarder: Forwarder,
        batch: BatchApi,
        deferred: DeferredQueue,
        rng: random.Random,
        state_age: Callable[[], float],
        limits: StalenessLimits,
    ) -> None:
        self._routes = Routes()
        self.routes_outdated = False  # whether a newer configuration is known that could not be read
        self._configured = asyncio.Event()
        self._active_requests: set[ActiveRequest] = set()
        self._forwarder, self._batch, self._random = forwarder, batch, rng
        self._deferred = deferred
        self._state_age, self._limits = state_age, limits

    @property
    def routes(self) -> Routes:
        """The latest configuration that this dispatcher knows."""
        return self._routes

    @routes.setter
    def routes(self, routes: Routes) -> None:
        self._routes = routes
        if routes.revision:
            self._configured.set()
        else:
            self._configured.clear()

    @property
    def may_serve(self) -> bool:
        """Whether a configuration is known that is recent enough to serve requests by."""
        return bool(self.routes.revision) and self._state_age() < self._limits.service_limit

    @property
    def active_count(self) -> int:
        """The number of requests that are being handled."""
        return len(self._active_requests)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request."""
        active_request = ActiveRequest()
        try:
            async with asyncio.timeout(None) as active_request.timeout:
                self._active_requests.add(active_request)
                return await self._respond(request, active_request)
        except ForwardingError:
            return self._abort(request)
        except TimeoutError:
            return self._abandoned_response(request, active_request)
        finally:
            self._active_requests.discard(active_request)

    def abandon_requests(self) -> None:
        """Answers all active requests before the process exits, so that clients learn their outcome."""
        for active_request in self._active_requests:
            expire_now(active_request.timeout)

    def _abandoned_response(
        self, request: web.BaseRequest, active_request: ActiveRequest
    ) -> web.StreamResponse:
        """Returns the response to an abandoned request. It promises nothing if the request may have run."""
        if not active_request.dispatched or (
            active_request.forwarded is not None and not active_request.forwarded.may_have_run
        ):
            return service_unavailable()
        if active_request.forwarded is not None and active_request.forwarded.response is not None:
            return self._abort(request)
        return empty_response(504)

    @staticmethod
    def _abort(request: web.BaseRequest) -> NoReturn:
        """Aborts the connection, so that a partly sent response does not look complete."""
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError from None

    async def _respond(self, request: web.BaseRequest, active_request: ActiveRequest) -> web.StreamResponse:
        arrived_at = time.monotonic()
        if not self._configured.is_set():
            await self._wait_for_configuration(request)
        if not self.may_serve:
            return service_unavailable(STARTING_RETRY_AFTER_S)
        try:
            body = await read_body(request)
        except TimeoutError:
            return empty_response(408)
        except web.HTTPRequestEntityTooLarge:
            return empty_response(413)
        if _header_bytes(request) > self.routes.limits.header_bytes:
            return empty_response(431)
        host = request.headers.get("Host", "")
        path = request.raw_path.partition("?")[0]
        if path.startswith("/-/"):
            active_request.dispatched = True
            return await self._batch_call(request, host, path)
        route = self.routes.find(host, path)
        if route is None:
            age_limit = self._limits.unknown_route_limit
            is_current = self._state_age() < age_limit and not self.routes_outdated
            return empty_response(404) if is_current else service_unavailable(STARTING_RETRY_AFTER_S)
        if route.type is RouteType.BATCH:
            active_request.dispatched = True
            return await self._batch.submit(request, route, body)
        time_limit = min(_requested_time_limit(request), route.timeout)
        body_received_at = time.monotonic()
        if self._deferred.switch.busy and self.routes.is_deferrable(route):
            target_at = arrived_at + route.target_latency
            await self._deferred.wait(
                0, target_at, arrived_at + DEFERRAL_SHARE * route.target_latency, lambda: True
            )
        service = route.draw_service(self._random)
        context = RequestContext(request, route, service, body, arrived_at + time_limit, arrived_at)
        context.deferred = time.monotonic() - body_received_at
        active_request.dispatched, active_request.forwarded = True, context
        return await self._forwarder.forward(context)

    async def _wait_for_configuration(self, request: web.BaseRequest) -> None:
        """Waits for the first configuration of a process that has just started.

        After a power failure clients connect before the process has pulled any state, and a refused client
        retries late.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(CONFIGURATION_WAIT_S, _requested_time_limit(request) / 2)):
                await self._configured.wait()

    async def _batch_call(self, request: web.BaseRequest, host: str, path: str) -> web.StreamResponse:
        if path.startswith(JOBS_PATH) and request.method == "GET":
            return await self._batch.read_results(request, host, path.removeprefix(JOBS_PATH))
        if path.startswith(JOBS_PATH) and request.method == "DELETE":
            return await self._batch.cancel(host, path.removeprefix(JOBS_PATH))
        if path.startswith(ITEMS_PATH) and request.method == "GET":
            return await self._batch.read_item_body(request, host, path.removeprefix(ITEMS_PATH))
        return empty_response(404)


def _header_bytes(request: web.BaseRequest) -> int:
    return sum(len(name) + len(value) + 4 for name, value in request.raw_headers)


def _requested_time_limit(request: web.BaseRequest) -> float:
    milliseconds = parse_whole_number(request.headers.get(DEADLINE_HEADER, ""))
    return milliseconds / 1000 if milliseconds else DEFAULT_TIME_LIMIT_S
