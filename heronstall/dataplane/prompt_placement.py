"""Asks a core node which worker should prefill a large prompt, so that no worker prefills two at a time.

All dispatchers ask the same node for a service. Its reply is advisory: without an immediate reply, or if the
worker cannot be used from here, the request goes to a worker that this dispatcher selects itself.
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

REPLY_TIMEOUT_S = 0.03
NODE_RETRY_DELAY_S = 3.0  # during which a node that failed to reply is not asked again
MILLISECONDS = 1000
MAX_SEGMENT_NAME_LENGTH = 64  # longer names are truncated in requests


@dataclass(frozen=True)
class PlacedPrompt:
    """A planner's reply: a worker, and the number of tokens that it has to prefill."""

    worker: str
    tokens: int


class PromptPlacer:
    """Requests placements for this dispatcher's large prompts."""

    def __init__(
        self, links: Links, view: ControlStateView, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._links, self._view, self._clock = links, view, clock
        self._failed_at: dict[str, float] = {}
        # By service: tokens prefilled and seconds to the first event, reported with the next request.
        self._measurements: dict[str, tuple[int, float]] = {}

    async def place(self, service: str, prefix: SharedPrefix, prompt_tokens: int) -> PlacedPrompt | None:
        """Returns the planned placement of a prompt; None without an immediate reply."""
        node = self._planner_node(service)
        if node is None:
            return None
        tokens, seconds = self._measurements.pop(service, (0, 0.0))
        request = PlaceRequest(
            service=service,
            part=prefix.segment[:MAX_SEGMENT_NAME_LENGTH],
            shared=prefix.segment_tokens,
            own=max(0, prompt_tokens - prefix.segment_tokens),
            read_tokens=tokens,
            read_ms=int(seconds * MILLISECONDS),
        )
        reply = await self._links.to(node).call(Kind.PLACE, bytes(request), REPLY_TIMEOUT_S)
        if reply.status not in (Status.OK, Status.UNKNOWN):
            self._failed_at[node] = self._clock()
        if reply.status != Status.OK:
            return None
        placed = PlaceReply().parse(reply.body)
        return PlacedPrompt(placed.worker, placed.tokens)

    def record_first_event(self, service: str, placed: PlacedPrompt, seconds: float) -> None:
        """Records the time from sending a placed prompt to its first event."""
        self._measurements[service] = placed.tokens, seconds

    def _planner_node(self, service: str) -> str | None:
        """Returns the core node to ask, the same one for all dispatchers that reach the same nodes."""
        now = self._clock()
        responsive = [
            node
            for node in self._view.control_addresses
            if now - self._failed_at.get(node, -NODE_RETRY_DELAY_S) >= NODE_RETRY_DELAY_S
        ]
        return max(responsive, key=lambda node: zlib.crc32(f"{service}|{node}".encode()), default=None)
