"""Whether a history of calls to the configuration API can be explained by one register with compare-and-set.

Apart from the code that it judges. Each call has a start, an end and an answer, or none. A call takes effect
at one instant between its start and its end; one without a clear answer at any later time, or never. The same
change may be sent again: it takes effect once, and any later call of it is a repeat.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

FOREVER = float("inf")


class Answer(Enum):
    """What a call was told."""

    TAKEN = "200"
    STALE = "412"
    UNCLEAR = "none"
    READ = "read"


@dataclass(frozen=True)
class Call:
    """One call. For a read: the revision and content that came."""

    start: float
    end: float
    answer: Answer
    base: int = 0
    revision: int = 0
    content: str = ""


@dataclass(frozen=True)
class Register:
    """The state that explains a history: what is in force, and the changes that were taken."""

    revision: int = 0
    content: str = ""
    taken: frozenset[tuple[int, int, str]] = frozenset()

    def after(self, call: Call) -> Register | None:
        """The state after a call takes effect here; None where its answer contradicts the state."""
        if call.answer is Answer.READ:
            return self if (call.revision, call.content) == (self.revision, self.content) else None
        change = (call.base, call.revision, call.content)
        repeated = change in self.taken
        fits = not repeated and call.base == self.revision
        if call.answer is Answer.STALE:
            return None if repeated or fits else self
        if fits:
            return Register(call.revision, call.content, self.taken | {change})
        if repeated or call.answer is Answer.UNCLEAR:
            return self
        return None


def explained(calls: Sequence[Call]) -> bool:
    """Whether some order of the calls, each within its time, gives all answers (Wing and Gong's search)."""
    order = sorted(calls, key=lambda c: c.start)
    ends = [FOREVER if c.answer is Answer.UNCLEAR else c.end for c in order]
    clear = frozenset(n for n, c in enumerate(order) if c.answer is not Answer.UNCLEAR)
    seen: set[tuple[frozenset[int], Register]] = set()
    waiting = [(frozenset[int](), Register())]
    while waiting:
        done, register = waiting.pop()
        if clear <= done:
            return True
        if (done, register) in seen:
            continue
        seen.add((done, register))
        first_end = min(ends[n] for n in range(len(order)) if n not in done)
        for n, call in enumerate(order):
            if call.start > first_end:
                break
            if n in done:
                continue
            after = register.after(call)
            if after is not None and not (call.answer is Answer.UNCLEAR and after is register):
                waiting.append((done | {n}, after))
    return False
