"""The data plane's parts free of sockets: routes, events, prefixes, lanes, silent attempts, draws."""

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
from heronstall.dataplane import attempts as silence
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.attempts import Attempts
from heronstall.dataplane.batch_api import InvalidSubmission, parse_items
from heronstall.dataplane.batch_runner import BatchRunner, RunningItem
from heronstall.dataplane.deferred import DeferredLane
from heronstall.dataplane.events import EventReader
from heronstall.dataplane.forwarding import TOKEN_USAGE_HEADER, RequestContext
from heronstall.dataplane.prefixes import NOTHING, shared_prefix
from heronstall.dataplane.routing import Routes, RouteType, parse_routes
from heronstall.dataplane.subset import IDLE, LEAST, Seat, preferred, ring
from heronstall.dataplane.workers import UnsendablePath, WorkerPool, WorkerState
from heronstall.placement.reading import affinity
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


def routes() -> Routes:
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
    common: dict[str, object] = {"timeout_ms": 1000, "service": "s", "target_latency_ms": 200}
    document = {"revision": 3, "routes": [{**common, **e} for e in entries], "services": [{"name": "s"}]}
    return parse_routes(ujson.dumps(document).encode())


class Routing(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_wins(self) -> None:
        found = routes()
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

    def test_what_may_run_again(self) -> None:
        by_name = {r.name: r for r in routes().by_host["h.example"]}
        self.assertFalse(by_name["a"].repeatable)
        self.assertTrue(by_name["ab"].repeatable)
        self.assertIs(by_name["slow"].type, RouteType.NON_IDEMPOTENT)
        self.assertFalse(by_name["slow"].repeatable)

    def test_an_aim_well_above_the_shortest_is_deferrable(self) -> None:
        found = routes()
        by_name = {r.name: r for r in found.by_host["h.example"]}
        self.assertFalse(found.is_deferrable(by_name["a"]))
        self.assertTrue(found.is_deferrable(by_name["slow"]))
        self.assertEqual(found.batch_hosts(), {"h.example"})


class Events(unittest.TestCase):
    def test_events_come_whole_however_the_bytes_are_cut(self) -> None:
        stream = b"id: 1\ndata: a\ndata: b\n\nversions: 3\nid: 2\ndata: c\n\n"
        stream += b": note\r\nid: 3\r\ndata:d\r\n\r\nid: 4\ndata"
        for size in range(1, len(stream) + 1):
            reader = EventReader()
            found = [e for k in range(0, len(stream), size) for e in reader.feed(stream[k : k + size])]
            self.assertEqual([(e.id, e.data) for e in found], [(1, b"a\nb"), (2, b"c"), (3, b"d")])
            self.assertEqual(b"".join(e.raw for e in found) + reader.partial, stream)


class Prefixes(unittest.TestCase):
    def test_the_last_part_is_not_shared(self) -> None:
        self.assertEqual(shared_prefix("ab:800,cd:410,ef:250"), ("ab", 1210, 800))
        self.assertEqual(shared_prefix("ab:800"), NOTHING)

    def test_what_cannot_be_read_shares_nothing(self) -> None:
        for header in ("", ",", "a,b,c", "a:x,b:1", "a:-1,b:2", "a:1:2,b:3"):
            self.assertEqual(shared_prefix(header), NOTHING, header)

    def test_parts_spread_evenly_over_workers(self) -> None:
        homes = [max(range(6), key=lambda w: affinity(f"part{p}", f"worker{w}")) for p in range(600)]
        counts = [homes.count(w) for w in range(6)]
        self.assertGreater(min(counts), 60)
        self.assertLess(max(counts), 160)


class Clock:
    def __init__(self) -> None:
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


class Lane(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = Clock()
        self.utilisation = 0.2
        self.lane = DeferredLane(lambda: self.utilisation, self.clock)
        self.order: list[str] = []
        self.room = 100

    async def add(
        self, name: str, rank: int, deadline: float, due: float, everywhere: bool = False
    ) -> asyncio.Task[None]:
        async def work() -> None:
            await self.lane.wait(rank, deadline, due, lambda: everywhere or self.room > 0)
            self.order.append(name)

        task = asyncio.create_task(work())
        await asyncio.sleep(0)
        return task

    async def look(self) -> list[str]:
        self.lane.look()
        for _ in range(3):
            await asyncio.sleep(0)
        return self.order

    def turn_busy(self) -> None:
        self.utilisation = 0.95
        for _ in range(130):
            self.clock.now += 0.25
            self.lane.look()
        self.assertTrue(self.lane.switch.busy)

    async def test_idle_releases_all_by_deadline_and_late_ranks_last(self) -> None:
        await self.add("late", 1, 10.0, 0.0)
        await self.add("second", 0, 70.0, 69.0)
        await self.add("first", 0, 60.0, 59.0)
        self.assertEqual(await self.look(), ["first", "second", "late"])

    async def test_busy_releases_only_what_is_due(self) -> None:
        self.turn_busy()
        await self.add("later", 0, self.clock.now + 20, self.clock.now + 10)
        await self.add("due", 0, self.clock.now + 1, self.clock.now)
        self.assertEqual(await self.look(), ["due"])
        self.clock.now += 10.1
        self.assertEqual(await self.look(), ["due", "later"])

    async def test_without_room_nothing_is_released(self) -> None:
        self.room = 0
        await self.add("a", 0, 60.0, 59.0)
        self.assertEqual(await self.look(), [])
        self.room = 1
        self.assertEqual(await self.look(), ["a"])

    async def test_work_without_room_holds_up_nothing_that_needs_none(self) -> None:
        """Items that find no worker must not hold a live request: held so long it is priced."""
        self.room = 0
        for busy in (False, True):
            if busy:
                self.turn_busy()
            now = self.clock.now
            item = await self.add("item", 0, now + 0.1, now)
            await self.add("request", 0, now + 0.3, now, everywhere=True)
            self.assertEqual((await self.look())[-1], "request")
            self.order.clear()
            item.cancel()
            await asyncio.sleep(0)

    async def test_for_work_that_is_alike_room_is_looked_for_once_until_there_is_some(self) -> None:
        asked: list[str] = []

        async def wait(name: str, route: str | None) -> None:
            def may_start() -> bool:
                asked.append(name)
                return self.room > 0

            await self.lane.wait(0, 60.0, 59.0, may_start, route)
            self.order.append(name)

        for name, route in (("a1", "a"), ("a2", "a"), ("b1", "b"), ("n1", None), ("n2", None)):
            asyncio.create_task(wait(name, route))
        await asyncio.sleep(0)
        self.room = 0
        self.assertEqual(await self.look(), [])
        self.assertEqual(asked, ["a1", "b1", "n1", "n2"])
        self.room = 1
        self.assertEqual(await self.look(), ["a1", "a2", "b1", "n1", "n2"])

    async def test_work_that_was_given_up_holds_nobody(self) -> None:
        first = await self.add("a", 0, 60.0, 59.0)
        await self.add("b", 0, 61.0, 60.0)
        first.cancel()
        await asyncio.sleep(0)
        self.assertEqual(await self.look(), ["b"])
        self.assertEqual(len(self.lane), 0)


class Silence(unittest.IsolatedAsyncioTestCase):
    async def test_a_dark_worker_is_suspected_and_a_slow_answer_is_not(self) -> None:
        worker = Attempts()
        async with asyncio.timeout(None) as limit:
            waiting, streaming = worker.begin(limit, None), worker.begin(limit, None)
            sent = waiting.sent_at
            self.assertFalse(worker.suspected(sent + 0.1))
            self.assertTrue(worker.suspected(sent + silence.WORKER_SILENT + 0.1))
            worker.heard(streaming)
            self.assertFalse(worker.suspected(sent + silence.WORKER_SILENT + 0.1))

    async def test_a_long_prompt_excuses_silence_until_something_has_come(self) -> None:
        worker = Attempts()
        reading = 1.0
        tokens = int(reading * silence.READ_PER_SECOND)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(None) as limit:
                attempt = worker.begin(limit, silence.REQUEST_SILENT, tokens)
                sent = attempt.sent_at
                self.assertFalse(worker.suspected(sent + silence.WORKER_SILENT + 0.9 * reading))
                self.assertTrue(worker.suspected(sent + silence.WORKER_SILENT + 1.1 * reading))
                self.assertEqual(worker.end_silent(sent + silence.WORKER_SILENT + 0.9 * reading), 0)
                worker.heard(attempt)
                begun = attempt.heard_at
                self.assertEqual(worker.end_silent(begun + 0.9 * silence.REQUEST_SILENT), 0)
                self.assertEqual(worker.end_silent(begun + 1.1 * silence.REQUEST_SILENT), 1)
                await asyncio.Event().wait()

    async def test_no_length_told_excuses_silence_for_ever(self) -> None:
        worker = Attempts()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(None) as limit:
                attempt = worker.begin(limit, silence.REQUEST_SILENT, 10**9)
                late = attempt.sent_at + silence.WORKER_SILENT + silence.READING_MOST + 0.1
                self.assertEqual(worker.end_silent(late), 1)
                await asyncio.Event().wait()

    async def test_only_what_may_be_repeated_is_ended(self) -> None:
        worker = Attempts()
        async with asyncio.timeout(None) as kept:
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(None) as limit:
                    once = worker.begin(kept, None)
                    again = worker.begin(limit, silence.REQUEST_SILENT)
                    self.assertEqual(worker.end_silent(again.sent_at + 0.1), 0)
                    self.assertEqual(worker.end_silent(again.sent_at + silence.REQUEST_SILENT + 0.1), 1)
                    await asyncio.Event().wait()
            self.assertEqual(worker.under_way, {once})


class Draws(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = WorkerPool.__new__(WorkerPool)
        self.pool.by_id, self.pool._by_service, self.pool._rings = {}, {}, {}
        self.pool._seat, self.pool._shares = Seat(), {}
        self.pool.changed = mock.Mock()
        with mock.patch("asyncio.Event", mock.Mock):
            self.pool.update(
                {f"w{k}": Worker(id=f"w{k}", service="s", state="ready", capacity=10) for k in range(4)}
            )
        self.admission = Admission(self.pool, random.Random(3))

    def drawn(self, count: int = 400, **options: bool) -> dict[str, int]:
        found: dict[str, int] = {}
        for _ in range(count):
            worker = self.admission.pick("s", NOTHING, set(), **options)
            if worker is not None:
                found[worker.entry.id] = found.get(worker.entry.id, 0) + 1
        return found

    def test_own_load_and_the_others_load_weigh(self) -> None:
        self.pool.by_id["w0"].inflight = 5
        for _ in range(20):
            self.pool.take_loads({"w1": WorkerLoad("w1", 9, 0)})
        found = self.drawn()
        self.assertLess(found.get("w0", 0), 30)
        self.assertLess(found.get("w1", 0), 60)

    def test_draining_and_tried_workers_get_nothing(self) -> None:
        self.pool.by_id["w0"].entry.state = "draining"
        found = {w.entry.id for _ in range(200) if (w := self.admission.pick("s", NOTHING, {"w1"}))}
        self.assertEqual(found, {"w2", "w3"})

    def test_a_worker_that_answers_with_errors_gets_little_until_it_recovers(self) -> None:
        grey = self.pool.by_id["w0"]
        for _ in range(30):
            self.admission.answered(grey, 500)
        found = self.drawn()
        self.assertLess(found.get("w0", 0), 25)
        self.assertGreater(found.get("w0", 0), 0)
        for _ in range(60):
            self.admission.answered(grey, 200)
        self.assertGreater(self.drawn().get("w0", 0), 60)

    def test_a_worker_near_or_connected_goes_first_as_long_as_it_has_places_to_spare(self) -> None:
        self.admission = Admission(self.pool, random.Random(3), "z")
        near, connected = self.pool.by_id["w0"], self.pool.by_id["w1"]
        near.entry.zone = "z"
        found = self.drawn()
        self.assertGreater(found["w0"], 1.5 * max(found["w1"], found["w2"], found["w3"]))
        with mock.patch.object(connected, "has_kept", return_value=True):
            self.assertGreater(self.drawn()["w1"], 250)
            connected.others_live = 8.0
            self.assertLess(self.drawn().get("w1", 0), 60)
        near.others_live = 8.0
        self.assertLess(self.drawn().get("w0", 0), 60)

    def test_a_large_prompt_goes_home(self) -> None:
        prefix = shared_prefix("aa:13000,bb:400")
        homes = [self.admission.pick("s", prefix, set()) for _ in range(100)]
        names = [w.entry.id for w in homes if w]
        self.assertGreater(max(names.count(n) for n in set(names)), 80)

    def test_a_large_prompt_goes_home_among_many_workers_too(self) -> None:
        entries = {f"w{k}": Worker(id=f"w{k}", service="s", state="ready", capacity=10) for k in range(40)}
        with mock.patch("asyncio.Event", mock.Mock):
            self.pool.update(entries)
        prefix = shared_prefix("aa:13000,bb:400")

        def drawn() -> Counter[str]:
            return Counter(w.entry.id for _ in range(200) if (w := self.admission.pick("s", prefix, set())))

        (home, often) = drawn().most_common(1)[0]
        self.assertGreater(often, 160)
        for name in self.pool.by_id:
            self.pool.by_id[name].others_live = 7.0
        self.pool.by_id[home].others_live = 10.0
        full = drawn()
        (second, often) = next(pair for pair in full.most_common() if pair[0] != home)
        self.assertGreater(often, 160)
        self.pool.by_id[home].entry.state = "draining"
        self.assertGreater(drawn()[second], 180)

    def test_a_worker_that_others_do_not_reach_is_set_aside_here_too(self) -> None:
        self.pool.take_loads({"w0": WorkerLoad("w0", failing=2), "w1": WorkerLoad("w1", failing=1)})
        self.assertEqual(set(self.drawn()), {"w1", "w2", "w3"})
        worker = self.pool.by_id["w0"]
        worker.attempts.heard_at = time.monotonic()  # it has just answered here
        self.assertIn("w0", self.drawn())
        worker.attempts.heard_at = 0.0
        self.pool.take_loads({})
        self.assertIn("w0", self.drawn())

    def test_connections_kept_to_it_are_ended_once(self) -> None:
        worker = self.pool.by_id["w0"]
        with mock.patch.object(type(worker), "forget_kept") as forget:
            for failing in (1, 2, 3, 1, 2):
                worker.note_failing(failing)
        self.assertEqual(forget.call_count, 2)

    def test_a_worker_that_was_named_elsewhere_is_used_only_where_it_is_sound_from_here(self) -> None:
        def usable(name: str) -> bool:
            return self.admission.usable(name, "s") is not None

        now = time.monotonic()
        self.assertTrue(usable("w0"))
        self.assertFalse(usable("w9"))
        self.assertIsNone(self.admission.usable("w0", "another"))
        self.pool.by_id["w0"].entry.state = "draining"
        self.admission.failed(self.pool.by_id["w1"])
        for _ in range(30):
            self.admission.answered(self.pool.by_id["w2"], 500)
        self.pool.by_id["w3"].pace.doublings, self.pool.by_id["w3"].pace.at = 3.0, now
        self.assertEqual([usable(f"w{k}") for k in range(4)], [False] * 4)

    def test_words_against_most_workers_set_none_aside(self) -> None:
        """Then those who say so are cut off themselves."""
        self.pool.take_loads({f"w{k}": WorkerLoad(f"w{k}", failing=4) for k in range(3)})
        self.assertEqual(len(self.drawn()), 4)

    def test_a_failure_is_told_to_the_others_while_it_is_fresh(self) -> None:
        worker = self.pool.by_id["w2"]
        self.admission.failed(worker)
        (told,) = self.pool.loads()
        self.assertEqual((told.worker, told.failing, told.requests), ("w2", 1, 0))
        worker.failing_until = 0.0
        self.assertEqual(self.pool.loads(), [])


class Subsets(unittest.TestCase):
    def test_every_worker_is_in_as_many_parts_but_for_one(self) -> None:
        for workers, dispatchers, inflight in (
            (36, 53, 6),
            (45, 75, 5),
            (600, 350, 12),
            (10, 3, 2),
            (7, 9, 1),
        ):
            with self.subTest(workers=workers, dispatchers=dispatchers):
                names = ring(f"i-{k}" for k in range(workers))
                parts = [preferred(names, Seat(n + 1, dispatchers), inflight) for n in range(dispatchers)]
                self.assertEqual({len(part) for part in parts}, {max(LEAST, inflight + IDLE)})
                shared = Counter(name for part in parts for name in part)
                counts = [shared[name] for name in names]
                if dispatchers >= workers:
                    self.assertLessEqual(max(counts) - min(counts), max(1, (LEAST + inflight + IDLE) // 2))
                whole = dispatchers * max(LEAST, inflight + IDLE) / workers
                self.assertLess(max(counts), whole + 2)

    def test_the_ring_does_not_hang_on_the_order_of_the_table(self) -> None:
        names = [f"i-{k}" for k in range(20)]
        self.assertEqual(ring(names), ring(reversed(names)))

    def test_few_workers_or_an_unknown_seat_make_no_part(self) -> None:
        names = ring(f"i-{k}" for k in range(6))
        self.assertEqual(preferred(names, Seat(1, 4), 6 - IDLE), frozenset())
        self.assertEqual(preferred(names, Seat(0, 4), 0), frozenset())
        self.assertEqual(preferred([], Seat(1, 4), 0), frozenset())
        self.assertEqual(len(preferred(names, Seat(9, 4), 0)), LEAST)  # told by a node that knows fewer

    def test_more_streams_make_the_part_larger_and_keep_what_is_in_it(self) -> None:
        names = ring(f"i-{k}" for k in range(40))
        parts = [preferred(names, Seat(5, 9), inflight) for inflight in range(20)]
        for smaller, larger in itertools.pairwise(parts):
            self.assertLessEqual(smaller, larger)


class SubsetDraws(unittest.TestCase):
    """Dispatchers that know of nothing but their own streams."""

    WORKERS, DISPATCHERS, STREAMS, ROUNDS = 36, 54, 324, 3

    def spread(self, seed: int, seats: bool) -> float:
        """Variance of the workers' loads over their mean, streams coming and going: 1 for even draws."""
        rng = random.Random(seed)
        edges = []
        for number in range(1, self.DISPATCHERS + 1):
            pool = WorkerPool()
            names = [f"w{k}" for k in range(self.WORKERS)]
            pool.update({n: Worker(id=n, service="s", state="ready", capacity=12) for n in names})
            edges.append(Admission(pool, rng))
            if seats:
                pool.seat = Seat(number, self.DISPATCHERS)
        streams: list[tuple[Admission, WorkerState]] = []
        loads: Counter[str] = Counter()
        for _ in range(self.ROUNDS * self.STREAMS):
            if len(streams) == self.STREAMS:
                edge, worker = streams.pop(rng.randrange(self.STREAMS))
                edge.done(worker, True)
                loads[worker.entry.id] -= 1
            edge = rng.choice(edges)
            worker = edge.pick("s", NOTHING, set()) or self.fail("no worker")
            edge.sent(worker)
            streams.append((edge, worker))
            loads[worker.entry.id] += 1
        mean = self.STREAMS / self.WORKERS
        return sum((loads[f"w{k}"] - mean) ** 2 for k in range(self.WORKERS)) / self.WORKERS / mean

    def test_loads_vary_less_than_by_draws_among_all(self) -> None:
        seeds = range(16)  # the ratio of four varies from 0.5 to 0.9
        among_all = sum(self.spread(seed, seats=False) for seed in seeds)
        in_parts = sum(self.spread(seed, seats=True) for seed in seeds)
        self.assertLess(in_parts, 0.8 * among_all)


class PromptTokens(unittest.TestCase):
    def test_what_is_no_plain_number_counts_for_nothing(self) -> None:
        route = routes().by_host["h.example"][0]
        for told, tokens in (
            ("1460,80", 1460),
            ("12", 12),
            ("", 0),
            ("-4,1", 0),
            ("x,1", 0),
            ("9" * 5000, 0),
        ):
            with self.subTest(told[:8]):
                request = mock.Mock(headers={TOKEN_USAGE_HEADER: told})
                self.assertEqual(RequestContext(request, route, "s", b"", 1.0, 0.0).prompt_tokens, tokens)


class Paths(unittest.IsolatedAsyncioTestCase):
    async def test_a_path_that_the_library_would_change_is_not_sent(self) -> None:
        worker = WorkerState(Worker(id="w", address="127.0.0.1:1"))
        for path in ("/a#b", "/a?", "/a?b#c"):
            with self.subTest(path=path), self.assertRaises(UnsendablePath):
                await worker.request("POST", path, CIMultiDict(), b"")
        for path in ("/a", "//a/../b", "/a%2Fb?c=d&c=%20", "/a;b=c?x"):
            with self.subTest(path=path), self.assertRaises(aiohttp.ClientConnectorError):
                await worker.request("POST", path, CIMultiDict(), b"")
        await worker.session().close()


class ItemsOfRoutes(unittest.IsolatedAsyncioTestCase):
    async def outcome(self, configurations: list[Routes]) -> Outcome:
        """What becomes of an item of route `lots` at a dispatcher that has had these configurations."""
        current = mock.Mock()
        runner = BatchRunner("edge", mock.Mock(), mock.Mock(), mock.Mock(), current)
        runner._poll = mock.AsyncMock()  # type: ignore[method-assign]
        for configuration in configurations:
            current.return_value = configuration
            runner.update_pollers()
        leased = LeasedItem(job="j", host="h.example", route="lots")
        with mock.patch("heronstall.dataplane.batch_runner.UNKNOWN_ROUTE_DELAY_S", 0):
            return await runner._run_attempts(
                RunningItem(leased, BatchItem(id="i", path="/lots/1"), "batch-0")
            )

    async def test_an_item_of_a_route_that_is_gone_is_dead(self) -> None:
        self.assertEqual(await self.outcome([routes(), Routes(revision=4)]), Outcome.ROUTE_GONE)

    async def test_an_item_of_a_route_not_yet_known_is_given_back(self) -> None:
        self.assertEqual(await self.outcome([Routes(revision=2)]), Outcome.RETURNED)


class CallsForItems(unittest.IsolatedAsyncioTestCase):
    """Each call tells what the dispatcher holds, so that the owner learns of leases that were lost."""

    def setUp(self) -> None:
        self.shards = mock.Mock()
        self.runner = BatchRunner("edge", self.shards, mock.Mock(), mock.Mock(), mock.Mock())

    def hold(self, name: str, lease: int) -> None:
        leased = LeasedItem(job="j", lease=lease)
        self.runner._running["j", name] = RunningItem(leased, BatchItem(id=name), "batch-0")

    def test_what_runs_is_held_and_calls_are_numbered(self) -> None:
        self.hold("i", 7)
        first = self.runner._lease_request("batch-0", 2)
        second = self.runner._lease_request("batch-0", 2)
        self.assertEqual([(h.job, h.item, h.lease) for h in first.held], [("j", "i", 7)])
        self.assertGreater(second.call, first.call)
        self.assertEqual(self.runner._lease_request("batch-1", 2).held, [])

    async def test_a_report_is_told_until_it_is_acknowledged(self) -> None:
        told: list[list[str]] = []

        async def call(*_: object, **__: object) -> Reply:
            told.append([r.item for r in self.runner._lease_request("batch-0", 0).reported])
            return Reply(Status.UNSURE if len(told) == 1 else Status.OK)

        self.shards.call = call
        self.runner._reports["batch-0"] = [ItemReport("j", "i", Outcome.FAILED, b"", 7)]
        with mock.patch("heronstall.dataplane.batch_runner.REPORT_RETRY_DELAY_S", 0):
            await self.runner._send_reports("batch-0")
            self.assertEqual([r.item for r in self.runner._lease_request("batch-0", 0).reported], ["i"])
            await self.runner._send_reports("batch-0")
        self.assertEqual(told, [["i"], ["i"]])
        self.assertEqual(self.runner._lease_request("batch-0", 0).reported, [])

    async def test_an_item_that_comes_in_the_turn_of_the_end_is_given_back(self) -> None:
        """The end cancels tasks; one that has not had its first turn runs nothing, not even its own end."""
        leased = LeasedItem(job="j", item=bytes(BatchItem(id="i")), lease=9)
        for stops_first in (False, True):
            with self.subTest(stops_first=stops_first):
                self.setUp()
                self.runner._deferred.wait = lambda *_: asyncio.sleep(600)  # type: ignore[method-assign]
                if stops_first:
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

    async def finished(self, acknowledged_after: float) -> float:
        """Seconds that an end takes with one report that an owner acknowledges so late."""
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

    async def test_the_end_waits_for_the_last_reports_for_a_while(self) -> None:
        self.assertGreaterEqual(await self.finished(0.3), 0.3)
        self.assertFalse(self.runner.has_unreported_items)
        self.setUp()
        with mock.patch("heronstall.dataplane.batch_runner.FINAL_REPORT_TIMEOUT_S", 0.3):
            self.assertLess(await self.finished(60.0), 2.0)
        self.assertTrue(self.runner.has_unreported_items)

    async def polled(self, free_while: str) -> list[int]:
        """What is asked for; a place becomes free at a moment, and the owner holds calls for nothing."""
        asked: list[int] = []

        async def call(_shard: str, _kind: Kind, body: bytes, *_: object, **__: object) -> Reply:
            asked.append(LeaseRequest().parse(body).want)
            if asked[-1]:
                self.runner.stopping = True
                return Reply(Status.OK, bytes(LeaseReply()))
            if free_while == "held":
                self.runner._announce_free_slot()
            await asyncio.sleep(600)
            raise AssertionError("a call for nothing was waited for")

        def want(_shard: str) -> int:
            if not asked and free_while == "counting":
                self.runner._announce_free_slot()
            return 2 if asked else 0

        self.shards.call = call
        with mock.patch.object(self.runner, "_wanted_count", side_effect=want):
            async with asyncio.timeout(30):
                await self.runner._poll("batch-0")
        return asked

    async def test_a_place_that_becomes_free_is_asked_for_while_the_owner_holds_a_call(self) -> None:
        self.assertEqual(await self.polled("held"), [0, 2])

    async def test_a_place_that_becomes_free_while_places_are_counted_is_not_missed(self) -> None:
        self.assertEqual(await self.polled("counting"), [0, 2])

    async def test_the_end_of_a_run_frees_its_place(self) -> None:
        self.hold("i", 7)
        freed = self.runner._slot_freed
        with mock.patch.object(self.runner, "_wait_for_start", side_effect=asyncio.CancelledError):
            await self.runner._run(("j", "i"), self.runner._running["j", "i"])
        self.assertTrue(freed.is_set())

    async def test_less_is_asked_for_after_calls_without_an_answer(self) -> None:
        asked: list[int] = []
        statuses = [Status.UNSURE, Status.FAILED, Status.UNSURE, Status.OK, Status.OK]

        async def call(_shard: str, _kind: Kind, body: bytes, *_: object, **__: object) -> Reply:
            asked.append(LeaseRequest().parse(body).want)
            if len(asked) == len(statuses):
                self.runner.stopping = True
            return Reply(statuses[len(asked) - 1], bytes(LeaseReply()))

        self.shards.call = call
        no_pause = mock.patch("heronstall.dataplane.batch_runner.POLL_RETRY_DELAY_S", 0)
        with no_pause, mock.patch.object(self.runner, "_wanted_count", return_value=48):
            await self.runner._poll("batch-0")
        self.assertEqual(asked, [48, 32, 16, 8, 16])

    async def test_a_lease_given_again_renews_the_number_of_the_run(self) -> None:
        self.hold("i", 7)
        self.runner._start("batch-0", LeasedItem(job="j", item=bytes(BatchItem(id="i")), lease=9))
        self.assertEqual([h.lease for h in self.runner._lease_request("batch-0", 0).held], [9])


class Submissions(unittest.TestCase):
    def test_items_are_read(self) -> None:
        entry = {"id": "i", "path": "/p", "headers": {"A": "b"}, "body": "q83vEg==", "tokens": 9}
        items = parse_items(ujson.dumps({"requests": [entry]}).encode())
        self.assertEqual(
            (items[0].body, items[0].tokens, items[0].headers[0].value), (b"\xab\xcd\xef\x12", 9, "b")
        )

    def test_each_fault_names_its_field(self) -> None:
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
    def test_frames_come_whole_however_the_bytes_are_cut(self) -> None:
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

    def test_rubbish_is_refused(self) -> None:
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
