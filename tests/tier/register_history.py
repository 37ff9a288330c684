"""A linearizability check for histories of calls to the configuration API: a compare-and-set register.

The check shares no code with the implementation. Each call has a start, an end and an answer. A call takes
effect at one instant between its start and its end; a call with an unknown outcome takes effect at any later
time, or never. A change may be sent repeatedly: it takes effect once, and later calls with it are repeats.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

NEVER = float("inf")


class Answer(Enum):
    """The answer to a call."""

    ACCEPTED = "200"
    STALE = "412"
    UNKNOWN = "none"
    READ = "read"


@dataclass(frozen=True)
class Call:
    """One call. For a read, the revision and content are those returned."""

    start: float
    end: float
    answer: Answer
    base: int = 0
    revision: int = 0
    content: str = ""


@dataclass(frozen=True)
class Register:
    """The state of the register: the current revision and content, and the accepted changes."""

    revision: int = 0
    content: str = ""
    accepted: frozenset[tuple[int, int, str]] = frozenset()

    def state_after(self, call: Call) -> Register | None:
        """Returns the state after a call takes effect, or None if its answer contradicts this state."""
        if call.answer is Answer.READ:
            return self if (call.revision, call.content) == (self.revision, self.content) else None
        change = (call.base, call.revision, call.content)
        repeated = change in self.accepted
        fits = not repeated and call.base == self.revision
        if call.answer is Answer.STALE:
            return None if repeated or fits else self
        if fits:
            return Register(call.revision, call.content, self.accepted | {change})
        if repeated or call.answer is Answer.UNKNOWN:
            return self
        return None


def is_linearizable(calls: Sequence[Call]) -> bool:
    """Whether some order of the calls, each within its time, gives all answers (Wing and Gong's search)."""
    order = sorted(calls, key=lambda c: c.start)
    ends = [NEVER if c.answer is Answer.UNKNOWN else c.end for c in order]
    definite_calls = frozenset(n for n, c in enumerate(order) if c.answer is not Answer.UNKNOWN)
    visited: set[tuple[frozenset[int], Register]] = set()
    pending = [(frozenset[int](), Register())]
    while pending:
        done, register = pending.pop()
        if definite_calls <= done:
            return True
        if (done, register) in visited:
            continue
        visited.add((done, register))
        first_end = min(ends[n] for n in range(len(order)) if n not in done)
        for n, call in enumerate(order):
            if call.start > first_end:
                break
            if n in done:
                continue
            state_after = register.state_after(call)
            if state_after is not None and not (call.answer is Answer.UNKNOWN and state_after is register):
                pending.append((done | {n}, state_after))
    return False
