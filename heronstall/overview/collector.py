"""Queries the nodes of a tier for their state. All queries are read-only."""

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
    service_views,
)
from heronstall.replication.protocol import address_of
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import Links
from heronstall.transport.messages import Placement, ReadRequest, Session, SyncReply, SyncRequest

REPLY_TIMEOUT_S = 1.5  # of one query
MAX_ROUNDS = 3  # queries to a node that does not reply before it counts as silent
ROUND_DELAY_S = 0.3  # between rounds
CLIENT_NAME = "heronstall-ctl"  # the tier does not count its session as a node
UNUSED_JOB_NAME = ""  # a name that no batch job has


class NoCoreNodeError(Exception):
    """No core node replied. The message names the addresses queried."""


async def collect_overview(addresses: Sequence[str]) -> Overview:
    """Collects the state of a tier, given internal addresses of its core nodes. Raises NoCoreNodeError."""
    links = Links()
    fetched = await _fetch_view(links, addresses)
    if fetched is None:
        raise NoCoreNodeError(", ".join(addresses))
    view, members = fetched
    control, batch = await asyncio.gather(
        asyncio.gather(*(_query_core_node(links, address) for address in members)),
        asyncio.gather(*(_query_batch_shard(links, placement) for placement in view.placements.values())),
    )
    workers = [(w.service, w.state, w.capacity) for w in view.all_workers().values()]
    document = json.loads(view.document) if view.document else {}
    return Overview(
        revision=int(document.get("revision", 0)),
        dispatchers=view.dispatcher_count,
        control=list(control),
        batch=sorted(batch, key=lambda shard: shard.shard),
        services=service_views(document, workers),
    )


async def _query_rounds() -> AsyncIterator[int]:
    """Yields the numbers of the query rounds, with a delay before each but the first."""
    for round_number in range(MAX_ROUNDS):
        if round_number:
            await asyncio.sleep(ROUND_DELAY_S)
        yield round_number


async def _fetch_view(links: Links, addresses: Sequence[str]) -> tuple[ControlStateView, list[str]] | None:
    """Returns the view of the first node in touch with a leader, and the core nodes that it names."""
    async for _ in _query_rounds():
        for address in addresses:
            reply = await _query_state(links, address)
            if isinstance(reply, SyncReply):
                view = ControlStateView()
                view.apply(reply)
                view.dispatcher_count = reply.edges
                return view, sorted(reply.control)
    return None


async def _query_state(links: Links, address: str) -> SyncReply | NodeState:
    request = SyncRequest(session=Session(name=CLIENT_NAME, machine_class="operator"))
    reply = await links.to(address).call(Kind.SYNC, bytes(request), REPLY_TIMEOUT_S)
    if reply.status == Status.OK:
        return SyncReply().parse(reply.body)
    return NodeState.SILENT if reply.status == Status.FAILED else NodeState.OUT_OF_TOUCH


async def _query_core_node(links: Links, address: str) -> ControlNode:
    state = NodeState.SILENT
    async for _ in _query_rounds():
        result = await _query_state(links, address)
        if isinstance(result, SyncReply):
            versions = {"config": result.config_version, "placement": result.placement_version}
            versions.update({delta.shard: delta.version for delta in result.workers})
            return ControlNode(address, NodeState.FINE, versions)
        state = result
    return ControlNode(address, state)


async def _query_batch_shard(links: Links, placement: Placement) -> BatchShardView:
    """Queries a shard's replicas, again if one is silent or none is the owner, as during an election."""
    replicas: list[ReplicaView] = []
    async for _ in _query_rounds():
        replicas = await asyncio.gather(
            *(_query_replica(links, placement.shard, name) for name in placement.replicas)
        )
        silent = any(replica.state is NodeState.SILENT for replica in replicas)
        if not silent and any(replica.owner for replica in replicas):
            break
    return BatchShardView(placement.shard, replicas)


async def _query_replica(links: Links, shard: str, replica: str) -> ReplicaView:
    """Queries a replica for a job that does not exist: only the owner replies that it is unknown."""
    request = bytes(ReadRequest(job=UNUSED_JOB_NAME, shard=shard))
    reply = await links.to(address_of(replica)).call(Kind.READ, request, REPLY_TIMEOUT_S)
    state = NodeState.SILENT if reply.status == Status.FAILED else NodeState.FINE
    return ReplicaView(replica, state, owner=reply.status == Status.UNKNOWN)
