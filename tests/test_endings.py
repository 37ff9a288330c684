"""Tests of connections, clients and processes that end at a bad moment, forced on real connections."""

from __future__ import annotations

import contextlib
import errno
import json
import os
import signal
import socket
import time
from types import SimpleNamespace
from typing import Any
from unittest import mock

from heronstall.config import Address
from heronstall.net import backend, connection, server_table
from heronstall.net.connection import Connection
from heronstall.net.loop import READ, Coroutine, Loop
from tests.test_net import SETTINGS, STREAM, DispatcherTestCase, RawConnection

DONE = '{"id":"%s","state":"done","result":"of %s"}'


def answer(name: str) -> bytes:
    """Returns a complete response to a job."""
    line = (DONE % (name, name)).encode() + b"\n"
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line)


class DelayedConnects:
    """Delays connects to backend servers until they are released."""

    def __init__(self) -> None:
        self.count = 0
        self.released = False

    def connect(
        self, loop: Loop, address: Address, until: int, source_host: str = ""
    ) -> Coroutine[Connection]:
        """Replaces `heronstall.net.backend.connect`."""
        self.count += 1
        while not self.released:
            yield -1, 0, loop.now + 1_000
        return (yield from connection.connect(loop, address, until + 1_000_000, source_host))


class EndingsTestCase(DispatcherTestCase):
    def open_idle_connections(self, count: int = 2) -> None:
        """Opens an idle connection to each of `count` servers."""
        by_server: dict[Any, RawConnection] = {}
        clients: list[tuple[RawConnection, str]] = []
        while len(by_server) < count:
            name = f"warm-{len(clients)}"
            client = self.send_request(name=name)
            clients.append((client, name))
            end = self.next_dispatch()
            by_server.setdefault(end.sock.getsockname(), end)
            end.sock.sendall(STREAM)
            end.name = name  # type: ignore[attr-defined]
            if len(clients) > 20:
                self.fail("the worker selection never chose another server")
        for end in self.server_ends:
            name = getattr(end, "name", "")
            if name:
                end.send_chunks(DONE % (name, name))
                end.sock.sendall(b"0\r\n\r\n")
        for client, name in clients:
            self.run_until(lambda c=client, n=name: c.read().endswith(f"of {n}".encode()))  # type: ignore[misc]
            client.sock.close()
        self.run_for(0.01)

    def count_requests(self) -> int:
        """Counts the jobs that have been written to servers and not taken by `next_dispatch`."""
        for sock in self.servers:
            with contextlib.suppress(BlockingIOError):
                while True:
                    self.server_ends.append(RawConnection(sock.accept()[0]))
        return sum(end.read().count(b"POST ") for end in self.server_ends if end.sock.fileno() >= 0)


class LeavingClients(EndingsTestCase):
    def test_starts_no_attempt_for_a_client_that_closes_before_it_is_accepted(self) -> None:
        self.open_idle_connections()
        client = self.connect()
        self.send_request(peer=client)
        client.sock.close()  # request and close are in the kernel before the connection is accepted
        self.run_for(0.1)
        self.assertEqual(self.count_requests(), 0)

    def test_starts_no_attempt_for_a_client_that_leaves_during_the_connect(self) -> None:
        delayed = DelayedConnects()
        with mock.patch.object(backend, "connect", delayed.connect):
            client = self.send_request()
            self.run_until(lambda: delayed.count)
            # The loop receives the end of the connect and the client's close in one batch, the close last.
            with mock.patch.object(self.frontend._dispatcher, "client_gone", lambda session: None):
                client.sock.close()
                delayed.released = True
                self.run_for(0.1)
        self.assertEqual(self.count_requests(), 0)


class WithoutCancelling(EndingsTestCase):
    settings = {**SETTINGS, "policyLimits": {**SETTINGS["policyLimits"], "cancelling": False}}

    def test_starts_no_attempt_for_a_client_that_has_left(self) -> None:
        delayed = DelayedConnects()
        with mock.patch.object(backend, "connect", delayed.connect):
            client = self.send_request()
            self.run_until(lambda: delayed.count)
            client.sock.close()
            self.run_for(0.05)
            delayed.released = True
            self.run_for(0.1)
        self.assertEqual(self.count_requests(), 0)


class ShortWindow(EndingsTestCase):
    settings = {
        **SETTINGS,
        "policyLimits": {**SETTINGS["policyLimits"], "connectTimeout": 3_000_000},
        "services": [SETTINGS["services"][0], {**SETTINGS["services"][1], "repeatWindow": 600_000}],
    }

    def test_writes_no_second_attempt_after_the_window_even_if_decided_before(self) -> None:
        started_at = time.monotonic()
        client = self.send_request("keyed")
        first = self.next_dispatch()
        self.run_for(0.05)  # the probes are answered
        self.program._pool.close_idle()  # the next attempt needs a new connection
        delayed = DelayedConnects()
        with mock.patch.object(backend, "connect", delayed.connect):
            first.sock.sendall(b"HTTP/1.1 500 broken\r\nContent-Length: 0\r\n\r\n")
            self.run_until(lambda: delayed.count)  # another server is chosen, within the window
            self.assertLess(time.monotonic() - started_at, 0.5)
            self.run_for(started_at + 0.65 - time.monotonic())
            delayed.released = True
            # Of group `all`: the client may send it again.
            self.assertEqual(self.response_status(client), 503)
        self.run_for(0.05)
        self.assertEqual(self.count_requests(), 0)

    def test_repeats_a_keyed_job_within_its_window(self) -> None:
        client = self.send_request("keyed")
        self.next_dispatch().sock.sendall(b"HTTP/1.1 500 broken\r\nContent-Length: 0\r\n\r\n")
        second = self.next_dispatch()
        second.sock.sendall(answer("id-1"))
        self.assertEqual(self.response_status(client), 200)


class ConcurrentAttempts(EndingsTestCase):
    settings = {**SETTINGS, "familyInfo": {**SETTINGS["familyInfo"], "tellsStart": False}}

    def test_ends_an_attempt_before_the_next_one_is_written_in_the_same_turn(self) -> None:
        self.open_idle_connections()
        with mock.patch.object(self.loop, "_close_pending", lambda: None):  # the turn never ends
            self.send_request("keyed", wait="0.8")
            first = self.next_dispatch()
            second = self.next_dispatch()  # after the timeout of the first one
            self.assertIsNot(first, second)
            self.assertTrue(self.is_closed(first))


class StaleAnswers(EndingsTestCase):
    def test_a_second_response_is_not_read_as_that_of_the_next_request(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.send_chunks(json.dumps(self.server_list(0, rev=5)))  # no other server to select
        self.run_until(lambda: self.program.table.rev == 5)
        first = self.send_request(name="id-1")
        end = self.next_dispatch()
        end.sock.sendall(
            answer("id-1") + b"HTTP/1.1 503 full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(self.response_status(first), 200)
        self.run_for(2 * backend.REUSE_DELAY_US / 1e6)
        second = self.send_request(name="id-2")
        other = self.next_dispatch()
        self.assertIsNot(end, other)
        other.sock.sendall(answer("id-2"))
        self.assertEqual(self.response_status(second), 200)

    def test_a_late_second_response_is_not_read_as_that_of_the_next_request(self) -> None:
        first = self.send_request(name="id-1")
        end = self.next_dispatch()
        end.sock.sendall(b"HTTP/1.1 503 full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
        other = self.next_dispatch()
        other.sock.sendall(answer("id-1"))
        self.assertEqual(self.response_status(first), 200)
        # No request that is sent before the late response arrives may be on that connection.
        clients = [self.send_request(name=f"id-{n}") for n in range(2, 6)]
        for _ in clients:
            dispatch = self.next_dispatch()
            self.assertIsNot(dispatch, end)
        end.sock.sendall(b"HTTP/1.1 503 full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")


class MalformedLines(EndingsTestCase):
    def test_malformed_lines_affect_at_most_their_own_job(self) -> None:
        client = self.send_request(name="id-1")
        end = self.next_dispatch()
        end.sock.sendall(STREAM)
        end.send_chunks('{"id":"id-1","state":"running","share":1' + "0" * 400 + "}")
        end.send_chunks('{"id":"id-1","state":"running","share":"half"}')
        end.send_chunks(DONE % ("id-1", "id-1"))
        self.assertEqual(self.response_status(client), 200)
        for line in ('{"id":"id-2","state":["done"]}', '{"id":"id-2","state":"done","result":"\\ud800"}'):
            with self.subTest(line), mock.patch.object(backend, "log_event") as logged:
                client = self.send_request(name="id-2" if "[" in line else "id-3")
                end = self.next_dispatch()
                end.sock.sendall(STREAM)
                end.send_chunks(line if "[" in line else line.replace("id-2", "id-3"))
                self.assertEqual(self.response_status(client), 500)
                self.assertEqual([call.args[1].name for call in logged.call_args_list], ["backend.malformed"])


class NoDescriptors(EndingsTestCase):
    def fail_sockets(self, failures: int) -> contextlib.AbstractContextManager[object]:
        """Makes the dispatcher's next calls for a client socket fail."""
        remaining = [None] * failures

        def make_socket(*args: Any, **options: Any) -> socket.socket:
            if remaining:
                remaining.pop()
                raise OSError(errno.EMFILE, "too many open files")
            return socket.socket(*args, **options)

        return mock.patch.object(
            connection, "socket", SimpleNamespace(**{**vars(socket), "socket": make_socket})
        )

    def test_repeats_an_attempt_that_got_no_socket(self) -> None:
        with self.fail_sockets(1):
            client = self.send_request()
            self.next_dispatch().sock.sendall(answer("id-1"))
            self.assertEqual(self.response_status(client), 200)

    def test_watch_survives_a_call_that_got_no_socket(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.send_chunks(json.dumps(self.server_list(0, 1, rev=5)))
        table = self.program.table
        self.run_until(lambda: table.rev == 5)
        with self.fail_sockets(3):
            self.watch.sock.close()
            again = self.accept(self.discovery)
        self.run_until(lambda: b"after=5 " in again.read())  # the watch continues at its revision


class Shutdown(EndingsTestCase):
    def begin_shutdown(self) -> None:
        """Starts the shutdown, as a signal does."""
        self.program.shutdown.stop()

    def test_answers_a_request_that_is_incomplete_when_clients_are_closed(self) -> None:
        client = self.connect()
        self.clients.append(client)
        text = (
            b"POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: id-1\r\nReq-Kind: unsafe\r\nReq-Deadline: 9.0\r\n"
            b"Content-Length: 3\r\n\r\npay"
        )
        self.begin_shutdown()
        self.run_for(0.6)
        client.sock.sendall(text[:50])
        self.run_until(lambda: self.program.shutdown.closing_connections)
        self.run_for(0.05)
        self.assertFalse(self.is_closed(client))
        client.sock.sendall(text[50:])
        self.next_dispatch().sock.sendall(answer("id-1"))
        self.assertEqual(self.response_status(client), 200)
        self.assertIn(b"Connection: close", client.received)

    def test_connection_that_becomes_idle_while_closing_does_not_delay_the_exit(self) -> None:
        client = self.send_request()
        end = self.next_dispatch()
        self.frontend._closing = True  # this connection was not idle when the others were closed
        end.sock.sendall(answer("id-1"))
        self.assertEqual(self.response_status(client), 200)
        self.assertNotIn(b"Connection: close", client.received)
        started_at = time.monotonic()
        self.run_until(lambda: self.is_closed(client))
        self.assertLess(time.monotonic() - started_at, 4)

    def test_request_that_crosses_the_close_of_an_idle_connection_gets_no_reset(self) -> None:
        client = self.connect()
        self.run_until(lambda: self.frontend._unproven)
        is_quiet = Connection.is_quiet

        def check_then_receive(connection: Connection) -> bool:
            quiet = is_quiet(connection)
            with contextlib.suppress(OSError):
                client.sock.send(b"POST /api HTTP/1.1\r\n")  # after the check, before the close
            return quiet

        with mock.patch.object(Connection, "is_quiet", check_then_receive):
            self.frontend._begin_closing()
        self.run_for(0.05)
        self.assertEqual(client.sock.recv(10), b"")  # not a reset

    def test_timed_out_idle_connection_is_closed_without_a_reset(self) -> None:
        with mock.patch("heronstall.net.frontend.REQUEST_TIMEOUT_US", 50_000):
            client = self.connect()
            self.run_until(lambda: self.frontend._unproven)
            time.sleep(0.1)  # the timeout passes before the data is read
            client.sock.send(b"POST /api HTTP/1.1\r\n")
            # The loop sees the event of these bytes one turn after the timeout.
            waiting, self.loop._waiting_tasks = self.loop._waiting_tasks, {}
            self.loop.turn(0.0)
            self.loop._waiting_tasks = waiting
            self.run_for(0.05)
        self.assertIn(client.sock.recv(10), (b"", b"HTTP/1.1 4"))

    def test_answers_pipelined_requests_before_closing_their_connection(self) -> None:
        client = self.connect()
        self.clients.append(client)
        head = b"POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: id-%d\r\nReq-Kind: unsafe\r\nReq-Deadline: 9.0\r\n"
        request = head + b"Content-Length: 3\r\n\r\npay"
        client.sock.sendall(b"".join(request % n for n in range(3)))
        first = self.next_dispatch()
        self.begin_shutdown()
        self.run_until(lambda: self.program.shutdown.closing_connections)
        for n in range(3):
            end = first if n == 0 else self.next_dispatch()
            end.sock.sendall(answer(f"id-{n}"))
        self.run_until(lambda: self.is_closed(client))
        self.assertEqual(client.received.count(b"HTTP/1.1 200 "), 3)
        self.assertEqual(client.received.count(b"Connection: close"), 1)

    def test_connection_closed_to_make_room_still_delivers_its_last_answer(self) -> None:
        client = self.connect()
        client.sock.sendall(b"nonsense\r\n\r\n")
        self.run_until(lambda: self.frontend._lingering)
        client.sock.sendall(b"more nonsense that nobody has read")
        self.assertTrue(self.frontend._make_room())
        self.run_for(0.02)
        received = b""
        while data := client.sock.recv(4096):  # a reset would raise
            received += data
        self.assertTrue(received.startswith(b"HTTP/1.1 400 "))
        self.assertEqual(client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), 0)  # no reset arrived


class Signals(EndingsTestCase):
    def send(self, sender: socket.socket, number: int) -> None:
        sender.send(bytes([number]))

    def test_signals_work_after_a_reload_that_fails_unexpectedly(self) -> None:
        wakeup, sender = socket.socketpair()
        wakeup.setblocking(False)
        self.loop.spawn(self.program.handle_signals(wakeup), "signals")
        with mock.patch("heronstall.__main__.reload", side_effect=RuntimeError("unexpected")):
            self.send(sender, signal.SIGHUP)
            self.run_for(0.02)
        self.send(sender, signal.SIGTERM)
        self.run_until(lambda: self.program.shutdown.unavailable)
        sender.close()
        wakeup.close()


class LoopErrors(EndingsTestCase):
    def test_wait_that_epoll_rejects_ends_only_its_coroutine(self) -> None:
        closed: list[str] = []
        # Ends of probes, which would take the descriptors otherwise.
        self.server_ends += [self.accept(*self.servers) for _ in range(2)]
        # Freed for the client, so that the dispatcher's end gets a descriptor that `wait` had.
        lower = os.dup(0)

        def wait() -> Coroutine[None]:
            ours, theirs = socket.socketpair()
            theirs.send(b"x")
            try:
                yield ours.fileno(), READ, None  # resumed by an event, not by a callback
                number = os.dup(0)
                os.close(number)
                yield number, READ, None
            finally:
                closed.append("ended")
                self.loop.close(ours)  # through the loop, which must forget the registered descriptor
                theirs.close()

        self.loop.spawn(wait(), "a wait for a closed descriptor")
        self.run_for(0.02)
        self.assertEqual(closed, ["ended"])
        os.close(lower)
        self.send_request()
        self.next_dispatch()


class ServerLists(EndingsTestCase):
    def serving(self) -> set[str]:
        """Returns the ids of the servers that may get requests."""
        table = self.program.table
        return {server.uid for server in table.by_number.values() if server.off_since is None}

    def test_reads_an_indented_list_and_requests_an_incomplete_one_again(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.send_chunks(json.dumps(self.server_list(2, rev=5), indent=2))
        self.run_until(lambda: self.serving() == {"s-2"})
        text = json.dumps(self.server_list(0, 2, rev=6), indent=2)
        self.watch.send_chunks(text[:60])  # followed only by heartbeats
        self.watch.send_chunks("")
        again = self.accept(self.discovery)
        self.run_until(lambda: b"watch=1 " in again.read())  # the complete list
        again.sock.sendall(STREAM)
        for line in text.splitlines():
            again.send_chunks(line)
        self.run_until(lambda: self.serving() == {"s-0", "s-2"})

    def test_requests_the_list_again_if_a_watch_falls_silent_inside_it(self) -> None:
        self.watch.sock.sendall(STREAM)
        with mock.patch.object(server_table, "WATCH_TIMEOUT_US", 100_000):
            self.watch.send_chunks('{"rev": 7, "all": true, "targets": [')
            again = self.accept(self.discovery)
            self.run_until(lambda: b"watch=1 " in again.read())
        self.assertEqual(self.serving(), {"s-0", "s-1"})

    def test_an_older_list_does_not_reactivate_a_server(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.send_chunks(json.dumps(self.server_list(0, 1, 2, rev=8)))
        self.watch.send_chunks(json.dumps(self.server_list(0, rev=9, complete=False, state="DRAINING")))
        self.run_until(lambda: self.serving() == {"s-1", "s-2"})
        self.watch.sock.close()
        again = self.accept(self.discovery)
        again.sock.sendall(STREAM)
        # From an instance of discovery that lags behind.
        again.send_chunks(json.dumps(self.server_list(0, 1, 2, rev=8)))
        self.run_for(0.05)
        self.assertEqual(self.serving(), {"s-1", "s-2"})
        again.send_chunks(json.dumps(self.server_list(0, rev=10, complete=False)))  # the drain has ended
        self.run_until(lambda: self.serving() == {"s-0", "s-1", "s-2"})

    def test_a_restarted_server_is_active_whatever_the_revision(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.send_chunks(json.dumps(self.server_list(0, rev=9, complete=False, state="DRAINING")))
        self.run_until(lambda: self.serving() == {"s-1"})
        restarted = self.server_list(0, rev=3, complete=False)
        restarted["targets"][0]["boot_ms"] = 5
        self.watch.send_chunks(json.dumps(restarted))
        self.run_until(lambda: self.serving() == {"s-0", "s-1"})


class WaitingRequests(EndingsTestCase):
    def test_never_sends_a_waiting_job_whose_client_has_left(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.send_chunks(json.dumps(self.server_list(0, 1, rev=5, state="DRAINING")))
        self.run_until(lambda: self.program.table.rev == 5)
        client = self.send_request()
        self.run_for(0.05)
        self.assertEqual(client.read(), b"")  # the request waits
        client.sock.close()
        self.run_for(0.02)
        self.watch.send_chunks(json.dumps(self.server_list(0, 1, rev=6)))
        self.run_for(0.4)
        self.assertEqual(self.count_requests(), 0)

    def test_a_further_attempt_gets_the_time_that_is_left_to_the_client(self) -> None:
        client = self.send_request("keyed", wait="3.0")
        first = self.next_dispatch()
        self.run_for(0.5)
        first.sock.sendall(b"HTTP/1.1 500 broken\r\nContent-Length: 0\r\n\r\n")
        second = self.next_dispatch()
        deadlines = [
            float(end.request.split(b"Req-Deadline: ")[1].split(b"\r\n")[0]) for end in (first, second)
        ]
        self.assertLessEqual(deadlines[0], 3.0)
        self.assertLessEqual(deadlines[1], 2.5)
        second.sock.sendall(answer("id-1"))
        self.assertEqual(self.response_status(client), 200)


class FullDescriptors(EndingsTestCase):
    sockets = 64  # 12 on each side

    def test_serves_while_idle_clients_fill_the_descriptors_and_discovery_is_down(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.send_chunks(json.dumps(self.server_list(0, rev=5)))
        self.run_until(lambda: self.program.table.rev == 5)
        host, port = self.discovery.getsockname()
        self.discovery.close()
        self.watch.sock.close()
        idle_clients = [self.connect() for _ in range(100)]
        self.run_for(0.5)
        client = self.send_request()  # among the idle clients, with the current list
        self.next_dispatch().sock.sendall(answer("id-1"))
        self.assertEqual(self.response_status(client), 200)
        self.discovery = socket.create_server((host, port))
        self.discovery.settimeout(0)
        again = self.accept(self.discovery)
        self.run_until(lambda: b"after=5 " in again.read())
        again.sock.sendall(STREAM)
        again.send_chunks(json.dumps(self.server_list(1, rev=6)))
        self.run_until(lambda: self.program.table.rev == 6)
        client = self.send_request(name="id-2")
        end = self.next_dispatch()
        self.assertEqual(end.sock.getsockname(), self.servers[1].getsockname())
        end.sock.sendall(answer("id-2"))
        self.assertEqual(self.response_status(client), 200)
        for peer in idle_clients:
            peer.sock.close()
