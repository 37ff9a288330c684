"""Calls to the owners of batch shards: the owner is remembered, and found again when it has moved."""

from __future__ import annotations

import asyncio
import time

from heronstall.distribution.view import ControlStateView
from heronstall.replication.protocol import address_of
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import LOST, Links, Reply
from heronstall.transport.messages import Hint

TRY_WITHIN = 0.7  # seconds for a call that need not wait
PAUSE = 0.08  # seconds before another replica is asked


class ShardClient:
    """Finds the owner of a shard among its replicas."""

    def __init__(self, links: Links, view: ControlStateView) -> None:
        self._links, self._view = links, view
        self._owner: dict[str, str] = {}
        self._next = 0

    async def call(
        self, shard: str, kind: Kind, body: bytes, within: float, hold: float = 0.0, least: float = 0.0
    ) -> Reply:
        """Call the owner within a time; `hold` is what the owner may wait itself.

        No try begins with less time left than `least`: its answer would come too late.
        UNSURE and FAILED: it may have been carried out. NOT_OWNER: no replica asked has carried it out.
        """
        until = time.monotonic() + within
        worst = Reply(Status.NOT_OWNER)
        while (left := until - time.monotonic()) > least:
            address = self._address(shard)
            if address is None:
                await asyncio.sleep(PAUSE)
                continue
            began = time.monotonic()
            reply = await self._links.to(address).call(kind, body, min(left, TRY_WITHIN + hold))
            if reply.status in (Status.OVER_QUOTA, Status.REFUSED) and worst.status != Status.NOT_OWNER:
                return worst  # an earlier call may yet be carried out: a refusal would promise too much
            if reply.status not in (Status.NOT_OWNER, Status.FAILED, Status.UNSURE):
                return reply
            if reply.status != Status.NOT_OWNER:
                worst = reply
            self._owner.pop(shard, None)
            hint = Hint().parse(reply.body).leader if reply.status == Status.NOT_OWNER else ""
            if hint:
                self._owner[shard] = hint
            if reply is LOST:
                self._links.to(address).drop_if_silent(began)
            await asyncio.sleep(PAUSE if not hint else 0.01)
        return worst

    def _address(self, shard: str) -> str | None:
        known = self._owner.get(shard)
        if known is not None:
            return address_of(known)
        replicas = self._view.replicas_of(shard)
        if not replicas:
            return None
        self._next += 1
        self._owner[shard] = replicas[self._next % len(replicas)]
        return address_of(self._owner[shard])
