"""What is still owed when something ends: each bad order is forced, on real connections."""

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
from tests.test_net import SETTINGS, STREAM, Peer, Story

DONE = '{"id":"%s","state":"done","result":"of %s"}'


def answer(name: str) -> bytes:
    """A whole answer to a job."""
    line = (DONE % (name, name)).encode() + b"\n"
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line)


class HeldConnects:
    """Holds connects to backend servers back until they are let go."""

    def __init__(self) -> None:
        self.held = 0
        self.free = False

    def connect(self, loop: Loop, to: Address, until: int, host: str = "") -> Coroutine[Connection]:
        """In the place of `heronstall.net.backend.connect`."""
        self.held += 1
        while not self.free:
            yield -1, 0, loop.now + 1_000
        return (yield from connection.connect(loop, to, until + 1_000_000, host))


class Endings(Story):
    def warm(self, count: int = 2) -> None:
        """Have one connection idle to each of so many servers."""
        held: dict[Any, Peer] = {}
        clients: list[tuple[Peer, str]] = []
        while len(held) < count:
            name = f"warm-{len(clients)}"
            client = self.ask(name=name)
            clients.append((client, name))
            end = self.dispatched()
            held.setdefault(end.sock.getsockname(), end)
            end.sock.sendall(STREAM)
            end.name = name  # type: ignore[attr-defined]
            if len(clients) > 20:
                self.fail("the draw never took another server")
        for end in self.ends:
            name = getattr(end, "name", "")
            if name:
                end.say(DONE % (name, name))
                end.sock.sendall(b"0\r\n\r\n")
        for client, name in clients:
            self.spin(lambda c=client, n=name: c.read().endswith(f"of {n}".encode()))  # type: ignore[misc]
            client.sock.close()
        self.rest(0.01)

    def posts(self) -> int:
        """Jobs that have been written to servers and not looked at yet."""
        for sock in self.servers:
            with contextlib.suppress(BlockingIOError):
                while True:
                    self.ends.append(Peer(sock.accept()[0]))
        return sum(end.read().count(b"POST ") for end in self.ends if end.sock.fileno() >= 0)


class GoneClients(Endings):
    def test_no_attempt_begins_for_a_client_that_has_closed_before_it_is_read(self) -> None:
        self.warm()
        client = self.client()
        self.ask(peer=client)
        client.sock.close()  # request and close lie in the kernel before the node takes the connection
        self.rest(0.1)
        self.assertEqual(self.posts(), 0)

    def test_no_attempt_begins_for_a_client_that_leaves_while_its_connection_is_made(self) -> None:
        held = HeldConnects()
        with mock.patch.object(backend, "connect", held.connect):
            client = self.ask()
            self.spin(lambda: held.held)
            # The end of the connect and the client's close are told in one batch, that of the close last.
            with mock.patch.object(self.front._dispatcher, "client_gone", lambda session: None):
                client.sock.close()
                held.free = True
                self.rest(0.1)
        self.assertEqual(self.posts(), 0)


class Uncancelled(Endings):
    settings = {**SETTINGS, "policyLimits": {**SETTINGS["policyLimits"], "cancelling": False}}

    def test_where_nothing_may_be_cancelled_no_attempt_begins_for_a_client_that_has_left(self) -> None:
        held = HeldConnects()
        with mock.patch.object(backend, "connect", held.connect):
            client = self.ask()
            self.spin(lambda: held.held)
            client.sock.close()
            self.rest(0.05)
            held.free = True
            self.rest(0.1)
        self.assertEqual(self.posts(), 0)


class ShortWindow(Endings):
    settings = {
        **SETTINGS,
        "policyLimits": {**SETTINGS["policyLimits"], "connectTimeout": 3_000_000},
        "services": [SETTINGS["services"][0], {**SETTINGS["services"][1], "repeatWindow": 600_000}],
    }

    def test_a_keyed_job_is_not_written_again_after_its_window_though_it_was_decided_on_before(self) -> None:
        began = time.monotonic()
        client = self.ask("keyed")
        first = self.dispatched()
        self.rest(0.05)  # what else was asked of the servers is over
        self.program._pool.rest()  # the next attempt needs a new connection
        held = HeldConnects()
        with mock.patch.object(backend, "connect", held.connect):
            first.sock.sendall(b"HTTP/1.1 500 broken\r\nContent-Length: 0\r\n\r\n")
            self.spin(lambda: held.held)  # another server is decided on, within the window
            self.assertLess(time.monotonic() - began, 0.5)
            self.rest(began + 0.65 - time.monotonic())
            held.free = True
            self.assertEqual(self.status(client), 503)  # of group `all`: to hand it in anew is harmless
        self.rest(0.05)
        self.assertEqual(self.posts(), 0)

    def test_a_keyed_job_goes_again_within_its_window(self) -> None:
        client = self.ask("keyed")
        self.dispatched().sock.sendall(b"HTTP/1.1 500 broken\r\nContent-Length: 0\r\n\r\n")
        second = self.dispatched()
        second.sock.sendall(answer("id-1"))
        self.assertEqual(self.status(client), 200)


class SecondCopies(Endings):
    settings = {**SETTINGS, "familyInfo": {**SETTINGS["familyInfo"], "tellsStart": False}}

    def test_an_attempt_is_told_off_before_the_next_one_is_written_within_one_batch(self) -> None:
        self.warm()
        with mock.patch.object(self.loop, "_close_all", lambda: None):  # the batch never comes to its end
            self.ask("keyed", wait="0.8")
            first = self.dispatched()
            second = self.dispatched()  # after the first one's time-out
            self.assertIsNot(first, second)
            self.assertTrue(self.gone(first))


class StaleAnswers(Endings):
    def test_an_answer_behind_the_answer_is_not_read_as_the_next_requests(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.say(json.dumps(self.table(0, rev=5)))  # no other server to draw
        self.spin(lambda: self.program.table.rev == 5)
        first = self.ask(name="id-1")
        end = self.dispatched()
        end.sock.sendall(
            answer("id-1") + b"HTTP/1.1 503 full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(self.status(first), 200)
        self.rest(2 * backend.SETTLE_TIME / 1e6)
        second = self.ask(name="id-2")
        other = self.dispatched()
        self.assertIsNot(end, other)
        other.sock.sendall(answer("id-2"))
        self.assertEqual(self.status(second), 200)

    def test_a_second_answer_some_milliseconds_late_is_not_read_as_the_next_requests(self) -> None:
        first = self.ask(name="id-1")
        end = self.dispatched()
        end.sock.sendall(b"HTTP/1.1 503 full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
        other = self.dispatched()
        other.sock.sendall(answer("id-1"))
        self.assertEqual(self.status(first), 200)
        # Whatever goes out before the late answer comes must not be on that connection.
        asked = [self.ask(name=f"id-{n}") for n in range(2, 6)]
        for _ in asked:
            written = self.dispatched()
            self.assertIsNot(written, end)
        end.sock.sendall(b"HTTP/1.1 503 full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")


class Spoilt(Endings):
    def test_absurd_lines_spoil_their_own_job_at_the_most(self) -> None:
        client = self.ask(name="id-1")
        end = self.dispatched()
        end.sock.sendall(STREAM)
        end.say('{"id":"id-1","state":"running","share":1' + "0" * 400 + "}")
        end.say('{"id":"id-1","state":"running","share":"half"}')
        end.say(DONE % ("id-1", "id-1"))
        self.assertEqual(self.status(client), 200)
        for line in ('{"id":"id-2","state":["done"]}', '{"id":"id-2","state":"done","result":"\\ud800"}'):
            with self.subTest(line), mock.patch.object(backend, "log_event") as logged:
                client = self.ask(name="id-2" if "[" in line else "id-3")
                end = self.dispatched()
                end.sock.sendall(STREAM)
                end.say(line if "[" in line else line.replace("id-2", "id-3"))
                self.assertEqual(self.status(client), 500)
                self.assertEqual([call.args[1].name for call in logged.call_args_list], ["backend.malformed"])


class NoDescriptors(Endings):
    def run_out(self, failures: int) -> contextlib.AbstractContextManager[object]:
        """Fail the node's next calls for a socket of its own."""
        left = [None] * failures

        def make(*args: Any, **options: Any) -> socket.socket:
            if left:
                left.pop()
                raise OSError(errno.EMFILE, "too many open files")
            return socket.socket(*args, **options)

        return mock.patch.object(connection, "socket", SimpleNamespace(**{**vars(socket), "socket": make}))

    def test_an_attempt_for_which_no_socket_can_be_had_has_not_run_and_goes_again(self) -> None:
        with self.run_out(1):
            client = self.ask()
            self.dispatched().sock.sendall(answer("id-1"))
            self.assertEqual(self.status(client), 200)

    def test_the_watch_survives_a_call_for_which_no_socket_can_be_had(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.say(json.dumps(self.table(0, 1, rev=5)))
        table = self.program.table
        self.spin(lambda: table.rev == 5)
        with self.run_out(3):
            self.watch.sock.close()
            again = self.accept(self.discovery)
        self.spin(lambda: b"after=5 " in again.read())  # nothing that it was told is forgotten


class OnTheWayOut(Endings):
    def leave(self) -> None:
        self.program.shutdown.begin()

    def test_a_request_that_is_half_read_when_clients_are_closed_is_answered(self) -> None:
        client = self.client()
        self.clients.append(client)
        text = (
            b"POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: id-1\r\nReq-Kind: unsafe\r\nReq-Deadline: 9.0\r\n"
            b"Content-Length: 3\r\n\r\npay"
        )
        self.leave()
        self.rest(0.6)
        client.sock.sendall(text[:50])
        self.spin(lambda: self.program.shutdown.closing_connections)
        self.rest(0.05)
        self.assertFalse(self.gone(client))
        client.sock.sendall(text[50:])
        self.dispatched().sock.sendall(answer("id-1"))
        self.assertEqual(self.status(client), 200)
        self.assertIn(b"Connection: close", client.got)

    def test_a_connection_that_comes_to_rest_after_the_close_does_not_hold_the_exit(self) -> None:
        client = self.ask()
        end = self.dispatched()
        self.front._closing = True  # this connection was not at rest when the others were closed
        end.sock.sendall(answer("id-1"))
        self.assertEqual(self.status(client), 200)
        self.assertNotIn(b"Connection: close", client.got)
        began = time.monotonic()
        self.spin(lambda: self.gone(client))
        self.assertLess(time.monotonic() - began, 4)

    def test_a_request_that_crosses_the_close_of_a_resting_connection_meets_no_reset(self) -> None:
        client = self.client()
        self.spin(lambda: self.front._unproven)
        fresh = Connection.fresh

        def crossed(resting: Connection) -> bool:
            free = fresh(resting)
            with contextlib.suppress(OSError):
                client.sock.send(b"POST /api HTTP/1.1\r\n")  # after the look, before the close
            return free

        with mock.patch.object(Connection, "fresh", crossed):
            self.front._close_up()
        self.rest(0.05)
        self.assertEqual(client.sock.recv(10), b"")  # not a reset

    def test_an_idle_connection_whose_time_is_over_is_closed_without_a_reset(self) -> None:
        with mock.patch("heronstall.net.frontend.REQUEST_TIME", 50_000):
            client = self.client()
            self.spin(lambda: self.front._unproven)
            time.sleep(0.1)  # its time is over before its bytes are looked at
            client.sock.send(b"POST /api HTTP/1.1\r\n")
            waiting, self.loop._waiting = self.loop._waiting, {}  # and its event comes a batch later
            self.loop.turn(0.0)
            self.loop._waiting = waiting
            self.rest(0.05)
        self.assertIn(client.sock.recv(10), (b"", b"HTTP/1.1 4"))

    def test_requests_sent_behind_another_one_are_answered_before_the_connection_is_closed(self) -> None:
        client = self.client()
        self.clients.append(client)
        head = b"POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: id-%d\r\nReq-Kind: unsafe\r\nReq-Deadline: 9.0\r\n"
        one = head + b"Content-Length: 3\r\n\r\npay"
        client.sock.sendall(b"".join(one % n for n in range(3)))
        first = self.dispatched()
        self.leave()
        self.spin(lambda: self.program.shutdown.closing_connections)
        for n in range(3):
            end = first if n == 0 else self.dispatched()
            end.sock.sendall(answer(f"id-{n}"))
        self.spin(lambda: self.gone(client))
        self.assertEqual(client.got.count(b"HTTP/1.1 200 "), 3)
        self.assertEqual(client.got.count(b"Connection: close"), 1)

    def test_a_connection_given_up_for_room_keeps_its_last_answer(self) -> None:
        client = self.client()
        client.sock.sendall(b"nonsense\r\n\r\n")
        self.spin(lambda: self.front._lingering)
        client.sock.sendall(b"more nonsense that nobody has read")
        self.assertTrue(self.front._make_room())
        self.rest(0.02)
        got = b""
        while more := client.sock.recv(4096):  # a reset would raise
            got += more
        self.assertTrue(got.startswith(b"HTTP/1.1 400 "))
        self.assertEqual(client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), 0)  # no reset came


class Signals(Endings):
    def send(self, waker: socket.socket, number: int) -> None:
        waker.send(bytes([number]))

    def test_a_reload_that_fails_unexpectedly_leaves_later_signals_their_effect(self) -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        self.loop.spawn(self.program.handle_signals(ours), "signals")
        with mock.patch("heronstall.__main__.reload", side_effect=RuntimeError("absurd file")):
            self.send(theirs, signal.SIGHUP)
            self.rest(0.02)
        self.send(theirs, signal.SIGTERM)
        self.spin(lambda: self.program.shutdown.unavailable)
        theirs.close()
        ours.close()


class LoopErrors(Endings):
    def test_a_wait_that_cannot_be_armed_ends_its_coroutine_alone(self) -> None:
        closed: list[str] = []
        self.ends += [self.accept(*self.servers) for _ in range(2)]  # probes' ends, or they take the numbers
        lower = os.dup(0)  # its number goes to the client, so that the node's end gets one that `wait` had

        def wait() -> Coroutine[None]:
            ours, theirs = socket.socketpair()
            theirs.send(b"x")
            try:
                yield ours.fileno(), READ, None  # resumed by an event, not by a call of the loop
                number = os.dup(0)
                os.close(number)
                yield number, READ, None
            finally:
                closed.append("ended")
                self.loop.close(ours)  # what waited is closed through the loop, or its number stays "known"
                theirs.close()

        self.loop.spawn(wait(), "a wait for a descriptor that is closed")
        self.rest(0.02)
        self.assertEqual(closed, ["ended"])
        os.close(lower)
        self.ask()
        self.dispatched()


class Lists(Endings):
    def served(self) -> set[str]:
        table = self.program.table
        return {server.uid for server in table.by_number.values() if server.off_since is None}

    def test_an_indented_list_is_read_and_one_that_is_cut_is_asked_for_again(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.say(json.dumps(self.table(2, rev=5), indent=2))
        self.spin(lambda: self.served() == {"s-2"})
        text = json.dumps(self.table(0, 2, rev=6), indent=2)
        self.watch.say(text[:60])  # and then only heartbeats
        self.watch.say("")
        again = self.accept(self.discovery)
        self.spin(lambda: b"watch=1 " in again.read())  # the whole list
        again.sock.sendall(STREAM)
        for line in text.splitlines():
            again.say(line)
        self.spin(lambda: self.served() == {"s-0", "s-2"})

    def test_a_cut_list_on_a_watch_that_falls_silent_is_asked_for_again(self) -> None:
        self.watch.sock.sendall(STREAM)
        with mock.patch.object(server_table, "SILENCE", 100_000):
            self.watch.say('{"rev": 7, "all": true, "targets": [')
            again = self.accept(self.discovery)
            self.spin(lambda: b"watch=1 " in again.read())
        self.assertEqual(self.served(), {"s-0", "s-1"})

    def test_an_older_list_brings_no_server_back_that_was_told_off(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.say(json.dumps(self.table(0, 1, 2, rev=8)))
        self.watch.say(json.dumps(self.table(0, rev=9, whole=False, state="DRAINING")))
        self.spin(lambda: self.served() == {"s-1", "s-2"})
        self.watch.sock.close()
        again = self.accept(self.discovery)
        again.sock.sendall(STREAM)
        again.say(json.dumps(self.table(0, 1, 2, rev=8)))  # from a place that lags behind
        self.rest(0.05)
        self.assertEqual(self.served(), {"s-1", "s-2"})
        again.say(json.dumps(self.table(0, rev=10, whole=False)))  # the drain is taken back
        self.spin(lambda: self.served() == {"s-0", "s-1", "s-2"})

    def test_a_server_that_has_started_anew_is_back_whatever_the_revision(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.say(json.dumps(self.table(0, rev=9, whole=False, state="DRAINING")))
        self.spin(lambda: self.served() == {"s-1"})
        back = self.table(0, rev=3, whole=False)
        back["targets"][0]["boot_ms"] = 5
        self.watch.say(json.dumps(back))
        self.spin(lambda: self.served() == {"s-0", "s-1"})


class Waiting(Endings):
    def test_a_job_that_waited_when_its_client_left_is_never_sent(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.say(json.dumps(self.table(0, 1, rev=5, state="DRAINING")))
        self.spin(lambda: self.program.table.rev == 5)
        client = self.ask()
        self.rest(0.05)
        self.assertEqual(client.read(), b"")  # it waits
        client.sock.close()
        self.rest(0.02)
        self.watch.say(json.dumps(self.table(0, 1, rev=6)))
        self.rest(0.4)
        self.assertEqual(self.posts(), 0)

    def test_a_further_attempt_tells_its_server_no_more_than_is_left_to_the_client(self) -> None:
        client = self.ask("keyed", wait="3.0")
        first = self.dispatched()
        self.rest(0.5)
        first.sock.sendall(b"HTTP/1.1 500 broken\r\nContent-Length: 0\r\n\r\n")
        second = self.dispatched()
        told = [float(end.job.split(b"Req-Deadline: ")[1].split(b"\r\n")[0]) for end in (first, second)]
        self.assertLessEqual(told[0], 3.0)
        self.assertLessEqual(told[1], 2.5)
        second.sock.sendall(answer("id-1"))
        self.assertEqual(self.status(client), 200)


class Crowded(Endings):
    sockets = 64  # 12 on either side

    def test_idle_clients_fill_the_descriptors_while_discovery_is_down_and_service_resumes(self) -> None:
        self.watch.sock.sendall(STREAM)
        self.watch.say(json.dumps(self.table(0, rev=5)))
        self.spin(lambda: self.program.table.rev == 5)
        host, port = self.discovery.getsockname()
        self.discovery.close()
        self.watch.sock.close()
        crowd = [self.client() for _ in range(100)]
        self.rest(0.5)
        client = self.ask()  # among the crowd, with the list that is held
        self.dispatched().sock.sendall(answer("id-1"))
        self.assertEqual(self.status(client), 200)
        self.discovery = socket.create_server((host, port))
        self.discovery.settimeout(0)
        again = self.accept(self.discovery)
        self.spin(lambda: b"after=5 " in again.read())
        again.sock.sendall(STREAM)
        again.say(json.dumps(self.table(1, rev=6)))
        self.spin(lambda: self.program.table.rev == 6)
        client = self.ask(name="id-2")
        end = self.dispatched()
        self.assertEqual(end.sock.getsockname(), self.servers[1].getsockname())
        end.sock.sendall(answer("id-2"))
        self.assertEqual(self.status(client), 200)
        for peer in crowd:
            peer.sock.close()
