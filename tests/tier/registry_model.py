"""Enumerates all orders of a worker's calls to the registry: late, repeated or lost, with changing leaders.

Each call is answered by the code of the product, `ControlApi` and `WorkerShard`. A call may arrive long after
later ones, the leader may expire the worker as silent at any time, and another leader may take over.
"""

from __future__ import annotations

import copy
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple
from unittest import mock

import ujson

from heronstall.controlplane.api import ControlApi
from heronstall.controlplane.core import Core
from heronstall.controlplane.state import worker_shard
from heronstall.controlplane.state.worker_shard import WorkerShard
from heronstall.distribution.shards import worker_shard as shard_of
from tests.tier.lease_model import take_delivery

SERVICE, WORKER = "s", "w"
GROUP = shard_of(SERVICE)
DELIVERIES = 2  # times that one call may be delivered


class InvariantViolation(AssertionError):
    """A state violates a guarantee; the message contains the steps that lead to it."""


class Call(NamedTuple):
    """A worker's call as sent: the state in a heartbeat, or "gone" for the last call."""

    sequence: int
    state: str


def run_without_waiting(run: Coroutine[Any, Any, Any]) -> Any:
    """Returns the result of a coroutine that never waits."""
    try:
        run.send(None)
    except StopIteration as ended:
        return ended.value
    raise AssertionError("the coroutine waits")


class Leader:
    """The leader of the registry shard with its HTTP API."""

    def __init__(self, shard: WorkerShard | None = None, index: int = 0) -> None:
        self.shard = shard or WorkerShard()
        self.index = index

    def handle_call(self, call: Call) -> bool:
        """Answers a call. Returns whether it was acknowledged."""
        core = mock.Mock(workers={GROUP: self.shard}, heard={}, leads=lambda group: True)
        core.host.now = lambda: 0.0
        core.fresh = lambda: True
        core.settings.listen = {"control": "10.0.0.1:8166"}
        core.commit = self._commit
        core.remove_worker = lambda group, worker: Core.remove_worker(core, group, worker)
        api = ControlApi(core)
        request = mock.Mock(raw_path=f"/-/instances/{WORKER}")
        if call.state == "gone":
            answer = run_without_waiting(api._leave(request, WORKER))
        else:
            heartbeat = {
                "service": SERVICE,
                "address": "10.0.0.9:80",
                "state": call.state,
                "capacity": 4,
                "sequence": call.sequence,
            }
            request.read = mock.AsyncMock(return_value=ujson.dumps(heartbeat).encode())
            answer = run_without_waiting(api._instance(request, "PUT", WORKER))
        return bool(answer.status == 200)

    async def _commit(self, _group: str, data: bytes) -> bool:
        self.index += 1
        return self.shard.apply(self.index, data)

    def expire(self) -> None:
        """Removes the worker as silent."""
        self.index += 1
        self.shard.apply(self.index, worker_shard.remove(worker_shard.Command.EXPIRE, WORKER))

    @property
    def visible_state(self) -> str:
        """The worker's state as distributed to dispatchers."""
        known = self.shard.workers.get(WORKER)
        return known.state if known else "absent"


@dataclass(frozen=True)
class Bounds:
    """Limits of the enumeration."""

    max_calls: int = 4
    max_expirations: int = 1
    max_leader_changes: int = 1
    registered: bool = True  # the first heartbeat arrives before anything else happens


@dataclass
class ModelState:
    """A state of the model."""

    leader: Leader
    sent_calls: tuple[Call, ...] = ()
    in_flight: tuple[tuple[Call, int], ...] = ()  # with the remaining deliveries
    acknowledged: frozenset[str] = frozenset()  # states whose calls were acknowledged
    expirations: int = 0
    leader_changes: int = 0
    trace: tuple[str, ...] = field(default=(), compare=False)

    def state_key(self) -> tuple[Any, ...]:
        """Returns a key that distinguishes states."""
        shard = self.leader.shard
        known = shard.workers.get(WORKER)
        table = (known.state, known.sequence) if known else (shard.is_gone(WORKER), shard.knows(WORKER))
        return (
            table,
            self.sent_calls,
            self.in_flight,
            self.acknowledged,
            self.expirations,
            self.leader_changes,
        )

    def step(self, name: str, **changes: Any) -> ModelState:
        """Returns the state after a step."""
        return replace(self, trace=(*self.trace, name), **changes)


def next_calls(model: ModelState) -> Iterator[Call]:
    """Yields the calls that the worker may send next: ready, then draining, then its last call."""
    last = model.sent_calls[-1].state if model.sent_calls else "ready"
    number = len(model.sent_calls) + 1
    order = ("ready", "draining", "gone")
    if last != "gone":
        for state in order[order.index(last) : order.index(last) + 2]:
            yield Call(number, state)
    else:
        yield Call(number, "gone")


def steps(model: ModelState, bounds: Bounds) -> Iterator[ModelState]:
    """Yields all possible successor states."""
    if len(model.sent_calls) < bounds.max_calls:
        for call in next_calls(model):
            in_flight = (*model.in_flight, (call, DELIVERIES))
            yield model.step(
                f"sends {call.state} {call.sequence}",
                sent_calls=(*model.sent_calls, call),
                in_flight=in_flight,
            )
    for position in range(len(model.in_flight)):
        yield deliver(model, position)
    if model.expirations < bounds.max_expirations and model.leader.visible_state != "absent":
        leader = copy.deepcopy(model.leader)
        leader.expire()
        yield model.step("silent", leader=leader, expirations=model.expirations + 1)
    if model.leader_changes < bounds.max_leader_changes:
        shard = WorkerShard()
        shard.restore(model.leader.shard.dump())
        leader = Leader(shard, model.leader.index)
        yield model.step("another leader", leader=leader, leader_changes=model.leader_changes + 1)


def deliver(model: ModelState, position: int) -> ModelState:
    """Delivers a call and returns the state after its answer."""
    call, in_flight = take_delivery(model.in_flight, position)
    leader = copy.deepcopy(model.leader)
    acknowledged = model.acknowledged | {call.state} if leader.handle_call(call) else model.acknowledged
    return model.step(
        f"{call.state} {call.sequence} arrives", leader=leader, in_flight=in_flight, acknowledged=acknowledged
    )


def check_acknowledged(model: ModelState) -> None:
    """Checks that acknowledged calls have taken effect.

    A draining worker gets no new work, and a worker that has left gets none at all.
    """
    visible = model.leader.visible_state
    if "gone" in model.acknowledged and visible != "absent":
        raise InvariantViolation(f"a worker that has left is visible as {visible}: {model.trace}")
    if "draining" in model.acknowledged and visible == "ready":
        raise InvariantViolation(f"a draining worker is visible as ready: {model.trace}")


def explore(bounds: Bounds, max_states: int) -> int:
    """Checks up to `max_states` states breadth first and returns their number."""
    seen: set[tuple[Any, ...]] = set()
    first = ModelState(Leader())
    if bounds.registered:
        call = Call(1, "ready")
        first = deliver(ModelState(Leader(), sent_calls=(call,), in_flight=((call, DELIVERIES),)), 0)
    frontier = [first]
    while frontier and len(seen) < max_states:
        successors: list[ModelState] = []
        for model in frontier:
            if model.state_key() in seen or len(seen) >= max_states:
                continue
            seen.add(model.state_key())
            check_acknowledged(model)
            successors.extend(steps(model, bounds))
        frontier = successors
    return len(seen)
