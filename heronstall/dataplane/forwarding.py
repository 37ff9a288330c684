"""Passes one request to a worker and its answer back; tries again where that is certain to be harmless."""

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
from heronstall.dataplane.prefixes import MAX_TOKEN_DIGITS, SharedPrefix, parse_shared_prefix
from heronstall.dataplane.prompt_placement import PlacedPrompt, PromptPlacer
from heronstall.dataplane.routing import Route, RouteType
from heronstall.dataplane.workers import UnsendablePath, WorkerPool, WorkerState, record_target

log = structlog.get_logger()

REQUEST_ID = "Heronstall-Request-Id"
DEADLINE = "Heronstall-Deadline-Ms"
TARGET = "Heronstall-Target-Instance"
PREFIX = "Heronstall-Prompt-Prefix"
USAGE = "Heronstall-Token-Usage"
NOT_EXECUTED = "Heronstall-Not-Executed"
SIGNATURE = "Heronstall-Response-Signature"
LAST_EVENT = "Last-Event-Id"
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
OWN_HEADERS = frozenset({DEADLINE.lower(), TARGET.lower()})
SENDS = 5  # times that a request is offered at the most, refusals included
RETRY_AFTER = 0.25  # seconds
HOLD_SHARE = 0.2  # part of its aim that a request waits here for a worker


class Broken(Exception):
    """The worker's answer cannot be passed on as a whole one."""

    def __init__(self, end: AttemptEnd = AttemptEnd.CUT_SHORT) -> None:
        super().__init__(end.value)
        self.end = end


@dataclass
class Passage:
    """A client's request on its way."""

    request: web.BaseRequest
    route: Route
    service: str
    body: bytes
    deadline: float  # steady time
    arrived: float
    response: web.StreamResponse | None = None  # once its head has been sent
    last_event: int | None = None
    runs: int = 0
    tried: set[str] = field(default_factory=set)
    attempt: Attempt | None = None  # the latest, once it may have reached a worker
    attempts: list[Attempt] = field(default_factory=list)
    deferred: float = 0.0  # seconds behind urgent requests
    held: float = 0.0  # seconds without a worker to send it to
    placed: PlacedPrompt | None = None  # by a planner, for its first attempt

    @property
    def may_have_run(self) -> bool:
        """Whether a worker may have run it."""
        return bool(self.runs) or self.attempt is not None

    @property
    def may_repeat(self) -> bool:
        """Whether another run would be allowed after the next."""
        return self.route.repeatable and self.runs + 1 < self.route.max_attempts

    @cached_property
    def prefix(self) -> SharedPrefix:
        """The shared parts of its prompt."""
        return parse_shared_prefix(self.request.headers.get(PREFIX, ""))

    @cached_property
    def prompt_tokens(self) -> int:
        """Tokens of its prompt; 0 where it does not tell."""
        return _tokens(self.request.headers.get(USAGE, "").partition(",")[0])

    @property
    def output_tokens(self) -> int:
        """Tokens of the longest answer that it allows; 0 where it does not tell."""
        return _tokens(self.request.headers.get(USAGE, "").partition(",")[2])

    def ended(self, status: int) -> EndedRequest:
        """What is known of it now that it has ended, by an answer of this status; 0: by none."""
        return EndedRequest(
            request=self.request.headers.get(REQUEST_ID, ""),
            route=self.route,
            prefix=self.prefix,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
            times=RequestTimes(self.arrived, self.deferred, self.held),
            attempts=self.attempts,
            planned=self.placed is not None,
            status=status,
            deadline=self.deadline,
        )


def _tokens(text: str) -> int:
    """A count of tokens; 0 for what is none."""
    digits = text.strip()
    return int(digits) if digits.isdecimal() and len(digits) <= MAX_TOKEN_DIGITS else 0


class PassedResponse(web.StreamResponse):
    """A worker's answer, without the headers that the library would add."""

    def __init__(self, status: int, reason: str | None, headers: CIMultiDict[str]) -> None:
        super().__init__(status=status, reason=reason, headers=headers)
        self._given = {name.lower() for name in headers}

    async def _prepare_headers(self) -> None:
        await super()._prepare_headers()
        for name in ("Server", "Date", "Content-Type"):
            if name.lower() not in self._given:
                self._headers.pop(name, None)


STARTING = 0.9  # seconds until a node that has just started, or a service without workers, may serve


def refusal(after: float = RETRY_AFTER) -> web.Response:
    """The request has not run and never will; come back later."""
    return web.Response(status=503, headers={"Retry-After": f"{after:.3f}"})


def failure(status: int) -> web.Response:
    """Nothing is promised."""
    return web.Response(status=status)


class Forwarder:
    """Carries requests to workers."""

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
        self._closes_after = closes_after  # whether an answer is to be its connection's last

    async def carry(self, passage: Passage) -> web.StreamResponse:
        """Serve a request: the worker's answer, or one of our own."""
        status = 0
        try:
            response = await self._carry(passage)
            status = response.status
            return response
        finally:
            self._misses.ended(passage.ended(status))

    async def _carry(self, passage: Passage) -> web.StreamResponse:
        route = passage.route
        for _ in range(SENDS):
            worker = await self._pick(passage)
            if worker is None or passage.deadline - time.monotonic() < 0.01:
                break
            outcome = await self._attempt(passage, worker)
            if isinstance(outcome, web.StreamResponse):
                return outcome
            passage.tried.add(worker.entry.id)
            passage.runs += not END_RULES[outcome].not_run
            if not may_retry(outcome, route.repeatable, passage.runs, route.max_attempts):
                break
        return self._give_up(passage)

    async def _pick(self, passage: Passage) -> WorkerState | None:
        """A worker; one that was not tried yet waits a moment where there is none."""
        if self._placer is not None and not passage.tried and passage.prefix.is_large:
            placed = await self._place(self._placer, passage)
            if placed is not None:
                return placed
        worker = self._admission.pick(passage.service, passage.prefix, passage.tried)
        if worker is not None or passage.tried:
            return worker
        held_until = passage.arrived + HOLD_SHARE * passage.route.target_latency
        began = time.monotonic()
        while worker is None and time.monotonic() < held_until:
            await self._wait_for_worker(held_until)
            worker = self._admission.pick(passage.service, passage.prefix, passage.tried)
        passage.held += time.monotonic() - began
        return worker

    async def _place(self, placer: PromptPlacer, passage: Passage) -> WorkerState | None:
        """The worker that a planner names for a large prompt, if it can be used from here."""
        placed = await placer.place(passage.service, passage.prefix, passage.prompt_tokens)
        worker = self._admission.usable_worker(placed.worker, passage.service) if placed is not None else None
        passage.placed = placed if worker is not None else None
        return worker

    async def _wait_for_worker(self, until: float) -> None:
        try:
            async with asyncio.timeout(max(0.0, min(0.02, until - time.monotonic()))):
                await self._pool.changed.wait()
        except TimeoutError:
            return

    def _give_up(self, passage: Passage) -> web.StreamResponse:
        if passage.response is not None:
            raise Broken
        if passage.runs and not passage.route.repeatable:
            return failure(504 if time.monotonic() >= passage.deadline else 502)
        if passage.runs:
            return failure(502)
        return refusal() if self._pool.of_service(passage.service) else refusal(STARTING)

    async def _attempt(self, passage: Passage, worker: WorkerState) -> web.StreamResponse | AttemptEnd:
        """One attempt at one worker, and what its end says of the worker."""
        began = len(passage.attempts)
        outcome = await self._send(passage, worker)
        if isinstance(outcome, AttemptEnd):
            for attempt in passage.attempts[began:]:
                attempt.end = outcome
            if END_RULES[outcome].worker_failed:
                self._admission.record_failure(worker)
            if outcome is AttemptEnd.FULL:
                self._admission.record_overload(worker)
        return outcome

    async def _send(self, passage: Passage, worker: WorkerState) -> web.StreamResponse | AttemptEnd:
        admission = self._admission
        admission.record_sent(worker)
        passage.attempt = None
        well = head_came = False
        try:
            async with asyncio.timeout(passage.deadline - time.monotonic()) as limit:
                patience = REQUEST_SILENCE_S if passage.may_repeat else None
                passage.attempt = worker.attempts.begin(limit, patience, passage.prompt_tokens)
                record_target(passage.attempt, worker, self._admission.home_rank(worker, passage.prefix))
                passage.attempts.append(passage.attempt)
                answer = await worker.request(
                    passage.request.method,
                    passage.request.raw_path,
                    self._headers(passage, worker),
                    passage.body,
                )
                head_came = True
                try:
                    result = await self._relay(passage, worker, answer)
                    well = True
                    return result
                finally:
                    if not well:
                        answer.close()
        except UnsendablePath:
            return failure(400)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return AttemptEnd.NO_CONNECTION
        except Broken as broken:
            return broken.end
        except (aiohttp.ClientError, ConnectionError):
            return AttemptEnd.CUT_SHORT if head_came else AttemptEnd.NO_ANSWER
        except TimeoutError:
            return AttemptEnd.TIMED_OUT
        finally:
            if passage.attempt is not None:
                worker.attempts.finish(passage.attempt)
            admission.record_finished(worker, well)

    def _headers(self, passage: Passage, worker: WorkerState) -> CIMultiDict[str]:
        headers = request_headers(passage.request.headers)
        left = passage.deadline - time.monotonic()
        headers[DEADLINE] = str(max(1, int(left * 1000)))
        headers[TARGET] = worker.entry.id
        if passage.last_event is not None:
            headers[LAST_EVENT] = str(passage.last_event)
        return headers

    async def _relay(
        self, passage: Passage, worker: WorkerState, answer: aiohttp.ClientResponse
    ) -> web.StreamResponse | AttemptEnd:
        """Pass an answer on. Raises Broken where it is not whole, or not the request's own."""
        worker.learn_keep_alive(answer.headers.get("Keep-Alive"))
        assert passage.attempt is not None
        worker.attempts.record_data(passage.attempt)
        if answer.headers.get(REQUEST_ID) != passage.request.headers.get(REQUEST_ID):
            raise Broken(AttemptEnd.OTHER_ID)  # whatever it says, it says nothing of this request
        refusal_end = Refusal(answer.status, NOT_EXECUTED in answer.headers).end
        if refusal_end is not None:
            await answer.read()
            return refusal_end
        if not is_framed(answer):
            raise Broken(AttemptEnd.NO_LENGTH)
        self._admission.record_response(worker, answer.status)
        resumes = (
            passage.route.type is RouteType.STREAMING and passage.route.resumable and answer.status == 200
        )
        if passage.response is not None and answer.status != 200:
            raise Broken(AttemptEnd.FAILED_RESUMPTION)
        if resumes:
            return await self._relay_events(passage, worker, answer)
        if passage.route.type is RouteType.STREAMING and answer.status == 200:
            return await self._relay_pieces(passage, worker, answer)
        body = await answer.read()
        worker.attempts.record_first_event(passage.attempt)
        if passage.response is not None:
            raise Broken(AttemptEnd.FAILED_RESUMPTION)
        response = passage.response = PassedResponse(answer.status, answer.reason, answer_headers(answer))
        response.content_length = len(body)
        if self._closes_after(passage.request):
            response.force_close()
        await response.prepare(passage.request)
        await response.write(body)
        await response.write_eof()
        return response

    async def _open(self, passage: Passage, answer: aiohttp.ClientResponse) -> web.StreamResponse:
        if passage.response is None:
            passage.response = PassedResponse(answer.status, answer.reason, answer_headers(answer))
            if answer.content_length is not None and not passage.route.resumable:
                passage.response.content_length = answer.content_length
            else:
                passage.response.enable_chunked_encoding()
            if self._closes_after(passage.request):
                passage.response.force_close()
            await passage.response.prepare(passage.request)
        return passage.response

    def _heard(self, passage: Passage, worker: WorkerState, first: bool) -> None:
        assert passage.attempt is not None
        if first:
            seconds = worker.attempts.record_first_event(passage.attempt)
            self._admission.record_first_event(worker, passage.prefix.tokens, seconds)
            if self._placer is not None and passage.placed is not None and not passage.tried:
                self._placer.record_first_event(passage.service, passage.placed, seconds)
        else:
            worker.attempts.record_data(passage.attempt)

    async def _relay_pieces(
        self, passage: Passage, worker: WorkerState, answer: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        first = True
        async for piece in answer.content.iter_any():
            self._heard(passage, worker, first)
            first = False
            response = await self._open(passage, answer)
            await response.write(piece)
        response = await self._open(passage, answer)
        await response.write_eof()
        return response

    async def _relay_events(
        self, passage: Passage, worker: WorkerState, answer: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        reader = EventReader()
        first = True
        async for piece in answer.content.iter_any():
            self._heard(passage, worker, first)
            first = False
            whole = b""
            for event in reader.feed(piece):
                if event.id is not None:
                    if passage.last_event is not None and event.id <= passage.last_event:
                        continue
                    passage.last_event = event.id
                whole += event.raw
            if whole:
                response = await self._open(passage, answer)
                await response.write(whole)
        response = await self._open(passage, answer)
        if reader.partial:
            await response.write(reader.partial)
        await response.write_eof()
        return response


def request_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """A request's headers as they are passed on."""
    named = {n.strip().lower() for n in headers.get("Connection", "").split(",")}
    passed: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in HOP_HEADERS and name.lower() not in named and name.lower() not in OWN_HEADERS:
            passed.add(name, value)
    return passed


def answer_headers(answer: aiohttp.ClientResponse) -> CIMultiDict[str]:
    """An answer's headers as they are passed on."""
    passed: CIMultiDict[str] = CIMultiDict()
    for name, value in answer.headers.items():
        if name.lower() not in HOP_HEADERS:
            passed.add(name, value)
    return passed
