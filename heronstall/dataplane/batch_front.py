"""The batch API of a dispatcher: submissions, reads, bodies, ends."""

from __future__ import annotations

import base64
import binascii
import time
from collections.abc import Callable
from typing import Any

import ujson
from aiohttp import web

from heronstall.batch.items import set_items
from heronstall.dataplane.forwarding import REQUEST_ID, failure, refusal
from heronstall.dataplane.misses import MissLog
from heronstall.dataplane.routing import Route
from heronstall.dataplane.shard_client import ShardClient
from heronstall.distribution.shards import batch_shard
from heronstall.transport.frames import Kind, Status
from heronstall.transport.messages import BatchItem, BatchJob, Header, ReadReply, ReadRequest, SubmitRequest

SUBMIT_WITHIN = 3.5  # seconds
READ_WITHIN = 2.5
ITEMS_MOST = 200
WAIT_MOST = 2.0  # seconds that a read is held


class Malformed(ValueError):
    """A submission that can't be read; the message names the field."""


def read_items(body: bytes) -> list[BatchItem]:
    """The items of a submission."""
    try:
        raw = ujson.loads(body)
    except ValueError as error:
        raise Malformed(f"body: {error}") from error
    entries = raw.get("requests") if isinstance(raw, dict) else None
    if not isinstance(entries, list) or not 0 < len(entries) <= ITEMS_MOST:
        raise Malformed(f"requests: a list of 1 to {ITEMS_MOST} is wanted")
    items = [_item(n, entry) for n, entry in enumerate(entries)]
    if len({item.id for item in items}) < len(items):
        raise Malformed("requests: an id stands twice")
    return items


def _item(number: int, raw: Any) -> BatchItem:
    if not isinstance(raw, dict):
        raise Malformed(f"requests[{number}]: an object is wanted")
    for key in ("id", "path", "body"):
        if not isinstance(raw.get(key), str):
            raise Malformed(f"requests[{number}].{key}: a text is wanted")
    if not raw["path"].startswith("/") or "#" in raw["path"] or raw["path"].endswith("?"):
        raise Malformed(f"requests[{number}].path: a path that can be sent as it is is wanted")
    headers = raw.get("headers", {})
    if not isinstance(headers, dict) or not all(isinstance(v, str) for v in headers.values()):
        raise Malformed(f"requests[{number}].headers: texts by name are wanted")
    tokens = raw.get("tokens", 0)
    if isinstance(tokens, bool) or not isinstance(tokens, (int, float)) or tokens < 0:
        raise Malformed(f"requests[{number}].tokens: a number is wanted")
    try:
        body = base64.b64decode(raw["body"], validate=True)
    except binascii.Error as error:
        raise Malformed(f"requests[{number}].body: {error}") from error
    pairs = [Header(name, value) for name, value in headers.items()]
    return BatchItem(raw["id"], raw["path"], pairs, body, int(tokens))


class BatchFront:
    """Answers the calls of batch jobs, by the shard's owner. `ending`: whether this process ends."""

    def __init__(
        self,
        shards: ShardClient,
        misses: MissLog | None = None,
        ending: Callable[[], bool] = lambda: False,
    ) -> None:
        self._shards = shards
        self._misses = misses or MissLog()
        self._ending = ending

    async def submit(self, request: web.BaseRequest, route: Route, body: bytes) -> web.Response:
        """Take a batch job: 202 once it is kept, 429 or 503 where none of it will run."""
        began = time.monotonic()
        response = await self._submit(request, route, body)
        self._misses.job_answered(
            request.headers.get(REQUEST_ID, ""), route, response.status, time.monotonic() - began
        )
        return response

    async def _submit(self, request: web.BaseRequest, route: Route, body: bytes) -> web.Response:
        name = request.headers.get(REQUEST_ID)
        if not name:
            return web.json_response({"error": f"{REQUEST_ID}: missing"}, status=400)
        try:
            items = read_items(body)
        except Malformed as error:
            return web.json_response({"error": str(error)}, status=400)
        job = BatchJob(
            id=name,
            route=route.name,
            host=route.host,
            completion_ms=int(route.completion * 1000),
            retention_ms=int(route.retention * 1000),
            max_attempts=route.max_attempts,
        )
        shard = batch_shard(route.host)
        call = SubmitRequest(set_items(job, items), route.max_queued_tokens, shard)
        reply = await self._shards.call(shard, Kind.SUBMIT, bytes(call), SUBMIT_WITHIN, hold=0.8)
        if reply.status == Status.OK:
            return web.Response(status=202)
        if reply.status == Status.OVER_QUOTA:
            return web.Response(status=429, headers={"Retry-After": "0.5"})
        if reply.status in (Status.NOT_OWNER, Status.REFUSED):
            return refusal()
        return failure(504)

    async def read(self, request: web.BaseRequest, host: str, job: str) -> web.Response:
        """Results from a position on."""
        start_text = request.query.get("start_after", "0")
        wait_text = request.headers.get("Heronstall-Wait-Ms", "0")
        if not start_text.isdigit() or not wait_text.isdigit():
            return web.json_response({"error": "start_after, Heronstall-Wait-Ms: whole numbers"}, status=400)
        start, wait = int(start_text), min(WAIT_MOST, int(wait_text) / 1000)
        if self._ending():
            wait = 0.0  # a reader that waits would hold the end up
        shard = batch_shard(host)
        call = ReadRequest(job=job, start=start, wait_ms=int(wait * 1000), shard=shard)
        reply = await self._shards.call(shard, Kind.READ, bytes(call), READ_WITHIN, hold=wait)
        if reply.status == Status.UNKNOWN:
            return web.Response(status=404)
        if reply.status != Status.OK:
            return refusal()
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

    async def body(self, request: web.BaseRequest, host: str, job: str) -> web.Response:
        """The body of an item that is not listed yet."""
        shard = batch_shard(host)
        call = ReadRequest(job=job, item=request.query.get("id", ""), shard=shard)
        reply = await self._shards.call(shard, Kind.BODY, bytes(call), READ_WITHIN)
        if reply.status == Status.UNKNOWN:
            return web.Response(status=404)
        if reply.status != Status.OK:
            return refusal()
        return web.Response(body=ReadReply().parse(reply.body).body, content_type="application/octet-stream")

    async def end(self, host: str, job: str) -> web.Response:
        """End a batch job."""
        shard = batch_shard(host)
        call = ReadRequest(job=job, shard=shard)
        reply = await self._shards.call(shard, Kind.END, bytes(call), SUBMIT_WITHIN, hold=0.8)
        if reply.status == Status.UNKNOWN:
            return web.Response(status=404)
        return web.Response(status=200) if reply.status == Status.OK else failure(504)


def _dumps(value: object) -> str:
    return ujson.dumps(value, escape_forward_slashes=False)
