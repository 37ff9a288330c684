"""Asks the nodes of a tier for their state. Reads alone: nothing in the tier changes by it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Sequence

from heronstall.distribution.view import ControlStateView
from heronstall.overview.state import (
    BatchShardView,
    ControlNode,
    NodeState,
    Overview,
    ReplicaView,
    services_of,
)
from heronstall.replication.protocol import address_of
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import Links
from heronstall.transport.messages import Placement, ReadRequest, Session, SyncReply, SyncRequest

ANSWER_WITHIN = 1.5  # seconds for one node
ROUNDS = 3  # in which silent nodes are asked again before they count as silent
PAUSE = 0.3  # seconds between rounds
ASKER = "heronstall-ctl"  # its session counts as no node of the tier
NO_JOB = ""  # a name that no batch job has


class NoNode(Exception):
    """No core node answered; the message says which were asked."""


async def overview(addresses: Sequence[str]) -> Overview:
    """The state of the tier to which some core nodes belong, by their internal addresses. Raises NoNode."""
    links = Links()
    first = await _first_view(links, addresses)
    if first is None:
        raise NoNode(", ".join(addresses))
    view, members = first
    control, batch = await asyncio.gather(
        asyncio.gather(*(_control_node(links, address) for address in members)),
        asyncio.gather(*(_batch_shard(links, placed) for placed in view.placements.values())),
    )
    workers = [(w.service, w.state, w.capacity) for w in view.all_workers().values()]
    document = json.loads(view.document) if view.document else {}
    return Overview(
        revision=int(document.get("revision", 0)),
        dispatchers=view.dispatcher_count,
        control=list(control),
        batch=sorted(batch, key=lambda shard: shard.shard),
        services=services_of(document, workers),
    )


async def _rounds() -> AsyncIterator[int]:
    """The rounds in which a node is asked, with a pause before each but the first."""
    for turn in range(ROUNDS):
        if turn:
            await asyncio.sleep(PAUSE)
        yield turn


async def _first_view(links: Links, addresses: Sequence[str]) -> tuple[ControlStateView, list[str]] | None:
    """All that one node tells, and the core nodes that it names; asked in rounds until one is in touch."""
    async for _ in _rounds():
        for address in addresses:
            reply = await _sync(links, address)
            if isinstance(reply, SyncReply):
                view = ControlStateView()
                view.apply(reply)
                view.dispatcher_count = reply.edges
                return view, sorted(reply.control)
    return None


async def _sync(links: Links, address: str) -> SyncReply | NodeState:
    request = SyncRequest(session=Session(name=ASKER, machine_class="operator"))
    reply = await links.to(address).call(Kind.SYNC, bytes(request), ANSWER_WITHIN)
    if reply.status == Status.OK:
        return SyncReply().parse(reply.body)
    return NodeState.SILENT if reply.status == Status.FAILED else NodeState.OUT_OF_TOUCH


async def _control_node(links: Links, address: str) -> ControlNode:
    state = NodeState.SILENT
    async for _ in _rounds():
        answer = await _sync(links, address)
        if isinstance(answer, SyncReply):
            versions = {"config": answer.config_version, "placement": answer.placement_version}
            versions.update({delta.shard: delta.version for delta in answer.workers})
            return ControlNode(address, NodeState.FINE, versions)
        state = answer
    return ControlNode(address, state)


async def _batch_shard(links: Links, placed: Placement) -> BatchShardView:
    """A shard's replicas, asked again where one is silent, or none is the owner: that may just change."""
    replicas: list[ReplicaView] = []
    async for _ in _rounds():
        replicas = await asyncio.gather(*(_replica(links, placed.shard, name) for name in placed.replicas))
        silent = any(replica.state is NodeState.SILENT for replica in replicas)
        if not silent and any(replica.owner for replica in replicas):
            break
    return BatchShardView(placed.shard, replicas)


async def _replica(links: Links, shard: str, replica: str) -> ReplicaView:
    """A replica: the owner alone knows that there is no job without a name, all others name the owner."""
    request = bytes(ReadRequest(job=NO_JOB, shard=shard))
    reply = await links.to(address_of(replica)).call(Kind.READ, request, ANSWER_WITHIN)
    state = NodeState.SILENT if reply.status == Status.FAILED else NodeState.FINE
    return ReplicaView(replica, state, owner=reply.status == Status.UNKNOWN)
