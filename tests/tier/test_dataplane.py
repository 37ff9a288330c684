"""The data plane without sockets: routes, events, deferred work, worker selection, batch items."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import unittest
from collections import Counter
from unittest import mock

import aiohttp
import ujson
from multidict import CIMultiDict

from heronstall.batch.outcomes import Outcome
from heronstall.dataplane import attempts as limits
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.attempts import Attempts
from heronstall.dataplane.batch_api import InvalidSubmission, parse_items
from heronstall.dataplane.batch_runner import BatchRunner, RunningItem
from heronstall.dataplane.deferred import DeferredQueue
from heronstall.dataplane.events import EventReader
from heronstall.dataplane.forwarding import TOKEN_USAGE_HEADER, RequestContext
from heronstall.dataplane.prefixes import NO_SHARED_PREFIX, parse_shared_prefix
from heronstall.dataplane.routing import Routes, RouteType, parse_routes
from heronstall.dataplane.subset import (
    MIN_SUBSET_SIZE,
    SPARE_WORKERS,
    DispatcherPosition,
    hash_ring,
    preferred_subset,
)
from heronstall.dataplane.workers import UnsendablePath, WorkerPool, WorkerState
from heronstall.placement.prefill import affinity
from heronstall.sessions.loads import WorkerLoad
from heronstall.transport.frames import Frame, FrameError, FrameReader, Kind, Status, encode
from heronstall.transport.links import Reply
from heronstall.transport.messages import (
    BatchItem,
    ItemReport,
    LeasedItem,
    LeaseReply,
    LeaseRequest,
    Worker,
)


def sample_routes(fields: dict[str, object] | None = None) -> Routes:
    """Returns routes of each kind; all of them have these fields too."""
    entries: list[dict[str, object]] = [
        {"name": "a", "hostname": "H.example", "path_prefix": "/a/", "route_type": "streaming"},
        {"name": "ab", "hostname": "h.example", "path_prefix": "/a/b/", "route_type": "idempotent"},
        {
            "name": "lots",
            "hostname": "h.example",
            "path_prefix": "/lots/",
            "route_type": "batch",
            "priority": 2,
        },
        {"name": "slow", "hostname": "h.example", "path_prefix": "/slow/", "target_latency_ms": 900},
    ]
    common: dict[str, object] = {
        "timeout_ms": 1000,
        "service": "s",
        "target_latency_ms": 200,
        **(fields or {}),
    }
    document = {"revision": 3, "routes": [{**common, **e} for e in entries], "services": [{"name": "s"}]}
    return parse_routes(ujson.dumps(document).encode())


class Routing(unittest.TestCase):
    def test_longest_matching_path_prefix_wins(self) -> None:
        found = sample_routes()
        for host, path, name in (
            ("h.example", "/a/x", "a"),
            ("h.example:80", "/a/b/x", "ab"),
            ("H.EXAMPLE", "/lots/1", "lots"),
            ("h.example", "/b/", None),
            ("other", "/a/x", None),
        ):
            with self.subTest(host=host, path=path):
                route = found.find(host, path)
                self.assertEqual(route.name if route else None, name)

    def test_repeatable_routes(self) -> None:
        by_name = {r.name: r for r in sample_routes().by_host["h.example"]}
        self.assertFalse(by_name["a"].repeatable)
        self.assertTrue(by_name["ab"].repeatable)
        self.assertIs(by_name["slow"].type, RouteType.NON_IDEMPOTENT)
        self.assertFalse(by_name["slow"].repeatable)

    def test_resumable_makes_streams_repeatable_and_nothing_else(self) -> None:
        """Guards against a non_idempotent request that runs twice on a route that also has `resumable`."""
        found = {r.name: r for r in sample_routes({"resumable": True}).by_host["h.example"]}
        self.assertEqual({n for n, r in found.items() if r.repeatable}, {"a", "ab"})
        self.assertEqual({n for n, r in found.items() if r.resumes_streams}, {"a"})

    def test_route_with_target_latency_well_above_the_shortest_is_deferrable(self) -> None:
        found = sample_routes()
        by_name = {r.name: r for r in found.by_host["h.example"]}
        self.assertFalse(found.is_deferrable(by_name["a"]))
        self.assertTrue(found.is_deferrable(by_name["slow"]))
        self.assertEqual(found.batch_hosts(), {"h.example"})


class Events(unittest.TestCase):
    def test_events_are_reassembled_from_chunks_of_any_size(self) -> None:
        stream = b"id: 1\ndata: a\ndata: b\n\nversions: 3\nid: 2\ndata: c\n\n"
        stream += b": note\r\nid: 3\r\ndata:d\r\n\r\nid: 4\ndata"
        for size in range(1, len(stream) + 1):
            reader = EventReader()
            found = [e for k in range(0, len(stream), size) for e in reader.feed(stream[k : k + size])]
            self.assertEqual([(e.id, e.data) for e in found], [(1, b"a\nb"), (2, b"c"), (3, b"d")])
            self.assertEqual(b"".join(e.raw for e in found) + reader.partial, stream)


class Prefixes(unittest.TestCase):
    def test_last_segment_is_not_shared(self) -> None:
        self.assertEqual(parse_shared_prefix("ab:800,cd:410,ef:250"), ("ab", 1210, 800))
        self.assertEqual(parse_shared_prefix("ab:800"), NO_SHARED_PREFIX)

    def test_malformed_header_means_no_shared_prefix(self) -> None:
        for header in ("", ",", "a,b,c", "a:x,b:1", "a:-1,b:2", "a:1:2,b:3"):
            self.assertEqual(parse_shared_prefix(header), NO_SHARED_PREFIX, header)

    def test_segments_are_distributed_evenly_over_workers(self) -> None:
        homes = [max(range(6), key=lambda w: affinity(f"part{p}", f"worker{w}")) for p in range(600)]
        counts = [homes.count(w) for w in range(6)]
        self.assertGreater(min(counts), 60)
        self.assertLess(max(counts), 160)


class Clock:
    def __init__(self) -> None:
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


class DeferredQueueing(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = Clock()
        self.utilisation = 0.2
        self.queue = DeferredQueue(lambda: self.utilisation, self.clock)
        self.order: list[str] = []
        self.room = 100

    async def add(
        self, name: str, rank: int, deadline: float, due: float, everywhere: bool = False
    ) -> asyncio.Task[None]:
        async def work() -> None:
            await self.queue.wait(rank, deadline, due, lambda: everywhere or self.room > 0)
            self.order.append(name)

        task = asyncio.create_task(work())
        await asyncio.sleep(0)
        return task

    async def release(self) -> list[str]:
        self.queue.release_ready()
        for _ in range(3):
            await asyncio.sleep(0)
        return self.order

    def become_busy(self) -> None:
        self.utilisation = 0.95
        for _ in range(130):
            self.clock.now += 0.25
            self.queue.release_ready()
        self.assertTrue(self.queue.switch.busy)

    async def test_idle_releases_all_by_deadline_and_late_ranks_last(self) -> None:
        await self.add("late", 1, 10.0, 0.0)
        await self.add("second", 0, 70.0, 69.0)
        await self.add("first", 0, 60.0, 59.0)
        self.assertEqual(await self.release(), ["first", "second", "late"])

    async def test_busy_releases_only_due_work(self) -> None:
        self.become_busy()
        await self.add("later", 0, self.clock.now + 20, self.clock.now + 10)
        await self.add("due", 0, self.clock.now + 1, self.clock.now)
        self.assertEqual(await self.release(), ["due"])
        self.clock.now += 10.1
        self.assertEqual(await self.release(), ["due", "later"])

    async def test_nothing_is_released_without_a_free_slot(self) -> None:
        self.room = 0
        await self.add("a", 0, 60.0, 59.0)
        self.assertEqual(await self.release(), [])
        self.room = 1
        self.assertEqual(await self.release(), ["a"])

    async def test_work_without_a_free_slot_does_not_block_work_that_needs_none(self) -> None:
        """Items without a worker must not delay a live request, whose delay is penalized."""
        self.room = 0
        for busy in (False, True):
            if busy:
                self.become_busy()
            now = self.clock.now
            item = await self.add("item", 0, now + 0.1, now)
            await self.add("request", 0, now + 0.3, now, everywhere=True)
            self.assertEqual((await self.release())[-1], "request")
            self.order.clear()
            item.cancel()
            await asyncio.sleep(0)

    async def test_free_slot_is_checked_once_per_group_until_there_is_one(self) -> None:
        checked: list[str] = []

        async def wait(name: str, route: str | None) -> None:
            def may_start() -> bool:
                checked.append(name)
                return self.room > 0

            await self.queue.wait(0, 60.0, 59.0, may_start, route)
            self.order.append(name)

        for name, route in (("a1", "a"), ("a2", "a"), ("b1", "b"), ("n1", None), ("n2", None)):
            asyncio.create_task(wait(name, route))
        await asyncio.sleep(0)
        self.room = 0
        self.assertEqual(await self.release(), [])
        self.assertEqual(checked, ["a1", "b1", "n1", "n2"])
        self.room = 1
        self.assertEqual(await self.release(), ["a1", "a2", "b1", "n1", "n2"])

    async def test_cancelled_work_blocks_no_other(self) -> None:
        first = await self.add("a", 0, 60.0, 59.0)
        await self.add("b", 0, 61.0, 60.0)
        first.cancel()
        await asyncio.sleep(0)
        self.assertEqual(await self.release(), ["b"])
        self.assertEqual(len(self.queue), 0)


class SilentAttempts(unittest.IsolatedAsyncioTestCase):
    async def test_silent_worker_is_suspected_and_slow_response_is_not(self) -> None:
        worker = Attempts()
        async with asyncio.timeout(None) as limit:
            waiting, streaming = worker.begin(limit, None), worker.begin(limit, None)
            sent = waiting.sent_at
            self.assertFalse(worker.suspected(sent + 0.1))
            self.assertTrue(worker.suspected(sent + limits.WORKER_SILENCE_S + 0.1))
            worker.record_data(streaming)
            self.assertFalse(worker.suspected(sent + limits.WORKER_SILENCE_S + 0.1))

    async def test_long_prompt_extends_silence_limit_until_the_first_data(self) -> None:
        worker = Attempts()
        prefill_time = 1.0
        tokens = int(prefill_time * limits.MIN_PREFILL_TOKENS_PER_SECOND)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(None) as limit:
                attempt = worker.begin(limit, limits.REQUEST_SILENCE_S, tokens)
                sent = attempt.sent_at
                self.assertFalse(worker.suspected(sent + limits.WORKER_SILENCE_S + 0.9 * prefill_time))
                self.assertTrue(worker.suspected(sent + limits.WORKER_SILENCE_S + 1.1 * prefill_time))
                self.assertEqual(worker.end_silent(sent + limits.WORKER_SILENCE_S + 0.9 * prefill_time), 0)
                worker.record_data(attempt)
                first_at = attempt.last_data_at
                self.assertEqual(worker.end_silent(first_at + 0.9 * limits.REQUEST_SILENCE_S), 0)
                self.assertEqual(worker.end_silent(first_at + 1.1 * limits.REQUEST_SILENCE_S), 1)
                await asyncio.Event().wait()

    async def test_extension_of_the_silence_limit_is_bounded(self) -> None:
        worker = Attempts()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(None) as limit:
                attempt = worker.begin(limit, limits.REQUEST_SILENCE_S, 10**9)
                late = attempt.sent_at + limits.WORKER_SILENCE_S + limits.MAX_PREFILL_ALLOWANCE_S + 0.1
                self.assertEqual(worker.end_silent(late), 1)
                await asyncio.Event().wait()

    async def test_only_repeatable_attempts_are_ended_by_silence(self) -> None:
        worker = Attempts()
        async with asyncio.timeout(None) as unlimited:
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(None) as limit:
                    unrepeatable = worker.begin(unlimited, None)
                    repeatable = worker.begin(limit, limits.REQUEST_SILENCE_S)
                    self.assertEqual(worker.end_silent(repeatable.sent_at + 0.1), 0)
                    self.assertEqual(
                        worker.end_silent(repeatable.sent_at + limits.REQUEST_SILENCE_S + 0.1), 1
                    )
                    await asyncio.Event().wait()
            self.assertEqual(worker.active, {unrepeatable})


class WorkerSelection(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = WorkerPool.__new__(WorkerPool)
        self.pool.by_id, self.pool._by_service, self.pool._rings = {}, {}, {}
        self.pool._position, self.pool._shares = DispatcherPosition(), {}
        self.pool.changed = mock.Mock()
        with mock.patch("asyncio.Event", mock.Mock):
            self.pool.update(
                {f"w{k}": Worker(id=f"w{k}", service="s", state="ready", capacity=10) for k in range(4)}
            )
        self.admission = Admission(self.pool, random.Random(3))

    def pick_counts(self, count: int = 400, **options: bool) -> dict[str, int]:
        found: dict[str, int] = {}
        for _ in range(count):
            worker = self.admission.pick("s", NO_SHARED_PREFIX, set(), **options)
            if worker is not None:
                found[worker.entry.id] = found.get(worker.entry.id, 0) + 1
        return found

    def test_own_and_peer_load_reduce_weight(self) -> None:
        self.pool.by_id["w0"].inflight = 5
        for _ in range(20):
            self.pool.update_peer_loads({"w1": WorkerLoad("w1", 9, 0)})
        found = self.pick_counts()
        self.assertLess(found.get("w0", 0), 30)
        self.assertLess(found.get("w1", 0), 60)

    def test_draining_and_tried_workers_are_not_picked(self) -> None:
        self.pool.by_id["w0"].entry.state = "draining"
        found = {w.entry.id for _ in range(200) if (w := self.admission.pick("s", NO_SHARED_PREFIX, {"w1"}))}
        self.assertEqual(found, {"w2", "w3"})

    def test_worker_with_errors_gets_few_requests_until_it_recovers(self) -> None:
        erroring = self.pool.by_id["w0"]
        for _ in range(30):
            self.admission.record_response(erroring, 500)
        found = self.pick_counts()
        self.assertLess(found.get("w0", 0), 25)
        self.assertGreater(found.get("w0", 0), 0)
        for _ in range(60):
            self.admission.record_response(erroring, 200)
        self.assertGreater(self.pick_counts().get("w0", 0), 60)

    def test_near_or_connected_worker_is_preferred_while_it_has_spare_slots(self) -> None:
        self.admission = Admission(self.pool, random.Random(3), "z")
        near, connected = self.pool.by_id["w0"], self.pool.by_id["w1"]
        near.entry.zone = "z"
        found = self.pick_counts()
        self.assertGreater(found["w0"], 1.5 * max(found["w1"], found["w2"], found["w3"]))
        with mock.patch.object(connected, "has_idle_connection", return_value=True):
            self.assertGreater(self.pick_counts()["w1"], 250)
            connected.peer_requests = 8.0
            self.assertLess(self.pick_counts().get("w1", 0), 60)
        near.peer_requests = 8.0
        self.assertLess(self.pick_counts().get("w0", 0), 60)

    def test_large_prompt_goes_to_its_home_worker(self) -> None:
        prefix = parse_shared_prefix("aa:13000,bb:400")
        homes = [self.admission.pick("s", prefix, set()) for _ in range(100)]
        names = [w.entry.id for w in homes if w]
        self.assertGreater(max(names.count(n) for n in set(names)), 80)

    def test_large_prompt_goes_to_its_home_worker_among_many(self) -> None:
        entries = {f"w{k}": Worker(id=f"w{k}", service="s", state="ready", capacity=10) for k in range(40)}
        with mock.patch("asyncio.Event", mock.Mock):
            self.pool.update(entries)
        prefix = parse_shared_prefix("aa:13000,bb:400")

        def pick_counts() -> Counter[str]:
            return Counter(w.entry.id for _ in range(200) if (w := self.admission.pick("s", prefix, set())))

        (home, often) = pick_counts().most_common(1)[0]
        self.assertGreater(often, 160)
        for name in self.pool.by_id:
            self.pool.by_id[name].peer_requests = 7.0
        self.pool.by_id[home].peer_requests = 10.0
        full = pick_counts()
        (second, often) = next(pair for pair in full.most_common() if pair[0] != home)
        self.assertGreater(often, 160)
        self.pool.by_id[home].entry.state = "draining"
        self.assertGreater(pick_counts()[second], 180)

    def test_worker_that_peers_cannot_reach_is_not_picked(self) -> None:
        self.pool.update_peer_loads({"w0": WorkerLoad("w0", failing=2), "w1": WorkerLoad("w1", failing=1)})
        self.assertEqual(set(self.pick_counts()), {"w1", "w2", "w3"})
        worker = self.pool.by_id["w0"]
        worker.attempts.last_data_at = time.monotonic()  # it has just sent data here
        self.assertIn("w0", self.pick_counts())
        worker.attempts.last_data_at = 0.0
        self.pool.update_peer_loads({})
        self.assertIn("w0", self.pick_counts())

    def test_idle_connections_are_closed_once_per_series_of_peer_failures(self) -> None:
        worker = self.pool.by_id["w0"]
        with mock.patch.object(type(worker), "close_idle_connections") as forget:
            for failing in (1, 2, 3, 1, 2):
                worker.record_peer_failures(failing)
        self.assertEqual(forget.call_count, 2)

    def test_planned_worker_is_used_only_if_healthy_from_here(self) -> None:
        def usable(name: str) -> bool:
            return self.admission.usable_worker(name, "s") is not None

        now = time.monotonic()
        self.assertTrue(usable("w0"))
        self.assertFalse(usable("w9"))
        self.assertIsNone(self.admission.usable_worker("w0", "another"))
        self.pool.by_id["w0"].entry.state = "draining"
        self.admission.record_failure(self.pool.by_id["w1"])
        for _ in range(30):
            self.admission.record_response(self.pool.by_id["w2"], 500)
        self.pool.by_id["w3"].latency.doublings, self.pool.by_id["w3"].latency.updated_at = 3.0, now
        self.assertEqual([usable(f"w{k}") for k in range(4)], [False] * 4)

    def test_peer_failures_of_most_workers_exclude_none(self) -> None:
        """In that case the peers that report failures are cut off themselves."""
        self.pool.update_peer_loads({f"w{k}": WorkerLoad(f"w{k}", failing=4) for k in range(3)})
        self.assertEqual(len(self.pick_counts()), 4)

    def test_recent_failure_is_reported_to_peers(self) -> None:
        worker = self.pool.by_id["w2"]
        self.admission.record_failure(worker)
        (load,) = self.pool.own_loads()
        self.assertEqual((load.worker, load.failing, load.requests), ("w2", 1, 0))
        worker.failing_until = 0.0
        self.assertEqual(self.pool.own_loads(), [])


class Subsets(unittest.TestCase):
    def test_workers_are_in_nearly_equally_many_subsets(self) -> None:
        for workers, dispatchers, inflight in (
            (36, 53, 6),
            (45, 75, 5),
            (600, 350, 12),
            (10, 3, 2),
            (7, 9, 1),
        ):
            with self.subTest(workers=workers, dispatchers=dispatchers):
                names = hash_ring(f"i-{k}" for k in range(workers))
                subsets = [
                    preferred_subset(names, DispatcherPosition(n + 1, dispatchers), inflight)
                    for n in range(dispatchers)
                ]
                self.assertEqual(
                    {len(subset) for subset in subsets}, {max(MIN_SUBSET_SIZE, inflight + SPARE_WORKERS)}
                )
                shared = Counter(name for subset in subsets for name in subset)
                counts = [shared[name] for name in names]
                if dispatchers >= workers:
                    self.assertLessEqual(
                        max(counts) - min(counts), max(1, (MIN_SUBSET_SIZE + inflight + SPARE_WORKERS) // 2)
                    )
                mean = dispatchers * max(MIN_SUBSET_SIZE, inflight + SPARE_WORKERS) / workers
                self.assertLess(max(counts), mean + 2)

    def test_ring_is_independent_of_the_workers_order(self) -> None:
        names = [f"i-{k}" for k in range(20)]
        self.assertEqual(hash_ring(names), hash_ring(reversed(names)))

    def test_few_workers_or_unknown_position_give_no_subset(self) -> None:
        names = hash_ring(f"i-{k}" for k in range(6))
        self.assertEqual(preferred_subset(names, DispatcherPosition(1, 4), 6 - SPARE_WORKERS), frozenset())
        self.assertEqual(preferred_subset(names, DispatcherPosition(0, 4), 0), frozenset())
        self.assertEqual(preferred_subset([], DispatcherPosition(1, 4), 0), frozenset())
        self.assertEqual(
            len(preferred_subset(names, DispatcherPosition(9, 4), 0)), MIN_SUBSET_SIZE
        )  # the assigning node knows fewer

    def test_subset_only_grows_with_more_streams(self) -> None:
        names = hash_ring(f"i-{k}" for k in range(40))
        subsets = [preferred_subset(names, DispatcherPosition(5, 9), inflight) for inflight in range(20)]
        for smaller, larger in itertools.pairwise(subsets):
            self.assertLessEqual(smaller, larger)


class SubsetSelection(unittest.TestCase):
    """Dispatchers that know only their own streams."""

    WORKERS, DISPATCHERS, STREAMS, ROUNDS = 36, 54, 324, 3

    def load_dispersion(self, seed: int, positions: bool) -> float:
        """Returns the ratio of the variance of the workers' loads to their mean: 1 for uniform draws."""
        rng = random.Random(seed)
        dispatchers = []
        for number in range(1, self.DISPATCHERS + 1):
            pool = WorkerPool()
            names = [f"w{k}" for k in range(self.WORKERS)]
            pool.update({n: Worker(id=n, service="s", state="ready", capacity=12) for n in names})
            dispatchers.append(Admission(pool, rng))
            if positions:
                pool.position = DispatcherPosition(number, self.DISPATCHERS)
        streams: list[tuple[Admission, WorkerState]] = []
        loads: Counter[str] = Counter()
        for _ in range(self.ROUNDS * self.STREAMS):
            if len(streams) == self.STREAMS:
                dispatcher, worker = streams.pop(rng.randrange(self.STREAMS))
                dispatcher.record_finished(worker, True)
                loads[worker.entry.id] -= 1
            dispatcher = rng.choice(dispatchers)
            worker = dispatcher.pick("s", NO_SHARED_PREFIX, set()) or self.fail("no worker")
            dispatcher.record_sent(worker)
            streams.append((dispatcher, worker))
            loads[worker.entry.id] += 1
        mean = self.STREAMS / self.WORKERS
        return sum((loads[f"w{k}"] - mean) ** 2 for k in range(self.WORKERS)) / self.WORKERS / mean

    def test_loads_vary_less_than_with_draws_among_all_workers(self) -> None:
        seeds = range(16)  # with four seeds the ratio varies from 0.5 to 0.9
        among_all = sum(self.load_dispersion(seed, positions=False) for seed in seeds)
        in_subsets = sum(self.load_dispersion(seed, positions=True) for seed in seeds)
        self.assertLess(in_subsets, 0.8 * among_all)


class PromptTokens(unittest.TestCase):
    def test_malformed_token_counts_are_zero(self) -> None:
        route = sample_routes().by_host["h.example"][0]
        for header, tokens in (
            ("1460,80", 1460),
            ("12", 12),
            ("", 0),
            ("-4,1", 0),
            ("x,1", 0),
            ("9" * 5000, 0),
        ):
            with self.subTest(header[:8]):
                request = mock.Mock(headers={TOKEN_USAGE_HEADER: header})
                self.assertEqual(RequestContext(request, route, "s", b"", 1.0, 0.0).prompt_tokens, tokens)


class RequestPaths(unittest.IsolatedAsyncioTestCase):
    async def test_path_that_the_library_would_change_is_not_sent(self) -> None:
        worker = WorkerState(Worker(id="w", address="127.0.0.1:1"))
        for path in ("/a#b", "/a?", "/a?b#c"):
            with self.subTest(path=path), self.assertRaises(UnsendablePath):
                await worker.request("POST", path, CIMultiDict(), b"")
        for path in ("/a", "//a/../b", "/a%2Fb?c=d&c=%20", "/a;b=c?x"):
            with self.subTest(path=path), self.assertRaises(aiohttp.ClientConnectorError):
                await worker.request("POST", path, CIMultiDict(), b"")
        await worker.session().close()


class ItemsOfRoutes(unittest.IsolatedAsyncioTestCase):
    async def outcome(self, configurations: list[Routes], view_is_newer: bool) -> Outcome:
        """Returns the outcome of an item of route `lots` after these configurations were applied in turn.

        `view_is_newer` is whether the last one is known to have been in force after the lease.
        """
        current = mock.Mock()
        runner = BatchRunner(
            "edge",
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            current,
            view_complete_until=lambda: time.monotonic() if view_is_newer else 0.0,
        )
        runner._poll = mock.AsyncMock()  # type: ignore[method-assign]
        for configuration in configurations:
            current.return_value = configuration
            runner.update_pollers()
        leased = LeasedItem(job="j", host="h.example", route="lots")
        with mock.patch("heronstall.dataplane.batch_runner.ROUTE_DECISION_TIMEOUT_S", 0):
            return await runner._run_attempts(
                RunningItem(leased, BatchItem(id="i", path="/lots/1"), "batch-0")
            )

    async def test_item_of_a_removed_route_fails(self) -> None:
        removed = [sample_routes(), Routes(revision=4)]
        self.assertEqual(await self.outcome(removed, view_is_newer=True), Outcome.ROUTE_GONE)
        self.assertEqual(await self.outcome(removed, view_is_newer=False), Outcome.RETURNED)

    async def test_item_of_an_unknown_route_is_returned(self) -> None:
        unknown = [Routes(revision=2)]
        self.assertEqual(await self.outcome(unknown, view_is_newer=False), Outcome.RETURNED)
        self.assertEqual(await self.outcome(unknown, view_is_newer=True), Outcome.ROUTE_GONE)


class LeaseCalls(unittest.IsolatedAsyncioTestCase):
    """Each call lists the leases that the dispatcher holds, so that the owner detects lost ones."""

    def setUp(self) -> None:
        self.shards = mock.Mock()
        self.runner = BatchRunner("edge", self.shards, mock.Mock(), mock.Mock(), mock.Mock())

    def add_running(self, name: str, lease: int) -> None:
        leased = LeasedItem(job="j", lease=lease)
        self.runner._running["j", name] = RunningItem(leased, BatchItem(id=name), "batch-0")

    def test_call_lists_held_leases_and_is_numbered(self) -> None:
        self.add_running("i", 7)
        first = self.runner._lease_request("batch-0", 2)
        second = self.runner._lease_request("batch-0", 2)
        self.assertEqual([(h.job, h.item, h.lease) for h in first.held], [("j", "i", 7)])
        self.assertGreater(second.call, first.call)
        self.assertEqual(self.runner._lease_request("batch-1", 2).held, [])

    async def test_report_is_listed_until_it_is_acknowledged(self) -> None:
        listed: list[list[str]] = []

        async def call(*_: object, **__: object) -> Reply:
            listed.append([r.item for r in self.runner._lease_request("batch-0", 0).reported])
            return Reply(Status.UNSURE if len(listed) == 1 else Status.OK)

        self.shards.call = call
        self.runner._reports["batch-0"] = [ItemReport("j", "i", Outcome.FAILED, b"", 7)]
        with mock.patch("heronstall.dataplane.batch_runner.REPORT_RETRY_DELAY_S", 0):
            await self.runner._send_reports("batch-0")
            self.assertEqual([r.item for r in self.runner._lease_request("batch-0", 0).reported], ["i"])
            await self.runner._send_reports("batch-0")
        self.assertEqual(listed, [["i"], ["i"]])
        self.assertEqual(self.runner._lease_request("batch-0", 0).reported, [])

    async def test_item_that_arrives_during_stop_is_returned(self) -> None:
        """Stopping cancels tasks, and a task that has not started to run does not execute its own cleanup."""
        leased = LeasedItem(job="j", item=bytes(BatchItem(id="i")), lease=9)
        for stop_first in (False, True):
            with self.subTest(stop_first=stop_first):
                self.setUp()
                self.runner._deferred.wait = lambda *_: asyncio.sleep(600)  # type: ignore[method-assign]
                if stop_first:
                    await self.runner.stop()
                    self.runner._start("batch-0", leased)
                else:
                    self.runner._start("batch-0", leased)
                    await self.runner.stop()
                for _ in range(5):
                    await asyncio.sleep(0)
                self.assertEqual(self.runner.running_count, 0)
                reports = self.runner._lease_request("batch-0", 0).reported
                self.assertEqual([(r.item, r.lease) for r in reports], [("i", 9)])

    async def finish_duration(self, acknowledged_after: float) -> float:
        """Returns how long finishing takes if the owner acknowledges a report after this many seconds."""
        began = time.monotonic()

        async def call(*_: object, **__: object) -> Reply:
            late = time.monotonic() - began > acknowledged_after
            return Reply(Status.OK if late else Status.UNSURE)

        self.shards.call = call
        self.runner._reports["batch-0"] = [ItemReport("j", "i", Outcome.DONE, b"", 7)]
        self.runner._reports_added.set()
        reporting = asyncio.create_task(self.runner.send_reports())
        await self.runner.finish(time.monotonic() + 5)
        reporting.cancel()
        return time.monotonic() - began

    async def test_finish_waits_for_the_last_reports_for_a_limited_time(self) -> None:
        self.assertGreaterEqual(await self.finish_duration(0.3), 0.3)
        self.assertFalse(self.runner.has_unreported_items)
        self.setUp()
        with mock.patch("heronstall.dataplane.batch_runner.FINAL_REPORT_TIMEOUT_S", 0.3):
            self.assertLess(await self.finish_duration(60.0), 2.0)
        self.assertTrue(self.runner.has_unreported_items)

    async def poll_requests(self, freed_during: str) -> list[int]:
        """Returns the numbers of items requested while a slot is freed during `freed_during`.

        The owner holds calls that request no items.
        """
        requested: list[int] = []

        async def call(_shard: str, _kind: Kind, body: bytes, *_: object, **__: object) -> Reply:
            requested.append(LeaseRequest().parse(body).want)
            if requested[-1]:
                self.runner.stopping = True
                return Reply(Status.OK, bytes(LeaseReply()))
            if freed_during == "held":
                self.runner._announce_free_slot()
            await asyncio.sleep(600)
            raise AssertionError("a call that requests no items was awaited")

        def want(_shard: str) -> int:
            if not requested and freed_during == "counting":
                self.runner._announce_free_slot()
            return 2 if requested else 0

        self.shards.call = call
        with mock.patch.object(self.runner, "_wanted_count", side_effect=want):
            async with asyncio.timeout(30):
                await self.runner._poll("batch-0")
        return requested

    async def test_slot_freed_during_a_held_call_is_requested_at_once(self) -> None:
        self.assertEqual(await self.poll_requests("held"), [0, 2])

    async def test_slot_freed_while_slots_are_counted_is_not_missed(self) -> None:
        self.assertEqual(await self.poll_requests("counting"), [0, 2])

    async def test_end_of_a_run_frees_its_slot(self) -> None:
        self.add_running("i", 7)
        freed = self.runner._slot_freed
        with mock.patch.object(self.runner, "_wait_for_start", side_effect=asyncio.CancelledError):
            await self.runner._run(("j", "i"), self.runner._running["j", "i"])
        self.assertTrue(freed.is_set())

    async def test_fewer_items_are_requested_after_calls_without_a_reply(self) -> None:
        requested: list[int] = []
        statuses = [Status.UNSURE, Status.FAILED, Status.UNSURE, Status.OK, Status.OK]

        async def call(_shard: str, _kind: Kind, body: bytes, *_: object, **__: object) -> Reply:
            requested.append(LeaseRequest().parse(body).want)
            if len(requested) == len(statuses):
                self.runner.stopping = True
            return Reply(statuses[len(requested) - 1], bytes(LeaseReply()))

        self.shards.call = call
        no_pause = mock.patch("heronstall.dataplane.batch_runner.POLL_RETRY_DELAY_S", 0)
        with no_pause, mock.patch.object(self.runner, "_wanted_count", return_value=48):
            await self.runner._poll("batch-0")
        self.assertEqual(requested, [48, 32, 16, 8, 16])

    async def test_repeated_lease_updates_the_lease_number(self) -> None:
        self.add_running("i", 7)
        self.runner._start("batch-0", LeasedItem(job="j", item=bytes(BatchItem(id="i")), lease=9))
        self.assertEqual([h.lease for h in self.runner._lease_request("batch-0", 0).held], [9])


class Submissions(unittest.TestCase):
    def test_items_are_parsed(self) -> None:
        entry = {"id": "i", "path": "/p", "headers": {"A": "b"}, "body": "q83vEg==", "tokens": 9}
        items = parse_items(ujson.dumps({"requests": [entry]}).encode())
        self.assertEqual(
            (items[0].body, items[0].tokens, items[0].headers[0].value), (b"\xab\xcd\xef\x12", 9, "b")
        )

    def test_each_error_names_its_field(self) -> None:
        entry = {"id": "i", "path": "/p", "headers": {}, "body": "", "tokens": 9}
        for wrong, named in (
            ("{", "body"),
            ("[]", "requests"),
            ({"requests": []}, "requests"),
            ({"requests": [entry] * 2}, "twice"),
            ({"requests": [{**entry, "id": 3}]}, "requests[0].id"),
            ({"requests": [{**entry, "body": "q83vEg="}]}, "requests[0].body"),
            ({"requests": [{**entry, "headers": {"a": 1}}]}, "requests[0].headers"),
            ({"requests": [{**entry, "tokens": -1}]}, "requests[0].tokens"),
            ({"requests": [3]}, "requests[0]"),
            ({"requests": [{**entry, "path": "p"}]}, "requests[0].path"),
            ({"requests": [{**entry, "path": "/p#q"}]}, "requests[0].path"),
        ):
            with self.subTest(named=named), self.assertRaises(InvalidSubmission) as caught:
                parse_items((wrong if isinstance(wrong, str) else ujson.dumps(wrong)).encode())
            self.assertIn(named, str(caught.exception))


class Frames(unittest.TestCase):
    def test_frames_are_reassembled_from_chunks_of_any_size(self) -> None:
        sent = [
            Frame(Kind.SYNC, Status.CALL, 1, b"abc"),
            Frame(Kind.GROUP, Status.OK, 0, b""),
            Frame(Kind.END, Status.UNSURE, 9, b"x" * 70),
        ]
        stream = b"".join(map(encode, sent))
        for size in (1, 2, 7, 11, 50, len(stream)):
            reader = FrameReader()
            found = [f for k in range(0, len(stream), size) for f in reader.feed(stream[k : k + size])]
            self.assertEqual(found, sent)

    def test_random_bytes_are_rejected(self) -> None:
        rng = random.Random(1)
        refused = 0
        for _ in range(500):
            try:
                FrameReader().feed(rng.randbytes(40))
            except FrameError:
                refused += 1
        self.assertGreater(refused, 450)


if __name__ == "__main__":
    unittest.main()
