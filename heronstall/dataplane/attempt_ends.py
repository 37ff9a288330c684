"""Every way in which an attempt at a worker ends without an answer for the client, and what may follow.

Only four ways prove that the request did not run. After any other it may have run, whatever its bytes say:
another attempt then counts against the route's attempts, and is made on routes alone that allow repeats.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple


class AttemptEnd(Enum):
    """How an attempt ended that gave no answer."""

    NO_CONNECTION = "no connection was made, nothing was sent"
    FULL = "503 with proof that it did not run"
    TURNED_AWAY = "429 with proof that it did not run"
    WRONG_WORKER = "421: another worker has this address"
    UNPROVEN_REFUSAL = "408, 429 or 503 without proof that it did not run"
    NO_ANSWER = "the connection ended before the head of an answer, with or without the whole request sent"
    OTHER_ID = "an answer that belongs to another request, or says not to which"
    NO_LENGTH = "an answer that ends with its connection"
    CUT_SHORT = "the connection ended within an answer, or its bytes are none"
    FAILED_RESUMPTION = "another worker did not go on with a stream that the client has begun to receive"
    TIMED_OUT = "the deadline came, or the worker was silent for too long"


class EndRule(NamedTuple):
    """What an end says of the request, and of the worker."""

    not_run: bool  # it is certain that the worker neither ran the request nor ever will
    worker_failed: bool  # the worker is avoided for a while


RULES: Mapping[AttemptEnd, EndRule] = {
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
PROOF_STATUSES = frozenset({429, 503})  # with the header that states it; 421 needs none
UNPROVEN_STATUSES = frozenset({408, 429, 503})  # they promise a client that its request has not run


class Refusal(NamedTuple):
    """What the head of a worker's answer says of the run, where the answer belongs to the request."""

    status: int
    proven: bool  # it carries Heronstall-Not-Executed

    @property
    def end(self) -> AttemptEnd | None:
        """How the attempt has ended by this; None where the answer is the client's."""
        if self.status == 421:
            return AttemptEnd.WRONG_WORKER
        if self.proven and self.status in PROOF_STATUSES:
            return AttemptEnd.FULL if self.status == 503 else AttemptEnd.TURNED_AWAY
        if not self.proven and self.status in UNPROVEN_STATUSES:
            return AttemptEnd.UNPROVEN_REFUSAL
        return None


def another_may_follow(end: AttemptEnd, repeatable: bool, runs: int, most: int) -> bool:
    """Whether a request may be sent again after `runs` attempts, this one included, that may have run."""
    return RULES[end].not_run or (repeatable and runs < most)
