"""Calls the owners of batch shards: caches each shard's owner and finds it again after it has changed."""

from __future__ import annotations

import asyncio
import time

from heronstall.distribution.view import ControlStateView
from heronstall.replication.protocol import address_of
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import LOST, Links, Reply
from heronstall.transport.messages import Hint

CALL_TIMEOUT_S = 0.7  # per attempt, in addition to the time for which the owner may delay its reply
RETRY_DELAY_S = 0.08  # before another replica is called


class ShardClient:
    """Calls the owner of a shard, found among its replicas."""

    def __init__(self, links: Links, view: ControlStateView) -> None:
        self._links, self._view = links, view
        self._owners: dict[str, str] = {}
        self._next_replica = 0

    async def call(
        self,
        shard: str,
        kind: Kind,
        body: bytes,
        timeout: float,
        owner_wait: float = 0.0,
        min_remaining: float = 0.0,
    ) -> Reply:
        """Calls the owner, with retries until `timeout`; the owner may delay its reply by `owner_wait`.

        No attempt starts with less than `min_remaining` seconds left: its reply would come too late.
        After UNSURE and FAILED the call may have been carried out; after NOT_OWNER no replica has done so.
        """
        deadline = time.monotonic() + timeout
        fallback = Reply(Status.NOT_OWNER)
        while (remaining := deadline - time.monotonic()) > min_remaining:
            address = self._owner_address(shard)
            if address is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            sent_at = time.monotonic()
            reply = await self._links.to(address).call(
                kind, body, min(remaining, CALL_TIMEOUT_S + owner_wait)
            )
            if reply.status in (Status.OVER_QUOTA, Status.REFUSED) and fallback.status != Status.NOT_OWNER:
                return fallback  # an earlier attempt may still be carried out: a refusal would be wrong
            if reply.status not in (Status.NOT_OWNER, Status.FAILED, Status.UNSURE):
                return reply
            if reply.status != Status.NOT_OWNER:
                fallback = reply
            self._owners.pop(shard, None)
            owner_hint = Hint().parse(reply.body).leader if reply.status == Status.NOT_OWNER else ""
            if owner_hint:
                self._owners[shard] = owner_hint
            if reply is LOST:
                self._links.to(address).drop_if_silent(sent_at)
            await asyncio.sleep(RETRY_DELAY_S if not owner_hint else 0.01)
        return fallback

    def _owner_address(self, shard: str) -> str | None:
        owner = self._owners.get(shard)
        if owner is not None:
            return address_of(owner)
        replicas = self._view.replicas_of(shard)
        if not replicas:
            return None
        self._next_replica += 1
        self._owners[shard] = replicas[self._next_replica % len(replicas)]
        return address_of(self._owners[shard])
