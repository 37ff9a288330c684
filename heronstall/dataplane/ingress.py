"""Takes clients' requests on the front address: reads, routes, answers."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import structlog
from aiohttp import web

from heronstall.dataplane.batch_front import BatchFront
from heronstall.dataplane.deferred import DeferredLane
from heronstall.dataplane.forwarding import DEADLINE, STARTING, Broken, Forwarder, Passage, failure, refusal
from heronstall.dataplane.routing import Routes, RouteType
from heronstall.distribution.freshness import KnowledgeLimits

log = structlog.get_logger()

LOTS = "/-/lots/"
ITEMS = "/-/items/"
BODY_WITHIN = 10.0  # seconds for a request's body
DUE_SHARE = 0.2  # part of its aim after which a deferrable request is due; held longer it is priced
PATIENCE = 60.0  # seconds, where a client names no deadline


class Ingress:
    """Answers clients."""

    def __init__(
        self,
        forwarder: Forwarder,
        batch: BatchFront,
        deferred: DeferredLane,
        rng: random.Random,
        knowledge_age: Callable[[], float],
        limits: KnowledgeLimits,
    ) -> None:
        self.routes = Routes()
        self.draining = False
        self.active = 0
        self.told_to_end: set[object] = set()  # connections that were open when the front was closed
        self.answered_at: dict[object, float] = {}  # by connection, steady time
        self._forwarder, self._batch, self._random = forwarder, batch, rng
        self._deferred = deferred
        self._knowledge_age, self._limits = knowledge_age, limits

    @property
    def may_serve(self) -> bool:
        """Whether a configuration is known, and none that is much newer can be in force."""
        return bool(self.routes.revision) and self._knowledge_age() < self._limits.serve

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.active += 1
        if self.told_to_end:
            listed = request.protocol in self.told_to_end
            log.warning("request begun after the front was closed", listed=listed)
        try:
            response = await self._answer(request)
        except Broken:
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError from None
        finally:
            self.active -= 1
            self.answered_at[request.protocol] = time.monotonic()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived = time.monotonic()
        if not self.may_serve:
            return self._closing(refusal(STARTING))
        try:
            async with asyncio.timeout(BODY_WITHIN):
                body = await request.read()
        except TimeoutError:
            return self._closing(failure(408))
        except web.HTTPRequestEntityTooLarge:
            return self._closing(failure(413))
        if _head_bytes(request) > self.routes.limits.header_bytes:
            return self._closing(failure(431))
        host = request.headers.get("Host", "")
        path = request.raw_path.partition("?")[0]
        if path.startswith("/-/"):
            return self._closing(await self._batch_call(request, host, path))
        route = self.routes.find(host, path)
        if route is None:
            newest = self._knowledge_age() < self._limits.refuse
            return self._closing(failure(404) if newest else refusal(STARTING))
        if route.type is RouteType.BATCH:
            return self._closing(await self._batch.submit(request, route, body))
        patience = min(_deadline(request), route.timeout)
        if self._deferred.switch.busy and self.routes.deferrable(route):
            aim = arrived + route.target_latency
            await self._deferred.wait(0, aim, arrived + DUE_SHARE * route.target_latency, lambda: True)
        service = route.service(self._random)
        passage = Passage(request, route, service, body, arrived + patience, arrived)
        return self._closing(await self._forwarder.carry(passage))

    async def _batch_call(self, request: web.BaseRequest, host: str, path: str) -> web.StreamResponse:
        if path.startswith(LOTS) and request.method == "GET":
            return await self._batch.read(request, host, path.removeprefix(LOTS))
        if path.startswith(LOTS) and request.method == "DELETE":
            return await self._batch.end(host, path.removeprefix(LOTS))
        if path.startswith(ITEMS) and request.method == "GET":
            return await self._batch.body(request, host, path.removeprefix(ITEMS))
        return failure(404)

    def drain(self) -> None:
        """Have every connection end with its next answer."""
        self.draining = self._forwarder.draining = True

    def _closing(self, response: web.StreamResponse) -> web.StreamResponse:
        if self.draining and not response.prepared:
            response.force_close()
        return response


def _head_bytes(request: web.BaseRequest) -> int:
    return sum(len(name) + len(value) + 4 for name, value in request.raw_headers)


def _deadline(request: web.BaseRequest) -> float:
    text = request.headers.get(DEADLINE, "")
    return int(text) / 1000 if text.isdigit() and int(text) > 0 else PATIENCE
