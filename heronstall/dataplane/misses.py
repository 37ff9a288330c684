"""Requests and batch items that miss their objective: the reason, and where their time went.

Each miss is logged as one event, and each route's tally every few seconds. `heronstall tier misses` builds
its table from them. A request that meets its objective costs a few comparisons. Times are monotonic, in
seconds.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import structlog

from heronstall.batch.outcomes import Outcome
from heronstall.dataplane.attempt_ends import AttemptEnd
from heronstall.dataplane.attempts import Attempt
from heronstall.dataplane.prefixes import SharedPrefix
from heronstall.routing.routes import Route

log = structlog.get_logger()

TALLY_INTERVAL_S = 5.0
MAX_LOGGED_MISSES = 200  # between two tallies; the tally counts all misses
OUTPUT_WEIGHT = 10  # weight of an output token in a request's size, in prompt tokens
MILLISECONDS_PER_SECOND = 1000
STATUS_ACCEPTED = 202  # HTTP status for a batch job that has been stored


class MissReason(Enum):
    """Why a request missed its objective."""

    REFUSED_HERE = "refused here"  # no worker was ready, or none could be reached in time
    REFUSED_BY_WORKERS = "refused by workers"
    CUT = "cut by a worker's end"
    WORKER_ERROR = "a worker's error"
    TIMED_OUT = "no answer in time"
    CLIENT_LEFT = "the client left"
    LATE_FIRST_EVENT = "late first event"
    LONG_GAP = "long gap"
    RAN_AGAIN = "ran again"


@dataclass(frozen=True)
class RequestTimes:
    """The arrival of a request and its waits at the dispatcher, in seconds."""

    arrived_at: float  # monotonic time
    deferred: float  # in the deferred queue, behind urgent requests
    worker_wait: float  # for an available worker


@dataclass
class RouteTally:
    """Counts of one route's requests and items that ended since the latest tally."""

    requests: int = 0
    missed: int = 0
    size: int = 0  # prompt tokens plus weighted output tokens
    missed_size: int = 0
    first_home: int = 0  # requests with a large shared prefix that went to its first home worker
    second_home: int = 0
    elsewhere: int = 0
    planned: int = 0  # requests whose first worker was chosen by the planner
    connections: int = 0  # opened for these requests and items


@dataclass(frozen=True)
class EndedRequest:
    """The record of a request that has ended."""

    request_id: str
    route: Route
    prefix: SharedPrefix
    prompt_tokens: int
    output_tokens: int
    times: RequestTimes
    attempts: Sequence[Attempt]
    planned: bool  # its first worker was chosen by the planner
    status: int  # of the response; 0 if the connection was closed without one
    deadline: float  # monotonic time

    @property
    def size(self) -> int:
        """Prompt tokens plus weighted output tokens."""
        return self.prompt_tokens + OUTPUT_WEIGHT * self.output_tokens

    @property
    def time_to_first_event(self) -> float | None:
        """Seconds from the arrival to the first event, or None without an event."""
        first_events = [a.first_event_at for a in self.attempts if a.first_event_at]
        return min(first_events) - self.times.arrived_at if first_events else None

    @property
    def longest_gap(self) -> float:
        """The longest time between two events in seconds, also across attempts at different workers."""
        gap, last = 0.0, 0.0
        for attempt in self.attempts:
            if attempt.first_event_at:
                gap = max(gap, attempt.longest_gap, attempt.first_event_at - last if last else 0.0)
                last = attempt.last_data_at
        return gap


@dataclass(frozen=True)
class EndedItem:
    """The record of a batch item whose run at this dispatcher has ended."""

    job: str
    item: str
    route: str
    outcome: Outcome
    leased_at: float  # monotonic time
    due_at: float  # monotonic time by which its job should be complete
    started_at: float  # monotonic time at which it left the deferred queue; 0 if it did not
    attempts: Sequence[Attempt]

    @property
    def late(self) -> bool:
        """Whether the item was completed after its due time, even if that had passed when it was leased."""
        return self.outcome is Outcome.DONE and time.monotonic() > self.due_at

    @property
    def missed(self) -> bool:
        """Whether the item was late, failed at a worker, or was given up because its route is gone."""
        return self.late or self.outcome in (Outcome.FAILED, Outcome.ROUTE_GONE)


def miss_reason(ended: EndedRequest, now: float) -> MissReason | None:
    """Returns why a request that has just ended missed its objective, or None if it met it."""
    if ended.status != 200:
        return _failure_reason(ended, now)
    first = ended.time_to_first_event
    if first is None or first > ended.route.target_latency:
        return MissReason.LATE_FIRST_EVENT
    if ended.longest_gap > ended.route.target_event_gap:
        return MissReason.LONG_GAP
    if sum(attempt.may_have_run for attempt in ended.attempts) > 1:
        return MissReason.RAN_AGAIN
    return None


def _failure_reason(ended: EndedRequest, now: float) -> MissReason:
    if now >= ended.deadline:
        return MissReason.TIMED_OUT
    if not ended.attempts:
        return MissReason.REFUSED_HERE if ended.status else MissReason.CLIENT_LEFT
    last = ended.attempts[-1]
    if last.end is None:
        return MissReason.WORKER_ERROR if ended.status else MissReason.CLIENT_LEFT
    if last.end in (AttemptEnd.FULL, AttemptEnd.TURNED_AWAY, AttemptEnd.UNPROVEN_REFUSAL):
        return MissReason.REFUSED_BY_WORKERS
    return MissReason.TIMED_OUT if last.end is AttemptEnd.TIMED_OUT else MissReason.CUT


class MissLog:
    """Counts the requests and items of a dispatcher and logs those that miss their objective."""

    def __init__(self) -> None:
        self._tallies: dict[str, RouteTally] = {}
        self._logged = 0

    def record_request(self, ended: EndedRequest) -> None:
        """Records a request that has ended, with or without success."""
        tally = self._count(ended.route.name, ended.attempts)
        tally.size += ended.size
        tally.planned += ended.planned
        if ended.attempts and ended.attempts[0].home_rank is not None:
            _count_home(tally, ended.attempts[0].home_rank)
        now = time.monotonic()
        reason = miss_reason(ended, now)
        if reason is None:
            return
        tally.missed_size += ended.size
        if self._count_miss(tally):
            _log_request(ended, reason, now)

    def record_item(self, ended: EndedItem) -> None:
        """Records a batch item whose run has ended, with or without success."""
        tally = self._count(ended.route, ended.attempts)
        if ended.missed and self._count_miss(tally):
            _log_item(ended)

    def _count(self, route: str, attempts: Sequence[Attempt]) -> RouteTally:
        """Counts a request or item and returns the tally of its route."""
        tally = self._tallies.setdefault(route, RouteTally())
        tally.requests += 1
        tally.connections += sum(attempt.new_connection for attempt in attempts)
        return tally

    def _count_miss(self, tally: RouteTally) -> bool:
        """Counts a miss. Returns whether it should be logged."""
        tally.missed += 1
        self._logged += 1
        return self._logged <= MAX_LOGGED_MISSES

    def record_job_response(self, job: str, route: Route, status: int, seconds: float) -> None:
        """Logs a submission of a batch job that was not accepted, or not within the target latency."""
        if status == STATUS_ACCEPTED and seconds <= route.target_latency:
            return
        log.info("job missed", job=job, route=route.name, status=status, took_ms=_milliseconds(seconds))

    async def run(self) -> None:
        """Logs the tallies at intervals until cancelled."""
        while True:
            await asyncio.sleep(TALLY_INTERVAL_S)
            self.log_tallies()

    def log_tallies(self) -> None:
        """Logs the tallies of all routes and resets them."""
        for route, tally in self._tallies.items():
            log.info(
                "requests",
                route=route,
                requests=tally.requests,
                missed=tally.missed,
                size=tally.size,
                missed_size=tally.missed_size,
                first_home=tally.first_home,
                second_home=tally.second_home,
                elsewhere=tally.elsewhere,
                planned=tally.planned,
                connections=tally.connections,
            )
        self._tallies.clear()
        self._logged = 0


def _count_home(tally: RouteTally, home: int) -> None:
    tally.first_home += home == 0
    tally.second_home += home == 1
    tally.elsewhere += home > 1


def _log_request(ended: EndedRequest, reason: MissReason, now: float) -> None:
    first = ended.time_to_first_event
    last = ended.attempts[-1] if ended.attempts else None
    arrived_at = ended.times.arrived_at
    log.info(
        "request missed",
        request=ended.request_id,
        route=ended.route.name,
        reason=reason.value,
        status=ended.status,
        prompt=ended.prompt_tokens,
        output=ended.output_tokens,
        shared=ended.prefix.tokens,
        age_ms=_milliseconds(now - arrived_at),
        deferred_ms=_milliseconds(ended.times.deferred),
        held_ms=_milliseconds(ended.times.worker_wait),
        sent_ms=_milliseconds(last.sent_at - arrived_at) if last else None,
        first_ms=_milliseconds(first) if first is not None else None,
        gap_ms=_milliseconds(ended.longest_gap),
        attempts=" ".join(_format_attempt(attempt) for attempt in ended.attempts),
    )


def _log_item(ended: EndedItem) -> None:
    now = time.monotonic()
    log.info(
        "item missed",
        job=ended.job,
        item=ended.item,
        route=ended.route,
        outcome=ended.outcome.name.lower(),
        slack_ms=_milliseconds(ended.due_at - ended.leased_at),
        waited_ms=_milliseconds((ended.started_at or now) - ended.leased_at),
        ran_ms=_milliseconds(now - ended.started_at) if ended.started_at else None,
        attempts=" ".join(_format_attempt(attempt) for attempt in ended.attempts),
    )


def _format_attempt(attempt: Attempt) -> str:
    """Formats one attempt: worker, end, known load, home rank, connection, time to the first event."""
    end = attempt.end.name.lower() if attempt.end is not None else "answered"
    home = "-" if attempt.home_rank is None else str(attempt.home_rank)
    view = attempt.load
    load = f"{view.own}+{view.others:.1f}/{view.capacity}" if view is not None else "?"
    connection = "new" if attempt.new_connection else "kept"
    first = _milliseconds(attempt.first_event_at - attempt.sent_at) if attempt.first_event_at else "-"
    return f"{attempt.worker}:{end}:{load}:{home}:{connection}:{first}"


def _milliseconds(seconds: float) -> int:
    return round(seconds * MILLISECONDS_PER_SECOND)
