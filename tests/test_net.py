"""Stories over loopback sockets: the real dispatcher between scripted clients, backend servers and discovery.

The node runs in this process, one turn of its loop at a time, so every peer is a plain socket of the test.
"""

from __future__ import annotations

import contextlib
import json
import logging
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, cast
from unittest import mock

from heronstall import interface as i
from heronstall.__main__ import FIRST_LIST
from heronstall.__main__ import Program as Dispatching
from heronstall.config import Address, ConfigError, configuration
from heronstall.decide import Balancer
from heronstall.net import server_table
from heronstall.net.backend import REUSE_DELAY_US, ConnectionPool, read_report
from heronstall.net.connection import Buffer, Connection, ConnectionEnded, Ending, LineSplitter
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.frontend import Frontend
from heronstall.net.loop import READ, Coroutine, Loop
from heronstall.net.server_table import BackendServer
from tests.test_wire import CONFIG

ROOT = Path(__file__).resolve().parent.parent
PATIENCE = 20.0  # seconds of real time before a story counts as stuck; none is meant to need them
SETTINGS: dict[str, Any] = {
    **CONFIG,
    "areas": ["a", "b"],
    "flavors": ["m"],
    "loadReport": {"fields": ["busy_reqs", "cpu_share", "x0"], "via": "piggyback"},
    "policyLimits": {
        **CONFIG["policyLimits"],
        "connectTimeout": 200_000,
        "keepalive": 1_000_000,
        "maxRetryAfter": 1_500_000,
    },
    "services": [
        {"name": "unsafe", "aim": 1_000_000, "deadline": 9_000_000, "effect": "unsafe"},
        {
            "name": "keyed",
            "aim": 1_000_000,
            "deadline": 9_000_000,
            "effect": "keyed",
            "repeatWindow": 9_000_000,
        },
    ],
    "tenants": [{"name": "acme", "quotaPerS": 50.0}],
}


def listener() -> socket.socket:
    """A listening socket on a free loopback port."""
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(0)
    return sock


def at(sock: socket.socket) -> str:
    """host:port of a socket."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def raw_config(**changes: Any) -> dict[str, Any]:
    """All that a node is told, to be completed with addresses."""
    base = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "1f",
        "settings": SETTINGS,
    }
    return {**base, **changes}


class Peer:
    """One end of a connection, read without blocking into `got`."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.got, self.job, self.closed = sock, b"", b"", False
        sock.settimeout(0)

    def read(self) -> bytes:
        """All that came so far."""
        try:
            while not self.closed:
                more = self.sock.recv(65536)
                self.got += more
                self.closed = not more
        except BlockingIOError:
            pass
        except OSError:
            self.closed = True
        return self.got

    def say(self, *lines: str) -> None:
        """Chunks of a streamed answer, one a line."""
        self.sock.sendall(b"".join(b"%x\r\n%s\n\r\n" % (len(x) + 1, x.encode()) for x in lines))


class RelaysInTurn:
    """Returns relays one after the other and accepts every message; a `server_table.ListSources`."""

    host = "127.0.0.1"

    def __init__(self, relays: list[socket.socket]) -> None:
        self._left: list[Address] = [relay.getsockname() for relay in relays]

    def next_source(self) -> Coroutine[Address | None]:
        """The next one, without waiting."""
        yield from ()
        return self._left.pop(0)

    def client_count(self) -> int:
        """Of the list service."""
        return 1

    def relay_ended(self, relay: Address) -> None:
        """A relay has been left."""

    def accept(self, message: Any, rev: int, relay: Address | None) -> list[Any]:
        """All that is told counts."""
        return [] if message is None else [message]


STREAM = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Story(unittest.TestCase):
    """A node, its discovery and as many backend servers as a story wants."""

    sockets: int = 1024
    memory: float = 192
    operated = False  # whether operators have a door
    settings: dict[str, Any] = SETTINGS

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.discovery = listener()
        self.servers = [listener() for _ in range(3)]
        self.clients: list[Peer] = []  # both held, for a socket that nobody holds is closed
        self.ends: list[Peer] = []
        self.loop = Loop()
        self.raw = raw_config(
            discovery=at(self.discovery),
            known=self.table(0, 1),
            limits={"sockets": self.sockets, "memory_mb": self.memory},
            settings=self.settings,
            operator="127.0.0.1:0" if self.operated else None,
        )
        self.program = Dispatching(configuration(self.raw), self.loop)
        self.front: Frontend = self.program.frontend
        self.address = self.front._listener.getsockname()
        if self.operated:
            assert self.program.daily is not None
            self.door = self.program.daily.door._listener.getsockname()
        self.watch = self.accept(self.discovery)

    def table(
        self, *numbers: int, rev: int = 1, whole: bool = True, state: str = "SERVING"
    ) -> dict[str, Any]:
        targets = [
            {
                "uid": f"s-{n}",
                "endpoint": at(self.servers[n]),
                "az": "a",
                "model": "m",
                "state": state,
                "boot_ms": 0,
            }
            for n in numbers
        ]
        return {"rev": rev, "all": whole, "targets": targets}

    def spin(self, done: Callable[[], Any]) -> Any:
        """Turn the node's loop until something is so."""
        end = time.monotonic() + PATIENCE
        while not (result := done()):
            if time.monotonic() > end:
                self.fail("the story got stuck")
            self.loop.turn(0.005)
        return result

    def rest(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        self.spin(lambda: time.monotonic() >= end)

    def accept(self, *listeners: socket.socket) -> Peer:
        def come() -> Peer | None:
            ready = select.select(listeners, [], [], 0)[0]
            return Peer(ready[0].accept()[0]) if ready else None

        peer = self.spin(come)
        assert isinstance(peer, Peer)
        return peer

    def gone(self, peer: Peer) -> bool:
        peer.read()
        return peer.closed

    def client(self) -> Peer:
        return Peer(socket.create_connection(self.address))

    def ask(
        self, kind: str = "unsafe", wait: str = "9.0", peer: Peer | None = None, name: str = "id-1"
    ) -> Peer:
        peer = peer or self.client()
        self.clients.append(peer)
        peer.got = b""
        peer.sock.sendall(
            b"POST /api?x=1 HTTP/1.1\r\nHost: o\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\n"
            b"Req-Deadline: %s\r\nIdempotency-Key: k1\r\nReq-Extra: slots=1\r\nContent-Length: 3\r\n\r\npay"
            % (name.encode(), kind.encode(), wait.encode())
        )
        return peer

    def dispatched(self) -> Peer:
        """The backend server's end of the next dispatch, its request in `job`; probes are answered too."""

        def job() -> Peer | None:
            for sock in select.select(self.servers, [], [], 0)[0]:
                self.ends.append(Peer(sock.accept()[0]))
            for end in self.ends:
                if end.sock.fileno() >= 0 and end.read().startswith(b"GET "):
                    end.got = b""
                    end.sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"x0":4}')
                elif end.got.endswith(b"pay"):
                    end.job, end.got = end.got, b""
                    return end
            return None

        found = self.spin(job)
        assert isinstance(found, Peer)
        return found

    def status(self, client: Peer) -> int:
        self.spin(lambda: b"\r\n\r\n" in client.read() or client.closed)
        return int(client.got.split()[1])


class Serving(Story):
    def test_a_job_passes_through_and_its_result_comes_back_on_connections_that_stay(self) -> None:
        client = self.client()
        for name in ("id-1", "id-2"):
            self.ask(peer=client, name=name)
            server = self.dispatched()
            head = server.job
            self.assertTrue(head.startswith(b"POST /api?x=1 HTTP/1.1\r\n"))
            for passed in (
                b"Req-Id: " + name.encode(),
                b"Idempotency-Key: k1",
                b"Content-Length: 3",
                b"\r\n\r\npay",
            ):
                self.assertIn(passed, head)
            server.sock.sendall(STREAM)
            server.say(
                *(f'{{"id":"{name}",{x}}}' for x in ('"state":"started"', '"state":"running","share":1'))
            )
            # A line in two pieces, and the result before the end of the message.
            last = b'{"id":"%s","state":"done","result":"paid \\u00e9","load":{"x0":2}}\n' % name.encode()
            server.sock.sendall(b"%x\r\n%s" % (len(last), last[:9]))
            self.rest(0.02)
            server.sock.sendall(last[9:] + b"\r\n")
            self.assertEqual(self.status(client), 200)
            self.assertTrue(client.got.endswith("\r\n\r\npaid é".encode()))
            server.sock.sendall(b"0\r\n\r\n")
            self.rest(0.02)

    def test_bad_input_is_told_apart_and_reaches_no_backend_server(self) -> None:
        good = b"Req-Id: i\r\nReq-Kind: unsafe\r\nReq-Deadline: 1.0\r\n"
        post = b"POST /api HTTP/1.1\r\nHost: o\r\n"
        for text, status in (
            (post + good.replace(b"unsafe", b"odd") + b"\r\n", 400),
            (post + b"Req-Id: i\r\nReq-Deadline: 1\r\n\r\n", 400),
            (post + good.replace(b"1.0", b"soon") + b"\r\n", 400),
            (post + good.replace(b"1.0", b"-1") + b"\r\n", 400),
            (post + good.replace(b"Req-Id: i\r\n", b"") + b"\r\n", 400),
            (post + good.replace(b"unsafe", b"keyed") + b"\r\n", 400),
            (b"\x00\x01 what\r\n\r\n", 400),
            (post + good + b"Content-Length: 65537\r\n\r\n" + bytes(65537), 413),
            (post + good + b"Transfer-Encoding: chunked\r\n\r\n" + b"8000\r\n%s\r\n" % bytes(32768) * 3, 413),
            (b"POST /else HTTP/1.1\r\nHost: o\r\n\r\n", 404),
            (b"GET /api HTTP/1.1\r\nHost: o\r\n\r\n", 405),
        ):
            client = self.client()
            client.sock.settimeout(5)
            client.sock.sendall(text)
            client.sock.settimeout(0)
            self.assertEqual(self.status(client), status, text[:90])
        self.assertFalse(self.front._dispatcher._sessions)

    def test_expect_is_answered_and_a_request_may_come_in_pieces(self) -> None:
        client = self.client()
        head = b"POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: id-1\r\nReq-Kind: unsafe\r\nReq-Deadline: 9\r\n"
        client.sock.sendall(head[:31])
        self.rest(0.02)
        client.sock.sendall(head[31:] + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        self.assertEqual(self.status(client), 100)
        client.sock.sendall(b"pay")
        self.assertNotIn(b"xpect", self.dispatched().job)

    def test_health_turns_good_with_the_watch_and_bad_with_a_drain(self) -> None:
        for expected in (503, 200, 503):
            client = self.client()
            client.sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: o\r\n\r\n")
            self.assertEqual(self.status(client), expected)
            if expected == 503:
                self.watch.sock.sendall(STREAM)
                self.watch.say(json.dumps(self.table(0, 1, rev=2)))
                self.rest(0.05)
            else:
                self.program.shutdown.stop()

    def test_a_drain_still_accepts_then_closes_idle_clients_and_finishes_what_was_taken(self) -> None:
        stopped = mock.Mock()
        self.front._on_finished = stopped
        idle = self.client()
        taken = self.ask()
        server = self.dispatched()
        self.program.shutdown.stop()
        self.rest(0.3)
        late = self.client()
        late.sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: o\r\n\r\n")
        self.assertEqual(self.status(late), 503)
        self.spin(lambda: idle.read() == b"" and idle.closed)
        self.assertFalse(stopped.called)
        server.sock.sendall(STREAM)
        server.say('{"id":"id-1","state":"done","result":"ok"}')
        self.assertEqual(self.status(taken), 200)
        self.assertIn(b"connection: close", taken.got.lower())
        taken.sock.close()
        self.spin(lambda: stopped.called)

    def test_what_the_way_to_an_heir_refuses_is_handed_over_later(self) -> None:
        self.front._on_finished = mock.Mock()
        tries: list[bool] = []

        def pass_on(_: socket.socket, proven: bool) -> bool:
            tries.append(proven)
            return len(tries) > 1

        client = self.ask()
        server = self.dispatched()
        self.front.hand_over(pass_on)
        server.sock.sendall(STREAM)
        server.say('{"id":"id-1","state":"done","result":"ok"}')
        self.assertEqual(self.status(client), 200)
        self.spin(lambda: tries == [True, True])

    def test_who_comes_late_in_a_drain_has_an_answer_before_the_kill(self) -> None:
        with (
            mock.patch("heronstall.net.frontend.LATE_AFTER_US", 0),
            mock.patch.object(
                self.front, "_answer_within", 1_000_000
            ),  # µs from the signal to shortly before the kill
        ):
            early = self.ask()
            self.dispatched()
            self.program.shutdown.stop()
            late = self.ask(name="id-2")
            self.dispatched()
            self.assertEqual(self.status(late), 500)
            self.assertLess(
                self.loop.now, self.program.shutdown.signalled_at + self.front._answer_within + 200_000
            )
        self.assertEqual(early.read(), b"")


class Failing(Story):
    def test_each_word_of_a_backend_server_gets_the_ending_it_proves(self) -> None:
        def last(state: str) -> bytes:
            line = b'{"id":"id-1","state":"%s"}\n' % state.encode()
            return STREAM + b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line)

        empty = b"Content-Length: 0\r\n\r\n"
        # A job that must not run twice: only a proof that it never ran lets it go out again.
        for word, again in (
            (b"HTTP/1.1 503 x\r\nSrv-Declined: 1\r\n" + empty, True),
            (b"HTTP/1.1 504 x\r\nSrv-Declined: 1\r\n" + empty, True),
            (last("returned"), True),
            (b"HTTP/1.1 503 x\r\n" + empty, False),
            (b'HTTP/1.1 500 x\r\nSrv-Load: {"x0":1}\r\n' + empty, False),
            (last("failed"), False),
            (last("lost"), False),
            (STREAM, False),  # closed before the last line
            (b"SMTP ready\r\n\r\n", False),
            (STREAM + b"5\r\n{{{{\n\r\n", False),
            (STREAM + b"4\r\nnull\r\n1\r\n\n\r\n", False),
        ):
            self.tearDown()
            self.setUp()
            client = self.ask()
            server = self.dispatched()
            server.sock.sendall(word)
            server.sock.close()
            if again:
                self.dispatched()
                self.assertEqual(client.read(), b"", word)
            else:
                self.assertEqual(self.status(client), 500, word)

    def test_a_request_that_a_backend_server_cannot_use_speaks_not_against_the_server(self) -> None:
        for n, status in enumerate((b"400 x", b"404 x", b"413 x")):
            client = self.ask(name=f"id-{n}", kind=("unsafe", "keyed")[n % 2])
            server = self.dispatched()
            server.sock.sendall(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
            self.assertEqual(self.status(client), 400)
            self.rest(0.02)
        workers = cast(Balancer, self.front._dispatcher._balancer)._workers.values()
        self.assertTrue(all(w.ejected_until < 0 and not w.failures and not w.trial for w in workers))
        self.assertFalse(self.front._dispatcher._sessions)

    def test_what_was_made_for_another_request_is_served_to_nobody(self) -> None:
        client = self.ask()
        server = self.dispatched()
        server.sock.sendall(STREAM)
        server.say('{"id":"id-2","state":"done","result":"not yours"}')
        self.assertEqual(self.status(client), 500)
        self.assertNotIn(b"not yours", client.got)

    def test_a_silent_backend_server_costs_the_client_one_answer_in_time(self) -> None:
        began = time.monotonic()
        client = self.ask(wait="0.4")
        self.dispatched()
        self.assertEqual(self.status(client), 500)  # it may have run: no refusal
        self.assertGreater(time.monotonic() - began, 0.3)
        self.rest(0.1)
        self.assertEqual(client.read().count(b"HTTP/1.1"), 1)

    def test_a_refused_connection_proves_that_nothing_ran(self) -> None:
        live = json.dumps(self.table(2, rev=2))
        for _ in range(2):
            self.servers.pop(0).close()
        client = self.ask()
        self.rest(0.1)
        self.assertEqual(client.read(), b"")  # not failed: the decisions still look for a server
        self.watch.sock.sendall(STREAM)
        self.watch.say(live)
        self.dispatched()

    def test_a_client_that_leaves_ends_its_dispatch(self) -> None:
        client = self.ask()
        server = self.dispatched()
        client.sock.close()
        self.spin(lambda: server.read() == b"" and server.closed)
        self.assertFalse(self.front._dispatcher._sessions)

    def test_a_refusal_says_when_to_come_back(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.say(json.dumps(self.table(rev=2)))  # nobody left
        self.rest(0.05)
        client = self.ask(wait="0.2")
        self.assertEqual(self.status(client), 503)
        self.assertIn(b"retry-after: 1.500\r\n", client.got.lower())

    def test_an_unexpected_error_ends_its_coroutine_alone(self) -> None:
        with mock.patch("heronstall.net.backend.Dispatch._handle_line", side_effect=RuntimeError("bug")):
            client = self.ask()
            server = self.dispatched()
            server.sock.sendall(STREAM)
            server.say("{}")
            self.assertEqual(self.status(client), 500)
        failing = RuntimeError("bug")
        with mock.patch("heronstall.net.client_request.RequestParser._parse_headers", side_effect=failing):
            broken = self.ask(name="id-2")
            self.spin(lambda: broken.read() == b"" and broken.closed)
        with mock.patch.object(
            self.front._dispatcher, "_send", side_effect=[RuntimeError("bug"), None]
        ) as send:
            self.front._dispatcher.post(i.Arrival(901, 0, 9_000_000))
            self.front._dispatcher.post(i.Arrival(902, 0, 9_000_000))
            self.spin(lambda: send.call_count == 2)  # the second action is carried out all the same
        self.ask(name="id-3")
        self.dispatched()


class BadClients(Story):
    def say(self, text: bytes) -> Peer:
        client = self.client()
        self.clients.append(client)
        client.sock.sendall(text)
        return client

    def test_a_request_that_two_readers_may_read_differently_is_passed_to_nobody(self) -> None:
        post = b"POST /api HTTP/1.1\r\nHost: o\r\nReq-Kind: unsafe\r\nReq-Deadline: 9\r\n"
        hidden = post + b"Req-Id: hidden\r\n\r\n"
        for odd, stays in (
            (b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" % (len(hidden) + 5), False),
            (b"Content-Length: 0\r\ncontent-length : 0\r\n\r\n", False),
            (b"Content-Length: 0\r\ncontent-length: 0\r\n\r\n", False),  # h11 folds these into one
            (b"Content-Length: 0, 0\r\n\r\n", False),
            (b"Req-Id: other\r\n\r\n", True),
            (b"Req-Deadline: 9\r\n\r\n", True),
            (b"Idempotency-Key: a\r\nIdempotency-Key: a\r\n\r\n", True),
            (b"Cookie: obj=1; obj=2\r\n\r\n", True),
        ):
            client = self.say(post + b"Req-Id: id-1\r\n" + odd + (b"" if stays else hidden))
            self.assertEqual(self.status(client), 400, odd)
            if not stays:
                self.spin(partial(self.gone, client))
            self.assertEqual(client.got.count(b"HTTP/1.1"), 1, odd)
        self.assertFalse(self.front._dispatcher._sessions)

    def test_the_id_of_an_earlier_request_is_bad_input(self) -> None:
        first = self.ask()
        server = self.dispatched()
        self.assertEqual(self.status(self.ask(name="id-1")), 400)
        server.sock.sendall(STREAM)
        server.say('{"id":"id-1","state":"done","result":"ok"}')
        self.assertEqual(self.status(first), 200)
        self.assertEqual(self.status(self.ask(name="id-1")), 400)

    def test_a_deadline_beyond_the_class_is_cut_to_it(self) -> None:
        self.ask(wait="9999999")
        self.assertRegex(self.dispatched().job, rb"Req-Deadline: [89]\.")

    def test_who_never_speaks_or_ends_is_given_up_and_who_served_well_is_kept(self) -> None:
        with mock.patch("heronstall.net.frontend.REQUEST_TIMEOUT_US", 300_000):
            usual = self.ask()
            server = self.dispatched()
            server.sock.sendall(STREAM)
            server.say('{"id":"id-1","state":"done","result":"ok"}')
            self.assertEqual(self.status(usual), 200)
            mute, half = self.client(), self.say(b"POST /api HTTP/1.1\r\nHo")
            wrong = self.say(b"POST /else HTTP/1.1\r\nHost: o\r\n\r\n")
            short = self.say(b"POST /api HTTP/1.1\r\nHost: o\r\nContent-Length: 9\r\n\r\n1234")
            self.assertEqual(self.status(half), 408)
            self.assertEqual(self.status(short), 408)
            self.assertEqual(self.status(wrong), 404)
            self.spin(lambda: mute.read() == b"" and mute.closed and wrong.read() and wrong.closed)
            self.assertFalse(usual.closed)
            self.ask(peer=usual, name="id-2")
            self.assertIn(b"id-2", self.dispatched().job)

    def test_a_body_is_refused_by_its_announced_size_and_its_sender_cannot_hold_the_loop(self) -> None:
        client = self.say(b"POST /api HTTP/1.1\r\nHost: o\r\nContent-Length: 60000000\r\n\r\n")
        self.assertEqual(self.status(client), 413)
        (connection,) = self.front._clients
        endless = mock.Mock(wraps=connection.sock)
        endless.recv_into.side_effect = [65536] * 200 + [AssertionError("one turn read on and on")]
        with mock.patch.object(connection, "sock", endless):
            client.sock.sendall(b"x")
            before = endless.recv_into.call_count
            self.loop.turn(1)
            self.assertLess(endless.recv_into.call_count - before, 10)
            self.assertGreater(endless.recv_into.call_count - before, 0)

    def test_a_pipeline_of_nonsense_is_answered_in_order_a_share_at_a_time(self) -> None:
        client = self.say(b"GET /else HTTP/1.1\r\nHost: o\r\n\r\n" * 100)
        self.spin(lambda: client.read())
        self.assertLess(client.got.count(b"HTTP/1.1 404"), 50)  # the others had their turn in between
        self.spin(lambda: client.read().count(b"HTTP/1.1 404") == 100)


class Connections(Story):
    sockets = 64  # 12 on either side

    def test_a_full_house_closes_the_longest_idle_client_first(self) -> None:
        idle = [self.client() for _ in range(12)]
        self.spin(lambda: len(self.front._clients) == 12)
        self.ask()
        self.dispatched()
        self.spin(lambda: idle[0].read() == b"" and idle[0].closed)
        self.assertFalse(any(peer.read() or peer.closed for peer in idle[1:]))

    def test_a_full_house_gives_up_the_mute_before_those_that_served(self) -> None:
        usual = self.ask()
        server = self.dispatched()
        server.sock.sendall(STREAM)
        server.say('{"id":"id-1","state":"done","result":"ok"}')
        self.assertEqual(self.status(usual), 200)
        mute = [self.client() for _ in range(self.front._limit)]
        self.spin(lambda: mute[0].read() == b"" and mute[0].closed)
        self.ask(name="id-2")
        self.dispatched()
        self.assertFalse(usual.read() and usual.closed)

    def test_accept_survives_running_out_of_descriptors(self) -> None:
        failing = mock.Mock(wraps=self.front._listener)
        failing.accept.side_effect = OSError(24, "EMFILE")
        with mock.patch.object(self.front, "_listener", failing):
            client = self.ask()
            self.rest(0.1)
            self.assertLess(failing.accept.call_count, 30)  # it pauses rather than spins
        self.dispatched()
        self.assertEqual(client.read(), b"")

    def pool(self, server: BackendServer) -> tuple[ConnectionPool, Callable[[], Any]]:
        pool = ConnectionPool(self.loop, configuration(self.raw), 4)

        def take() -> Any:
            taken: list[Any] = []

            def run() -> Coroutine[None]:
                try:
                    taken.append((yield from pool.acquire(server, self.loop.now + 1_000_000)))
                except ConnectionEnded as ended:
                    taken.append(ended.ending)

            self.loop.spawn(run(), "take")
            return self.spin(lambda: taken)[0]

        return pool, take

    def test_idle_connections_are_retired_before_the_far_end_does_and_checked_for_its_close(self) -> None:
        server = BackendServer(1, "s", self.servers[2].getsockname(), 0)
        pool, take = self.pool(server)
        first = take()
        far = self.accept(self.servers[2])
        first.idle_since = self.loop.now
        pool._idle[1] = [first]
        young = take()
        self.assertIsNot(young, first)  # a second answer may be on the way to it
        pool.close(young)
        self.accept(self.servers[2])
        first.idle_since = self.loop.now - REUSE_DELAY_US
        self.assertIs(take(), first)
        pool._idle[1] = [first]
        far.sock.close()
        self.assertIsNot(take(), first)
        fresh = take()
        fresh.idle_since = self.loop.now
        pool._idle[1] = [fresh]
        self.rest(1.2)  # keepalive is 1 s
        self.assertEqual(pool._idle, {})

    def test_how_long_an_idle_connection_can_be_used_is_learned_from_those_that_break(self) -> None:
        server = BackendServer(1, "s", self.servers[2].getsockname(), 0)
        pool, take = self.pool(server)

        def use_again(idle: int, breaks: bool) -> None:
            connection, far = take(), self.accept(self.servers[2])
            self.ends.append(far)
            connection.idle_since = self.loop.now - idle
            if breaks:
                far.sock.close()

            def run() -> Coroutine[None]:
                with contextlib.suppress(ConnectionEnded):
                    yield from pool.read_response(connection, self.loop.now + 30_000)
                done.append(True)

            done: list[bool] = []
            self.loop.spawn(run(), "use")
            self.spin(lambda: done)
            pool.close(connection)

        def still_used(idle: int) -> bool:
            kept = take()
            self.ends.append(self.accept(self.servers[2]))
            kept.idle_since = self.loop.now - idle
            pool._idle[1] = [kept]
            again = take()
            if again is not kept:
                self.ends.append(self.accept(self.servers[2]))
            pool.close(again)
            return again is kept

        use_again(400_000, breaks=False)  # slow, not broken
        use_again(10_000, breaks=True)  # broken, but not for its idling
        self.assertTrue(still_used(700_000))
        use_again(400_000, breaks=True)
        self.assertTrue(still_used(200_000))
        self.assertFalse(still_used(350_000))

    def test_nothing_is_first_written_to_a_server_long_told_off(self) -> None:
        server = BackendServer(1, "s", self.servers[2].getsockname(), 0)
        _, take = self.pool(server)
        server.listed_off_since = self.loop.now  # told just now: the grace lasts
        self.assertIsInstance(take(), Connection)
        server.listed_off_since = self.loop.now - 2_000_000
        self.assertIs(take(), Ending.WITHDRAWN)
        server.listed_off_since = None
        self.assertIsInstance(take(), Connection)
        server.banned_since = self.loop.now - 2_000_000  # out by hand, whatever the list says
        self.assertIs(take(), Ending.WITHDRAWN)


class Memory(Story):
    sockets, memory = 64, 24

    def test_all_bodies_together_are_bounded_and_small_ones_pass(self) -> None:
        self.front._max_total_body_bytes = 100_000  # an even share is 8 KB
        head = b"POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: %d\r\nReq-Kind: unsafe\r\nReq-Deadline: 9\r\n"
        large = head + b"Content-Length: 65536\r\n\r\n"
        halves = [self.client() for _ in range(2)]
        for n, half in enumerate(halves):
            half.sock.sendall(large % n + bytes(40_000))
        self.spin(lambda: self.front._total_body_bytes == 80_000)
        third = self.client()
        third.sock.sendall(large % 3 + bytes(40_000))
        self.assertEqual(self.status(third), 413)
        self.assertEqual(self.front._total_body_bytes, 80_000)
        small = self.client()
        small.sock.sendall(head % 4 + b"Content-Length: 3\r\n\r\npay")
        self.assertIn(b"Req-Id: 4", self.dispatched().job)
        for peer in (*halves, small):
            peer.sock.close()
        self.spin(lambda: self.front._total_body_bytes == 0)


class Discovery(Story):
    def test_the_watch_survives_heartbeats_pieces_breaks_and_nonsense(self) -> None:
        self.spin(lambda: self.watch.read().endswith(b"\r\n\r\n"))
        self.assertIn(b"GET /v1/servers?watch=1&after=1 ", self.watch.got)
        self.watch.sock.sendall(STREAM + b"1\r\n\n\r\n")
        line = json.dumps(self.table(2, rev=7, whole=False)) + "\n"
        self.watch.sock.sendall(b"%x\r\n%s" % (len(line), line[:20].encode()))
        self.rest(0.02)
        self.watch.sock.sendall(line[20:].encode() + b"\r\n")
        table = self.front._dispatcher.table
        self.spin(lambda: len(table.by_number) == 3)
        self.watch.sock.close()
        again = self.accept(self.discovery)
        self.spin(lambda: b"after=7 " in again.read())
        again.sock.sendall(STREAM + b'8\r\n{"rev":\n\r\n')
        whole = self.accept(self.discovery)  # after nonsense, the whole list is asked for
        self.spin(lambda: b"watch=1 " in whole.read())
        self.assertEqual(len(table.by_number), 3)
        whole.sock.sendall(STREAM)
        whole.say(json.dumps(self.table(1, rev=9)))
        self.spin(lambda: sum(s.off_since is None for s in table.by_number.values()) == 1)
        self.ask()
        self.servers = [self.servers[1]]
        self.dispatched()

    def test_a_call_without_an_answer_in_time_is_left_open_beside_the_next_one(self) -> None:
        self.watch.sock.close()
        busy = STREAM.replace(b"200 OK", b"503 busy")
        with mock.patch("heronstall.net.server_table.WATCH_TIMEOUT_US", 60_000):
            slow = self.accept(self.discovery)
            later = self.accept(self.discovery)  # nothing came to the first
            another = self.accept(self.discovery)  # nor to the second, which is not kept, too
            self.spin(partial(self.gone, later))
            self.assertFalse(self.gone(slow))
        slow.sock.sendall(STREAM)
        slow.say(json.dumps(self.table(1, rev=8)))
        table = self.front._dispatcher.table
        assert isinstance(table, server_table.ServerTable)
        self.spin(lambda: table.rev == 8)
        self.spin(partial(self.gone, another))
        slow.say(json.dumps(self.table(2, rev=9)))  # it is the watch from here on
        self.spin(lambda: table.rev == 9)
        slow.sock.close()
        with mock.patch("heronstall.net.server_table.WATCH_TIMEOUT_US", 60_000):
            slow, later = self.accept(self.discovery), self.accept(self.discovery)
        slow.sock.sendall(busy)  # of no use, and no reason to give up the other
        self.spin(partial(self.gone, slow))
        later.sock.sendall(STREAM)
        later.say(json.dumps(self.table(0, rev=10)))
        self.spin(lambda: table.rev == 10)

    def test_two_silent_relays_in_turn_keep_news_back_for_less_than_two_seconds(
        self,
    ) -> None:
        relays = [listener() for _ in range(3)]
        table = self.front._dispatcher.table
        assert isinstance(table, server_table.ServerTable)
        table.sources = RelaysInTurn(relays)
        table.restart_watch()
        speaks, silent, tells = relays
        first = self.accept(speaks)
        first.sock.sendall(STREAM)
        first.say(json.dumps(self.table(0, 1, rev=4)))
        self.spin(lambda: table.rev == 4)
        since = time.monotonic()
        held = self.accept(silent)  # its connection opens, and nothing more comes
        last = self.accept(tells)
        last.sock.sendall(STREAM)
        last.say(json.dumps(self.table(1, 2, rev=5)))
        self.spin(lambda: table.rev == 5)
        self.assertLess(time.monotonic() - since, 2.0)
        self.spin(partial(self.gone, held))

    def test_an_overbooked_discovery_is_asked_again_the_later_the_more_ask_it_and_never_in_step(self) -> None:
        def pauses(nodes: int, seed: str, header: bytes = b"") -> list[int]:
            asked: list[int] = []

            def nap(until: int) -> Coroutine[None]:
                asked.append(until - self.loop.now)
                yield -1, 0, self.loop.now + 1

            raw = {**self.raw, "seed": seed, "settings": {**SETTINGS, "balancers": nodes}}
            with mock.patch("heronstall.net.server_table.sleep", nap):
                table = server_table.ServerTable(configuration(raw), self.loop, 0, lambda told: None)
                table.start()
                for _ in range(7):
                    watch = self.accept(self.discovery)
                    watch.sock.sendall(b"HTTP/1.1 503 busy\r\n" + header + b"Content-Length: 0\r\n\r\n")
                    self.spin(partial(self.gone, watch))
            assert table._watch is not None and table._watch.task is not None
            table._watch.task.kill()
            return asked[:6]

        many, others, few = pauses(40, "1"), pauses(40, "2"), pauses(3, "1")
        self.assertGreater(sum(many) / len(many), 40 * 50_000)  # together no more than some twenty a second
        self.assertLess(max(few), 2_000_000)  # few dispatchers need not wait so long
        self.assertEqual(len({*many, *others}), len(many) + len(others))
        self.assertGreater(max(many) - min(many), 500_000)
        told = pauses(40, "1", b"Retry-After: 7\r\n")
        # The first refusal may be one call's alone, and news counts as told within six seconds.
        self.assertTrue(2_000_000 < told[0] <= 4_500_000, told)
        self.assertTrue(min(told[1:]) >= 7_000_000 and max(told) <= 10_500_000, told)
        self.assertLess(max(pauses(3, "1", b"Retry-After: soon\r\n")), 2_000_000)

    def test_a_list_that_is_known_serves_though_discovery_says_nothing(self) -> None:
        self.assertLessEqual(FIRST_LIST, 500_000)

        def healthy() -> bool:
            client = self.client()
            client.sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            return self.status(client) == 200

        self.spin(healthy)
        self.assertFalse(self.program.table.answered)

    def test_a_watch_that_misses_a_heartbeat_is_opened_again_where_it_ended(self) -> None:
        self.assertLess(server_table.WATCH_TIMEOUT_US, 2 * server_table.HEARTBEAT_US)
        self.assertGreater(server_table.WATCH_TIMEOUT_US, server_table.HEARTBEAT_US)
        with mock.patch("heronstall.net.server_table.WATCH_TIMEOUT_US", 300_000):
            self.watch.sock.sendall(STREAM)
            self.watch.say(json.dumps(self.table(0, 1, rev=5)))
            again = self.accept(self.discovery)
            self.spin(lambda: b"after=5 " in again.read())
        self.assertTrue(self.gone(self.watch))
        self.ask()  # the table stays valid meanwhile
        self.dispatched()

    def reload(self, **changes: Any) -> list[str]:
        """SIGHUP with a changed file, under a NODE_DISCOVERY that told of the start; what was logged."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(json.dumps({**self.raw, **changes}))
            file.flush()
            logging.disable(logging.NOTSET)
            with self.assertLogs("heronstall") as logs:
                self.program.reload({"NODE_CONFIG": file.name, "NODE_DISCOVERY": at(self.discovery)})
        logging.disable(logging.CRITICAL)
        return logs.output

    def test_a_reload_follows_another_discovery_and_keeps_the_table_and_the_old_watch_until_it_answers(
        self,
    ) -> None:
        table = self.program.table
        self.watch.sock.sendall(STREAM)
        self.watch.say(json.dumps(self.table(0, 1, rev=5)))
        self.spin(lambda: table.answered)
        middle, new = listener(), listener()
        new_at = at(new)
        self.reload(discovery=at(middle))
        never_answers = self.accept(middle)
        new.close()
        self.reload(discovery=new_at)  # a second one before the first was heard; nobody listens there yet
        self.spin(lambda: self.gone(never_answers))
        host, port = new_at.split(":")
        new = socket.create_server((host, int(port)))
        new.settimeout(0)
        began = time.monotonic()
        fresh = self.accept(new)
        self.assertLess(time.monotonic() - began, 5)  # not the long pause of an address that has answered
        self.spin(lambda: b"\r\n\r\n" in fresh.read())
        self.assertIn(b"GET /v1/servers?watch=1 ", fresh.got)  # another's revision means nothing here
        self.assertFalse(self.watch.closed)
        self.watch.say(json.dumps(self.table(2, rev=6, whole=False)))  # still listened to
        self.spin(lambda: len(table.by_number) == 3)
        fresh.sock.sendall(STREAM)
        fresh.say(json.dumps(self.table(2, rev=1)))
        self.spin(lambda: sum(s.off_since is None for s in table.by_number.values()) == 1)
        self.spin(lambda: self.gone(self.watch))
        fresh.sock.close()
        again = self.accept(new)
        self.spin(lambda: b"after=1 " in again.read())
        self.assertFalse(select.select([self.discovery, middle], [], [], 0)[0])

    def test_a_wrong_or_unchanged_file_changes_nothing_and_what_takes_a_restart_is_named(self) -> None:
        for changes, said in (
            ({"discovery": "nowhere"}, "discovery: 'nowhere' is not host:port"),
            ({"settings": {**SETTINGS, "tick": 0}}, "settings.tick"),
            ({"limits": {"sockets": 99}}, "limits.sockets has changed"),
            ({"listen": "127.0.0.1:1", "settings": {**SETTINGS, "tick": 7}}, "listen has changed"),
        ):
            self.assertIn(said, "\n".join(self.reload(**changes)))
        self.rest(0.05)
        self.assertFalse(self.gone(self.watch))
        self.assertFalse(select.select([self.discovery], [], [], 0)[0])

    def test_one_uid_may_come_back_at_another_address(self) -> None:
        server = next(s for s in self.front._dispatcher.table.by_number.values() if s.uid == "s-0")
        moved = self.table(0, rev=2, whole=False)
        moved["targets"][0] |= {"endpoint": at(self.servers[2]), "boot_ms": int(time.time() * 1000)}
        self.watch.sock.sendall(STREAM)
        self.watch.say(json.dumps(moved))
        self.spin(lambda: server.endpoint == self.servers[2].getsockname())
        worker = cast(Balancer, self.front._dispatcher._balancer)._workers[server.number]
        self.assertLess(
            abs(worker.started_at - self.loop.now), 60_000_000
        )  # Unix time on the program's clock


class Program(unittest.TestCase):
    def run_with(self, raw: dict[str, Any]) -> subprocess.Popen[str]:
        file = tempfile.NamedTemporaryFile("w", suffix=".json")  # noqa: SIM115  # closed by the cleanup
        self.addCleanup(file.close)
        file.write(json.dumps(raw))
        file.flush()
        env = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        ran = subprocess.Popen(
            [sys.executable, "-m", "heronstall"],
            cwd=ROOT,
            env={**env, "NODE_CONFIG": file.name},
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(ran.kill)
        return ran

    def test_it_ends_with_0_after_sigterm_and_with_2_for_a_wrong_configuration(self) -> None:
        ran = self.run_with(raw_config())
        assert ran.stderr is not None
        self.assertIn("listens on", ran.stderr.readline())
        for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            ran.send_signal(number)  # a reload neither ends it nor keeps it from ending
        said = ran.communicate(timeout=60)[1]
        self.assertEqual(ran.returncode, 0)
        self.assertIn("configuration read again", said)
        self.assertIn("has answered everything", said)
        ran = self.run_with(raw_config(listen="nowhere"))
        self.assertIn("listen:", ran.communicate(timeout=60)[1])
        self.assertEqual(ran.returncode, 2)


class Parts(unittest.TestCase):
    def test_an_event_of_a_closed_descriptor_never_reaches_the_next_owner_of_its_number(self) -> None:
        loop, seen = Loop(), []
        (a, far_a), (b, far_b) = socket.socketpair(), socket.socketpair()

        def reader(name: str, sock: socket.socket, other: socket.socket) -> Coroutine[None]:
            got = yield sock.fileno(), READ, None
            seen.append(name)
            if (
                got and other.fileno() >= 0
            ):  # the first to run closes the other, whose event is in the same batch
                loop.close(other)
                opened = socket.socketpair()
                for end in opened:
                    self.addCleanup(end.close)
                self.assertNotIn(other.fileno(), [s.fileno() for s in opened])

        loop.spawn(reader("a", a, b), "a")
        loop.spawn(reader("b", b, a), "b")
        loop.turn(0)
        far_a.send(b"x")
        far_b.send(b"x")
        loop.turn(1)
        self.assertEqual(len(seen), 1)
        for sock in (a, b, far_a, far_b):
            sock.close()

    def test_the_buffer_grows_and_is_compacted_in_place(self) -> None:
        near, far = socket.socketpair()
        near.settimeout(0)
        buffer, parser, sent = Buffer(), mock.Mock(), os.urandom(50_000)
        taken = bytearray()
        parser.receive_data.side_effect = lambda part: taken.extend(part)
        far.sendall(sent)
        while len(taken) + len(buffer) < len(sent):
            buffer.fill(near)
            if len(buffer) > 20_000:
                buffer.feed(parser)
        while len(buffer):
            buffer.feed(parser)
        self.assertEqual(bytes(taken), sent)
        near.close()
        far.close()

    def test_an_endless_line_ends_its_connection(self) -> None:
        lines = LineSplitter(10)
        self.assertEqual(lines.feed(b"ab\n\ncd"), [b"ab"])
        self.assertEqual(lines.feed(b"ef\n"), [b"cdef"])
        with self.assertRaises(ConnectionEnded):
            lines.feed(b"x" * 11)

    def test_reports_go_by_the_names_that_the_settings_give_and_by_those_on_the_sockets(self) -> None:
        slots = configuration(raw_config()).report_slots
        for told in (
            {"inflight": 7, "util": 0.6, "x0": 2},
            {"busy_reqs": 7, "cpu_share": 0.6, "x0": 2, "new": 1},
        ):
            report = read_report(slots, told)
            assert report is not None
            self.assertEqual((report.inflight, report.util, report.free_slots), (7.0, 0.6, 2.0))
        for absurd in ({"x0": -1}, {"x0": "2"}, {"x0": True}, {}, [2], None):
            self.assertIsNone(read_report(slots, absurd))

    def test_a_wrong_configuration_names_its_key(self) -> None:
        for changes, key in (
            ({"listen": "nowhere"}, "listen"),
            ({"seed": "xyz"}, "seed"),
            ({"settings": None}, "settings"),
            ({"limits": {"sockets": "many"}}, "limits.sockets"),
            ({"limits": {"memory_mb": 1}}, "limits.memory_mb"),
            ({"settings": {**SETTINGS, "tick": 0}}, "settings.tick"),
            (
                {"settings": {**SETTINGS, "services": [{"name": "x", "aim": 1}]}},
                "settings.services[0].deadline",
            ),
            ({"settings": {**SETTINGS, "rules": {"coldFrom": 2}}}, "settings.rules.coldFrom"),
        ):
            with self.assertRaises(ConfigError) as caught:
                configuration(raw_config(**changes))
            self.assertTrue(str(caught.exception).startswith(f"{key}:"), str(caught.exception))


class Observing(unittest.TestCase):
    def test_an_observer_sees_each_turn_after_its_actions_and_one_that_fails_is_told_no_more(self) -> None:
        seen: list[str] = []
        decisions = mock.Mock()
        decisions.handle.side_effect = lambda now, batch: [i.Log("carried out")]
        loop = Loop()
        dispatcher = Dispatcher(configuration(raw_config()), loop, decisions)
        failing, well = mock.Mock(), mock.Mock()
        dispatcher.observers += [failing, well]
        failing.observe.side_effect = lambda now, told, said: seen.append("told")
        with self.assertLogs("heronstall.dispatcher") as logs:
            for failure in (None, RuntimeError("full"), None):
                if failure is not None:
                    failing.observe.side_effect = failure
                dispatcher.post(i.Timer())
                loop.turn(0)
        self.assertEqual(seen, ["told"])
        self.assertEqual(dispatcher.observers, [well])
        self.assertEqual(well.observe.call_count, 3)
        self.assertEqual(sum("carried out" in line for line in logs.output), 3)
