"""The state of workers as this dispatcher knows it: load, connections and failures."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from heapq import nlargest

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from heronstall.dataplane.attempts import Attempt, Attempts, LoadSnapshot
from heronstall.dataplane.connections import IdleLimit, MostRecentlyUsedConnector
from heronstall.dataplane.subset import DispatcherPosition, WorkerShare, hash_ring, worker_shares
from heronstall.dataplane.worker_latency import WorkerLatency
from heronstall.placement.prefill import affinity
from heronstall.sessions.loads import WorkerLoad
from heronstall.transport.messages import Worker as Entry

CONNECT_TIMEOUT_S = 0.5  # an attempt that fails to connect in time has sent nothing
DEFAULT_CAPACITY = 8
MIN_FAILURE_REPORTS = 2  # other dispatchers that must have failed at a worker before their reports count
SILENCE_CHECK_INTERVAL_S = 0.15
# Weight of a new load report. All dispatchers see the same reports, and must not all react at once.
PEER_LOAD_SMOOTHING = 0.25
MAX_HOME_WORKERS = 6  # home workers that are remembered for a shared segment, as some may be unreachable
MAX_HOME_ENTRIES = 2048  # shared segments whose home workers are remembered
SKIPPED_HEADERS = frozenset({"Accept", "Accept-Encoding", "User-Agent", "Content-Type"})


class UnsendablePath(ValueError):
    """aiohttp would send a path that differs from the client's."""


@dataclass
class WorkerState:
    """One incarnation of a worker."""

    entry: Entry
    inflight: int = 0  # own requests and items there
    items: int = 0  # own batch items there
    peer_requests: float = 0.0  # requests of the other dispatchers there, averaged over the latest reports
    peer_items: float = 0.0  # batch items of the other dispatchers, averaged likewise
    failures: float = 0.0
    error_rate: float = 0.0  # moving average over its responses
    avoid_until: float = 0.0  # monotonic time
    failing_until: float = 0.0  # monotonic time; set when it was unreachable or broke a connection
    peers_failing: int = 0  # other dispatchers that report the same
    attempts: Attempts = field(default_factory=Attempts)
    latency: WorkerLatency = field(default_factory=WorkerLatency)
    idle_limit: IdleLimit = field(default_factory=IdleLimit)
    _session: aiohttp.ClientSession | None = None
    _connector: MostRecentlyUsedConnector | None = None

    @property
    def total_load(self) -> float:
        """The known number of requests and items of all dispatchers there."""
        return self.inflight + self.peer_requests + self.peer_items

    @property
    def live_requests(self) -> float:
        """The known number of requests of all dispatchers there, without batch items."""
        return self.inflight - self.items + self.peer_requests

    @property
    def capacity(self) -> int:
        """The number of slots of its engine."""
        return self.entry.capacity or DEFAULT_CAPACITY

    @property
    def ready(self) -> bool:
        """Whether it accepts new work, as registered by the worker."""
        return self.entry.state == "ready"

    def session(self) -> aiohttp.ClientSession:
        """Returns the connections of this incarnation only; its address may be reused by another worker."""
        if self._session is None:
            self._connector = MostRecentlyUsedConnector(self.idle_limit)
            self._session = aiohttp.ClientSession(
                connector=self._connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=SKIPPED_HEADERS,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
                read_bufsize=2**16,
                max_line_size=65536,
                max_field_size=65536,
            )
            # aiohttp retries GET, PUT and DELETE if an idle connection drops, which would hide an execution.
            self._session._retry_connection = False
        return self._session

    async def request(
        self, method: str, path: str, headers: CIMultiDict[str], body: bytes
    ) -> aiohttp.ClientResponse:
        """Sends a request once and returns when the response head has arrived."""
        url = URL(f"http://{self.entry.address}{path}", encoded=True)
        if url.raw_path_qs != path:
            raise UnsendablePath(path)
        session = self.session()
        connector = self._connector
        assert connector is not None
        reset = False
        try:
            return await session.request(
                method, url, headers=headers, data=body or None, allow_redirects=False
            )
        except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError) as error:
            reset = not isinstance(error, aiohttp.ClientConnectorError)
            raise
        finally:
            idle_seconds = connector.pop_idle_seconds()
            if reset and idle_seconds is not None:
                self.idle_limit.record_reset(idle_seconds)

    def learn_keep_alive(self, keep_alive: str | None) -> None:
        """Records a response and the timeout of its Keep-Alive header."""
        self.idle_limit.record_response()
        if keep_alive is None:
            return
        for part in keep_alive.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                self.idle_limit.set_advertised(int(value))

    def record_peer_failures(self, dispatchers: int) -> None:
        """Sets how many other dispatchers recently failed to reach it.

        Once enough of them report it, the idle connections are assumed to be dead too.
        """
        if dispatchers >= MIN_FAILURE_REPORTS > self.peers_failing:
            self.close_idle_connections()
        self.peers_failing = dispatchers

    def has_idle_connection(self, now: float) -> bool:
        """Returns whether a request would need no new connection."""
        return self._connector is not None and self._connector.has_idle_connection(now)

    def close_idle_connections(self) -> None:
        """Closes the idle connections; called after one broke, as the others may be dead too."""
        if self._connector is not None:
            self._connector.close_idle_connections()

    def close(self) -> None:
        """Closes all idle connections; those in use end with their request."""
        if self._session is not None:
            asyncio.get_running_loop().create_task(self._session.close())
            self._session = self._connector = None


def record_target(attempt: Attempt, worker: WorkerState, home_rank: int | None = None) -> None:
    """Records the worker of an attempt and what is known about it."""
    attempt.worker = worker.entry.id
    attempt.load = LoadSnapshot(
        worker.inflight - 1, worker.peer_requests + worker.peer_items, worker.capacity
    )
    attempt.home_rank = home_rank
    attempt.new_connection = not worker.has_idle_connection(attempt.sent_at)


class WorkerPool:
    """All registered workers, by service, and the deregistered ones that still run requests or items."""

    def __init__(self) -> None:
        self.by_id: dict[str, WorkerState] = {}
        self._deregistered: list[WorkerState] = []  # those with attempts in progress
        self._by_service: dict[str, list[WorkerState]] = {}
        self._rings: dict[str, list[str]] = {}
        self._position = DispatcherPosition()
        self._shares: dict[str, dict[str, WorkerShare]] = {}
        self._homes: dict[tuple[str, str], tuple[str, ...]] = {}
        self.changed = asyncio.Event()

    def update(self, entries: dict[str, Entry]) -> None:
        """Updates the workers from the registry; the state of known workers is retained."""
        for worker in [w for name, w in self.by_id.items() if name not in entries]:
            del self.by_id[worker.entry.id]
            worker.entry.state = "gone"
            if worker.inflight:
                self._deregistered.append(worker)
            else:
                worker.close()
        for name, entry in entries.items():
            known = self.by_id.get(name)
            if known is None:
                self.by_id[name] = WorkerState(entry)
            else:
                known.entry = entry
        self._by_service = {}
        for worker in self.by_id.values():
            self._by_service.setdefault(worker.entry.service, []).append(worker)
        self._rings = {
            service: hash_ring(w.entry.id for w in workers if w.ready)
            for service, workers in self._by_service.items()
        }
        self._shares = {}
        self._homes = {}
        self.changed.set()
        self.changed = asyncio.Event()

    @property
    def position(self) -> DispatcherPosition:
        """The position of this dispatcher among all."""
        return self._position

    @position.setter
    def position(self, position: DispatcherPosition) -> None:
        if position != self._position:
            self._position, self._shares = position, {}

    def worker_shares(self, service: str) -> dict[str, WorkerShare]:
        """Returns this dispatcher's shares of the ready workers of a service, by worker."""
        found = self._shares.get(service)
        if found is None:
            found = self._shares[service] = worker_shares(self.hash_ring(service), self._position)
        return found

    def home_workers(self, service: str, segment: str) -> tuple[str, ...]:
        """Returns the ready workers with the highest affinity to a shared segment, the highest first."""
        found = self._homes.get((service, segment))
        if found is None:
            if len(self._homes) >= MAX_HOME_ENTRIES:
                self._homes.clear()
            found = tuple(
                nlargest(MAX_HOME_WORKERS, self.hash_ring(service), lambda name: affinity(segment, name))
            )
            self._homes[service, segment] = found
        return found

    def close(self) -> None:
        """Closes all connections to workers when the process ends."""
        for worker in (*self.by_id.values(), *self._deregistered):
            worker.close()

    async def end_silent_attempts(self) -> None:
        """Ends silent attempts periodically until cancelled.

        A worker may fall silent after it has left the registry: some deregister first and serve on.
        """
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            now = time.monotonic()
            self._deregistered = [worker for worker in self._deregistered if worker.inflight]
            for worker in (*self.by_id.values(), *self._deregistered):
                if worker.attempts.active:
                    worker.attempts.end_silent(now)

    def update_peer_loads(self, loads: dict[str, WorkerLoad]) -> None:
        """Applies the other dispatchers' reported load at the workers."""
        for name, worker in self.by_id.items():
            load = loads.get(name)
            requests, items = (load.requests, load.items) if load else (0, 0)
            worker.record_peer_failures(load.failing if load else 0)
            worker.peer_requests += PEER_LOAD_SMOOTHING * (requests - worker.peer_requests)
            worker.peer_items += PEER_LOAD_SMOOTHING * (items - worker.peer_items)

    def own_loads(self) -> list[WorkerLoad]:
        """Returns this dispatcher's load at the workers, for the report to the others."""
        now = time.monotonic()
        return [
            WorkerLoad(w.entry.id, w.inflight - w.items, w.items, int(w.failing_until > now))
            for w in self.by_id.values()
            if w.inflight or w.failing_until > now
        ]

    def hash_ring(self, service: str) -> list[str]:
        """Returns the ready workers of a service in the order from which subsets are taken."""
        return self._rings.get(service, [])

    def of_service(self, service: str) -> list[WorkerState]:
        """Returns all workers of a service."""
        return self._by_service.get(service, [])
