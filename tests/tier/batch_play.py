"""Plays batch jobs in virtual time: one storage node that owns a shard, one dispatcher, and stand-in workers.

The storage node and the dispatcher's runner are the product's own; nothing passes through sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple, cast
from unittest import mock

import ujson
from multidict import CIMultiDict

from heronstall.background_tasks import BackgroundTasks
from heronstall.batch.items import set_items
from heronstall.batch.outcomes import Outcome
from heronstall.config import node_settings
from heronstall.controlplane.store import Store
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.batch_runner import BatchRunner
from heronstall.dataplane.deferred import DeferredQueue
from heronstall.dataplane.forwarding import REQUEST_ID_HEADER
from heronstall.dataplane.shard_client import ShardClient
from heronstall.dataplane.subset import DispatcherPosition
from heronstall.dataplane.workers import WorkerPool, WorkerState
from heronstall.distribution.shards import batch_shard
from heronstall.routing.reading import parse_routes
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import CALL_FAILED, LargeReply, Reply
from heronstall.transport.messages import (
    BatchItem,
    BatchJob,
    FinishRequest,
    ItemReport,
    SubmitRequest,
    Worker,
)

HOST = "counter.example"
SHARD = batch_shard(HOST)
CAPACITY = 16  # slots of a worker
RUN_S = 0.3  # that a worker takes for an item
COMPLETION_MS, RETENTION_MS = 20_000, 60_000
FORMATION_S = 2.0  # until the storage node owns its shard and the dispatcher has all its slots
STORE_SETTINGS = {
    "node_name": "store",
    "role": "storage",
    "machine_class": "storage",
    "ip": "127.0.0.1",
    "zone": "z",
    "bootstrap": True,
    "port_range": [7720, 7735],
    "seed_nodes": [],
    "limits": {"memory_mb": 300, "disk_mb": 400},
}


def now() -> float:
    """Returns the time of the virtual loop; `time.monotonic` itself is replaced when a loop starts."""
    return time.monotonic()


class Answer(NamedTuple):
    """A worker's response to an item."""

    status: int = 200
    seconds: float = RUN_S  # until its only event
    headers: dict[str, str] = {}


class _Body:
    """The body of a worker's response: one event after some time, then the end."""

    def __init__(self, answer: Answer) -> None:
        self._seconds: float | None = answer.seconds

    async def readany(self) -> bytes:
        """Returns the event, then nothing."""
        if self._seconds is None:
            return b""
        await asyncio.sleep(self._seconds)
        self._seconds = None
        return b"id: 1\ndata: e\n\n"


def route(name: str, service: str, **more: Any) -> dict[str, Any]:
    """Returns a batch route as the operator writes it; its prefix is its name."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": "batch",
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "completion_target_ms": COMPLETION_MS,
        "service": service,
        **more,
    }


class BatchPlay:
    """A storage node, a dispatcher and its workers, in virtual time."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.pool = WorkerPool()
        self.pool.position = DispatcherPosition(1, 1)
        self.admission = Admission(self.pool, random.Random(1), clock=now)
        self.deferred = DeferredQueue(self.admission.utilisation, now)
        self.runner = BatchRunner(
            "edge",
            cast(ShardClient, self),
            self.admission,
            self.deferred,
            lambda: self.routes,
            view_complete_until=lambda: math.inf,
        )
        self.runs: Counter[str] = Counter()  # by item
        self.answer: Callable[[WorkerState, str], Answer] = lambda worker, item: Answer()
        self._revision = 0
        self.store_knows_until = math.inf
        self.configure()

    @property
    def store_knows_until(self) -> float:
        """The time until which the storage node's view of the control state is complete."""
        return self.store._puller.current_as_of

    @store_knows_until.setter
    def store_knows_until(self, at: float) -> None:
        self.store._puller.current_as_of = at

    def configure(self, *routes: dict[str, Any]) -> None:
        """Brings a configuration with these routes into force at the dispatcher and the storage node."""
        self.routes = parse_routes(self.configure_store(*routes))
        self.runner.update_pollers()
        self.runner.return_items_without_route()

    def configure_store(self, *routes: dict[str, Any]) -> bytes:
        """Tells the storage node alone a configuration with these routes, and returns its document."""
        self._revision += 1
        services = [{"name": name} for name in sorted({entry["service"] for entry in routes})]
        document = {"revision": self._revision, "routes": list(routes), "services": services}
        encoded = ujson.dumps(document).encode()
        self.store.view.document = encoded
        self.store.view.versions["config"] = self._revision
        self.store._on_view_change({"config"})
        return encoded

    def register(self, *workers: tuple[str, str]) -> None:
        """Sets the registered workers, each given by id and service."""
        self.pool.update(
            {
                name: Worker(
                    id=name, service=service, address="127.0.0.1:1", state="ready", capacity=CAPACITY
                )
                for name, service in workers
            }
        )

    async def call(self, _shard: str, kind: Kind, body: bytes, timeout: float, *_: Any, **__: Any) -> Reply:
        """Calls the storage node, in place of a `ShardClient`."""
        try:
            async with asyncio.timeout(timeout):
                reply = await self.store._handle_call(kind, body)
        except TimeoutError:
            return CALL_FAILED
        return reply.encoded() if isinstance(reply, LargeReply) else reply

    async def submit(self, route_name: str, name: str, items: int, **more: Any) -> None:
        """Submits a job, which must be accepted. `more` are fields of its items."""
        listed = [
            BatchItem(**{"id": f"{name}-{n}", "path": f"/{route_name}/{n}/{name}", "tokens": 1, **more})
            for n in range(items)
        ]
        job = BatchJob(
            id=name,
            route=route_name,
            host=HOST,
            completion_ms=COMPLETION_MS,
            retention_ms=RETENTION_MS,
            max_attempts=2,
        )
        submission = SubmitRequest(set_items(job, listed), 0, SHARD)
        reply = await self.call(SHARD, Kind.SUBMIT, bytes(submission), 3.0)
        assert reply.status == Status.OK, reply.status

    async def finish_elsewhere(self, job: str, item: str) -> None:
        """Reports an item as done by another dispatcher, which had leased it before."""
        report = ItemReport(job, item, Outcome.DONE, b"text")
        reply = await self.call(SHARD, Kind.FINISH, bytes(FinishRequest("other", [report], SHARD)), 3.0)
        assert reply.status == Status.OK, reply.status

    def results(self, name: str) -> dict[str, bool]:
        """Returns the listed items of a job, each with whether it succeeded."""
        return {result.item: result.succeeded for result in self.store.shards[SHARD].state.jobs[name].results}

    def unlisted(self, *names: str) -> list[str]:
        """Returns the items of jobs that have no result."""
        jobs = self.store.shards[SHARD].state.jobs
        return [item for name in names for item in jobs[name].open_items]

    async def until_listed(self, names: list[str], seconds: float) -> list[str]:
        """Waits until all items of jobs are listed, at most this long, and returns those that are not."""
        deadline = time.monotonic() + seconds
        while self.unlisted(*names) and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        return self.unlisted(*names)

    async def _request(
        self, worker: WorkerState, method: str, path: str, headers: CIMultiDict[str], body: bytes
    ) -> mock.Mock:
        item = headers[REQUEST_ID_HEADER]
        self.runs[item] += 1
        answer = self.answer(worker, item)
        own = CIMultiDict({REQUEST_ID_HEADER: item, "Transfer-Encoding": "chunked", **answer.headers})
        return mock.Mock(
            status=answer.status,
            headers=own,
            content=_Body(answer),
            content_length=None,
            read=mock.AsyncMock(return_value=b""),
        )

    @contextlib.contextmanager
    def _running(self) -> Iterator[None]:
        tasks = BackgroundTasks()
        for run in (
            self.store.host.run,
            self.store._run_maintenance,
            self.deferred.run,
            self.runner.send_reports,
            self.pool.end_silent_attempts,
        ):
            tasks.start(run.__qualname__, run)
        request = mock.patch.object(
            WorkerState, "request", lambda worker, *args: self._request(worker, *args)
        )
        try:
            with request:
                yield
        finally:
            tasks.cancel()


async def play(use: Callable[[BatchPlay], Awaitable[None]]) -> None:
    """Runs `use` with a storage node that owns its shard; called in a virtual loop."""
    with tempfile.TemporaryDirectory(prefix="heronstall-") as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps({**STORE_SETTINGS, "data_dir": str(Path(folder) / "disk")}))
        store = Store(node_settings(str(path)))
        store._add(SHARD)
        store.host.groups[SHARD].replica.bootstrap(store.host.now(), (store.host.replica_id,))
        batch = BatchPlay(store)
        with batch._running():
            await asyncio.sleep(FORMATION_S)
            await use(batch)
