"""All orders of a worker's calls to the registry: late, twice or never, at leaders that change.

The program answers each call by its own code, `ControlApi` and `WorkerShard`. A call may arrive long after
the next ones, the leader may take the worker for silent at any moment, and another leader may take over.
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
from tests.tier.lease_model import one_delivery

SERVICE, WORKER = "s", "w"
GROUP = shard_of(SERVICE)
DELIVERIES = 2  # times that one call may come


class Broken(AssertionError):
    """A state breaks a promise; the message has the steps that lead to it."""


class Call(NamedTuple):
    """A worker's call as sent: a heartbeat's state, or "gone" for its last one."""

    sequence: int
    state: str


def at_once(run: Coroutine[Any, Any, Any]) -> Any:
    """The result of a coroutine that waits for nothing."""
    try:
        run.send(None)
    except StopIteration as ended:
        return ended.value
    raise AssertionError("it waits for something")


class Leader:
    """The leader of the registry shard, with its HTTP interface."""

    def __init__(self, shard: WorkerShard | None = None, index: int = 0) -> None:
        self.shard = shard or WorkerShard()
        self.index = index

    def take(self, call: Call) -> bool:
        """Answer a call; whether it was acknowledged."""
        core = mock.Mock(workers={GROUP: self.shard}, last_heartbeat_at={}, leads=lambda group: True)
        core.host.now = lambda: 0.0
        core.is_fresh = lambda: True
        core.settings.listen = {"control": "10.0.0.1:8166"}
        core.commit = self._commit
        core.remove_worker = lambda group, worker: Core.remove_worker(core, group, worker)
        api = ControlApi(core)
        request = mock.Mock(raw_path=f"/-/instances/{WORKER}")
        if call.state == "gone":
            answer = at_once(api._deregister(request, WORKER))
        else:
            beat = {
                "service": SERVICE,
                "address": "10.0.0.9:80",
                "state": call.state,
                "capacity": 4,
                "sequence": call.sequence,
            }
            request.read = mock.AsyncMock(return_value=ujson.dumps(beat).encode())
            answer = at_once(api._handle_instance(request, "PUT", WORKER))
        return bool(answer.status == 200)

    async def _commit(self, _group: str, data: bytes) -> bool:
        self.index += 1
        return self.shard.apply(self.index, data)

    def expire(self) -> None:
        """Take the worker for silent."""
        self.index += 1
        self.shard.apply(self.index, worker_shard.encode_removal(worker_shard.Command.EXPIRE, WORKER))

    @property
    def told(self) -> str:
        """The worker's state as dispatchers hear of it."""
        known = self.shard.workers.get(WORKER)
        return known.state if known else "absent"


@dataclass(frozen=True)
class Bounds:
    """How far the states go."""

    calls: int = 4
    silences: int = 1
    leaders: int = 1
    registered: bool = True  # the first heartbeat has come before anything else happens


@dataclass
class World:
    """One state."""

    leader: Leader
    sent: tuple[Call, ...] = ()
    flying: tuple[tuple[Call, int], ...] = ()  # with the deliveries left
    acked: frozenset[str] = frozenset()  # states that were acknowledged
    silences: int = 0
    leaders: int = 0
    trace: tuple[str, ...] = field(default=(), compare=False)

    def key(self) -> tuple[Any, ...]:
        """What tells two states apart."""
        shard = self.leader.shard
        known = shard.workers.get(WORKER)
        table = (known.state, known.sequence) if known else (shard.is_gone(WORKER), shard.knows(WORKER))
        return (table, self.sent, self.flying, self.acked, self.silences, self.leaders)

    def step(self, name: str, **changes: Any) -> World:
        """The state after a step."""
        return replace(self, trace=(*self.trace, name), **changes)


def next_calls(world: World) -> Iterator[Call]:
    """What the worker may send next: ready, then draining, then its last call."""
    last = world.sent[-1].state if world.sent else "ready"
    number = len(world.sent) + 1
    order = ("ready", "draining", "gone")
    if last != "gone":
        for state in order[order.index(last) : order.index(last) + 2]:
            yield Call(number, state)
    else:
        yield Call(number, "gone")


def steps(world: World, bounds: Bounds) -> Iterator[World]:
    """All states that may follow."""
    if len(world.sent) < bounds.calls:
        for call in next_calls(world):
            flying = (*world.flying, (call, DELIVERIES))
            yield world.step(f"sends {call.state} {call.sequence}", sent=(*world.sent, call), flying=flying)
    for at in range(len(world.flying)):
        yield deliver(world, at)
    if world.silences < bounds.silences and world.leader.told != "absent":
        leader = copy.deepcopy(world.leader)
        leader.expire()
        yield world.step("silent", leader=leader, silences=world.silences + 1)
    if world.leaders < bounds.leaders:
        shard = WorkerShard()
        shard.restore(world.leader.shard.dump())
        leader = Leader(shard, world.leader.index)
        yield world.step("another leader", leader=leader, leaders=world.leaders + 1)


def deliver(world: World, at: int) -> World:
    """A call arrives and is answered."""
    call, flying = one_delivery(world.flying, at)
    leader = copy.deepcopy(world.leader)
    acked = world.acked | {call.state} if leader.take(call) else world.acked
    return world.step(f"{call.state} {call.sequence} arrives", leader=leader, flying=flying, acked=acked)


def check(world: World) -> None:
    """What was acknowledged holds: no new work to one that drains, none at all to one that has left."""
    told = world.leader.told
    if "gone" in world.acked and told != "absent":
        raise Broken(f"a worker that has left is told as {told}: {world.trace}")
    if "draining" in world.acked and told == "ready":
        raise Broken(f"a worker that drains is told as ready: {world.trace}")


def explore(bounds: Bounds, most: int) -> int:
    """Check all states breadth first, `most` at the most; how many. Raises Broken."""
    seen: set[tuple[Any, ...]] = set()
    first = World(Leader())
    if bounds.registered:
        call = Call(1, "ready")
        first = deliver(World(Leader(), sent=(call,), flying=((call, DELIVERIES),)), 0)
    waiting = [first]
    while waiting and len(seen) < most:
        following: list[World] = []
        for world in waiting:
            if world.key() in seen or len(seen) >= most:
                continue
            seen.add(world.key())
            check(world)
            following.extend(steps(world, bounds))
        waiting = following
    return len(seen)
