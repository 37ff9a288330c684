"""Forwards one request to a worker and its response to the client, and retries where that is safe."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import cached_property

import aiohttp
import structlog
from aiohttp import web
from multidict import CIMultiDict

from heronstall.dataplane.admission import Admission
from heronstall.dataplane.attempt_ends import END_RULES, AttemptEnd, Refusal, may_retry
from heronstall.dataplane.attempts import REQUEST_SILENCE_S, Attempt
from heronstall.dataplane.events import EventReader
from heronstall.dataplane.framing import is_framed
from heronstall.dataplane.misses import EndedRequest, MissLog, RequestTimes
from heronstall.dataplane.prefixes import (
    SharedPrefix,
    TokenUsage,
    parse_shared_prefix,
    parse_token_usage,
)
from heronstall.dataplane.prompt_placement import PlacedPrompt, PromptPlacer
from heronstall.dataplane.workers import UnsendablePath, WorkerPool, WorkerState, record_target
from heronstall.routing.routes import Route, RouteType

log = structlog.get_logger()

REQUEST_ID_HEADER = "Heronstall-Request-Id"
DEADLINE_HEADER = "Heronstall-Deadline-Ms"
TARGET_HEADER = "Heronstall-Target-Instance"
PROMPT_PREFIX_HEADER = "Heronstall-Prompt-Prefix"
TOKEN_USAGE_HEADER = "Heronstall-Token-Usage"
NOT_EXECUTED_HEADER = "Heronstall-Not-Executed"
SIGNATURE_HEADER = "Heronstall-Response-Signature"
LAST_EVENT_HEADER = "Last-Event-Id"
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)
REPLACED_HEADERS = frozenset({DEADLINE_HEADER.lower(), TARGET_HEADER.lower()})
MAX_SENDS = 5  # attempts per request, including those that a worker refuses
RETRY_AFTER_S = 0.25  # default of the Retry-After header
WORKER_WAIT_SHARE = 0.2  # share of the target latency that a request waits here for an available worker


class ForwardingError(Exception):
    """A worker's response cannot be forwarded, or a started response cannot be completed."""

    def __init__(self, end: AttemptEnd = AttemptEnd.CUT_SHORT) -> None:
        super().__init__(end.value)
        self.end = end


@dataclass
class RequestContext:
    """The state of a client's request while it is forwarded."""

    request: web.BaseRequest
    route: Route
    service: str
    body: bytes
    deadline: float  # monotonic time
    arrived_at: float  # monotonic time
    response: web.StreamResponse | None = None  # set once its headers have been sent
    last_event: int | None = None  # id of the last event that was forwarded
    runs: int = 0  # attempts that a worker may have run
    tried: set[str] = field(default_factory=set)  # ids of workers
    attempt: Attempt | None = None  # the latest, once it may have reached a worker
    attempts: list[Attempt] = field(default_factory=list)
    deferred: float = 0.0  # seconds in the deferred queue, behind urgent requests
    worker_wait: float = 0.0  # seconds without an available worker
    placement: PlacedPrompt | None = None  # the planner's choice for the first attempt

    @property
    def may_have_run(self) -> bool:
        """Whether a worker may have run the request."""
        return bool(self.runs) or self.attempt is not None

    @property
    def may_repeat(self) -> bool:
        """Whether another run is allowed after the next one."""
        return self.route.repeatable and self.runs + 1 < self.route.max_attempts

    @cached_property
    def prefix(self) -> SharedPrefix:
        """The shared parts of the prompt."""
        return parse_shared_prefix(self.request.headers.get(PROMPT_PREFIX_HEADER, ""))

    @cached_property
    def tokens(self) -> TokenUsage:
        """The lengths that the request states."""
        return parse_token_usage(self.request.headers.get(TOKEN_USAGE_HEADER, ""))

    def summary(self, status: int) -> EndedRequest:
        """Returns the record of the ended request. A status of 0 means that no response was sent."""
        return EndedRequest(
            request_id=self.request.headers.get(REQUEST_ID_HEADER, ""),
            route=self.route,
            prefix=self.prefix,
            prompt_tokens=self.tokens.prompt,
            output_tokens=self.tokens.output,
            times=RequestTimes(self.arrived_at, self.deferred, self.worker_wait),
            attempts=self.attempts,
            planned=self.placement is not None,
            status=status,
            deadline=self.deadline,
        )


class ForwardedResponse(web.StreamResponse):
    """A worker's response, without the headers that aiohttp would add."""

    def __init__(self, status: int, reason: str | None, headers: CIMultiDict[str]) -> None:
        super().__init__(status=status, reason=reason, headers=headers)
        self._forwarded_names = {name.lower() for name in headers}

    async def _prepare_headers(self) -> None:
        await super()._prepare_headers()
        for name in ("Server", "Date", "Content-Type"):
            if name.lower() not in self._forwarded_names:
                self._headers.pop(name, None)


# Retry-After where a node has just started or a service has no workers: either may serve by then.
STARTING_RETRY_AFTER_S = 0.9


def service_unavailable(retry_after: float = RETRY_AFTER_S) -> web.Response:
    """Returns a 503, which promises that the request has not run and never will."""
    return web.Response(status=503, headers={"Retry-After": f"{retry_after:.3f}"})


def empty_response(status: int) -> web.Response:
    """Returns a response without a body. It promises nothing about whether the request has run."""
    return web.Response(status=status)


class Forwarder:
    """Forwards requests to workers."""

    def __init__(
        self,
        pool: WorkerPool,
        admission: Admission,
        closes_after: Callable[[web.BaseRequest], bool] = lambda request: False,
        misses: MissLog | None = None,
        placer: PromptPlacer | None = None,
    ) -> None:
        self._pool, self._admission = pool, admission
        self._placer = placer
        self._misses = misses or MissLog()
        self._closes_after = closes_after  # whether the connection is closed after the response

    async def forward(self, context: RequestContext) -> web.StreamResponse:
        """Returns the response to a request: the worker's, or an error if no worker gave one."""
        status = 0
        try:
            response = await self._forward(context)
            status = response.status
            return response
        finally:
            self._misses.record_request(context.summary(status))

    async def _forward(self, context: RequestContext) -> web.StreamResponse:
        route = context.route
        for _ in range(MAX_SENDS):
            worker = await self._pick_worker(context)
            if worker is None or context.deadline - time.monotonic() < 0.01:
                break
            outcome = await self._attempt(context, worker)
            if isinstance(outcome, web.StreamResponse):
                return outcome
            context.tried.add(worker.entry.id)
            context.runs += not END_RULES[outcome].not_run
            if not may_retry(outcome, route.repeatable, context.runs, route.max_attempts):
                break
        return self._final_failure(context)

    async def _pick_worker(self, context: RequestContext) -> WorkerState | None:
        """Picks a worker. A request that has not been sent yet waits for one for a limited time."""
        if self._placer is not None and not context.tried and context.prefix.is_large:
            placement = await self._pick_planned_worker(self._placer, context)
            if placement is not None:
                return placement
        worker = self._admission.pick(context.service, context.prefix, context.tried)
        if worker is not None or context.tried:
            return worker
        wait_until = context.arrived_at + WORKER_WAIT_SHARE * context.route.target_latency
        began = time.monotonic()
        while worker is None and time.monotonic() < wait_until:
            await self._wait_for_worker(wait_until)
            worker = self._admission.pick(context.service, context.prefix, context.tried)
        context.worker_wait += time.monotonic() - began
        return worker

    async def _pick_planned_worker(self, placer: PromptPlacer, context: RequestContext) -> WorkerState | None:
        """Returns the worker that the planner chose for a large prompt, if this dispatcher can use it."""
        placement = await placer.place(context.service, context.prefix, context.tokens.prompt)
        worker = (
            self._admission.usable_worker(placement.worker, context.service)
            if placement is not None
            else None
        )
        context.placement = placement if worker is not None else None
        return worker

    async def _wait_for_worker(self, until: float) -> None:
        try:
            async with asyncio.timeout(max(0.0, min(0.02, until - time.monotonic()))):
                await self._pool.changed.wait()
        except TimeoutError:
            return

    def _final_failure(self, context: RequestContext) -> web.StreamResponse:
        if context.response is not None:
            raise ForwardingError
        if context.runs and not context.route.repeatable:
            return empty_response(504 if time.monotonic() >= context.deadline else 502)
        if context.runs:
            return empty_response(502)
        return (
            service_unavailable()
            if self._pool.of_service(context.service)
            else service_unavailable(STARTING_RETRY_AFTER_S)
        )

    async def _attempt(self, context: RequestContext, worker: WorkerState) -> web.StreamResponse | AttemptEnd:
        """Makes one attempt at one worker and records a failed one against the worker."""
        earlier_attempts = len(context.attempts)
        outcome = await self._send(context, worker)
        if isinstance(outcome, AttemptEnd):
            for attempt in context.attempts[earlier_attempts:]:
                attempt.end = outcome
            if END_RULES[outcome].worker_failed:
                self._admission.record_failure(worker)
            if outcome is AttemptEnd.FULL:
                self._admission.record_overload(worker)
        return outcome

    async def _send(self, context: RequestContext, worker: WorkerState) -> web.StreamResponse | AttemptEnd:
        admission = self._admission
        admission.record_sent(worker)
        context.attempt = None
        succeeded = headers_received = False
        try:
            async with asyncio.timeout(context.deadline - time.monotonic()) as limit:
                silence_limit = REQUEST_SILENCE_S if context.may_repeat else None
                context.attempt = worker.attempts.begin(limit, silence_limit, context.tokens.prompt)
                record_target(context.attempt, worker, self._admission.home_rank(worker, context.prefix))
                context.attempts.append(context.attempt)
                upstream = await worker.request(
                    context.request.method,
                    context.request.raw_path,
                    self._headers(context, worker),
                    context.body,
                )
                headers_received = True
                try:
                    result = await self._relay(context, worker, upstream)
                    succeeded = True
                    return result
                finally:
                    if not succeeded:
                        upstream.close()
        except UnsendablePath:
            return empty_response(400)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return AttemptEnd.NO_CONNECTION
        except ForwardingError as broken:
            return broken.end
        except (aiohttp.ClientError, ConnectionError):
            return AttemptEnd.CUT_SHORT if headers_received else AttemptEnd.NO_ANSWER
        except TimeoutError:
            return AttemptEnd.TIMED_OUT
        finally:
            if context.attempt is not None:
                worker.attempts.finish(context.attempt)
            admission.record_finished(worker, succeeded)

    def _headers(self, context: RequestContext, worker: WorkerState) -> CIMultiDict[str]:
        headers = request_headers(context.request.headers)
        remaining = context.deadline - time.monotonic()
        headers[DEADLINE_HEADER] = str(max(1, int(remaining * 1000)))
        headers[TARGET_HEADER] = worker.entry.id
        if context.last_event is not None:
            headers[LAST_EVENT_HEADER] = str(context.last_event)
        return headers

    async def _relay(
        self, context: RequestContext, worker: WorkerState, upstream: aiohttp.ClientResponse
    ) -> web.StreamResponse | AttemptEnd:
        """Forwards a response. Raises ForwardingError if it is incomplete or belongs to another request."""
        worker.learn_keep_alive(upstream.headers.get("Keep-Alive"))
        assert context.attempt is not None
        worker.attempts.record_data(context.attempt)
        if upstream.headers.get(REQUEST_ID_HEADER) != context.request.headers.get(REQUEST_ID_HEADER):
            raise ForwardingError(AttemptEnd.OTHER_ID)  # the response says nothing about this request
        rejection = Refusal(upstream.status, NOT_EXECUTED_HEADER in upstream.headers).end
        if rejection is not None:
            await upstream.read()
            return rejection
        if not is_framed(upstream):
            raise ForwardingError(AttemptEnd.NO_LENGTH)
        self._admission.record_response(worker, upstream.status)
        forwards_events = context.route.resumes_streams and upstream.status == 200
        if context.response is not None and upstream.status != 200:
            raise ForwardingError(AttemptEnd.FAILED_RESUMPTION)
        if forwards_events:
            return await self._relay_events(context, worker, upstream)
        if context.route.type is RouteType.STREAMING and upstream.status == 200:
            return await self._relay_chunks(context, worker, upstream)
        body = await upstream.read()
        worker.attempts.record_first_event(context.attempt)
        if context.response is not None:
            raise ForwardingError(AttemptEnd.FAILED_RESUMPTION)
        response = context.response = ForwardedResponse(
            upstream.status, upstream.reason, response_headers(upstream)
        )
        response.content_length = len(body)
        if self._closes_after(context.request):
            response.force_close()
        await response.prepare(context.request)
        await response.write(body)
        await response.write_eof()
        return response

    async def _prepare_response(
        self, context: RequestContext, upstream: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        if context.response is None:
            context.response = ForwardedResponse(upstream.status, upstream.reason, response_headers(upstream))
            if upstream.content_length is not None and not context.route.resumes_streams:
                context.response.content_length = upstream.content_length
            else:
                context.response.enable_chunked_encoding()
            if self._closes_after(context.request):
                context.response.force_close()
            await context.response.prepare(context.request)
        return context.response

    def _record_data(self, context: RequestContext, worker: WorkerState, first: bool) -> None:
        assert context.attempt is not None
        if first:
            seconds = worker.attempts.record_first_event(context.attempt)
            self._admission.record_first_event(worker, context.prefix.tokens, seconds)
            if self._placer is not None and context.placement is not None and not context.tried:
                self._placer.record_first_event(context.service, context.placement, seconds)
        else:
            worker.attempts.record_data(context.attempt)

    async def _relay_chunks(
        self, context: RequestContext, worker: WorkerState, upstream: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        first = True
        async for chunk in upstream.content.iter_any():
            self._record_data(context, worker, first)
            first = False
            response = await self._prepare_response(context, upstream)
            await response.write(chunk)
        response = await self._prepare_response(context, upstream)
        await response.write_eof()
        return response

    async def _relay_events(
        self, context: RequestContext, worker: WorkerState, upstream: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        reader = EventReader()
        first = True
        async for chunk in upstream.content.iter_any():
            self._record_data(context, worker, first)
            first = False
            new_events = b""
            for event in reader.feed(chunk):
                if event.id is not None:
                    if context.last_event is not None and event.id <= context.last_event:
                        continue
                    context.last_event = event.id
                new_events += event.raw
            if new_events:
                response = await self._prepare_response(context, upstream)
                await response.write(new_events)
        response = await self._prepare_response(context, upstream)
        if reader.partial:
            await response.write(reader.partial)
        await response.write_eof()
        return response


def request_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Returns the headers of a request that are forwarded to the worker."""
    connection_options = {n.strip().lower() for n in headers.get("Connection", "").split(",")}
    forwarded: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if (
            name.lower() not in HOP_HEADERS
            and name.lower() not in connection_options
            and name.lower() not in REPLACED_HEADERS
        ):
            forwarded.add(name, value)
    return forwarded


def response_headers(upstream: aiohttp.ClientResponse) -> CIMultiDict[str]:
    """Returns the headers of a worker's response that are forwarded to the client."""
    forwarded: CIMultiDict[str] = CIMultiDict()
    for name, value in upstream.headers.items():
        if name.lower() not in HOP_HEADERS:
            forwarded.add(name, value)
    return forwarded
