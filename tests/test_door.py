"""The operators' door over loopback: words, figures, bans and the drain, between scripted peers."""

from __future__ import annotations

import socket
import unittest
from typing import Any
from unittest import mock

from hdrh.histogram import HdrHistogram

from heronstall.__main__ import Program as Dispatching
from heronstall.config import ConfigError, configuration
from heronstall.net.dispatcher import RESULT_BY_ANSWER
from heronstall.net.door import CALLERS, LINE
from heronstall.net.loop import Loop
from heronstall.net.takeover.guard import Guard
from heronstall.operator import TakeoverFile
from heronstall.ops.detail import COUNTS
from heronstall.ops.figures import Figures
from tests.test_net import DispatcherTestCase, RawConnection, raw_config


class Operated(DispatcherTestCase):
    """A node with a door."""

    operated = True

    def call(self, line: str | bytes) -> str:
        """One call, and all that is said to it."""
        caller = RawConnection(socket.create_connection(self.admin_address))
        caller.sock.sendall(line if isinstance(line, bytes) else line.encode() + b"\n")
        self.run_until(lambda: self.is_closed(caller))
        return caller.received.decode()

    def figures(self) -> dict[str, int]:
        *rows, end = self.call("INFO").splitlines()
        self.assertEqual(end, "END")
        self.assertTrue(all(row.startswith("svc.") for row in rows))
        return {name: int(figure) for name, figure in (row[4:].split("=") for row in rows)}

    def tell(self, *numbers: int, rev: int, **more: Any) -> None:
        """A list from discovery."""
        self.program.table.take(self.server_list(*numbers, rev=rev, **more))


class Words(Operated):
    def test_each_call_has_its_reply_and_what_is_no_call_gets_one_no(self) -> None:
        self.program.table.answered = True
        for line, reply in (
            ("PING", "YES serving"),
            (b"PING\r\n", "YES serving"),
            (b"PING\nREJOIN\n", "YES serving"),  # a connection carries one line
            ("ping", "NO such call"),
            ("", "NO such call"),
            (b"\xff\x00\xfe\n", "NO not text"),
            ("PING now", "NO PING wants nothing else"),
            ("INFO all", "NO INFO wants nothing else"),
            ("DETACH", "NO DETACH wants one id"),
            ("DETACH s-0 s-1", "NO DETACH wants one id"),
            ("DETACH s-9", "NO never listed"),
            ("ATTACH s-9", "NO never listed"),
            ("ATTACH s-0", "YES attached already"),
            ("DETACH s-0", "YES detached"),
            ("DETACH s-0", "YES detached already"),
            ("ATTACH s-0", "YES attached"),
            ("REJOIN", "YES serving already"),
            ("LAMEDUCK", "YES draining"),
            ("LAMEDUCK", "YES drained already"),
            ("PING", "YES drained"),
            ("REJOIN", "YES serving"),
            (b"x" * (LINE + 1), "NO such call"),  # endless: said as soon as it is too long
        ):
            with self.subTest(line):
                self.assertEqual(self.call(line), reply + "\n")

    def test_a_call_may_come_in_pieces_beside_many_that_hold_half_a_line(self) -> None:
        half = [RawConnection(socket.create_connection(self.admin_address)) for _ in range(3 * CALLERS)]
        for peer in half:
            peer.sock.sendall(b"PI")
            self.run_for(0.001)
        self.assertIn("END", self.call("INFO"))
        self.assertEqual(sum(peer.read() == b"" and not peer.closed for peer in half), CALLERS - 1)
        half[-1].sock.sendall(b"NG\n")
        self.run_until(lambda: half[-1].read())
        self.assertTrue(half[-1].received.startswith((b"YES", b"NO")))
        with mock.patch("heronstall.net.door.CALL_TIME", 10_000):
            late = RawConnection(socket.create_connection(self.admin_address))
            late.sock.sendall(b"PING")
            self.run_until(lambda: self.is_closed(late))

    def test_nothing_is_opened_where_no_address_is_told_and_a_wrong_one_is_named(self) -> None:
        program = Dispatching(configuration(raw_config()), Loop())
        self.assertIsNone(program.daily)
        with self.assertRaisesRegex(ConfigError, "^operator: "):
            configuration(raw_config(operator="nowhere"))
        with self.assertRaisesRegex(ConfigError, "^operator: cannot listen on 192.0.2.1:9: "):
            Dispatching(configuration(raw_config(operator="192.0.2.1:9")), Loop())


class FullHouse(Operated):
    sockets = 64  # with the door, four clients

    def test_the_door_answers_while_clients_hold_every_descriptor(self) -> None:
        crowd = [self.connect() for _ in range(60)]
        self.run_for(0.05)
        self.assertIn("END", self.call("INFO"))
        self.assertEqual(len(crowd), 60)


class Counting(Operated):
    def test_figures_are_what_clients_and_servers_saw_whatever_ended_a_job(self) -> None:
        self.story()

    def test_a_planted_miscount_of_attempts_is_seen(self) -> None:
        with mock.patch.object(Figures, "forwarded", lambda figures: None), self.assertRaises(AssertionError):
            self.story()

    def test_a_planted_miscount_of_those_who_leave_is_seen(self) -> None:
        with mock.patch.dict(RESULT_BY_ANSWER, {"gone": "succeeded"}), self.assertRaises(AssertionError):
            self.story()

    def test_detail_is_off_until_asked_for_and_then_tells_what_clients_saw(self) -> None:
        self.assertTrue(self.call("DETAIL").startswith("NO figures.detail is off"))
        detail = self.program.detail()
        assert detail is not None
        self.program.dispatcher.observers.append(detail)
        self.story()
        rows = dict(row[4:].split("=", 1) for row in self.call("DETAIL").splitlines()[:-1])
        told = {name: [int(rows[f"{name}.{cls}"]) for cls in ("unsafe", "keyed")] for name in COUNTS}
        self.assertEqual(
            told,
            {"taken": [3, 2], "intime": [2, 0], "served": [2, 0], "refused": [0, 1], "failed": [1, 0]}
            | {"gone": [0, 1]},
        )
        self.assertEqual((rows["attempts"], rows["about.v"], rows["about.release"]), ("5", "1", "-"))
        self.assertGreaterEqual(int(rows["connects"]), 1)
        self.assertGreater(int(rows["memory_kb"]), 1000)
        histogram = HdrHistogram.decode(rows["latency.unsafe"])
        self.assertEqual(histogram.get_total_count(), 2)
        self.assertGreater(HdrHistogram.decode(rows["loop"]).get_total_count(), 0)
        self.assertEqual(self.call("DETAIL all"), "NO DETAIL wants nothing else\n")

    def test_what_takeover_counts_is_told_where_it_is_on(self) -> None:
        self.assertTrue(self.call("TAKEOVER").startswith("NO takeover is off"))
        assert self.program.daily is not None
        told = TakeoverFile((("n0",), ("n1",), ("n2",)))
        guard = Guard(self.program.config, told, self.loop, "n0", 1)
        guard.begin(self.program.dispatcher)
        self.program.daily.operations.takeover = guard.figures
        self.assertEqual(self.call("INFO").count("takeover"), 0)  # as its page words it
        self.send_request("unsafe")  # without an identity
        self.next_dispatch()
        rows = dict(row[4:].split("=", 1) for row in self.call("TAKEOVER").splitlines()[:-1])
        self.assertEqual((rows["takeover.unprotected"], rows["takeover.kept"]), ("1", "0"))
        self.run_for(0.02)
        guard._counted -= 60_000_000
        guard._sweep()  # tells the log, and begins anew to count for it
        rows = dict(row[4:].split("=", 1) for row in self.call("TAKEOVER").splitlines()[:-1])
        self.assertEqual(rows["takeover.unprotected"], "1")

    def story(self) -> None:
        for n, state in enumerate(("done", "failed", "done", "leaves", "refused")):
            client = self.send_request("unsafe" if n < 3 else "keyed", name=f"id-{n}")
            if state == "refused":
                self.call("DETACH s-0")
                self.call("DETACH s-1")
            server = self.next_dispatch()
            self.assertEqual(self.figures()["outstanding"], 1)
            if state == "leaves":
                client.sock.close()
                self.run_until(lambda: self.figures()["outstanding"] == 0)
            elif state == "refused":
                server.sock.sendall(
                    b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                )
                self.assertEqual(self.response_status(client), 503)
            else:
                server.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                server.send_chunks(f'{{"id":"id-{n}","state":"{state}","result":"ok"}}')
                server.sock.sendall(b"0\r\n\r\n")
                self.assertEqual(self.response_status(client), 200 if state == "done" else 500)
        self.assertEqual(
            self.figures(),
            {
                "succeeded.unsafe": 2,
                "succeeded.keyed": 0,
                "declined.unsafe": 0,
                "declined.keyed": 1,
                "aborted.unsafe": 1,
                "aborted.keyed": 1,
                "forwards": 5,
                "outstanding": 0,
                "discovered": 2,
                "ejected": 2,
            },
        )


class Banning(Operated):
    def test_no_list_lifts_a_ban_and_what_comes_back_is_cold(self) -> None:
        table = self.program.table
        told: list[Any] = []
        table._post = told.append
        self.call("DETACH s-0")
        (ban,) = told[-1].entries
        self.assertEqual((ban.worker, ban.state), (1, "leaving"))
        server = table.by_number[1]
        since = server.off_since
        assert since is not None
        for rev, numbers in ((3, (0, 1)), (4, (1,)), (5, (0, 1))):  # it goes and comes back meanwhile
            self.tell(*numbers, rev=rev)
            self.assertEqual(server.off_since, since)
            self.assertNotIn((1, "active"), [(e.worker, e.state) for e in told[-1].entries])
        self.assertEqual(self.figures()["ejected"], 1)
        self.call("ATTACH s-0")
        (back,) = told[-1].entries
        self.assertIsNone(server.off_since)
        self.assertEqual((back.state, back.started_at), ("active", server.ban_ended_at))
        self.tell(0, 1, rev=6)  # the list says that it started long ago: it may be late
        self.assertEqual(told[-1].entries[0].started_at, server.ban_ended_at)
        restarted = self.server_list(0, 1, rev=7)
        boot = (since + 1_000 + table._offset) // 1000
        restarted["targets"][0]["boot_ms"] = boot
        table.take(restarted)  # now it tells of the restart, during the ban: that is exact
        self.assertEqual(told[-1].entries[0].started_at, boot * 1000 - table._offset)

    def test_a_server_that_is_long_gone_was_listed_all_the_same(self) -> None:
        self.tell(1, rev=3)
        with mock.patch("heronstall.net.server_table.FORGET_AFTER_US", -1):
            self.tell(1, rev=4)
        self.assertNotIn(1, self.program.table.by_number)
        self.assertEqual(self.call("DETACH s-0"), "YES detached\n")
        self.tell(0, 1, rev=5)
        self.assertEqual(self.figures()["ejected"], 1)

    def test_with_every_server_out_by_hand_jobs_are_refused_and_not_sent(self) -> None:
        self.call("DETACH s-0")
        self.call("DETACH s-1")
        client = self.send_request(wait="0.5")
        self.assertEqual(self.response_status(client), 503)
        self.assertEqual(self.figures()["forwards"], 0)


class Draining(Operated):
    def healthy(self) -> bool:
        client = self.connect()
        client.sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: o\r\n\r\n")
        return self.response_status(client) == 200

    def test_a_drain_says_no_ends_what_idles_and_is_taken_back(self) -> None:
        self.program.table.answered = True
        self.assertTrue(self.healthy())
        used = self.send_request("unsafe", name="id-0")
        server = self.next_dispatch()
        self.call("LAMEDUCK")
        self.assertFalse(self.healthy())
        idle = self.connect()
        self.run_until(lambda: self.is_closed(idle))
        server.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        server.send_chunks('{"id":"id-0","state":"done","result":"ok"}')
        self.assertEqual(self.response_status(used), 200)
        self.assertIn(b"connection: close", used.received.lower())
        self.assertEqual(self.call("REJOIN"), "YES serving\n")
        self.assertTrue(self.healthy())
        stays = self.connect()
        self.run_for(0.6)
        self.assertFalse(self.is_closed(stays))

    def test_a_signal_ends_a_drain_for_good(self) -> None:
        self.frontend._on_finished = stopped = mock.Mock()
        self.call("LAMEDUCK")
        self.program.shutdown.stop()
        self.assertEqual(self.call("REJOIN"), "NO leaving\n")
        self.assertEqual(self.call("LAMEDUCK"), "YES leaving already\n")
        self.assertEqual(self.call("PING"), "NO leaving\n")
        self.run_until(lambda: stopped.called)


del DispatcherTestCase  # its stories are run where it is defined


if __name__ == "__main__":
    unittest.main()
