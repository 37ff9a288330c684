"""Parses the headers that describe a prompt: its length and its shared segments."""

from __future__ import annotations

from typing import NamedTuple

from heronstall.dataplane.whole_numbers import parse_whole_number

# From this size on, prefilling the shared tokens again costs more than an uneven load.
LARGE_PREFIX_TOKENS = 1500


class TokenUsage(NamedTuple):
    """The length of a prompt and the maximum length of the output, in tokens; 0 if not stated."""

    prompt: int
    output: int


def parse_token_usage(header: str) -> TokenUsage:
    """Parses `PROMPT,OUTPUT`. What is missing or malformed counts as not stated."""
    prompt, _, output = header.partition(",")
    return TokenUsage(parse_whole_number(prompt) or 0, parse_whole_number(output) or 0)


class SharedPrefix(NamedTuple):
    """The largest shared segment of a prompt, and the tokens of all its shared segments."""

    segment: str
    tokens: int
    segment_tokens: int = 0

    @property
    def is_large(self) -> bool:
        """Whether it matters which worker prefills a prompt with these shared segments."""
        return self.tokens >= LARGE_PREFIX_TOKENS


NO_SHARED_PREFIX = SharedPrefix("", 0)


def parse_shared_prefix(header: str) -> SharedPrefix:
    """Parses `ID:TOKENS,...`, whose last segment is the request's own.

    Returns NO_SHARED_PREFIX for a malformed header.
    """
    largest, largest_tokens, total = "", 0, 0
    for segment in header.split(",")[:-1]:
        name, _, size = segment.strip().partition(":")
        tokens = parse_whole_number(size)
        if tokens is None:
            return NO_SHARED_PREFIX
        total += tokens
        if tokens > largest_tokens:
            largest, largest_tokens = name, tokens
    return SharedPrefix(largest, total, largest_tokens)
