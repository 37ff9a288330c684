"""The shared parts of a prompt."""

from __future__ import annotations

from typing import NamedTuple

TOKEN_DIGITS = 9  # of a number of tokens, at the most
LARGE = 1500  # shared tokens from which reading them again costs more than an uneven load


class SharedPrefix(NamedTuple):
    """The largest shared part of a prompt, and the tokens of all shared parts."""

    part: str
    tokens: int
    largest: int = 0  # tokens of that part

    @property
    def is_large(self) -> bool:
        """Whether it matters where a prompt with such shared parts is read."""
        return self.tokens >= LARGE


NOTHING = SharedPrefix("", 0)


def shared_prefix(header: str) -> SharedPrefix:
    """Read `ID:TOKENS,...`; the last part is the request's own. What can't be read shares nothing."""
    largest, most, total = "", 0, 0
    for part in header.split(",")[:-1]:
        name, _, size = part.strip().partition(":")
        if not size.isdecimal() or len(size) > TOKEN_DIGITS:
            return NOTHING
        tokens = int(size)
        total += tokens
        if tokens > most:
            largest, most = name, tokens
    return SharedPrefix(largest, total, most)
