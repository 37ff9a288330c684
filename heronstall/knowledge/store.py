"""What several processes have said of the servers, side by side, and what of it a newcomer is told.

Each process's latest word stands for itself: merging takes the later of two words of one process, so that it
is commutative, associative and idempotent (a map of last-writer registers, each with one writer: Shapiro,
Preguiça, Baquero, Zawirski, "Conflict-free Replicated Data Types", 2011). Who is told by several takes the
more careful view: of the reports the lower middle one, of failures what more than one has met.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from heronstall import interface as i
from heronstall.knowledge.observations import OLDEST, Sight, Word

SHUN = 1_000_000  # a server that others cannot use is left out at first, until an attempt of one's own
LOST = 2  # attempts in a row that others lost there
SHUN_SHARE = 0.4  # of the servers, at the most: a trouble of all, or a lie, is to leave out none


class Heard(NamedTuple):
    """A word, and the moment here from which the ages in it count: that of asking, so that the way counts
    twice rather than not at all."""

    word: Word
    at: int


class Book:
    """The latest words."""

    def __init__(self) -> None:
        self.words: dict[str, Heard] = {}

    def merge(self, word: Word, at: int) -> None:
        """A word has come, new, old or once more."""
        held = self.words.get(word.node)
        if held is None or word.stamp > held.word.stamp:
            self.words[word.node] = Heard(word, at)

    def hearsay(self, now: int, number: Callable[[str, int], int | None]) -> list[i.Hearsay]:
        """What the decisions are to be told; `number` of a server's process, None for one that is not known
        here: hearsay names none."""
        found: dict[int, list[Sight]] = {}
        for heard in self.words.values():
            for sight in heard.word.sights:
                known = number(sight.uid, sight.boot_ms)
                age = now - heard.at + sight.age
                if known is not None and 0 <= age <= OLDEST:
                    found.setdefault(known, []).append(sight._replace(age=age))
        shunned = {worker for worker, sights in found.items() if self._shunned(sights)}
        if len(shunned) > SHUN_SHARE * len(found):
            shunned.clear()
        return [_told(worker, sights, worker in shunned) for worker, sights in sorted(found.items())]

    def _shunned(self, sights: list[Sight]) -> bool:
        """Whether they speak against it: more than one, unless only one has told us anything."""
        against = sum(sight.lost >= LOST for sight in sights)
        return against >= min(2, len(self.words)) and 2 * against > len(sights)


def _told(worker: int, sights: list[Sight], shunned: bool) -> i.Hearsay:
    reports = sorted((s.free, s.age, s) for s in sights if s.free is not None)
    if not reports:
        return i.Hearsay(worker, min(s.age for s in sights), None, SHUN if shunned else 0)
    _, age, sight = reports[(len(reports) - 1) // 2]
    report = i.Report(util=sight.util, inflight=sight.busy, free_slots=sight.free)
    return i.Hearsay(worker, age, report, SHUN if shunned else 0)
