"""Takes clients' requests on the front address: reads, routes, answers."""

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

from heronstall.dataplane.batch_front import BatchFront
from heronstall.dataplane.deferred import DeferredLane
from heronstall.dataplane.forwarding import DEADLINE, STARTING, Broken, Forwarder, Passage, failure, refusal
from heronstall.dataplane.routing import Routes, RouteType
from heronstall.distribution.freshness import StalenessLimits

log = structlog.get_logger()

LOTS = "/-/lots/"
ITEMS = "/-/items/"
BODY_WITHIN = 10.0  # seconds for a request's body
DUE_SHARE = 0.2  # part of its aim after which a deferrable request is due; held longer it is priced
START_HOLD = 0.5  # seconds that a request waits for the first configuration after a process's start
PATIENCE = 60.0  # seconds, where a client names no deadline


@dataclass(eq=False)
class InHand:
    """A request that is being handled."""

    limit: asyncio.Timeout = field(init=False)
    begun: bool = False  # something beyond this process may know of it
    passage: Passage | None = None  # on a live route


class Ingress:
    """Answers clients."""

    def __init__(
        self,
        forwarder: Forwarder,
        batch: BatchFront,
        deferred: DeferredLane,
        rng: random.Random,
        knowledge_age: Callable[[], float],
        limits: StalenessLimits,
    ) -> None:
        self._routes = Routes()
        self._configured = asyncio.Event()
        self._in_hand: set[InHand] = set()
        self._forwarder, self._batch, self._random = forwarder, batch, rng
        self._deferred = deferred
        self._knowledge_age, self._limits = knowledge_age, limits

    @property
    def routes(self) -> Routes:
        """The configuration in force, as far as known here."""
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
        """Whether a configuration is known, and none that is much newer can be in force."""
        return bool(self.routes.revision) and self._knowledge_age() < self._limits.service_limit

    @property
    def active(self) -> int:
        """Requests that are being handled."""
        return len(self._in_hand)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        in_hand = InHand()
        try:
            async with asyncio.timeout(None) as in_hand.limit:
                self._in_hand.add(in_hand)
                return await self._answer(request, in_hand)
        except Broken:
            return self._abort(request)
        except TimeoutError:
            return self._given_up(request, in_hand)
        finally:
            self._in_hand.discard(in_hand)

    def give_up(self) -> None:
        """End what is being handled: the process ends in a moment, and a cut connection tells nothing."""
        now = asyncio.get_running_loop().time()
        for in_hand in self._in_hand:
            in_hand.limit.reschedule(now)

    def _given_up(self, request: web.BaseRequest, in_hand: InHand) -> web.StreamResponse:
        """The last answer to a request that was given up. What may have run gets no promise."""
        if not in_hand.begun or (in_hand.passage is not None and not in_hand.passage.may_have_run):
            return refusal()
        if in_hand.passage is not None and in_hand.passage.response is not None:
            return self._abort(request)
        return failure(504)

    @staticmethod
    def _abort(request: web.BaseRequest) -> NoReturn:
        """Cut the connection, so that what was sent of an answer does not look whole."""
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError from None

    async def _answer(self, request: web.BaseRequest, in_hand: InHand) -> web.StreamResponse:
        arrived = time.monotonic()
        if not self._configured.is_set():
            await self._wait_for_configuration(request)
        if not self.may_serve:
            return refusal(STARTING)
        try:
            async with asyncio.timeout(BODY_WITHIN):
                body = await request.read()
        except TimeoutError:
            return failure(408)
        except web.HTTPRequestEntityTooLarge:
            return failure(413)
        if _head_bytes(request) > self.routes.limits.header_bytes:
            return failure(431)
        host = request.headers.get("Host", "")
        path = request.raw_path.partition("?")[0]
        if path.startswith("/-/"):
            in_hand.begun = True
            return await self._batch_call(request, host, path)
        route = self.routes.find(host, path)
        if route is None:
            newest = self._knowledge_age() < self._limits.unknown_route_limit
            return failure(404) if newest else refusal(STARTING)
        if route.type is RouteType.BATCH:
            in_hand.begun = True
            return await self._batch.submit(request, route, body)
        patience = min(_deadline(request), route.timeout)
        received = time.monotonic()
        if self._deferred.switch.busy and self.routes.deferrable(route):
            aim = arrived + route.target_latency
            await self._deferred.wait(0, aim, arrived + DUE_SHARE * route.target_latency, lambda: True)
        service = route.service(self._random)
        passage = Passage(request, route, service, body, arrived + patience, arrived)
        passage.deferred = time.monotonic() - received
        in_hand.begun, in_hand.passage = True, passage
        return await self._forwarder.carry(passage)

    async def _wait_for_configuration(self, request: web.BaseRequest) -> None:
        """Wait a moment in a process that has just started.

        After a loss of power clients come before it is told anything, and a refused one comes back late.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(START_HOLD, _deadline(request) / 2)):
                await self._configured.wait()

    async def _batch_call(self, request: web.BaseRequest, host: str, path: str) -> web.StreamResponse:
        if path.startswith(LOTS) and request.method == "GET":
            return await self._batch.read(request, host, path.removeprefix(LOTS))
        if path.startswith(LOTS) and request.method == "DELETE":
            return await self._batch.end(host, path.removeprefix(LOTS))
        if path.startswith(ITEMS) and request.method == "GET":
            return await self._batch.body(request, host, path.removeprefix(ITEMS))
        return failure(404)


def _head_bytes(request: web.BaseRequest) -> int:
    return sum(len(name) + len(value) + 4 for name, value in request.raw_headers)


def _deadline(request: web.BaseRequest) -> float:
    text = request.headers.get(DEADLINE, "")
    return int(text) / 1000 if text.isdigit() and int(text) > 0 else PATIENCE
