"""The dispatcher in service under clients that send much, stop short, read nothing, or only connect."""

from __future__ import annotations

import asyncio
import json
import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.misbehaving.crowd import Crowd, partial_head, sized_body, whole_body
from tests.misbehaving.process_usage import UsageMonitor
from tests.test_net import ROOT, SETTINGS, raw_config

MEMORY_MB, DESCRIPTORS = 48, 400
BYTES_PER_MB = 1024 * 1024
HOST = "127.77.31.5"  # of this dispatcher alone, by which its unread bytes are found
CLIENT_PORT, ADMIN_PORT = 18080, 18081
BODY_BYTES = 64 * 1024  # the largest body that clients may send
MANY_BODIES, MANY_CONNECTIONS = 350, 600
SURPLUS_BYTES = 256 * 1024
HEAD_FIELDS, HEAD_FIELD_BYTES = 3, 5000
CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
REQUEST_ID = re.compile(rb"req-id: *(\S+)", re.IGNORECASE)
SETTLE_S = 8.0
ANSWER_WITHIN_S = 30.0
JOB_HEAD = (
    "POST /api HTTP/1.1\r\nHost: jobs\r\nReq-Kind: unsafe\r\nReq-Deadline: 60\r\n"
    "Req-Owner: acme\r\nReq-Id: crowd-{number}\r\n"
)


class JobDispatcher(unittest.IsolatedAsyncioTestCase):
    """A real process with one backend server."""

    async def asyncSetUp(self) -> None:
        self.silent = False
        self.jobs = 0
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        host, port = self.server.sockets[0].getsockname()[:2]
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(self._config(f"{host}:{port}")))
        self.log = Path(folder) / "log"
        variables = {"NODE_CONFIG": str(config), "TMPDIR": folder}
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "heronstall"],
                env={**os.environ, **variables},
                cwd=ROOT,
                stderr=log,
            )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.monitor = UsageMonitor({HOST: self.process.pid})
        self.addCleanup(self.monitor.stop)
        await self.check_served()

    def _config(self, server: str) -> dict[str, object]:
        target = {"uid": "s-0", "endpoint": server, "az": "a", "model": "m", "state": "SERVING", "boot_ms": 0}
        return raw_config(
            listen=f"{HOST}:{CLIENT_PORT}",
            operator=f"{HOST}:{ADMIN_PORT}",
            known={"rev": 1, "all": True, "targets": [target]},
            limits={"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            settings={**SETTINGS, "rules": {**SETTINGS["rules"], "cold": 0}},
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers probes and jobs; a silent server keeps the crowd's jobs."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET "):
                    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"x0":4}')
                    continue
                length = CONTENT_LENGTH.search(head)
                await reader.readexactly(int(length[1]) if length else 0)
                job_id = REQUEST_ID.search(head)
                assert job_id is not None
                if not self.silent or not job_id[1].startswith(b"crowd-"):
                    line = b'{"id":"%s","state":"done","result":"paid"}\n' % job_id[1]
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line))
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def call(self, port: int, request: bytes) -> bytes:
        """Sends a request on a new connection and returns what is answered first."""
        async with asyncio.timeout(ANSWER_WITHIN_S / 4):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(request)
                return await reader.read(1 << 16)
            finally:
                writer.close()

    def next_job(self) -> bytes:
        """Returns a new ordinary job."""
        self.jobs += 1
        head = JOB_HEAD.format(number=0).replace("crowd-0", f"ordinary-{self.jobs}")
        return f"{head}Content-Length: 3\r\n\r\npay".encode()

    async def until_answered(self, port: int, request: bytes | None, *wanted: bytes) -> None:
        """Repeats a request, or sends ordinary jobs, until one of the wanted answers comes."""
        answer = b""
        try:
            async with asyncio.timeout(ANSWER_WITHIN_S):
                while not answer.startswith(tuple(wanted)):
                    try:
                        answer = await self.call(port, request or self.next_job())
                    except (OSError, TimeoutError):
                        answer = b"no answer"
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.fail(f"{answer[:200]!r}; {self.log.read_text()[-2000:]}")

    async def check_served(self) -> None:
        """Asserts that a health check is answered and an ordinary job gets an answer of its own."""
        await self.until_answered(
            CLIENT_PORT, b"GET /healthz HTTP/1.1\r\nHost: jobs\r\n\r\n", b"HTTP/1.1 200"
        )
        refusals = [b"HTTP/1.1 503"] if self.silent else []  # the only server has no free slot then
        await self.until_answered(CLIENT_PORT, None, b"HTTP/1.1 200", *refusals)

    async def check_limits(self) -> None:
        """Asserts that the process lives and stayed within its limits."""
        self.assertIsNone(self.process.poll(), self.log.read_text()[-2000:])
        self.assertLessEqual(self.monitor.peak_memory(HOST) / BYTES_PER_MB, MEMORY_MB)
        self.assertLessEqual(self.monitor.peak_descriptors(HOST), DESCRIPTORS)

    def crowd(self, port: int = CLIENT_PORT) -> Crowd:
        """Returns a crowd that leaves at the end of the test."""
        crowd = Crowd(f"{HOST}:{port}")
        self.addAsyncCleanup(crowd.leave)
        return crowd

    async def test_bodies_that_stop_short(self) -> None:
        """Guards against bodies without a bound for all connections together."""
        crowd = self.crowd()
        for number in range(MANY_BODIES):
            crowd.join(1, sized_body(JOB_HEAD.format(number=number), BODY_BYTES, BODY_BYTES - 10))
        await crowd.settle(SETTLE_S)
        await self.check_served()
        await self.check_limits()

    async def test_whole_bodies_at_a_silent_server(self) -> None:
        """Guards against whole bodies that are held for their answer without a bound."""
        self.silent = True
        crowd = self.crowd()
        for number in range(MANY_BODIES):
            crowd.join(1, whole_body(JOB_HEAD.format(number=number), b"x" * BODY_BYTES))
        await crowd.settle(SETTLE_S)
        await self.check_served()
        await self.check_limits()

    async def test_bytes_behind_a_job_that_is_under_way(self) -> None:
        """Guards against bytes that wait unread in the sockets of connections with a job."""
        self.silent = True
        crowd = self.crowd()
        for number in range(MANY_BODIES):
            job = whole_body(JOB_HEAD.format(number=number), b"x")
            crowd.join(1, [*job, b"x" * SURPLUS_BYTES])
        await crowd.settle(SETTLE_S)
        await self.check_served()
        await self.check_limits()

    async def test_heads_that_stop_short(self) -> None:
        """Guards against heads that are kept while they arrive."""
        crowd = self.crowd()
        crowd.join(MANY_BODIES, partial_head(JOB_HEAD.format(number=0), HEAD_FIELDS, HEAD_FIELD_BYTES))
        await crowd.settle(SETTLE_S)
        await self.check_served()
        await self.check_limits()

    async def test_connections_that_send_nothing(self) -> None:
        """Guards against connections that take all descriptors."""
        crowd = self.crowd()
        crowd.join(MANY_CONNECTIONS, [])
        await crowd.settle(SETTLE_S)
        await self.check_served()
        await self.check_limits()

    async def test_connections_to_the_admin_endpoint(self) -> None:
        """Guards against an address of the same process that has no limit of its own."""
        crowd = self.crowd(ADMIN_PORT)
        crowd.join(MANY_CONNECTIONS, [b"IN"])
        crowd.join(MANY_BODIES, [b"x" * SURPLUS_BYTES])
        await crowd.settle(SETTLE_S)
        await self.until_answered(ADMIN_PORT, b"PING\n", b"YES")
        await self.check_served()
        await self.check_limits()

    async def test_requests_whose_answers_are_not_read(self) -> None:
        """Guards against answers that are kept for clients that do not read them."""
        crowd = self.crowd()
        health = b"GET /healthz HTTP/1.1\r\nHost: jobs\r\n\r\n"
        crowd.join(MANY_BODIES, [health * 20_000])
        await crowd.settle(SETTLE_S)
        await self.check_served()
        await self.check_limits()
