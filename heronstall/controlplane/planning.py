"""Answers dispatchers that ask where a large prompt is to be read. Free of I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from heronstall.placement.prefill import Load, PrefillPlanner, Prompt
from heronstall.sessions.table import Sessions
from heronstall.transport.frames import Status
from heronstall.transport.links import Reply
from heronstall.transport.messages import PlaceReply, PlaceRequest, Worker

SERVICES_MOST = 256  # whose plans are kept
MILLISECONDS = 1000


class ReadingPlans:
    """A planner for each service that is asked for."""

    def __init__(self, sessions: Sessions, clock: Callable[[], float]) -> None:
        self._sessions, self._clock = sessions, clock
        self._planners: dict[str, PrefillPlanner] = {}

    def answer(self, request: PlaceRequest, workers: Mapping[str, Worker]) -> Reply:
        """Place a prompt at one of a registry shard's workers."""
        planner = self._planner(request.service)
        planner.record_prefill(request.read_tokens, request.read_ms / MILLISECONDS)
        ready = self._ready(request.service, workers)

        def load(worker: str) -> Load:
            return Load(self._sessions.total_at_worker(worker), max(1, workers[worker].capacity))

        prompt = Prompt(request.part, request.shared, request.own)
        placed = planner.place(self._clock(), prompt, ready, load)
        if placed is None:
            return Reply(Status.UNKNOWN)
        return Reply(Status.OK, bytes(PlaceReply(placed.worker, placed.tokens)))

    def _planner(self, service: str) -> PrefillPlanner:
        planner = self._planners.get(service)
        if planner is None:
            if len(self._planners) >= SERVICES_MOST:
                self._planners.pop(next(iter(self._planners)))
            planner = self._planners[service] = PrefillPlanner()
        return planner

    @staticmethod
    def _ready(service: str, workers: Mapping[str, Worker]) -> Sequence[str]:
        return [name for name, w in workers.items() if w.service == service and w.state == "ready"]
