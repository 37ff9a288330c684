"""The reasons for which requests miss their objective, and what is logged of them."""

from __future__ import annotations

import asyncio
import math
import time
import unittest
from typing import Any
from unittest import mock

from structlog.testing import capture_logs

from heronstall.batch.outcomes import Outcome
from heronstall.dataplane.attempt_ends import AttemptEnd
from heronstall.dataplane.attempts import Attempt, Attempts, LoadSnapshot
from heronstall.dataplane.misses import (
    MAX_LOGGED_MISSES,
    EndedItem,
    EndedRequest,
    MissLog,
    MissReason,
    RequestTimes,
    miss_reason,
)
from heronstall.dataplane.prefixes import NO_SHARED_PREFIX
from heronstall.routing.routes import Route, RouteType

ROUTE = Route("r", "h", "/", RouteType.STREAMING, (("lm", 1.0),), 5.0, 0.3, 0, 2, True, 0.25, 8.0, 60.0, 0)
ARRIVED = 1000.0
DEADLINE = ARRIVED + 5.0


def attempt(
    sent: float = 0.0,
    first: float | None = None,
    last: float | None = None,
    gap: float = 0.0,
    end: AttemptEnd | None = None,
    home: int | None = None,
) -> Attempt:
    """Builds an attempt. Times are in seconds since the request's arrival."""
    made = Attempt(mock.Mock(), None, ARRIVED + sent, ARRIVED + (last if last is not None else first or sent))
    made.worker, made.load, made.home_rank = "w1", LoadSnapshot(2, 3.25, 12), home
    made.first_event_at = ARRIVED + first if first is not None else 0.0
    made.longest_gap, made.end = gap, end
    return made


def ended(*attempts: Attempt, status: int = 200, deadline: float = math.inf) -> EndedRequest:
    return EndedRequest(
        request_id="q1",
        route=ROUTE,
        prefix=NO_SHARED_PREFIX,
        prompt_tokens=500,
        output_tokens=40,
        times=RequestTimes(ARRIVED, deferred=0.01, worker_wait=0.02),
        attempts=attempts,
        planned=False,
        status=status,
        deadline=deadline,
    )


class Reasons(unittest.TestCase):
    def check(self, expected: MissReason | None, request: EndedRequest, now: float = 1.0) -> None:
        self.assertIs(miss_reason(request, ARRIVED + now), expected)

    def test_each_reason_is_found(self) -> None:
        cut, full = AttemptEnd.CUT_SHORT, AttemptEnd.FULL
        rows = (
            (None, ended(attempt(0.01, 0.2, 0.9, gap=0.2))),
            (MissReason.LATE_FIRST_EVENT, ended(attempt(0.01, 0.31))),
            (MissReason.LATE_FIRST_EVENT, ended(attempt(0.01))),
            (MissReason.LONG_GAP, ended(attempt(0.01, 0.2, 0.9, gap=0.26))),
            (MissReason.RAN_AGAIN, ended(attempt(0.0, end=cut), attempt(0.1, 0.2))),
            (None, ended(attempt(0.0, end=full), attempt(0.1, 0.2))),
            (MissReason.REFUSED_HERE, ended(status=503)),
            (MissReason.CLIENT_LEFT, ended(status=0)),
            (MissReason.CLIENT_LEFT, ended(attempt(0.0), status=0)),
            (MissReason.REFUSED_BY_WORKERS, ended(attempt(0.0, end=full), status=503)),
            (MissReason.CUT, ended(attempt(0.0, end=cut), status=502)),
            (MissReason.CUT, ended(attempt(0.0, 0.2, end=cut), status=0)),
            (MissReason.WORKER_ERROR, ended(attempt(0.0), status=500)),
            (MissReason.TIMED_OUT, ended(attempt(0.0, end=AttemptEnd.TIMED_OUT), status=504)),
        )
        for expected, request in rows:
            with self.subTest(expected=expected, status=request.status, attempts=len(request.attempts)):
                self.check(expected, request)

    def test_failure_after_the_deadline_is_a_timeout(self) -> None:
        failed = ended(attempt(0.0, end=AttemptEnd.CUT_SHORT), status=504, deadline=DEADLINE)
        self.check(MissReason.TIMED_OUT, failed, now=5.0)
        self.check(MissReason.CUT, failed, now=4.9)

    def test_time_between_events_of_two_attempts_is_a_gap(self) -> None:
        resumed = ended(attempt(0.0, 0.2, 0.5, end=AttemptEnd.CUT_SHORT), attempt(0.6, 0.8, 0.9))
        self.assertAlmostEqual(resumed.longest_gap, 0.3)
        self.check(MissReason.LONG_GAP, resumed)


class Gaps(unittest.IsolatedAsyncioTestCase):
    async def test_longest_gap_excludes_the_wait_for_the_first_event(self) -> None:
        worker = Attempts()
        with mock.patch("heronstall.dataplane.attempts.time") as clock:
            clock.monotonic.return_value = 10.0
            async with asyncio.timeout(None) as limit:
                started = worker.begin(limit, None)
                for at, first in ((12.0, True), (12.25, False), (13.0, False), (13.5, False)):
                    clock.monotonic.return_value = at
                    if first:
                        worker.record_first_event(started)
                    else:
                        worker.record_data(started)
        self.assertEqual((started.first_event_at, started.longest_gap), (12.0, 0.75))


class Log(unittest.TestCase):
    def tallies(self, misses: MissLog, event: str) -> list[dict[str, Any]]:
        with capture_logs() as events:
            misses.log_tallies()
        return [dict(found) for found in events if found["event"] == event]

    def test_request_within_its_objective_is_counted_and_not_logged(self) -> None:
        misses = MissLog()
        with capture_logs() as events:
            misses.record_request(ended(attempt(0.01, 0.2, 0.4, home=0)))
        self.assertEqual(events, [])
        (tally,) = self.tallies(misses, "requests")
        self.assertEqual((tally["requests"], tally["missed"], tally["size"]), (1, 0, 900))
        self.assertEqual((tally["first_home"], tally["second_home"], tally["elsewhere"]), (1, 0, 0))
        self.assertEqual(self.tallies(misses, "requests"), [], "logged once")

    def test_logged_miss_has_waits_and_attempts(self) -> None:
        misses = MissLog()
        with capture_logs() as events:
            misses.record_request(ended(attempt(0.05, end=AttemptEnd.FULL), attempt(0.1, 0.35, 0.6, home=1)))
        (missed,) = events
        self.assertEqual((missed["event"], missed["reason"]), ("request missed", "late first event"))
        self.assertEqual((missed["deferred_ms"], missed["held_ms"]), (10, 20))
        self.assertEqual((missed["sent_ms"], missed["first_ms"]), (100, 350))
        self.assertEqual(missed["attempts"], "w1:full:2+3.2/12:-:kept:- w1:answered:2+3.2/12:1:kept:250")

    def test_all_misses_are_counted_and_a_limited_number_is_logged(self) -> None:
        misses = MissLog()
        with capture_logs() as events:
            for _ in range(MAX_LOGGED_MISSES + 30):
                misses.record_request(ended(status=503))
        self.assertEqual(len(events), MAX_LOGGED_MISSES)
        (tally,) = self.tallies(misses, "requests")
        self.assertEqual(
            (tally["missed"], tally["missed_size"]), (MAX_LOGGED_MISSES + 30, 900 * (MAX_LOGGED_MISSES + 30))
        )

    def test_late_failed_or_abandoned_item_is_a_miss(self) -> None:
        now = time.monotonic()

        def run(outcome: Outcome, due: float) -> list[str]:
            with capture_logs() as events:
                item = EndedItem("j", "i", "lots", outcome, now - 2.0, now + due, now - 1.0, ())
                MissLog().record_item(item)
            return [found["event"] for found in events]

        self.assertEqual(run(Outcome.DONE, 1.0), [])
        self.assertEqual(run(Outcome.DONE, -0.1), ["item missed"])
        self.assertEqual(run(Outcome.FAILED, 1.0), ["item missed"])
        self.assertEqual(run(Outcome.ROUTE_GONE, 1.0), ["item missed"])
        self.assertEqual(run(Outcome.RETURNED, -0.1), [])

    def test_refused_or_late_accepted_job_is_a_miss(self) -> None:
        for status, seconds, events_wanted in ((202, 0.2, 0), (202, 0.4, 1), (503, 0.1, 1), (429, 0.1, 1)):
            with self.subTest(status=status, seconds=seconds), capture_logs() as events:
                MissLog().record_job_response("j", ROUTE, status, seconds)
            self.assertEqual(len(events), events_wanted)


if __name__ == "__main__":
    unittest.main()
