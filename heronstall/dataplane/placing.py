"""Asks a core node where a large prompt is to be read, so that no two are read at one worker at a time.

All dispatchers ask the same node for a service. Its word is advice: without an answer at once, or where the
worker cannot be used from here, the request goes where a draw sends it.
"""

from __future__ import annotations

import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass

from heronstall.dataplane.prefixes import SharedPrefix
from heronstall.distribution.view import ControlStateView
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import Links
from heronstall.transport.messages import PlaceReply, PlaceRequest

ANSWER_WITHIN = 0.03  # seconds
LEFT_OUT = 3.0  # seconds for which a node that gave no answer is not asked
MILLISECONDS = 1000
PART_BYTES = 64  # of a shared part's name that are told


@dataclass(frozen=True)
class PlacedPrompt:
    """A planner's answer: a worker, and the tokens that are to be read there."""

    worker: str
    tokens: int


class PromptPlacer:
    """Where this dispatcher's large prompts go."""

    def __init__(
        self, links: Links, view: ControlStateView, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._links, self._view, self._clock = links, view, clock
        self._failed_at: dict[str, float] = {}
        self._heard: dict[str, tuple[int, float]] = {}  # by service: tokens read, seconds to the first event

    async def place(self, service: str, prefix: SharedPrefix, prompt_tokens: int) -> PlacedPrompt | None:
        """Where a prompt is to be read; None where nobody says so at once."""
        node = self._planner(service)
        if node is None:
            return None
        tokens, seconds = self._heard.pop(service, (0, 0.0))
        request = PlaceRequest(
            service=service,
            part=prefix.part[:PART_BYTES],
            shared=prefix.largest,
            own=max(0, prompt_tokens - prefix.largest),
            read_tokens=tokens,
            read_ms=int(seconds * MILLISECONDS),
        )
        reply = await self._links.to(node).call(Kind.PLACE, bytes(request), ANSWER_WITHIN)
        if reply.status not in (Status.OK, Status.UNKNOWN):
            self._failed_at[node] = self._clock()
        if reply.status != Status.OK:
            return None
        placed = PlaceReply().parse(reply.body)
        return PlacedPrompt(placed.worker, placed.tokens)

    def first_event(self, service: str, placed: PlacedPrompt, seconds: float) -> None:
        """A placed prompt's first event came so long after it was sent."""
        self._heard[service] = placed.tokens, seconds

    def _planner(self, service: str) -> str | None:
        """The core node that all dispatchers ask for a service, of those that answer here."""
        now = self._clock()
        answering = [
            node
            for node in self._view.control_addresses
            if now - self._failed_at.get(node, -LEFT_OUT) >= LEFT_OUT
        ]
        return max(answering, key=lambda node: zlib.crc32(f"{service}|{node}".encode()), default=None)
