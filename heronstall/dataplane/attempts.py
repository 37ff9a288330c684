"""Attempts at a worker that are under way, and when one counts as silent."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import NamedTuple

from heronstall.dataplane.attempt_ends import RULES, AttemptEnd

WORKER_SILENT = 0.5  # seconds: a worker from which nothing has come since an attempt that old is suspected
REQUEST_SILENT = 1.2  # seconds without an event after which a request that may be repeated goes elsewhere
ITEM_SILENT = 3.0  # the same for a batch item, which may wait in a worker's queue
READ_PER_SECOND = 30_000  # prompt tokens that a loaded worker reads at the least: as long it may be silent
READING_MOST = 2.0  # seconds of silence that a prompt excuses at the most, whatever its length


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
        return any(
            now - a.sent_at > WORKER_SILENT + a.reading
            and a.heard_at == a.sent_at
            and self.heard_at <= a.sent_at
            for a in self.under_way
        )

    def end_silent(self, now: float) -> int:
        """End the attempts that may be repeated and get nothing; how many."""
        most = WORKER_SILENT if self.suspected(now) else ITEM_SILENT
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
