"""The ways in which an attempt at a worker ends without a response for the client, and what may follow.

Only four of them prove that the request was not executed. After any other it may have been executed, whatever
the bytes received say: the attempt then counts towards the route's limit, and another attempt is made only on
routes that allow repeats.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple


class AttemptEnd(Enum):
    """How an attempt ended without a response for the client."""

    NO_CONNECTION = "the connection could not be established, nothing was sent"
    FULL = "503 with proof that the request was not executed"
    TURNED_AWAY = "429 with proof that the request was not executed"
    WRONG_WORKER = "421: the address belongs to another worker"
    UNPROVEN_REFUSAL = "408, 429 or 503 without proof that the request was not executed"
    NO_ANSWER = "the connection ended before a complete response head, the request may have been sent in part"
    OTHER_ID = "the response carries another request's id, or none"
    NO_LENGTH = "the response is delimited only by the end of its connection"
    CUT_SHORT = "the connection ended within the response, or the response is malformed"
    FAILED_RESUMPTION = "another worker did not resume a stream that the client has begun to receive"
    TIMED_OUT = "the deadline passed, or the worker was silent for too long"


class EndRule(NamedTuple):
    """What an end implies for the request and for the worker."""

    not_run: bool  # the worker certainly has not executed the request and never will
    worker_failed: bool  # the worker is avoided for a while


END_RULES: Mapping[AttemptEnd, EndRule] = {
    AttemptEnd.NO_CONNECTION: EndRule(not_run=True, worker_failed=True),
    AttemptEnd.FULL: EndRule(not_run=True, worker_failed=False),
    AttemptEnd.TURNED_AWAY: EndRule(not_run=True, worker_failed=False),
    AttemptEnd.WRONG_WORKER: EndRule(not_run=True, worker_failed=True),
    AttemptEnd.UNPROVEN_REFUSAL: EndRule(not_run=False, worker_failed=False),
    AttemptEnd.NO_ANSWER: EndRule(not_run=False, worker_failed=True),
    AttemptEnd.OTHER_ID: EndRule(not_run=False, worker_failed=True),
    AttemptEnd.NO_LENGTH: EndRule(not_run=False, worker_failed=True),
    AttemptEnd.CUT_SHORT: EndRule(not_run=False, worker_failed=True),
    AttemptEnd.FAILED_RESUMPTION: EndRule(not_run=False, worker_failed=True),
    AttemptEnd.TIMED_OUT: EndRule(not_run=False, worker_failed=False),
}
PROOF_STATUSES = frozenset({429, 503})  # prove a refusal if the header says so; 421 needs no header
# Without the proof these are not passed on: they would promise the client that its request was not executed.
UNPROVEN_STATUSES = frozenset({408, 429, 503})


class Refusal(NamedTuple):
    """What a worker's response head, if it belongs to the request, says about its execution."""

    status: int
    proven: bool  # the head carries Heronstall-Not-Executed

    @property
    def end(self) -> AttemptEnd | None:
        """How this response ends the attempt; None if it is to be passed on to the client."""
        if self.status == 421:
            return AttemptEnd.WRONG_WORKER
        if self.proven and self.status in PROOF_STATUSES:
            return AttemptEnd.FULL if self.status == 503 else AttemptEnd.TURNED_AWAY
        if not self.proven and self.status in UNPROVEN_STATUSES:
            return AttemptEnd.UNPROVEN_REFUSAL
        return None


def may_retry(end: AttemptEnd, repeatable: bool, runs: int, max_runs: int) -> bool:
    """Returns whether a request may be sent again after `runs` attempts that may have executed it."""
    return END_RULES[end].not_run or (repeatable and runs < max_runs)
