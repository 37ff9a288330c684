"""Tests of the dispatcher over loopback sockets, with scripted clients, backend servers and discovery.

The dispatcher runs in this process, one turn of its event loop at a time; its counterparts are plain sockets.
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
from heronstall.__main__ import LIST_WAIT
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
STUCK_TIMEOUT_S = 20.0  # real seconds before a test counts as stuck; no test needs them
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


def open_listener() -> socket.socket:
    """Returns a listening socket on a free loopback port."""
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(0)
    return sock


def address_of(sock: socket.socket) -> str:
    """Returns host:port of a socket."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def raw_config(**changes: Any) -> dict[str, Any]:
    """Returns a dispatcher's configuration, to be completed with addresses."""
    base = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "1f",
        "settings": SETTINGS,
    }
    return {**base, **changes}


class RawConnection:
    """One end of a connection, read without blocking into `received`."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.received, self.request, self.closed = sock, b"", b"", False
        sock.settimeout(0)

    def read(self) -> bytes:
        """Reads what is available and returns everything received so far."""
        try:
            while not self.closed:
                data = self.sock.recv(65536)
                self.received += data
                self.closed = not data
        except BlockingIOError:
            pass
        except OSError:
            self.closed = True
        return self.received

    def send_chunks(self, *lines: str) -> None:
        """Sends chunks of a streamed response, one for each line."""
        self.sock.sendall(b"".join(b"%x\r\n%s\n\r\n" % (len(x) + 1, x.encode()) for x in lines))


class RelaysInTurn:
    """Returns relays one after the other and accepts every message; a `server_table.ListSources`."""

    host = "127.0.0.1"

    def __init__(self, relays: list[socket.socket]) -> None:
        self._relays: list[Address] = [relay.getsockname() for relay in relays]

    def next_source(self) -> Coroutine[Address | None]:
        """Returns the next relay without waiting."""
        yield from ()
        return self._relays.pop(0)

    def client_count(self) -> int:
        """Returns the number of clients of discovery."""
        return 1

    def relay_ended(self, relay: Address) -> None:
        """Ignores the end of a call."""

    def accept(self, message: Any, rev: int, relay: Address | None) -> list[Any]:
        """Accepts every message."""
        return [] if message is None else [message]


STREAM = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class DispatcherTestCase(unittest.TestCase):
    """A dispatcher, its discovery and three backend servers."""

    sockets: int = 1024
    memory: float = 192
    has_admin_endpoint = False  # whether the dispatcher has an admin endpoint
    settings: dict[str, Any] = SETTINGS

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.discovery = open_listener()
        self.servers = [open_listener() for _ in range(3)]
        self.clients: list[RawConnection] = []  # held, since an unreferenced socket is closed
        self.server_ends: list[RawConnection] = []
        self.loop = Loop()
        self.raw = raw_config(
            discovery=address_of(self.discovery),
            known=self.server_list(0, 1),
            limits={"sockets": self.sockets, "memory_mb": self.memory},
            settings=self.settings,
            operator="127.0.0.1:0" if self.has_admin_endpoint else None,
        )
        self.program = Dispatching(configuration(self.raw), self.loop)
        self.frontend: Frontend = self.program.frontend
        self.address = self.frontend._listener.getsockname()
        if self.has_admin_endpoint:
            assert self.program.operator_interface is not None
            self.admin_address = self.program.operator_interface.admin_endpoint._listener.getsockname()
        self.watch = self.accept(self.discovery)

    def server_list(
        self, *numbers: int, rev: int = 1, complete: bool = True, state: str = "SERVING"
    ) -> dict[str, Any]:
        """Returns a server list with these servers."""
        targets = [
            {
                "uid": f"s-{n}",
                "endpoint": address_of(self.servers[n]),
                "az": "a",
                "model": "m",
                "state": state,
                "boot_ms": 0,
            }
            for n in numbers
        ]
        return {"rev": rev, "all": complete, "targets": targets}

    def run_until(self, condition: Callable[[], Any]) -> Any:
        """Runs the event loop until a condition is true; returns its value."""
        end = time.monotonic() + STUCK_TIMEOUT_S
        while not (result := condition()):
            if time.monotonic() > end:
                self.fail("the test is stuck")
            self.loop.turn(0.005)
        return result

    def run_for(self, seconds: float) -> None:
        """Runs the event loop for a time."""
        end = time.monotonic() + seconds
        self.run_until(lambda: time.monotonic() >= end)

    def accept(self, *listeners: socket.socket) -> RawConnection:
        """Accepts the next connection to one of these listeners."""

        def accept_ready() -> RawConnection | None:
            ready = select.select(listeners, [], [], 0)[0]
            return RawConnection(ready[0].accept()[0]) if ready else None

        peer = self.run_until(accept_ready)
        assert isinstance(peer, RawConnection)
        return peer

    def is_closed(self, peer: RawConnection) -> bool:
        """Returns whether the dispatcher has closed the connection."""
        peer.read()
        return peer.closed

    def connect(self) -> RawConnection:
        """Returns a new client connection."""
        return RawConnection(socket.create_connection(self.address))

    def send_request(
        self, kind: str = "unsafe", wait: str = "9.0", peer: RawConnection | None = None, name: str = "id-1"
    ) -> RawConnection:
        """Sends a job request, on a new connection if none is given."""
        peer = peer or self.connect()
        self.clients.append(peer)
        peer.received = b""
        peer.sock.sendall(
            b"POST /api?x=1 HTTP/1.1\r\nHost: o\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\n"
            b"Req-Deadline: %s\r\nIdempotency-Key: k1\r\nReq-Extra: slots=1\r\nContent-Length: 3\r\n\r\npay"
            % (name.encode(), kind.encode(), wait.encode())
        )
        return peer

    def next_dispatch(self) -> RawConnection:
        """Returns the server's end of the next dispatch, with its request in `request`. Answers probes."""

        def find_job() -> RawConnection | None:
            for sock in select.select(self.servers, [], [], 0)[0]:
                self.server_ends.append(RawConnection(sock.accept()[0]))
            for end in self.server_ends:
                if end.sock.fileno() >= 0 and end.read().startswith(b"GET "):
                    end.received = b""
                    end.sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"x0":4}')
                elif end.received.endswith(b"pay"):
                    end.request, end.received = end.received, b""
                    return end
            return None

        found = self.run_until(find_job)
        assert isinstance(found, RawConnection)
        return found

    def response_status(self, client: RawConnection) -> int:
        """Waits for a response and returns its status."""
        self.run_until(lambda: b"\r\n\r\n" in client.read() or client.closed)
        return int(client.received.split()[1])


class Serving(DispatcherTestCase):
    def test_forwards_jobs_and_results_over_persistent_connections(self) -> None:
        client = self.connect()
        for name in ("id-1", "id-2"):
            self.send_request(peer=client, name=name)
            server = self.next_dispatch()
            head = server.request
            self.assertTrue(head.startswith(b"POST /api?x=1 HTTP/1.1\r\n"))
            for passed in (
                b"Req-Id: " + name.encode(),
                b"Idempotency-Key: k1",
                b"Content-Length: 3",
                b"\r\n\r\npay",
            ):
                self.assertIn(passed, head)
            server.sock.sendall(STREAM)
            server.send_chunks(
                *(f'{{"id":"{name}",{x}}}' for x in ('"state":"started"', '"state":"running","share":1'))
            )
            # The last line arrives in two pieces, and the result before the end of the message.
            last = b'{"id":"%s","state":"done","result":"paid \\u00e9","load":{"x0":2}}\n' % name.encode()
            server.sock.sendall(b"%x\r\n%s" % (len(last), last[:9]))
            self.run_for(0.02)
            server.sock.sendall(last[9:] + b"\r\n")
            self.assertEqual(self.response_status(client), 200)
            self.assertTrue(client.received.endswith("\r\n\r\npaid é".encode()))
            server.sock.sendall(b"0\r\n\r\n")
            self.run_for(0.02)

    def test_rejects_invalid_requests_without_forwarding_them(self) -> None:
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
            client = self.connect()
            client.sock.settimeout(5)
            client.sock.sendall(text)
            client.sock.settimeout(0)
            self.assertEqual(self.response_status(client), status, text[:90])
        self.assertFalse(self.frontend._dispatcher._sessions)

    def test_answers_expect_and_accepts_requests_in_pieces(self) -> None:
        client = self.connect()
        head = b"POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: id-1\r\nReq-Kind: unsafe\r\nReq-Deadline: 9\r\n"
        client.sock.sendall(head[:31])
        self.run_for(0.02)
        client.sock.sendall(head[31:] + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        self.assertEqual(self.response_status(client), 100)
        client.sock.sendall(b"pay")
        self.assertNotIn(b"xpect", self.next_dispatch().request)

    def test_health_depends_on_the_watch_and_on_the_shutdown(self) -> None:
        for expected in (503, 200, 503):
            client = self.connect()
            client.sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: o\r\n\r\n")
            self.assertEqual(self.response_status(client), expected)
            if expected == 503:
                self.watch.sock.sendall(STREAM)
                self.watch.send_chunks(json.dumps(self.server_list(0, 1, rev=2)))
                self.run_for(0.05)
            else:
                self.program.shutdown.stop()

    def test_shutdown_closes_idle_clients_and_finishes_accepted_requests(self) -> None:
        stopped = mock.Mock()
        self.frontend._on_finished = stopped
        idle = self.connect()
        taken = self.send_request()
        server = self.next_dispatch()
        self.program.shutdown.stop()
        self.run_for(0.3)
        late = self.connect()
        late.sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: o\r\n\r\n")
        self.assertEqual(self.response_status(late), 503)
        self.run_until(lambda: idle.read() == b"" and idle.closed)
        self.assertFalse(stopped.called)
        server.sock.sendall(STREAM)
        server.send_chunks('{"id":"id-1","state":"done","result":"ok"}')
        self.assertEqual(self.response_status(taken), 200)
        self.assertIn(b"connection: close", taken.received.lower())
        taken.sock.close()
        self.run_until(lambda: stopped.called)

    def test_retries_the_handover_of_a_rejected_connection(self) -> None:
        self.frontend._on_finished = mock.Mock()
        attempts: list[bool] = []

        def pass_on(_: socket.socket, proven: bool) -> bool:
            attempts.append(proven)
            return len(attempts) > 1

        client = self.send_request()
        server = self.next_dispatch()
        self.frontend.hand_over(pass_on)
        server.sock.sendall(STREAM)
        server.send_chunks('{"id":"id-1","state":"done","result":"ok"}')
        self.assertEqual(self.response_status(client), 200)
        self.run_until(lambda: attempts == [True, True])

    def test_answers_late_requests_of_a_shutdown_before_the_kill(self) -> None:
        # The limit is the time, in microseconds, from the signal to shortly before the kill.
        with (
            mock.patch("heronstall.net.frontend.LATE_AFTER_US", 0),
            mock.patch.object(self.frontend, "_answer_within", 1_000_000),
        ):
            early = self.send_request()
            self.next_dispatch()
            self.program.shutdown.stop()
            late = self.send_request(name="id-2")
            self.next_dispatch()
            self.assertEqual(self.response_status(late), 500)
            self.assertLess(
                self.loop.now, self.program.shutdown.signalled_at + self.frontend._answer_within + 200_000
            )
        self.assertEqual(early.read(), b"")


class Failing(DispatcherTestCase):
    def test_repeats_a_job_only_if_the_response_proves_that_it_did_not_run(self) -> None:
        def final_line(state: str) -> bytes:
            line = b'{"id":"id-1","state":"%s"}\n' % state.encode()
            return STREAM + b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line)

        empty = b"Content-Length: 0\r\n\r\n"
        # A job that must not run twice is sent again only if the response proves that it never ran.
        for response, sent_again in (
            (b"HTTP/1.1 503 x\r\nSrv-Declined: 1\r\n" + empty, True),
            (b"HTTP/1.1 504 x\r\nSrv-Declined: 1\r\n" + empty, True),
            (final_line("returned"), True),
            (b"HTTP/1.1 503 x\r\n" + empty, False),
            (b'HTTP/1.1 500 x\r\nSrv-Load: {"x0":1}\r\n' + empty, False),
            (final_line("failed"), False),
            (final_line("lost"), False),
            (STREAM, False),  # closed before the last line
            (b"SMTP ready\r\n\r\n", False),
            (STREAM + b"5\r\n{{{{\n\r\n", False),
            (STREAM + b"4\r\nnull\r\n1\r\n\n\r\n", False),
        ):
            self.tearDown()
            self.setUp()
            client = self.send_request()
            server = self.next_dispatch()
            server.sock.sendall(response)
            server.sock.close()
            if sent_again:
                self.next_dispatch()
                self.assertEqual(client.read(), b"", response)
            else:
                self.assertEqual(self.response_status(client), 500, response)

    def test_unusable_requests_do_not_count_against_the_server(self) -> None:
        for n, status in enumerate((b"400 x", b"404 x", b"413 x")):
            client = self.send_request(name=f"id-{n}", kind=("unsafe", "keyed")[n % 2])
            server = self.next_dispatch()
            server.sock.sendall(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
            self.assertEqual(self.response_status(client), 400)
            self.run_for(0.02)
        workers = cast(Balancer, self.frontend._dispatcher._balancer)._workers.values()
        self.assertTrue(all(w.ejected_until < 0 and not w.failures and not w.on_trial for w in workers))
        self.assertFalse(self.frontend._dispatcher._sessions)

    def test_never_serves_the_result_of_another_request(self) -> None:
        client = self.send_request()
        server = self.next_dispatch()
        server.sock.sendall(STREAM)
        server.send_chunks('{"id":"id-2","state":"done","result":"not yours"}')
        self.assertEqual(self.response_status(client), 500)
        self.assertNotIn(b"not yours", client.received)

    def test_answers_once_in_time_if_the_server_is_silent(self) -> None:
        started_at = time.monotonic()
        client = self.send_request(wait="0.4")
        self.next_dispatch()
        self.assertEqual(self.response_status(client), 500)  # the job may have run, so it must not be refused
        self.assertGreater(time.monotonic() - started_at, 0.3)
        self.run_for(0.1)
        self.assertEqual(client.read().count(b"HTTP/1.1"), 1)

    def test_refused_connection_proves_that_the_job_did_not_run(self) -> None:
        live = json.dumps(self.server_list(2, rev=2))
        for _ in range(2):
            self.servers.pop(0).close()
        client = self.send_request()
        self.run_for(0.1)
        self.assertEqual(client.read(), b"")  # not failed: the decision module still looks for a server
        self.watch.sock.sendall(STREAM)
        self.watch.send_chunks(live)
        self.next_dispatch()

    def test_ends_the_dispatch_of_a_client_that_leaves(self) -> None:
        client = self.send_request()
        server = self.next_dispatch()
        client.sock.close()
        self.run_until(lambda: server.read() == b"" and server.closed)
        self.assertFalse(self.frontend._dispatcher._sessions)

    def test_refusal_has_a_retry_after(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.send_chunks(json.dumps(self.server_list(rev=2)))  # no server left
        self.run_for(0.05)
        client = self.send_request(wait="0.2")
        self.assertEqual(self.response_status(client), 503)
        self.assertIn(b"retry-after: 1.500\r\n", client.received.lower())

    def test_unexpected_error_ends_only_its_coroutine(self) -> None:
        with mock.patch("heronstall.net.backend.Dispatch._handle_line", side_effect=RuntimeError("bug")):
            client = self.send_request()
            server = self.next_dispatch()
            server.sock.sendall(STREAM)
            server.send_chunks("{}")
            self.assertEqual(self.response_status(client), 500)
        failing = RuntimeError("bug")
        with mock.patch("heronstall.net.client_request.RequestParser._parse_headers", side_effect=failing):
            broken = self.send_request(name="id-2")
            self.run_until(lambda: broken.read() == b"" and broken.closed)
        with mock.patch.object(
            self.frontend._dispatcher, "_send", side_effect=[RuntimeError("bug"), None]
        ) as send:
            self.frontend._dispatcher.post(i.Arrival(901, 0, 9_000_000))
            self.frontend._dispatcher.post(i.Arrival(902, 0, 9_000_000))
            self.run_until(lambda: send.call_count == 2)  # the second action is still executed
        self.send_request(name="id-3")
        self.next_dispatch()


class BadClients(DispatcherTestCase):
    def send_raw(self, text: bytes) -> RawConnection:
        """Sends bytes on a new client connection."""
        client = self.connect()
        self.clients.append(client)
        client.sock.sendall(text)
        return client

    def test_rejects_ambiguous_requests(self) -> None:
        post = b"POST /api HTTP/1.1\r\nHost: o\r\nReq-Kind: unsafe\r\nReq-Deadline: 9\r\n"
        hidden = post + b"Req-Id: hidden\r\n\r\n"
        for ambiguity, stays_open in (
            (b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" % (len(hidden) + 5), False),
            (b"Content-Length: 0\r\ncontent-length : 0\r\n\r\n", False),
            (b"Content-Length: 0\r\ncontent-length: 0\r\n\r\n", False),  # h11 merges these into one
            (b"Content-Length: 0, 0\r\n\r\n", False),
            (b"Req-Id: other\r\n\r\n", True),
            (b"Req-Deadline: 9\r\n\r\n", True),
            (b"Idempotency-Key: a\r\nIdempotency-Key: a\r\n\r\n", True),
            (b"Cookie: obj=1; obj=2\r\n\r\n", True),
        ):
            client = self.send_raw(post + b"Req-Id: id-1\r\n" + ambiguity + (b"" if stays_open else hidden))
            self.assertEqual(self.response_status(client), 400, ambiguity)
            if not stays_open:
                self.run_until(partial(self.is_closed, client))
            self.assertEqual(client.received.count(b"HTTP/1.1"), 1, ambiguity)
        self.assertFalse(self.frontend._dispatcher._sessions)

    def test_rejects_a_repeated_request_id(self) -> None:
        first = self.send_request()
        server = self.next_dispatch()
        self.assertEqual(self.response_status(self.send_request(name="id-1")), 400)
        server.sock.sendall(STREAM)
        server.send_chunks('{"id":"id-1","state":"done","result":"ok"}')
        self.assertEqual(self.response_status(first), 200)
        self.assertEqual(self.response_status(self.send_request(name="id-1")), 400)

    def test_limits_the_deadline_to_that_of_the_class(self) -> None:
        self.send_request(wait="9999999")
        self.assertRegex(self.next_dispatch().request, rb"Req-Deadline: [89]\.")

    def test_closes_connections_without_usable_requests_and_keeps_proven_ones(self) -> None:
        with mock.patch("heronstall.net.frontend.REQUEST_TIMEOUT_US", 300_000):
            usual = self.send_request()
            server = self.next_dispatch()
            server.sock.sendall(STREAM)
            server.send_chunks('{"id":"id-1","state":"done","result":"ok"}')
            self.assertEqual(self.response_status(usual), 200)
            silent, half = self.connect(), self.send_raw(b"POST /api HTTP/1.1\r\nHo")
            wrong = self.send_raw(b"POST /else HTTP/1.1\r\nHost: o\r\n\r\n")
            short = self.send_raw(b"POST /api HTTP/1.1\r\nHost: o\r\nContent-Length: 9\r\n\r\n1234")
            self.assertEqual(self.response_status(half), 408)
            self.assertEqual(self.response_status(short), 408)
            self.assertEqual(self.response_status(wrong), 404)
            self.run_until(lambda: silent.read() == b"" and silent.closed and wrong.read() and wrong.closed)
            self.assertFalse(usual.closed)
            self.send_request(peer=usual, name="id-2")
            self.assertIn(b"id-2", self.next_dispatch().request)

    def test_rejects_a_body_by_its_length_and_limits_reading_per_turn(self) -> None:
        client = self.send_raw(b"POST /api HTTP/1.1\r\nHost: o\r\nContent-Length: 60000000\r\n\r\n")
        self.assertEqual(self.response_status(client), 413)
        (connection,) = self.frontend._clients
        endless = mock.Mock(wraps=connection.sock)
        endless.recv_into.side_effect = [65536] * 200 + [AssertionError("one turn read without limit")]
        with mock.patch.object(connection, "sock", endless):
            client.sock.sendall(b"x")
            before = endless.recv_into.call_count
            self.loop.turn(1)
            self.assertLess(endless.recv_into.call_count - before, 10)
            self.assertGreater(endless.recv_into.call_count - before, 0)

    def test_answers_pipelined_bad_requests_in_order_over_several_turns(self) -> None:
        client = self.send_raw(b"GET /else HTTP/1.1\r\nHost: o\r\n\r\n" * 100)
        self.run_until(lambda: client.read())
        self.assertLess(client.received.count(b"HTTP/1.1 404"), 50)  # other connections are served in between
        self.run_until(lambda: client.read().count(b"HTTP/1.1 404") == 100)


class Connections(DispatcherTestCase):
    sockets = 64  # 12 on each side

    def test_closes_the_longest_idle_client_when_full(self) -> None:
        idle = [self.connect() for _ in range(12)]
        self.run_until(lambda: len(self.frontend._clients) == 12)
        self.send_request()
        self.next_dispatch()
        self.run_until(lambda: idle[0].read() == b"" and idle[0].closed)
        self.assertFalse(any(peer.read() or peer.closed for peer in idle[1:]))

    def test_closes_silent_clients_before_proven_ones_when_full(self) -> None:
        usual = self.send_request()
        server = self.next_dispatch()
        server.sock.sendall(STREAM)
        server.send_chunks('{"id":"id-1","state":"done","result":"ok"}')
        self.assertEqual(self.response_status(usual), 200)
        silent = [self.connect() for _ in range(self.frontend._limit)]
        self.run_until(lambda: silent[0].read() == b"" and silent[0].closed)
        self.send_request(name="id-2")
        self.next_dispatch()
        self.assertFalse(usual.read() and usual.closed)

    def test_accept_survives_lack_of_descriptors(self) -> None:
        failing = mock.Mock(wraps=self.frontend._listener)
        failing.accept.side_effect = OSError(24, "EMFILE")
        with mock.patch.object(self.frontend, "_listener", failing):
            client = self.send_request()
            self.run_for(0.1)
            self.assertLess(failing.accept.call_count, 30)  # it pauses instead of looping
        self.next_dispatch()
        self.assertEqual(client.read(), b"")

    def make_pool(self, server: BackendServer) -> tuple[ConnectionPool, Callable[[], Any]]:
        """Returns a pool, and a function that acquires a connection, or the ending, from it."""
        pool = ConnectionPool(self.loop, configuration(self.raw), 4)

        def acquire() -> Any:
            acquired: list[Any] = []

            def run() -> Coroutine[None]:
                try:
                    acquired.append((yield from pool.acquire(server, self.loop.now + 1_000_000)))
                except ConnectionEnded as ended:
                    acquired.append(ended.ending)

            self.loop.spawn(run(), "acquire")
            return self.run_until(lambda: acquired)[0]

        return pool, acquire

    def test_retires_idle_server_connections_in_time_and_checks_them_for_a_close(self) -> None:
        server = BackendServer(1, "s", self.servers[2].getsockname(), 0)
        pool, acquire = self.make_pool(server)
        first = acquire()
        server_end = self.accept(self.servers[2])
        first.idle_since = self.loop.now
        pool._idle[1] = [first]
        young = acquire()
        self.assertIsNot(young, first)  # a second response may still arrive on it
        pool.close(young)
        self.accept(self.servers[2])
        first.idle_since = self.loop.now - REUSE_DELAY_US
        self.assertIs(acquire(), first)
        pool._idle[1] = [first]
        server_end.sock.close()
        self.assertIsNot(acquire(), first)
        new = acquire()
        new.idle_since = self.loop.now
        pool._idle[1] = [new]
        self.run_for(1.2)  # keepalive is 1 s
        self.assertEqual(pool._idle, {})

    def test_learns_the_usable_idle_time_from_breaks(self) -> None:
        server = BackendServer(1, "s", self.servers[2].getsockname(), 0)
        pool, acquire = self.make_pool(server)

        def use_after_idling(idle: int, breaks: bool) -> None:
            connection, server_end = acquire(), self.accept(self.servers[2])
            self.server_ends.append(server_end)
            connection.idle_since = self.loop.now - idle
            if breaks:
                server_end.sock.close()

            def run() -> Coroutine[None]:
                with contextlib.suppress(ConnectionEnded):
                    yield from pool.read_response(connection, self.loop.now + 30_000)
                done.append(True)

            done: list[bool] = []
            self.loop.spawn(run(), "use")
            self.run_until(lambda: done)
            pool.close(connection)

        def is_reused(idle: int) -> bool:
            connection = acquire()
            self.server_ends.append(self.accept(self.servers[2]))
            connection.idle_since = self.loop.now - idle
            pool._idle[1] = [connection]
            again = acquire()
            if again is not connection:
                self.server_ends.append(self.accept(self.servers[2]))
            pool.close(again)
            return again is connection

        use_after_idling(400_000, breaks=False)  # slow, but not broken
        use_after_idling(10_000, breaks=True)  # broken, but not because it was idle
        self.assertTrue(is_reused(700_000))
        use_after_idling(400_000, breaks=True)
        self.assertTrue(is_reused(200_000))
        self.assertFalse(is_reused(350_000))

    def test_writes_nothing_to_a_server_after_the_drain_grace(self) -> None:
        server = BackendServer(1, "s", self.servers[2].getsockname(), 0)
        _, acquire = self.make_pool(server)
        server.listed_off_since = self.loop.now  # draining since now: within the grace
        self.assertIsInstance(acquire(), Connection)
        server.listed_off_since = self.loop.now - 2_000_000
        self.assertIs(acquire(), Ending.WITHDRAWN)
        server.listed_off_since = None
        self.assertIsInstance(acquire(), Connection)
        server.banned_since = self.loop.now - 2_000_000  # banned by an operator, whatever the list says
        self.assertIs(acquire(), Ending.WITHDRAWN)


class Memory(DispatcherTestCase):
    sockets, memory = 64, 24

    def test_limits_the_total_size_of_bodies_but_accepts_small_ones(self) -> None:
        self.frontend._max_total_body_bytes = 100_000  # an even share is 8 KB
        head = b"POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: %d\r\nReq-Kind: unsafe\r\nReq-Deadline: 9\r\n"
        large = head + b"Content-Length: 65536\r\n\r\n"
        halves = [self.connect() for _ in range(2)]
        for n, half in enumerate(halves):
            half.sock.sendall(large % n + bytes(40_000))
        self.run_until(lambda: self.frontend._total_body_bytes == 80_000)
        third = self.connect()
        third.sock.sendall(large % 3 + bytes(40_000))
        self.assertEqual(self.response_status(third), 413)
        self.assertEqual(self.frontend._total_body_bytes, 80_000)
        small = self.connect()
        small.sock.sendall(head % 4 + b"Content-Length: 3\r\n\r\npay")
        self.assertIn(b"Req-Id: 4", self.next_dispatch().request)
        for peer in (*halves, small):
            peer.sock.close()
        self.run_until(lambda: self.frontend._total_body_bytes == 0)


class Discovery(DispatcherTestCase):
    def test_watch_survives_heartbeats_fragments_breaks_and_invalid_data(self) -> None:
        self.run_until(lambda: self.watch.read().endswith(b"\r\n\r\n"))
        self.assertIn(b"GET /v1/servers?watch=1&after=1 ", self.watch.received)
        self.watch.sock.sendall(STREAM + b"1\r\n\n\r\n")
        line = json.dumps(self.server_list(2, rev=7, complete=False)) + "\n"
        self.watch.sock.sendall(b"%x\r\n%s" % (len(line), line[:20].encode()))
        self.run_for(0.02)
        self.watch.sock.sendall(line[20:].encode() + b"\r\n")
        table = self.frontend._dispatcher.table
        self.run_until(lambda: len(table.by_number) == 3)
        self.watch.sock.close()
        again = self.accept(self.discovery)
        self.run_until(lambda: b"after=7 " in again.read())
        again.sock.sendall(STREAM + b'8\r\n{"rev":\n\r\n')
        complete = self.accept(self.discovery)  # after invalid data the complete list is requested
        self.run_until(lambda: b"watch=1 " in complete.read())
        self.assertEqual(len(table.by_number), 3)
        complete.sock.sendall(STREAM)
        complete.send_chunks(json.dumps(self.server_list(1, rev=9)))
        self.run_until(lambda: sum(s.off_since is None for s in table.by_number.values()) == 1)
        self.send_request()
        self.servers = [self.servers[1]]
        self.next_dispatch()

    def test_keeps_an_unanswered_call_open_beside_the_next_one(self) -> None:
        self.watch.sock.close()
        busy = STREAM.replace(b"200 OK", b"503 busy")
        with mock.patch("heronstall.net.server_table.WATCH_TIMEOUT_US", 60_000):
            slow = self.accept(self.discovery)
            later = self.accept(self.discovery)  # the first call got no answer
            another = self.accept(self.discovery)  # nor did the second, which is closed
            self.run_until(partial(self.is_closed, later))
            self.assertFalse(self.is_closed(slow))
        slow.sock.sendall(STREAM)
        slow.send_chunks(json.dumps(self.server_list(1, rev=8)))
        table = self.frontend._dispatcher.table
        assert isinstance(table, server_table.ServerTable)
        self.run_until(lambda: table.rev == 8)
        self.run_until(partial(self.is_closed, another))
        slow.send_chunks(json.dumps(self.server_list(2, rev=9)))  # it is the watch from now on
        self.run_until(lambda: table.rev == 9)
        slow.sock.close()
        with mock.patch("heronstall.net.server_table.WATCH_TIMEOUT_US", 60_000):
            slow, later = self.accept(self.discovery), self.accept(self.discovery)
        slow.sock.sendall(busy)  # unusable, and no reason to close the other call
        self.run_until(partial(self.is_closed, slow))
        later.sock.sendall(STREAM)
        later.send_chunks(json.dumps(self.server_list(0, rev=10)))
        self.run_until(lambda: table.rev == 10)

    def test_two_silent_relays_delay_changes_by_less_than_two_seconds(
        self,
    ) -> None:
        relays = [open_listener() for _ in range(3)]
        table = self.frontend._dispatcher.table
        assert isinstance(table, server_table.ServerTable)
        table.sources = RelaysInTurn(relays)
        table.restart_watch()
        working, silent, updated = relays
        first = self.accept(working)
        first.sock.sendall(STREAM)
        first.send_chunks(json.dumps(self.server_list(0, 1, rev=4)))
        self.run_until(lambda: table.rev == 4)
        since = time.monotonic()
        silent_call = self.accept(silent)  # its connection opens, but nothing is received on it
        last = self.accept(updated)
        last.sock.sendall(STREAM)
        last.send_chunks(json.dumps(self.server_list(1, 2, rev=5)))
        self.run_until(lambda: table.rev == 5)
        self.assertLess(time.monotonic() - since, 2.0)
        self.run_until(partial(self.is_closed, silent_call))

    def test_backoff_from_an_overloaded_discovery_grows_with_the_clients_and_is_spread(self) -> None:
        def pauses(nodes: int, seed: str, header: bytes = b"") -> list[int]:
            recorded: list[int] = []

            def record_sleep(until: int) -> Coroutine[None]:
                recorded.append(until - self.loop.now)
                yield -1, 0, self.loop.now + 1

            raw = {**self.raw, "seed": seed, "settings": {**SETTINGS, "balancers": nodes}}
            with mock.patch("heronstall.net.server_table.sleep", record_sleep):
                table = server_table.ServerTable(configuration(raw), self.loop, 0, lambda event: None)
                table.start()
                for _ in range(7):
                    watch = self.accept(self.discovery)
                    watch.sock.sendall(b"HTTP/1.1 503 busy\r\n" + header + b"Content-Length: 0\r\n\r\n")
                    self.run_until(partial(self.is_closed, watch))
            assert table._watch is not None and table._watch.task is not None
            table._watch.task.kill()
            return recorded[:6]

        many, others, few = pauses(40, "1"), pauses(40, "2"), pauses(3, "1")
        self.assertGreater(sum(many) / len(many), 40 * 50_000)  # together at most about twenty calls a second
        self.assertLess(max(few), 2_000_000)  # a few dispatchers need not wait so long
        self.assertEqual(len({*many, *others}), len(many) + len(others))
        self.assertGreater(max(many) - min(many), 500_000)
        hinted = pauses(40, "1", b"Retry-After: 7\r\n")
        # The first refusal may affect only one call, and changes must be known within six seconds.
        self.assertTrue(2_000_000 < hinted[0] <= 4_500_000, hinted)
        self.assertTrue(min(hinted[1:]) >= 7_000_000 and max(hinted) <= 10_500_000, hinted)
        self.assertLess(max(pauses(3, "1", b"Retry-After: soon\r\n")), 2_000_000)

    def test_serves_with_the_known_list_if_discovery_is_silent(self) -> None:
        self.assertLessEqual(LIST_WAIT, 500_000)

        def healthy() -> bool:
            client = self.connect()
            client.sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            return self.response_status(client) == 200

        self.run_until(healthy)
        self.assertFalse(self.program.table.answered)

    def test_reopens_a_watch_that_misses_a_heartbeat_at_its_revision(self) -> None:
        self.assertLess(server_table.WATCH_TIMEOUT_US, 2 * server_table.HEARTBEAT_US)
        self.assertGreater(server_table.WATCH_TIMEOUT_US, server_table.HEARTBEAT_US)
        with mock.patch("heronstall.net.server_table.WATCH_TIMEOUT_US", 300_000):
            self.watch.sock.sendall(STREAM)
            self.watch.send_chunks(json.dumps(self.server_list(0, 1, rev=5)))
            again = self.accept(self.discovery)
            self.run_until(lambda: b"after=5 " in again.read())
        self.assertTrue(self.is_closed(self.watch))
        self.send_request()  # the table stays valid
        self.next_dispatch()

    def reload(self, **changes: Any) -> list[str]:
        """Reloads a changed file, with NODE_DISCOVERY as at the start; returns the log lines."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(json.dumps({**self.raw, **changes}))
            file.flush()
            logging.disable(logging.NOTSET)
            with self.assertLogs("heronstall") as logs:
                self.program.reload({"NODE_CONFIG": file.name, "NODE_DISCOVERY": address_of(self.discovery)})
        logging.disable(logging.CRITICAL)
        return logs.output

    def test_reload_keeps_the_table_and_the_old_watch_until_a_new_discovery_answers(
        self,
    ) -> None:
        table = self.program.table
        self.watch.sock.sendall(STREAM)
        self.watch.send_chunks(json.dumps(self.server_list(0, 1, rev=5)))
        self.run_until(lambda: table.answered)
        middle, new = open_listener(), open_listener()
        new_at = address_of(new)
        self.reload(discovery=address_of(middle))
        never_answers = self.accept(middle)
        new.close()
        # A second reload before the first has an answer; nothing listens there yet.
        self.reload(discovery=new_at)
        self.run_until(lambda: self.is_closed(never_answers))
        host, port = new_at.split(":")
        new = socket.create_server((host, int(port)))
        new.settimeout(0)
        started_at = time.monotonic()
        new_watch = self.accept(new)
        # The long pause applies only to an address that has answered.
        self.assertLess(time.monotonic() - started_at, 5)
        self.run_until(lambda: b"\r\n\r\n" in new_watch.read())
        # A revision of another service is not sent.
        self.assertIn(b"GET /v1/servers?watch=1 ", new_watch.received)
        self.assertFalse(self.watch.closed)
        # The old watch still counts.
        self.watch.send_chunks(json.dumps(self.server_list(2, rev=6, complete=False)))
        self.run_until(lambda: len(table.by_number) == 3)
        new_watch.sock.sendall(STREAM)
        new_watch.send_chunks(json.dumps(self.server_list(2, rev=1)))
        self.run_until(lambda: sum(s.off_since is None for s in table.by_number.values()) == 1)
        self.run_until(lambda: self.is_closed(self.watch))
        new_watch.sock.close()
        again = self.accept(new)
        self.run_until(lambda: b"after=1 " in again.read())
        self.assertFalse(select.select([self.discovery, middle], [], [], 0)[0])

    def test_reload_ignores_an_invalid_file_and_names_keys_that_need_a_restart(self) -> None:
        for changes, message in (
            ({"discovery": "nowhere"}, "discovery: 'nowhere' is not host:port"),
            ({"settings": {**SETTINGS, "tick": 0}}, "settings.tick"),
            ({"limits": {"sockets": 99}}, "the change of limits.sockets needs a restart"),
            (
                {"listen": "127.0.0.1:1", "settings": {**SETTINGS, "tick": 7}},
                "the change of listen needs a restart",
            ),
        ):
            self.assertIn(message, "\n".join(self.reload(**changes)))
        self.run_for(0.05)
        self.assertFalse(self.is_closed(self.watch))
        self.assertFalse(select.select([self.discovery], [], [], 0)[0])

    def test_a_server_may_return_at_another_address(self) -> None:
        server = next(s for s in self.frontend._dispatcher.table.by_number.values() if s.uid == "s-0")
        moved = self.server_list(0, rev=2, complete=False)
        moved["targets"][0] |= {"endpoint": address_of(self.servers[2]), "boot_ms": int(time.time() * 1000)}
        self.watch.sock.sendall(STREAM)
        self.watch.send_chunks(json.dumps(moved))
        self.run_until(lambda: server.endpoint == self.servers[2].getsockname())
        worker = cast(Balancer, self.frontend._dispatcher._balancer)._workers[server.number]
        # The start time is converted from Unix time to the event loop's time.
        self.assertLess(abs(worker.started_at - self.loop.now), 60_000_000)


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

    def test_exits_with_0_after_sigterm_and_with_2_for_an_invalid_configuration(self) -> None:
        ran = self.run_with(raw_config())
        assert ran.stderr is not None
        self.assertIn("listens on", ran.stderr.readline())
        for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            ran.send_signal(number)  # a reload neither ends the process nor prevents its end
        output = ran.communicate(timeout=60)[1]
        self.assertEqual(ran.returncode, 0)
        self.assertIn("configuration reloaded", output)
        self.assertIn("has answered all requests and exits", output)
        ran = self.run_with(raw_config(listen="nowhere"))
        self.assertIn("listen:", ran.communicate(timeout=60)[1])
        self.assertEqual(ran.returncode, 2)


class Components(unittest.TestCase):
    def test_event_of_a_closed_descriptor_never_reaches_a_new_owner_of_its_number(self) -> None:
        loop, seen = Loop(), []
        (a, far_a), (b, far_b) = socket.socketpair(), socket.socketpair()

        def reader(name: str, sock: socket.socket, other: socket.socket) -> Coroutine[None]:
            mask = yield sock.fileno(), READ, None
            seen.append(name)
            # The first reader to run closes the other one, whose event is in the same batch.
            if mask and other.fileno() >= 0:
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

    def test_buffer_grows_and_is_compacted_in_place(self) -> None:
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

    def test_line_over_the_limit_ends_its_connection(self) -> None:
        lines = LineSplitter(10)
        self.assertEqual(lines.feed(b"ab\n\ncd"), [b"ab"])
        self.assertEqual(lines.feed(b"ef\n"), [b"cdef"])
        with self.assertRaises(ConnectionEnded):
            lines.feed(b"x" * 11)

    def test_reads_reports_by_configured_and_by_default_names(self) -> None:
        slots = configuration(raw_config()).report_slots
        for values in (
            {"inflight": 7, "util": 0.6, "x0": 2},
            {"busy_reqs": 7, "cpu_share": 0.6, "x0": 2, "new": 1},
        ):
            report = read_report(slots, values)
            assert report is not None
            self.assertEqual((report.inflight, report.util, report.free_slots), (7.0, 0.6, 2.0))
        for invalid in ({"x0": -1}, {"x0": "2"}, {"x0": True}, {}, [2], None):
            self.assertIsNone(read_report(slots, invalid))

    def test_invalid_configuration_names_its_key(self) -> None:
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


class Observers(unittest.TestCase):
    def test_observers_see_every_turn_after_its_actions_and_failing_ones_are_removed(self) -> None:
        seen: list[str] = []
        decisions = mock.Mock()
        decisions.handle.side_effect = lambda now, batch: [i.Log("executed")]
        loop = Loop()
        dispatcher = Dispatcher(configuration(raw_config()), loop, decisions)
        failing, working = mock.Mock(), mock.Mock()
        dispatcher.observers += [failing, working]
        failing.observe.side_effect = lambda now, batch, actions: seen.append("observed")
        with self.assertLogs("heronstall.dispatcher") as logs:
            for failure in (None, RuntimeError("full"), None):
                if failure is not None:
                    failing.observe.side_effect = failure
                dispatcher.post(i.Timer())
                loop.turn(0)
        self.assertEqual(seen, ["observed"])
        self.assertEqual(dispatcher.observers, [working])
        self.assertEqual(working.observe.call_count, 3)
        self.assertEqual(sum("executed" in line for line in logs.output), 3)
