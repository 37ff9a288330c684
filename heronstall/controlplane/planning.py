"""Chooses the workers that read large prompts, on request of dispatchers. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from heronstall.placement.prefill import Load, PrefillPlanner, Prompt
from heronstall.sessions.table import Sessions
from heronstall.transport.frames import Status
from heronstall.transport.links import Reply
from heronstall.transport.messages import PlaceReply, PlaceRequest, Worker

MAX_SERVICES = 256  # services whose planners are kept
MILLISECONDS = 1000


class ReadingPlanners:
    """One reading planner per requested service."""

    def __init__(self, sessions: Sessions, clock: Callable[[], float]) -> None:
        self._sessions, self._clock = sessions, clock
        self._planners: dict[str, PrefillPlanner] = {}

    def place_prompt(self, request: PlaceRequest, workers: Mapping[str, Worker]) -> Reply:
        """Chooses one of a registry shard's workers for a prompt."""
        planner = self._planner(request.service)
        planner.record_prefill(request.read_tokens, request.read_ms / MILLISECONDS)
        ready = self._ready_workers(request.service, workers)

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
            if len(self._planners) >= MAX_SERVICES:
                self._planners.pop(next(iter(self._planners)))
            planner = self._planners[service] = PrefillPlanner()
        return planner

    @staticmethod
    def _ready_workers(service: str, workers: Mapping[str, Worker]) -> Sequence[str]:
        return [name for name, w in workers.items() if w.service == service and w.state == "ready"]
