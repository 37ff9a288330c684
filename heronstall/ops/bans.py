"""Which servers are out by hand. Free of I/O: the newest word on an id wins, whichever process heard it.

Two processes that serve as one dispatcher put their books together with `merge`; in whatever order and
however often they do it, both come to the same book. Times are Unix time in microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

KEPT = 4096  # ids with a word on them; of those that are back in, the oldest go first


class TimedFlag(NamedTuple):
    """The newest word on an id."""

    at_us: int
    out: bool


class Bans:
    """The book of words."""

    def __init__(self) -> None:
        self._words: dict[str, TimedFlag] = {}

    def banned_since(self, uid: str) -> int | None:
        """Since when the server is out by hand; None when it is not."""
        word = self._words.get(uid)
        return word.at_us if word is not None and word.out else None

    def readmitted_at(self, uid: str) -> int | None:
        """When the server's last ban ended; None where none has."""
        word = self._words.get(uid)
        return word.at_us if word is not None and not word.out else None

    def has_record(self, uid: str) -> bool:
        """Whether there is a word on this id, out or in."""
        return uid in self._words

    def set_banned(self, uid: str, out: bool, now: int) -> bool:
        """A call's word; whether it changes anything. A ban said again keeps its first moment."""
        word = self._words.get(uid)
        if (word is not None and word.out) == out:
            return False
        # Guards against a clock set back: the newer word must look newer to whoever reads both.
        self._words[uid] = TimedFlag(now if word is None else max(now, word.at_us + 1), out)
        self._bound()
        return True

    def merge(self, rows: Iterable[tuple[str, TimedFlag]]) -> list[str]:
        """Another book's words; the ids on which they were newer."""
        changed = []
        for uid, word in rows:
            mine = self._words.get(uid)
            if mine is None or (word.at_us, word.out) > mine:
                self._words[uid] = word
                changed.append(uid)
        self._bound()
        return changed

    def rows(self) -> list[tuple[str, TimedFlag]]:
        """Every word, by id."""
        return sorted(self._words.items())

    def _bound(self) -> None:
        if len(self._words) > KEPT:
            back = sorted((word.at_us, uid) for uid, word in self._words.items() if not word.out)
            for _, uid in back[: len(self._words) - KEPT]:
                del self._words[uid]
