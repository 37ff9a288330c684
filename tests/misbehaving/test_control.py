"""A core node under workers and operators that send much, stop short, read nothing, or only connect."""

from __future__ import annotations

import json
import zlib

from heronstall.lab.tier.client import HOST, configuration
from tests.misbehaving.crowd import chunked_body, partial_head, sized_body, whole_body
from tests.misbehaving.tier_case import (
    BODY_BYTES,
    HEAD_FIELD_BYTES,
    HEAD_FIELDS,
    MANY_BODIES,
    MANY_CONNECTIONS,
    MANY_HEADS,
    SHORT_BY_BYTES,
    TierCase,
)

CONFIG_HEAD = f"PUT /-/config HTTP/1.1\r\nHost: {HOST}\r\nIf-Match: 2\r\n"
HEARTBEAT_HEAD = f"PUT /-/instances/i-crowd HTTP/1.1\r\nHost: {HOST}\r\n"
CHUNK_BYTES = 64 * 1024
READERS, READS, LARGE_CONFIG_BYTES = 120, 6, 2 * 1024 * 1024


class Bodies(TierCase):
    async def check(self) -> None:
        """Asserts that operators and clients are served, and the limits."""
        await self.check_configurable(2)
        await self.check_served()
        await self.check_limits()

    async def test_configurations_that_stop_short(self) -> None:
        """Guards against bodies that are read without a bound for all connections together."""
        await self.send_from_crowd(
            self.control, MANY_BODIES, sized_body(CONFIG_HEAD, BODY_BYTES, BODY_BYTES - SHORT_BY_BYTES)
        )
        await self.check()

    async def test_heartbeats_that_stop_short(self) -> None:
        """Guards against bodies far beyond what a heartbeat needs."""
        await self.send_from_crowd(
            self.control,
            MANY_BODIES,
            chunked_body(HEARTBEAT_HEAD, CHUNK_BYTES, BODY_BYTES // CHUNK_BYTES - 1),
        )
        await self.check()

    async def test_whole_configurations_that_decode_to_many_times_their_size(self) -> None:
        """Guards against the decoded form of a configuration."""
        entries = b",".join([b"[]"] * (BODY_BYTES // 3 - 100))
        body = b'{"revision":3,"services":[],"routes":[' + entries + b"]}"
        for address in self.tier.plan.controls:  # the leader alone reads it
            await self.send_from_crowd(address, 8, whole_body(CONFIG_HEAD, body))
        await self.check()

    async def test_compressed_configurations_that_stop_short(self) -> None:
        """Guards against bodies that grow when they are read."""
        head = f"{CONFIG_HEAD}Content-Encoding: deflate\r\n"
        body = zlib.compress(b" " * (BODY_BYTES - SHORT_BY_BYTES))
        await self.send_from_crowd(
            self.control, MANY_BODIES, [f"{head}Content-Length: {len(body) + 1}\r\n\r\n".encode(), body]
        )
        await self.check()

    async def test_retirements_with_bodies_that_stop_short(self) -> None:
        """Guards against bodies that no handler reads."""
        head = f"POST /-/retire/none HTTP/1.1\r\nHost: {HOST}\r\n"
        await self.send_from_crowd(
            self.control, MANY_BODIES, sized_body(head, BODY_BYTES, BODY_BYTES - SHORT_BY_BYTES)
        )
        await self.check()

    async def test_heads_that_stop_short(self) -> None:
        """Guards against heads that are kept while they arrive."""
        await self.send_from_crowd(
            self.control, MANY_HEADS, partial_head(CONFIG_HEAD, HEAD_FIELDS, HEAD_FIELD_BYTES)
        )
        await self.check()

    async def test_connections_that_send_nothing(self) -> None:
        """Guards against connections that take all descriptors."""
        await self.send_from_crowd(self.control, MANY_CONNECTIONS, [])
        await self.check()

    async def test_connections_that_send_part_of_a_head(self) -> None:
        """Guards against connections that seem to be in use."""
        await self.send_from_crowd(self.control, MANY_CONNECTIONS, [CONFIG_HEAD.encode()])
        await self.check()


class Answers(TierCase):
    async def test_configurations_that_are_not_read(self) -> None:
        """Guards against answers that are kept for callers that do not read them."""
        document = configuration(3)
        document["notes"] = "n" * LARGE_CONFIG_BYTES
        self.assertEqual(await self.client.configure(document, 2), 200)
        read = f"GET /-/config HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
        for address in self.tier.plan.controls:  # the leader alone answers with the configuration
            await self.send_from_crowd(address, READERS, [read * READS])
        self.assertEqual(json.dumps(await self.client.configured()), json.dumps(document))
        await self.check_configurable(3)
        await self.check_served()
        await self.check_limits()
