"""The batch API of a dispatcher: submits and cancels jobs, reads results and item bodies."""

from __future__ import annotations

import base64
import binascii
import time
from collections.abc import Callable
from typing import Any

import ujson
from aiohttp import web

from heronstall.batch.items import set_items
from heronstall.dataplane.forwarding import REQUEST_ID_HEADER, empty_response, service_unavailable
from heronstall.dataplane.misses import MissLog
from heronstall.dataplane.shard_client import ShardClient
from heronstall.dataplane.whole_numbers import parse_whole_number
from heronstall.distribution.shards import batch_shard
from heronstall.json_size import exceeds_containers
from heronstall.routing.routes import Route
from heronstall.transport.frames import Kind, Status
from heronstall.transport.messages import BatchItem, BatchJob, Header, ReadReply, ReadRequest, SubmitRequest

SUBMIT_TIMEOUT_S = 3.5
READ_TIMEOUT_S = 2.5
MAX_ITEMS = 200
MAX_ITEM_TOKENS = 10**9
MAX_ITEM_HEADERS = 128  # as many as a request may have
MAX_CONTAINERS = 10_000  # JSON objects and lists in a submission
MAX_WAIT_S = 2.0  # for which a read waits for results


class InvalidSubmission(ValueError):
    """A submission is invalid. The message names the field."""


def parse_items(body: bytes) -> list[BatchItem]:
    """Parses the items of a submission. Raises InvalidSubmission."""
    if exceeds_containers(body, MAX_CONTAINERS):
        raise InvalidSubmission(f"body: at most {MAX_CONTAINERS} objects and lists are wanted")
    try:
        raw = ujson.loads(body)
    except ValueError as error:
        raise InvalidSubmission(f"body: {error}") from error
    entries = raw.get("requests") if isinstance(raw, dict) else None
    if not isinstance(entries, list) or not 0 < len(entries) <= MAX_ITEMS:
        raise InvalidSubmission(f"requests: a list of 1 to {MAX_ITEMS} is wanted")
    items = [_parse_item(n, entry) for n, entry in enumerate(entries)]
    if len({item.id for item in items}) < len(items):
        raise InvalidSubmission("requests: an id stands twice")
    return items


def _parse_item(number: int, raw: Any) -> BatchItem:
    if not isinstance(raw, dict):
        raise InvalidSubmission(f"requests[{number}]: an object is wanted")
    for key in ("id", "path", "body"):
        if not isinstance(raw.get(key), str):
            raise InvalidSubmission(f"requests[{number}].{key}: a text is wanted")
    if not raw["path"].startswith("/") or "#" in raw["path"] or raw["path"].endswith("?"):
        raise InvalidSubmission(f"requests[{number}].path: a path that can be sent as it is is wanted")
    headers = raw.get("headers", {})
    if not isinstance(headers, dict) or not all(isinstance(v, str) for v in headers.values()):
        raise InvalidSubmission(f"requests[{number}].headers: texts by name are wanted")
    if len(headers) > MAX_ITEM_HEADERS:
        raise InvalidSubmission(f"requests[{number}].headers: at most {MAX_ITEM_HEADERS} are wanted")
    tokens = raw.get("tokens", 0)
    if isinstance(tokens, bool) or not isinstance(tokens, (int, float)) or not 0 <= tokens <= MAX_ITEM_TOKENS:
        raise InvalidSubmission(f"requests[{number}].tokens: a number up to {MAX_ITEM_TOKENS} is wanted")
    try:
        body = base64.b64decode(raw["body"], validate=True)
    except binascii.Error as error:
        raise InvalidSubmission(f"requests[{number}].body: {error}") from error
    pairs = [Header(name, value) for name, value in headers.items()]
    return BatchItem(raw["id"], raw["path"], pairs, body, int(tokens))


class BatchApi:
    """Answers the calls of the batch API through the shards' owners.

    `is_stopping` tells whether this process is shutting down.
    """

    def __init__(
        self,
        shards: ShardClient,
        misses: MissLog | None = None,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        self._shards = shards
        self._misses = misses or MissLog()
        self._is_stopping = is_stopping

    async def submit(self, request: web.BaseRequest, route: Route, body: bytes) -> web.Response:
        """Submits a batch job: 202 once it is stored, 429 or 503 if none of it will run."""
        began = time.monotonic()
        response = await self._submit(request, route, body)
        self._misses.record_job_response(
            request.headers.get(REQUEST_ID_HEADER, ""), route, response.status, time.monotonic() - began
        )
        return response

    async def _submit(self, request: web.BaseRequest, route: Route, body: bytes) -> web.Response:
        name = request.headers.get(REQUEST_ID_HEADER)
        if not name:
            return web.json_response({"error": f"{REQUEST_ID_HEADER}: missing"}, status=400)
        try:
            items = parse_items(body)
        except InvalidSubmission as error:
            return web.json_response({"error": str(error)}, status=400)
        job = BatchJob(
            id=name,
            route=route.name,
            host=route.host,
            completion_ms=int(route.completion_target * 1000),
            retention_ms=int(route.retention * 1000),
            max_attempts=route.max_attempts,
        )
        shard = batch_shard(route.host)
        call = SubmitRequest(set_items(job, items), route.max_queued_tokens, shard)
        reply = await self._shards.call(shard, Kind.SUBMIT, bytes(call), SUBMIT_TIMEOUT_S, owner_wait=0.8)
        if reply.status == Status.OK:
            return web.Response(status=202)
        if reply.status == Status.OVER_QUOTA:
            return web.Response(status=429, headers={"Retry-After": "0.5"})
        if reply.status in (Status.NOT_OWNER, Status.REFUSED):
            return service_unavailable()
        return empty_response(504)

    async def read_results(self, request: web.BaseRequest, host: str, job: str) -> web.Response:
        """Returns the results of a job from a position on."""
        start = parse_whole_number(request.query.get("start_after", "0"))
        wait_ms = parse_whole_number(request.headers.get("Heronstall-Wait-Ms", "0"))
        if start is None or wait_ms is None:
            return web.json_response({"error": "start_after, Heronstall-Wait-Ms: whole numbers"}, status=400)
        wait = min(MAX_WAIT_S, wait_ms / 1000)
        if self._is_stopping():
            wait = 0.0  # a waiting reader would delay the shutdown
        shard = batch_shard(host)
        call = ReadRequest(job=job, start=start, wait_ms=int(wait * 1000), shard=shard)
        reply = await self._shards.call(shard, Kind.READ, bytes(call), READ_TIMEOUT_S, owner_wait=wait)
        if reply.status == Status.UNKNOWN:
            return web.Response(status=404)
        if reply.status != Status.OK:
            return service_unavailable()
        found = ReadReply().parse(reply.body)
        results = [
            {
                "id": r.item,
                "state": "succeeded" if r.succeeded else "dead_letter",
                "text": r.text.decode("utf-8", "surrogateescape"),
            }
            for r in found.results
        ]
        page = {"total": found.total, "next_page_token": start + len(results), "results": results}
        return web.json_response(page, dumps=_dumps)

    async def read_item_body(self, request: web.BaseRequest, host: str, job: str) -> web.Response:
        """Returns the body of an item that has no result yet."""
        shard = batch_shard(host)
        call = ReadRequest(job=job, item=request.query.get("id", ""), shard=shard)
        reply = await self._shards.call(shard, Kind.BODY, bytes(call), READ_TIMEOUT_S)
        if reply.status == Status.UNKNOWN:
            return web.Response(status=404)
        if reply.status != Status.OK:
            return service_unavailable()
        return web.Response(body=ReadReply().parse(reply.body).body, content_type="application/octet-stream")

    async def cancel(self, host: str, job: str) -> web.Response:
        """Cancels a batch job."""
        shard = batch_shard(host)
        call = ReadRequest(job=job, shard=shard)
        reply = await self._shards.call(shard, Kind.END, bytes(call), SUBMIT_TIMEOUT_S, owner_wait=0.8)
        if reply.status == Status.UNKNOWN:
            return web.Response(status=404)
        return web.Response(status=200) if reply.status == Status.OK else empty_response(504)


def _dumps(value: object) -> str:
    return ujson.dumps(value, escape_forward_slashes=False)
