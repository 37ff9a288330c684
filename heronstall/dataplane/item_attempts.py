"""One attempt of a batch item at one worker."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

import aiohttp
from multidict import CIMultiDict

from heronstall.batch.outcomes import Outcome
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.attempts import ITEM_SILENCE_S, Attempt
from heronstall.dataplane.events import EventReader
from heronstall.dataplane.forwarding import (
    LAST_EVENT_HEADER,
    PROMPT_PREFIX_HEADER,
    REQUEST_ID_HEADER,
    TARGET_HEADER,
    TOKEN_USAGE_HEADER,
)
from heronstall.dataplane.framing import is_framed
from heronstall.dataplane.prefixes import SharedPrefix, parse_shared_prefix, parse_token_usage
from heronstall.dataplane.workers import UnsendablePath, WorkerState, record_target
from heronstall.transport.messages import BatchItem, LeasedItem

# Factor by which an item's next attempt waits longer after one that was ended for silence. The worker may be
# slow rather than dark, and an item that is always ended before its first event would never be done.
SILENCE_BACKOFF = 2.0


@dataclass
class RunningItem:
    """An item that this dispatcher has leased."""

    leased: LeasedItem
    request: BatchItem
    shard: str
    service: str = ""  # whose room it takes: of its latest worker, or where it is expected to run
    event_data: list[bytes] = field(default_factory=list)
    last_event: int | None = None
    leased_at: float = field(default_factory=time.monotonic)
    started_at: float = 0.0  # monotonic time at which it left the deferred queue; 0 before
    attempts: list[Attempt] = field(default_factory=list)
    silent_attempts: int = 0  # those that were ended since their worker was silent
    task: asyncio.Task[None] | None = None


class ItemAttempts:
    """Makes attempts of batch items. What a worker has sent of an item is kept for the next attempt."""

    def __init__(self, admission: Admission) -> None:
        self._admission = admission

    async def make(self, item: RunningItem, worker: WorkerState) -> Outcome | None:
        """Makes one attempt at one worker. Returns None if another attempt may continue after it."""
        admission = self._admission
        admission.record_sent(worker)
        worker.items += 1
        succeeded = False
        upstream: aiohttp.ClientResponse | None = None
        attempt: Attempt | None = None
        try:
            async with asyncio.timeout(None) as limit:
                attempt = worker.attempts.begin(
                    limit, ITEM_SILENCE_S, _prompt_tokens(item.request), SILENCE_BACKOFF**item.silent_attempts
                )
                record_target(attempt, worker)
                item.attempts.append(attempt)
                upstream = await worker.request(
                    "POST", item.request.path, _headers(item, worker), item.request.body
                )
                outcome = await self._read_response(item, worker, attempt, upstream)
            succeeded = True
            return outcome
        except UnsendablePath:
            return Outcome.UNPROCESSABLE
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            if attempt is not None and attempt.timeout.expired():
                item.silent_attempts += 1
            admission.record_failure(worker)
            return None
        finally:
            if upstream is not None and not succeeded:
                upstream.close()
            if attempt is not None:
                worker.attempts.finish(attempt)
            worker.items -= 1
            admission.record_finished(worker, succeeded)

    async def _read_response(
        self, item: RunningItem, worker: WorkerState, attempt: Attempt, upstream: aiohttp.ClientResponse
    ) -> Outcome | None:
        worker.learn_keep_alive(upstream.headers.get("Keep-Alive"))
        if upstream.headers.get(REQUEST_ID_HEADER) != item.request.id:
            raise aiohttp.ClientPayloadError("the response belongs to another request")
        if upstream.status in (200, 500):
            self._admission.record_response(worker, upstream.status)
        if upstream.status != 200:
            await upstream.read()
            if upstream.status == 422:
                return Outcome.UNPROCESSABLE
            if upstream.status == 500:
                return Outcome.FAILED
            if upstream.status == 503:
                self._admission.record_overload(worker)
            return None
        if not is_framed(upstream):
            raise aiohttp.ClientPayloadError("the response has neither a length nor chunks")
        reader = EventReader()
        while True:
            chunk = await upstream.content.readany()
            if not chunk:
                break
            if attempt.first_event_at:
                worker.attempts.record_data(attempt)
            else:
                worker.attempts.record_first_event(attempt)
            for event in reader.feed(chunk):
                self._record_event(item, event.id, event.data)
        if reader.partial:
            raise aiohttp.ClientPayloadError("the last event is incomplete")
        return Outcome.DONE

    @staticmethod
    def _record_event(item: RunningItem, event_id: int | None, data: bytes) -> None:
        if event_id is not None:
            if item.last_event is not None and event_id <= item.last_event:
                return
            item.last_event = event_id
        item.event_data.append(data)


def _header(request: BatchItem, name: str) -> str:
    return next((h.value for h in request.headers if h.name.lower() == name.lower()), "")


def shared_prefix(request: BatchItem) -> SharedPrefix:
    """Returns the shared segments of an item's prompt."""
    return parse_shared_prefix(_header(request, PROMPT_PREFIX_HEADER))


def _prompt_tokens(request: BatchItem) -> int:
    """Returns the length of an item's prompt, or a limit of it if no header states the length."""
    return parse_token_usage(_header(request, TOKEN_USAGE_HEADER)).prompt or request.tokens


def _headers(item: RunningItem, worker: WorkerState) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict((h.name, h.value) for h in item.request.headers)
    headers["Host"] = item.leased.host
    headers[REQUEST_ID_HEADER] = item.request.id
    headers[TARGET_HEADER] = worker.entry.id
    if item.last_event is not None:
        headers[LAST_EVENT_HEADER] = str(item.last_event)
    return headers
