"""The table of misses that `heronstall tier misses` builds from logs."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path
from unittest import mock

import structlog
from click.testing import CliRunner

from heronstall.cli import main
from heronstall.dataplane.misses import MissLog
from heronstall.report.misses import LogError, TimeInterval, count_misses, log_files, read_event
from heronstall.tier_process import set_up_logs
from tests.tier.test_misses import attempt, ended

TALLY = (
    "timestamp=2026-08-10T04:13:21.7Z level=info event=requests route=r requests=50 missed=3 size=900"
    " missed_size=90 first_home=4 second_home=1 elsewhere=2 connections=5"
)


def missed(at: float, reason: str, extra: str = "") -> str:
    return (
        f'{at} edge-1 timestamp=2026-08-10T04:13:21Z event="request missed" route=r reason="{reason}" {extra}'
    )


@contextlib.contextmanager
def folder(*lines: str) -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as directory:
        (Path(directory) / "n1.log").write_text("\n".join(lines) + "\n")
        yield Path(directory)


class Table(unittest.TestCase):
    def test_misses_are_counted_by_route_period_and_reason(self) -> None:
        lines = (
            missed(1.0, "late first event", "first_ms=400"),
            missed(10.5, "late first event", "first_ms=600"),
            missed(10.6, "late first event", "first_ms=700"),
            missed(13.1, "long gap", "age_ms=200 gap_ms=800"),  # the request arrived during the burst
            TALLY,
            "a line that is no log event",
        )
        events = [event for line in lines if (event := read_event(line)) is not None]
        record = count_misses(events, (TimeInterval("burst", 10, 13),)).record()
        self.assertEqual(record["routes"]["r"]["requests"], 50)
        self.assertEqual(
            [(row["moment"], row["reason"], row["count"]) for row in record["misses"]],
            [("burst", "late first event", 2), ("burst", "long gap", 1), ("calm", "late first event", 1)],
        )
        self.assertEqual(record["misses"][0]["mean_first_ms"], 650.0)

    def test_logged_events_of_a_dispatcher_are_parsed(self) -> None:
        written = io.StringIO()
        with mock.patch("sys.stderr", written):
            set_up_logs("edge-1")
            log = structlog.get_logger()
            with mock.patch("heronstall.dataplane.misses.log", log):
                misses = MissLog()
                misses.record_request(ended(attempt(0.1, 0.4, home=0)))
                misses.record_request(ended(status=503))
                misses.log_tallies()
        structlog.reset_defaults()
        events = [event for line in written.getvalue().splitlines() if (event := read_event(line))]
        record = count_misses(events).record()
        reasons = {row["reason"]: row for row in record["misses"]}
        self.assertEqual(set(reasons), {"late first event", "refused here"})
        self.assertEqual(reasons["late first event"]["mean_first_ms"], 400.0)
        self.assertEqual(record["routes"]["r"]["missed"], 2)
        self.assertEqual(record["routes"]["r"]["first_home"], 1)

    def test_error_names_an_invalid_count_or_time(self) -> None:
        event = read_event(TALLY.replace("requests=50", "requests=many"))
        assert event is not None
        with self.assertRaisesRegex(LogError, "requests: 'many'"):
            count_misses([event])
        with self.assertRaisesRegex(LogError, "timestamp"):
            read_event("timestamp=yesterday event=requests")

    def test_folder_without_logs_is_rejected(self) -> None:
        with tempfile.TemporaryDirectory() as empty, self.assertRaises(LogError):
            log_files(Path(empty))


class Command(unittest.TestCase):
    def test_table_as_text_and_json(self) -> None:
        with folder(missed(10.5, "long gap", "gap_ms=500"), TALLY) as logs:
            text = CliRunner().invoke(main, ["tier", "misses", str(logs), "--moment", "burst:10:13"])
            as_json = CliRunner().invoke(main, ["tier", "misses", str(logs), "--json"])
        self.assertEqual(text.exit_code, 0, text.output)
        self.assertRegex(text.output, r"r +burst +long gap +1 +2\.0%  gap 500")
        self.assertEqual(json.loads(as_json.output)["misses"][0]["moment"], "calm")

    def test_invalid_input_exits_with_2_and_is_named(self) -> None:
        with folder(TALLY) as logs:
            for arguments, expected in (
                ([str(logs / "none")], "none"),
                ([str(logs), "--moment", "burst"], "burst"),
                ([str(logs), "--moment", "burst:3:1"], "FROM before TO"),
                ([str(logs), "--moment", "burst:a:b"], "in seconds"),
            ):
                with self.subTest(arguments=arguments[1:]):
                    result = CliRunner().invoke(main, ["tier", "misses", *arguments])
                    self.assertEqual(result.exit_code, 2)
                    self.assertIn(expected, result.output)

    def test_invalid_line_is_named_by_file_and_line(self) -> None:
        with folder("a line", "timestamp=never event=requests") as logs:
            result = CliRunner().invoke(main, ["tier", "misses", str(logs)])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("n1.log:2: timestamp", result.output)


if __name__ == "__main__":
    unittest.main()
