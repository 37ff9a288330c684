"""Workers as this dispatcher knows them: streams in flight, connections, troubles seen."""

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

CONNECT_WITHIN = 0.5  # seconds; a connection that takes longer has carried nothing
DEFAULT_CAPACITY = 8
WITNESSES = 2  # other dispatchers that must have failed at a worker before their word counts
WATCH = 0.15  # seconds between looks for silent attempts
OTHERS_LEARNT = 0.25  # weight of a new word: all dispatchers see the same, and must not all follow it at once
HOMES_KEPT = 6  # homes of a shared part that are remembered: some may be out of reach
PARTS_MOST = 2048  # shared parts whose homes are remembered
SKIPPED_HEADERS = frozenset({"Accept", "Accept-Encoding", "User-Agent", "Content-Type"})


class UnsendablePath(ValueError):
    """The library would send another path than the client's."""


@dataclass
class WorkerState:
    """One incarnation of a worker."""

    entry: Entry
    inflight: int = 0  # own requests and items there
    items: int = 0  # own batch items there
    others_live: float = 0.0  # requests of the other dispatchers there, averaged over their latest words
    others_items: float = 0.0  # batch items, likewise
    failures: float = 0.0
    error_share: float = 0.0  # of its answers lately
    avoid_until: float = 0.0  # steady time
    failing_until: float = 0.0  # steady time: it was not reached, or broke off
    failing_elsewhere: int = 0  # other dispatchers of which that is true
    attempts: Attempts = field(default_factory=Attempts)
    latency: WorkerLatency = field(default_factory=WorkerLatency)
    idle_limit: IdleLimit = field(default_factory=IdleLimit)
    _session: aiohttp.ClientSession | None = None
    _connector: MostRecentlyUsedConnector | None = None

    @property
    def total(self) -> float:
        """Requests and items of all dispatchers there, as far as known."""
        return self.inflight + self.others_live + self.others_items

    @property
    def live(self) -> float:
        """Requests of all dispatchers there, without batch items."""
        return self.inflight - self.items + self.others_live

    @property
    def capacity(self) -> int:
        """Places of its engine."""
        return self.entry.capacity or DEFAULT_CAPACITY

    @property
    def ready(self) -> bool:
        """Whether new work may go there, by its own word."""
        return self.entry.state == "ready"

    def session(self) -> aiohttp.ClientSession:
        """Connections to this incarnation alone: an address may be another worker's later."""
        if self._session is None:
            self._connector = MostRecentlyUsedConnector(self.idle_limit)
            self._session = aiohttp.ClientSession(
                connector=self._connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=SKIPPED_HEADERS,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_WITHIN),
                read_bufsize=2**16,
                max_line_size=65536,
                max_field_size=65536,
            )
            # aiohttp repeats GET, PUT and DELETE by itself when a kept connection drops: a run unseen by us.
            self._session._retry_connection = False
        return self._session

    async def request(
        self, method: str, path: str, headers: CIMultiDict[str], body: bytes
    ) -> aiohttp.ClientResponse:
        """Send one request, once; returns when the head of the answer is there."""
        url = URL(f"http://{self.entry.address}{path}", encoded=True)
        if url.raw_path_qs != path:
            raise UnsendablePath(path)
        session = self.session()
        connector = self._connector
        assert connector is not None
        broken = False
        try:
            return await session.request(
                method, url, headers=headers, data=body or None, allow_redirects=False
            )
        except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError) as error:
            broken = not isinstance(error, aiohttp.ClientConnectorError)
            raise
        finally:
            idle_seconds = connector.pop_idle_seconds()
            if broken and idle_seconds is not None:
                self.idle_limit.record_reset(idle_seconds)

    def learn_idle(self, keep_alive: str | None) -> None:
        """Take the time that the worker lets a connection rest, from a Keep-Alive header."""
        self.idle_limit.record_response()
        if keep_alive is None:
            return
        for part in keep_alive.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                self.idle_limit.set_advertised(int(value))

    def note_failing(self, dispatchers: int) -> None:
        """So many other dispatchers lately did not reach it; if several, kept connections are dead too."""
        if dispatchers >= WITNESSES > self.failing_elsewhere:
            self.close_idle_connections()
        self.failing_elsewhere = dispatchers

    def has_idle_connection(self, now: float) -> bool:
        """Whether a request would need no new connection."""
        return self._connector is not None and self._connector.has_idle_connection(now)

    def close_idle_connections(self) -> None:
        """Use no kept connection again: the worker broke one, and the others may be as dead."""
        if self._connector is not None:
            self._connector.close_idle_connections()

    def close(self) -> None:
        """End all connections that rest; those in use end with their request."""
        if self._session is not None:
            asyncio.get_running_loop().create_task(self._session.close())
            self._session = self._connector = None


def note_attempt(attempt: Attempt, worker: WorkerState, home: int | None = None) -> None:
    """Note where an attempt goes, and what is known of that worker."""
    attempt.worker = worker.entry.id
    attempt.load = LoadSnapshot(
        worker.inflight - 1, worker.others_live + worker.others_items, worker.capacity
    )
    attempt.home_rank = home
    attempt.new_connection = not worker.has_idle_connection(attempt.sent_at)


class WorkerPool:
    """All workers by service."""

    def __init__(self) -> None:
        self.by_id: dict[str, WorkerState] = {}
        self._by_service: dict[str, list[WorkerState]] = {}
        self._rings: dict[str, list[str]] = {}
        self._position = DispatcherPosition()
        self._shares: dict[str, dict[str, WorkerShare]] = {}
        self._homes: dict[tuple[str, str], tuple[str, ...]] = {}
        self.changed = asyncio.Event()

    def update(self, entries: dict[str, Entry]) -> None:
        """Take the registry's workers."""
        for worker in [w for name, w in self.by_id.items() if name not in entries]:
            del self.by_id[worker.entry.id]
            worker.entry.state = "gone"
            if not worker.inflight:
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
        """This dispatcher's place among all."""
        return self._position

    @position.setter
    def position(self, position: DispatcherPosition) -> None:
        if position != self._position:
            self._position, self._shares = position, {}

    def worker_shares(self, service: str) -> dict[str, WorkerShare]:
        """This dispatcher's shares of the ready workers of a service, by worker."""
        found = self._shares.get(service)
        if found is None:
            found = self._shares[service] = worker_shares(self.hash_ring(service), self._position)
        return found

    def homes(self, service: str, part: str) -> tuple[str, ...]:
        """The ready workers to which a prompt's shared part belongs most, the first home first."""
        found = self._homes.get((service, part))
        if found is None:
            if len(self._homes) >= PARTS_MOST:
                self._homes.clear()
            found = tuple(nlargest(HOMES_KEPT, self.hash_ring(service), lambda name: affinity(part, name)))
            self._homes[service, part] = found
        return found

    def close(self) -> None:
        """End all connections to workers: the process ends."""
        for worker in self.by_id.values():
            worker.close()

    async def watch(self) -> None:
        """End silent attempts until cancelled."""
        while True:
            await asyncio.sleep(WATCH)
            now = time.monotonic()
            for worker in self.by_id.values():
                if worker.attempts.active:
                    worker.attempts.end_silent(now)

    def take_loads(self, loads: dict[str, WorkerLoad]) -> None:
        """Take what the other dispatchers have at the workers."""
        for name, worker in self.by_id.items():
            load = loads.get(name)
            live, items = (load.requests, load.items) if load else (0, 0)
            worker.note_failing(load.failing if load else 0)
            worker.others_live += OTHERS_LEARNT * (live - worker.others_live)
            worker.others_items += OTHERS_LEARNT * (items - worker.others_items)

    def loads(self) -> list[WorkerLoad]:
        """What this dispatcher has at the workers."""
        now = time.monotonic()
        return [
            WorkerLoad(w.entry.id, w.inflight - w.items, w.items, int(w.failing_until > now))
            for w in self.by_id.values()
            if w.inflight or w.failing_until > now
        ]

    def hash_ring(self, service: str) -> list[str]:
        """The ready workers of a service in the order from which dispatchers' subsets are taken."""
        return self._rings.get(service, [])

    def of(self, service: str) -> list[WorkerState]:
        """All workers of a service."""
        return self._by_service.get(service, [])
