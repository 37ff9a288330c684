"""Tracks the attempts in progress at a worker and detects silence."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import NamedTuple

from heronstall.dataplane.attempt_ends import END_RULES, AttemptEnd
from heronstall.transport.event_waits import expire_now

# A worker is suspected if it has sent nothing since an attempt this old was sent.
WORKER_SILENCE_S = 0.5
REQUEST_SILENCE_S = 1.2  # without an event, after which a repeatable request is sent to another worker
ITEM_SILENCE_S = 3.0  # the same for a batch item, which may wait in a worker's queue
# The lowest prefill rate of a loaded worker. Silence is tolerated while a prompt takes that long.
MIN_PREFILL_TOKENS_PER_SECOND = 30_000
MAX_PREFILL_ALLOWANCE_S = 2.0  # silence that is tolerated for a prompt of any length


class LoadSnapshot(NamedTuple):
    """A worker's load as the dispatcher knew it when it sent an attempt there."""

    own: int  # requests and items of this dispatcher
    others: float  # those of the other dispatchers, from their latest reports
    capacity: int


@dataclass(eq=False)
class Attempt:
    """One request at one worker. `timeout` ends it; only repeatable attempts are ended early."""

    timeout: asyncio.Timeout
    max_silence: float | None  # seconds, after which another worker may be tried; None for no limit
    sent_at: float
    last_data_at: float
    prefill_allowance: float = 0.0  # seconds that the worker may need for the prompt before the first data
    patience: float = 1.0  # factor by which silence is tolerated for longer than usual
    worker: str = ""
    load: LoadSnapshot | None = None
    home_rank: int | None = None  # rank of the worker among the homes of the shared segment, from 0
    new_connection: bool = False  # whether a connection was opened for it
    first_event_at: float = 0.0  # monotonic time of the first event; 0 without one
    longest_gap: float = 0.0  # seconds between two successive events
    end: AttemptEnd | None = None  # None if it was answered or is in progress

    @property
    def may_have_run(self) -> bool:
        """Whether the worker may have executed the request."""
        return self.end is None or not END_RULES[self.end].not_run


@dataclass
class Attempts:
    """The attempts in progress at one worker."""

    active: set[Attempt] = field(default_factory=set)
    last_data_at: float = 0.0  # when the worker last sent data on any connection

    def begin(
        self,
        timeout: asyncio.Timeout,
        max_silence: float | None,
        prompt_tokens: int = 0,
        patience: float = 1.0,
    ) -> Attempt:
        """Registers an attempt that is being sent."""
        now = time.monotonic()
        allowance = min(MAX_PREFILL_ALLOWANCE_S, prompt_tokens / MIN_PREFILL_TOKENS_PER_SECOND)
        attempt = Attempt(timeout, max_silence, now, now, allowance, patience)
        self.active.add(attempt)
        return attempt

    def record_data(self, attempt: Attempt) -> None:
        """Records that data has arrived for an attempt."""
        now = time.monotonic()
        if attempt.first_event_at:
            attempt.longest_gap = max(attempt.longest_gap, now - attempt.last_data_at)
        attempt.last_data_at = self.last_data_at = now

    def record_first_event(self, attempt: Attempt) -> float:
        """Records the first event of an attempt and returns the seconds since it was sent."""
        self.record_data(attempt)
        attempt.first_event_at = attempt.last_data_at
        return attempt.first_event_at - attempt.sent_at

    def finish(self, attempt: Attempt) -> None:
        """Removes an attempt that has ended."""
        self.active.discard(attempt)

    def suspected(self, now: float) -> bool:
        """Returns whether the worker seems unresponsive.

        That is so if an attempt is overdue and the worker has sent no data since that attempt was sent.
        """
        return any(
            now - a.sent_at > WORKER_SILENCE_S + a.prefill_allowance
            and a.last_data_at == a.sent_at
            and self.last_data_at <= a.sent_at
            for a in self.active
        )

    def end_silent(self, now: float) -> int:
        """Ends the repeatable attempts that have been silent for too long and returns their number."""
        limit = WORKER_SILENCE_S if self.suspected(now) else ITEM_SILENCE_S
        silent = [
            a
            for a in self.active
            if a.max_silence is not None
            and now - a.last_data_at > (min(limit, a.max_silence) + _remaining_allowance(a)) * a.patience
        ]
        for attempt in silent:
            self.finish(attempt)
            expire_now(attempt.timeout)
        return len(silent)


def _remaining_allowance(attempt: Attempt) -> float:
    """Returns the prefill allowance in seconds; 0 once data has arrived."""
    return attempt.prefill_allowance if attempt.last_data_at == attempt.sent_at else 0.0
