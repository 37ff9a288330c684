"""The admin endpoint over loopback, between scripted clients and servers: commands, figures, bans, drain."""

from __future__ import annotations

import socket
import unittest
from typing import Any
from unittest import mock

from hdrh.histogram import HdrHistogram

from heronstall.__main__ import Program
from heronstall.config import ConfigError, configuration
from heronstall.net.admin_endpoint import MAX_CONNECTIONS, MAX_LINE_BYTES
from heronstall.net.dispatcher import RESULT_BY_ANSWER
from heronstall.net.loop import Loop
from heronstall.net.takeover.coordinator import TakeoverCoordinator
from heronstall.operator import TakeoverSettings
from heronstall.ops.counters import JobCounters
from heronstall.ops.detail import COUNTS
from tests.test_net import DispatcherTestCase, RawConnection, raw_config


class AdminEndpointTestCase(DispatcherTestCase):
    """A dispatcher with an admin endpoint."""

    has_admin_endpoint = True

    def call(self, line: str | bytes) -> str:
        """Sends a command on a new connection and returns the whole reply."""
        client = RawConnection(socket.create_connection(self.admin_address))
        client.sock.sendall(line if isinstance(line, bytes) else line.encode() + b"\n")
        self.run_until(lambda: self.is_closed(client))
        return client.received.decode()

    def figures(self) -> dict[str, int]:
        *rows, end = self.call("INFO").splitlines()
        self.assertEqual(end, "END")
        self.assertTrue(all(row.startswith("svc.") for row in rows))
        return {name: int(figure) for name, figure in (row[4:].split("=") for row in rows)}

    def take_list(self, *numbers: int, rev: int, **fields: Any) -> None:
        """Applies a server list as if it came from the discovery service."""
        self.program.table.take(self.server_list(*numbers, rev=rev, **fields))


class Commands(AdminEndpointTestCase):
    def test_each_command_has_its_reply_and_invalid_lines_are_rejected(self) -> None:
        self.program.table.answered = True
        for line, reply in (
            ("PING", "YES serving"),
            (b"PING\r\n", "YES serving"),
            (b"PING\nREJOIN\n", "YES serving"),  # only the first line of a connection is read
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
            (b"x" * (MAX_LINE_BYTES + 1), "NO such call"),  # without a line end: rejected once it is too long
        ):
            with self.subTest(line):
                self.assertEqual(self.call(line), reply + "\n")

    def test_a_command_may_arrive_in_pieces_while_many_connections_hold_half_a_line(self) -> None:
        half_open = [
            RawConnection(socket.create_connection(self.admin_address)) for _ in range(3 * MAX_CONNECTIONS)
        ]
        for peer in half_open:
            peer.sock.sendall(b"PI")
            self.run_for(0.001)
        self.assertIn("END", self.call("INFO"))
        self.assertEqual(
            sum(peer.read() == b"" and not peer.closed for peer in half_open), MAX_CONNECTIONS - 1
        )
        half_open[-1].sock.sendall(b"NG\n")
        self.run_until(lambda: half_open[-1].read())
        self.assertTrue(half_open[-1].received.startswith((b"YES", b"NO")))
        with mock.patch("heronstall.net.admin_endpoint.COMMAND_TIMEOUT_US", 10_000):
            late = RawConnection(socket.create_connection(self.admin_address))
            late.sock.sendall(b"PING")
            self.run_until(lambda: self.is_closed(late))

    def test_the_endpoint_needs_an_address_and_an_unusable_one_is_reported(self) -> None:
        program = Program(configuration(raw_config()), Loop())
        self.assertIsNone(program.operator_interface)
        with self.assertRaisesRegex(ConfigError, "^operator: "):
            configuration(raw_config(operator="nowhere"))
        with self.assertRaisesRegex(ConfigError, "^operator: cannot listen on 192.0.2.1:9: "):
            Program(configuration(raw_config(operator="192.0.2.1:9")), Loop())


class DescriptorLimit(AdminEndpointTestCase):
    sockets = 64  # leaves four clients beside the admin endpoint

    def test_commands_are_answered_while_clients_hold_every_descriptor(self) -> None:
        clients = [self.connect() for _ in range(60)]
        self.run_for(0.05)
        self.assertIn("END", self.call("INFO"))
        self.assertEqual(len(clients), 60)


class FigureCounts(AdminEndpointTestCase):
    def test_figures_agree_with_what_clients_and_servers_saw_however_jobs_ended(self) -> None:
        self.run_jobs()

    def test_a_wrong_count_of_attempts_is_detected(self) -> None:
        with (
            mock.patch.object(JobCounters, "record_forward", lambda counters: None),
            self.assertRaises(AssertionError),
        ):
            self.run_jobs()

    def test_a_wrong_count_of_disconnected_clients_is_detected(self) -> None:
        with mock.patch.dict(RESULT_BY_ANSWER, {"gone": "succeeded"}), self.assertRaises(AssertionError):
            self.run_jobs()

    def test_detail_is_off_by_default_and_agrees_with_what_clients_saw_when_enabled(self) -> None:
        self.assertTrue(self.call("DETAIL").startswith("NO figures.detail is off"))
        detail = self.program.enable_detail()
        assert detail is not None
        self.program.dispatcher.observers.append(detail)
        self.run_jobs()
        rows = dict(row[4:].split("=", 1) for row in self.call("DETAIL").splitlines()[:-1])
        counts = {name: [int(rows[f"{name}.{cls}"]) for cls in ("unsafe", "keyed")] for name in COUNTS}
        self.assertEqual(
            counts,
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

    def test_takeover_figures_are_reported_where_takeover_is_enabled(self) -> None:
        self.assertTrue(self.call("TAKEOVER").startswith("NO takeover is off"))
        assert self.program.operator_interface is not None
        settings = TakeoverSettings((("n0",), ("n1",), ("n2",)))
        coordinator = TakeoverCoordinator(self.program.config, settings, self.loop, "n0", 1)
        coordinator.start(self.program.dispatcher)
        self.program.operator_interface.operations.takeover_figures = coordinator.figures
        self.assertEqual(self.call("INFO").count("takeover"), 0)  # as documented
        self.send_request("unsafe")  # without an identity
        self.next_dispatch()
        rows = dict(row[4:].split("=", 1) for row in self.call("TAKEOVER").splitlines()[:-1])
        self.assertEqual((rows["takeover.unprotected"], rows["takeover.kept"]), ("1", "0"))
        self.run_for(0.02)
        coordinator._counts_logged_at -= 60_000_000
        coordinator._sweep()  # logs the counts and resets those of the log
        rows = dict(row[4:].split("=", 1) for row in self.call("TAKEOVER").splitlines()[:-1])
        self.assertEqual(rows["takeover.unprotected"], "1")

    def run_jobs(self) -> None:
        for n, end in enumerate(("done", "failed", "done", "leaves", "refused")):
            client = self.send_request("unsafe" if n < 3 else "keyed", name=f"id-{n}")
            if end == "refused":
                self.call("DETACH s-0")
                self.call("DETACH s-1")
            server = self.next_dispatch()
            self.assertEqual(self.figures()["outstanding"], 1)
            if end == "leaves":
                client.sock.close()
                self.run_until(lambda: self.figures()["outstanding"] == 0)
            elif end == "refused":
                server.sock.sendall(
                    b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                )
                self.assertEqual(self.response_status(client), 503)
            else:
                server.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                server.send_chunks(f'{{"id":"id-{n}","state":"{end}","result":"ok"}}')
                server.sock.sendall(b"0\r\n\r\n")
                self.assertEqual(self.response_status(client), 200 if end == "done" else 500)
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


class Bans(AdminEndpointTestCase):
    def test_a_ban_outlasts_server_lists_and_a_readmitted_server_counts_as_just_started(self) -> None:
        table = self.program.table
        updates: list[Any] = []
        table._post = updates.append
        self.call("DETACH s-0")
        (ban,) = updates[-1].entries
        self.assertEqual((ban.worker, ban.state), (1, "leaving"))
        server = table.by_number[1]
        since = server.off_since
        assert since is not None
        # The server disappears from the list and returns.
        for rev, numbers in ((3, (0, 1)), (4, (1,)), (5, (0, 1))):
            self.take_list(*numbers, rev=rev)
            self.assertEqual(server.off_since, since)
            self.assertNotIn((1, "active"), [(e.worker, e.state) for e in updates[-1].entries])
        self.assertEqual(self.figures()["ejected"], 1)
        self.call("ATTACH s-0")
        (entry,) = updates[-1].entries
        self.assertIsNone(server.off_since)
        self.assertEqual((entry.state, entry.started_at), ("active", server.ban_ended_at))
        self.take_list(0, 1, rev=6)  # the list reports an old start: it may be outdated
        self.assertEqual(updates[-1].entries[0].started_at, server.ban_ended_at)
        restarted = self.server_list(0, 1, rev=7)
        boot = (since + 1_000 + table._offset) // 1000
        restarted["targets"][0]["boot_ms"] = boot
        table.take(restarted)  # a restart during the ban is taken from the list
        self.assertEqual(updates[-1].entries[0].started_at, boot * 1000 - table._offset)

    def test_a_server_that_was_forgotten_can_still_be_banned(self) -> None:
        self.take_list(1, rev=3)
        with mock.patch("heronstall.net.server_table.FORGET_AFTER_US", -1):
            self.take_list(1, rev=4)
        self.assertNotIn(1, self.program.table.by_number)
        self.assertEqual(self.call("DETACH s-0"), "YES detached\n")
        self.take_list(0, 1, rev=5)
        self.assertEqual(self.figures()["ejected"], 1)

    def test_with_every_server_banned_jobs_are_refused_and_not_sent(self) -> None:
        self.call("DETACH s-0")
        self.call("DETACH s-1")
        client = self.send_request(wait="0.5")
        self.assertEqual(self.response_status(client), 503)
        self.assertEqual(self.figures()["forwards"], 0)


class Drain(AdminEndpointTestCase):
    def healthy(self) -> bool:
        client = self.connect()
        client.sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: o\r\n\r\n")
        return self.response_status(client) == 200

    def test_a_drain_fails_health_checks_closes_idle_connections_and_can_be_ended(self) -> None:
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
        remaining = self.connect()
        self.run_for(0.6)
        self.assertFalse(self.is_closed(remaining))

    def test_after_a_signal_a_drain_cannot_be_ended(self) -> None:
        self.frontend._on_finished = stopped = mock.Mock()
        self.call("LAMEDUCK")
        self.program.shutdown.stop()
        self.assertEqual(self.call("REJOIN"), "NO leaving\n")
        self.assertEqual(self.call("LAMEDUCK"), "YES leaving already\n")
        self.assertEqual(self.call("PING"), "NO leaving\n")
        self.run_until(lambda: stopped.called)


del DispatcherTestCase  # its own tests run in the module that defines it


if __name__ == "__main__":
    unittest.main()
