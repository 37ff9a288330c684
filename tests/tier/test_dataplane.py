"""The data plane without sockets: events, prompts, silence, worker selection, submissions, frames."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from collections import Counter
from unittest import mock

import aiohttp
import ujson
from multidict import CIMultiDict

from heronstall.dataplane import attempts as limits
from heronstall.dataplane.admission import Admission
from heronstall.dataplane.attempts import Attempts
from heronstall.dataplane.batch_api import InvalidSubmission, parse_items
from heronstall.dataplane.events import EventReader
from heronstall.dataplane.forwarding import TOKEN_USAGE_HEADER, RequestContext
from heronstall.dataplane.prefixes import NO_SHARED_PREFIX, parse_shared_prefix
from heronstall.dataplane.subset import (
    DispatcherPosition,
)
from heronstall.dataplane.workers import UnsendablePath, WorkerPool, WorkerState
from heronstall.placement.prefill import affinity
from heronstall.sessions.loads import WorkerLoad
from heronstall.transport.frames import Frame, FrameError, FrameReader, Kind, Status, encode
from heronstall.transport.messages import (
    Worker,
)
from tests.tier.test_routing import sample_routes


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
                self.assertEqual(RequestContext(request, route, "s", b"", 1.0, 0.0).tokens.prompt, tokens)


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
