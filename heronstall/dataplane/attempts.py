"""Attempts at a worker that are under way, and when one counts as silent."""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass, field
from typing import NamedTuple

from heronstall.dataplane.attempt_ends import RULES, AttemptEnd

WORKER_SILENT = 0.5  # seconds: a worker from which nothing has come since an attempt that old is suspected
REQUEST_SILENT = 1.2  # seconds without an event after which a request that may be repeated goes elsewhere
ITEM_SILENT = 3.0  # the same for a batch item, which may wait in a worker's queue
READ_PER_SECOND = 30_000  # prompt tokens that a loaded worker reads at the least: as long it may be silent
READING_MOST = 2.0  # seconds of silence that a prompt excuses at the most, whatever its length


SLOW = 0.25  # seconds beyond its prompt's reading from which a first event counts as slow
SLOW_SHARE = 0.34  # part of the latest requests that are slow, from which load explains silence
COUNTED_LEAST = 3.0  # latest requests from which that share is known
FORGET = 1.0  # seconds after which a request counts for 1/e


class SilenceLimit:
    """How long a worker may give no sign of life before it is suspected. Free of I/O.

    Where first events are slow all over, silence is no sign of a dark worker: its place is a queue. To send
    its requests elsewhere would have their prompts read twice, by workers that are as loaded.
    """

    def __init__(self) -> None:
        self._slow = self._counted = 0.0
        self._at = 0.0
        self._waiting = 0

    def first_event(self, seconds: float, now: float) -> None:
        """A first event has come so long after its prompt could have been read."""
        self._count(float(seconds > SLOW), 1.0, now)

    def gave_up(self, attempts: int, now: float) -> None:
        """So many attempts were ended without a sign of life."""
        self._count(attempts, attempts, now)

    def waiting(self, attempts: int) -> None:
        """So many attempts are slow already, and under way."""
        self._waiting = attempts

    def seconds(self, now: float) -> float:
        """The limit at a moment."""
        kept = math.exp((self._at - now) / FORGET)
        counted = self._counted * kept + self._waiting
        loaded = self._slow * kept + self._waiting > SLOW_SHARE * counted
        return REQUEST_SILENT if loaded and counted >= COUNTED_LEAST else WORKER_SILENT

    def _count(self, slow: float, counted: float, now: float) -> None:
        kept = math.exp((self._at - now) / FORGET)
        self._slow = self._slow * kept + slow
        self._counted = self._counted * kept + counted
        self._at = now


class LoadView(NamedTuple):
    """A worker's load as its dispatcher knew it when it sent an attempt there."""

    own: int  # requests and items of this dispatcher
    others: float  # those of the other dispatchers, as last told
    capacity: int


@dataclass(eq=False)
class Attempt:
    """One request at one worker. `limit` ends it; only attempts that may be repeated are ended early."""

    limit: asyncio.Timeout
    patience: float | None  # seconds of silence after which it may be tried elsewhere; None: never
    sent_at: float
    heard_at: float
    reading: float = 0.0  # seconds that the worker may need for its prompt before anything comes
    worker: str = ""
    view: LoadView | None = None
    home: int | None = None  # the worker's rank among those that the shared part belongs to, from 0
    new_connection: bool = False  # was opened for it
    first_at: float = 0.0  # steady time of its first event; 0 where none came
    longest_gap: float = 0.0  # seconds between two of its events
    end: AttemptEnd | None = None  # None: it gave an answer, or is under way

    @property
    def ran(self) -> bool:
        """Whether the worker may have run it."""
        return self.end is None or not RULES[self.end].not_run


@dataclass
class Attempts:
    """The attempts at one worker."""

    silence: SilenceLimit = field(default_factory=SilenceLimit)  # shared by all workers
    under_way: set[Attempt] = field(default_factory=set)
    heard_at: float = 0.0  # latest byte of the worker on any connection

    def begin(self, limit: asyncio.Timeout, patience: float | None, prompt_tokens: int = 0) -> Attempt:
        """An attempt is sent."""
        now = time.monotonic()
        attempt = Attempt(limit, patience, now, now, min(READING_MOST, prompt_tokens / READ_PER_SECOND))
        self.under_way.add(attempt)
        return attempt

    def heard(self, attempt: Attempt) -> None:
        """Something has come of an attempt."""
        now = time.monotonic()
        if attempt.first_at:
            attempt.longest_gap = max(attempt.longest_gap, now - attempt.heard_at)
        attempt.heard_at = self.heard_at = now

    def first_heard(self, attempt: Attempt) -> float:
        """The first event of an attempt has come; seconds since it was sent."""
        self.heard(attempt)
        attempt.first_at = attempt.heard_at
        return attempt.first_at - attempt.sent_at

    def end(self, attempt: Attempt) -> None:
        """An attempt is over."""
        self.under_way.discard(attempt)

    def suspected(self, now: float) -> bool:
        """Whether the worker seems dark: an attempt waits, and nothing has come since it was sent."""
        most = self.silence.seconds(now)
        return any(
            now - a.sent_at > most + a.reading and a.heard_at == a.sent_at and self.heard_at <= a.sent_at
            for a in self.under_way
        )

    def slow(self, now: float) -> int:
        """Requests under way whose first event is late already; items may wait in a worker's queue."""
        return sum(
            a.heard_at == a.sent_at and a.patience != ITEM_SILENT and now - a.sent_at > SLOW + a.reading
            for a in self.under_way
        )

    def end_silent(self, now: float) -> int:
        """End the attempts that may be repeated and get nothing; how many."""
        most = self.silence.seconds(now) if self.suspected(now) else ITEM_SILENT
        silent = [
            a
            for a in self.under_way
            if a.patience is not None and now - a.heard_at > min(most, a.patience) + _reading(a)
        ]
        loop_now = asyncio.get_running_loop().time()
        for attempt in silent:
            self.end(attempt)
            attempt.limit.reschedule(loop_now)
        return len(silent)


def _reading(attempt: Attempt) -> float:
    """Seconds of silence that its prompt still excuses."""
    return attempt.reading if attempt.heard_at == attempt.sent_at else 0.0
