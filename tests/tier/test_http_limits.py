"""The HTTP server of the tier's programs at its limits, with raw sockets in one process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from aiohttp import web

from heronstall.transport import http_server
from heronstall.transport.connection_limits import RequestLimits, ServerLimits
from heronstall.transport.http_connection import HttpConnection, read_body
from heronstall.transport.http_server import HttpServer

ADDRESS_PREFIX, NUMBERS = f"127.{random.randrange(10, 250)}.{random.randrange(250)}", itertools.count(1)
PORT = 8165
LIMITS = ServerLimits(connections=8, received_bytes=1024 * 1024, unsent_bytes=256 * 1024)
SWEEP_INTERVAL, TIMEOUT = 0.05, 0.1
CHUNK = b"x" * 65536
ANSWER_WITHIN_S = 30.0


class Client:
    """A client on a raw connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    def send(self, text: str, body: bytes = b"") -> None:
        """Sends a head and a body as they are."""
        self._writer.write(text.replace("\n", "\r\n").encode() + body)

    async def response(self) -> bytes:
        """Returns the head of the next response, or what came before the connection was closed."""
        async with asyncio.timeout(ANSWER_WITHIN_S):
            try:
                return await self._reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError as closed:
                return closed.partial
            except ConnectionError:
                return b""

    async def closed(self) -> None:
        """Returns when the server has closed the connection."""
        async with asyncio.timeout(ANSWER_WITHIN_S):
            with contextlib.suppress(ConnectionError):
                while await self._reader.read(1 << 16):
                    pass

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


class ServerCase(unittest.IsolatedAsyncioTestCase):
    async def serve(
        self,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]] | None = None,
        limits: ServerLimits = LIMITS,
        request_limits: RequestLimits = RequestLimits(),  # noqa: B008  (it is immutable)
    ) -> HttpServer:
        """Starts a server that answers with the length of each body, unless another handler is given."""
        self.enterContext(mock.patch.object(http_server, "SWEEP_INTERVAL", SWEEP_INTERVAL))
        self.address = f"{ADDRESS_PREFIX}.{next(NUMBERS)}"
        self.server = HttpServer(handle or self.answer, limits, lambda: request_limits)
        await self.server.listen(f"{self.address}:{PORT}")
        self.addAsyncCleanup(self.server.drain, 0.0)
        return self.server

    @staticmethod
    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        """Answers with the length of the body."""
        body = await read_body(request, ANSWER_WITHIN_S)
        return web.Response(text=str(len(body)))

    async def client(self) -> Client:
        """Returns a new client."""
        client = Client(*await asyncio.open_connection(self.address, PORT))
        self.addCleanup(client.close)
        return client

    async def until(self, wanted: Callable[[], bool]) -> None:
        """Returns once the condition holds."""
        async with asyncio.timeout(ANSWER_WITHIN_S):
            while not wanted():
                await asyncio.sleep(0.01)


class Bodies(ServerCase):
    async def test_the_refused_request_gets_a_promise_and_the_others_go_on(self) -> None:
        """Guards against a refusal that leaves open whether the request has run."""
        server = await self.serve()
        clients = [await self.client() for _ in range(2)]
        for client, chunks in zip(clients, (6, 7), strict=True):
            client.send(f"POST / HTTP/1.1\nHost: h\nContent-Length: {8 * len(CHUNK)}\n\n", chunks * CHUNK)
            sent = chunks * len(CHUNK)
            await self.until(lambda: server.open_connections.received_bytes > sent)  # noqa: B023
        first = await clients[0].response()
        self.assertTrue(first.startswith(b"HTTP/1.1 503"), first)
        self.assertIn(b"Retry-After", first)
        self.assertIn(b"Connection: close", first)
        await clients[0].closed()
        clients[1].send("", CHUNK)
        self.assertTrue((await clients[1].response()).startswith(b"HTTP/1.1 200"))

    async def test_nothing_counts_once_requests_are_answered(self) -> None:
        """Guards against a count that only grows, until ordinary requests are refused."""
        server = await self.serve()
        client = await self.client()
        for size in (0, 10, 3 * len(CHUNK)):
            client.send(f"POST / HTTP/1.1\nHost: h\nContent-Length: {size}\n\n", b"x" * size)
            self.assertIn(b" 200 ", (await client.response()).partition(b"\r\n")[0])
        client.send("POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n", b"3\r\nabc\r\n0\r\n\r\n")
        self.assertIn(b" 200 ", (await client.response()).partition(b"\r\n")[0])
        await self.until(lambda: server.open_connections.received_bytes == 0)

    async def test_pipelined_requests_are_all_answered(self) -> None:
        """Guards against a connection that stays paused after bytes came behind a request."""
        server = await self.serve()
        client = await self.client()
        request = "POST / HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc"
        client.send(request * 100 + request[:20])
        for number in range(100):
            self.assertIn(b" 200 ", (await client.response()).partition(b"\r\n")[0], number)
        client.send(request[20:])
        self.assertIn(b" 200 ", (await client.response()).partition(b"\r\n")[0])
        await self.until(lambda: server.open_connections.received_bytes == 0)

    async def test_bytes_behind_a_request_wait_until_it_is_answered(self) -> None:
        """Guards against reading on while a request is being answered."""
        go_on = asyncio.Event()

        async def hold(request: web.BaseRequest) -> web.StreamResponse:
            body = await read_body(request, ANSWER_WITHIN_S)
            await go_on.wait()
            return web.Response(text=str(len(body)))

        server = await self.serve(hold)
        client = await self.client()
        client.send("GET / HTTP/1.1\nHost: h\n\n")
        await self.until(lambda: any(c._request is not None for c in server.connections))
        client.send("POST / HTTP/1.1\nHost: h\nContent-Length: 600000\n\n", b"x" * 600_000)
        await asyncio.sleep(0.2)
        self.assertLess(server.open_connections.received_bytes, 300_000)
        go_on.set()
        for _ in range(2):
            self.assertIn(b" 200 ", (await client.response()).partition(b"\r\n")[0])

    async def test_an_announced_length_over_the_limit_is_refused_before_the_body(self) -> None:
        await self.serve(request_limits=RequestLimits(body_bytes=1000))
        client = await self.client()
        client.send("POST / HTTP/1.1\nHost: h\nContent-Length: 1001\n\n")
        self.assertTrue((await client.response()).startswith(b"HTTP/1.1 413"))

    async def test_a_connection_keeps_neither_request_nor_response(self) -> None:
        """Guards against bodies that stay with a connection between its requests."""
        seen: list[web.BaseRequest] = []
        responses: list[web.Response] = []

        async def echo(request: web.BaseRequest) -> web.StreamResponse:
            seen.append(request)
            responses.append(web.Response(body=await read_body(request, ANSWER_WITHIN_S)))
            return responses[-1]

        server = await self.serve(echo)
        client = await self.client()
        client.send("POST / HTTP/1.1\nHost: h\nContent-Length: 5\n\nhello")
        self.assertIn(b"Content-Length: 5", await client.response())
        await self.until(lambda: all(c.awaits_request for c in server.connections))
        self.assertIsNone(seen[0]._read_bytes)
        self.assertIsNone(responses[0].body)


class Heads(ServerCase):
    async def test_a_head_that_stops_short_is_answered_and_closed_in_time(self) -> None:
        """Guards against `header_timeout_ms` without effect."""
        await self.serve(request_limits=RequestLimits(header_timeout=TIMEOUT, idle_timeout=3600.0))
        client = await self.client()
        client.send("GET / HTTP/1.1\nHost:")
        self.assertTrue((await client.response()).startswith(b"HTTP/1.1 408"))
        await client.closed()

    async def test_a_head_that_comes_piece_by_piece_is_closed_in_time(self) -> None:
        """Guards against a time that begins anew with each byte."""
        await self.serve(request_limits=RequestLimits(header_timeout=TIMEOUT, idle_timeout=3600.0))
        client = await self.client()
        client.send("GET / HTTP/1.1\nHost: h")
        response = asyncio.create_task(client.response())
        while not response.done():
            client.send("x")
            await asyncio.sleep(0.02)
        answer = await response
        self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer)

    async def test_a_connection_between_requests_is_not_held_to_the_time_of_a_head(self) -> None:
        server = await self.serve(request_limits=RequestLimits(header_timeout=0.0, idle_timeout=3600.0))
        client = await self.client()
        client.send("GET / HTTP/1.1\nHost: h\n\n")
        self.assertTrue((await client.response()).startswith(b"HTTP/1.1 200"))
        await asyncio.sleep(4 * SWEEP_INTERVAL)
        self.assertEqual(len(server.connections), 1)

    async def test_a_head_beyond_all_limits_is_refused_while_it_arrives(self) -> None:
        await self.serve()
        client = await self.client()
        client.send("GET / HTTP/1.1\nHost: h\n")
        for _ in range(3):
            client.send(f"X-Field: {'x' * 60_000}\n")
        self.assertTrue((await client.response()).startswith(b"HTTP/1.1 431"))


class Connections(ServerCase):
    async def test_new_connections_take_the_places_of_those_without_a_request(self) -> None:
        """Guards against connections that keep others out."""
        server = await self.serve()
        silent = [await self.client() for _ in range(LIMITS.connections)]
        await self.until(lambda: len(server.open_connections) == LIMITS.connections)
        client = await self.client()
        client.send("GET / HTTP/1.1\nHost: h\n\n")
        self.assertTrue((await client.response()).startswith(b"HTTP/1.1 200"))
        await silent[0].closed()

    async def test_connections_with_a_request_are_never_closed_for_others(self) -> None:
        """Guards against a request that is lost for the sake of a new connection."""
        go_on = asyncio.Event()

        async def hold(request: web.BaseRequest) -> web.StreamResponse:
            await read_body(request, ANSWER_WITHIN_S)
            await go_on.wait()
            return web.Response()

        server = await self.serve(hold)
        clients = []
        for _ in range(LIMITS.connections + 3):
            clients.append(await self.client())
            clients[-1].send("GET / HTTP/1.1\nHost: h\n\n")
            wanted = min(len(clients), LIMITS.connections)
            await self.until(lambda: sum(c._request is not None for c in server.connections) == wanted)  # noqa: B023
        await asyncio.sleep(0.1)
        go_on.set()
        for number, client in enumerate(clients):
            answer = await client.response()
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), (number, answer))


class Answers(ServerCase):
    async def test_clients_that_do_not_read_give_way_to_others(self) -> None:
        """Guards against answers that pile up unsent."""

        async def large(request: web.BaseRequest) -> web.StreamResponse:
            await read_body(request, ANSWER_WITHIN_S)
            return web.Response(body=bytes(8 * 1024 * 1024))

        server = await self.serve(large)
        for _ in range(4):
            client = await self.client()
            client.send("GET / HTTP/1.1\nHost: h\n\n")
        await self.until(lambda: 0 < len(server._blocked) < 3)
        await self.until(lambda: len(server.connections) < 3)

    async def test_a_client_that_never_reads_is_closed(self) -> None:
        """Guards against connections that wait forever for their client to read."""

        async def large(request: web.BaseRequest) -> web.StreamResponse:
            await read_body(request, ANSWER_WITHIN_S)
            return web.Response(body=bytes(8 * 1024 * 1024))

        with mock.patch("heronstall.transport.http_connection.SEND_STALL_TIMEOUT", TIMEOUT):
            server = await self.serve(large)
            client = await self.client()
            client.send("GET / HTTP/1.1\nHost: h\n\n")
            await self.until(lambda: len(server.connections) == 1)
            await self.until(lambda: not server.connections)

    async def test_a_blocked_connection_of_a_closed_client_is_forgotten(self) -> None:
        async def large(request: web.BaseRequest) -> web.StreamResponse:
            return web.Response(body=bytes(8 * 1024 * 1024))

        server = await self.serve(large)
        client = await self.client()
        client.send("GET / HTTP/1.1\nHost: h\n\n")
        await self.until(lambda: bool(server._blocked))
        client.close()
        await self.until(lambda: not server._blocked and not server.connections)


class Owners(unittest.TestCase):
    def test_other_protocols_are_read_as_before(self) -> None:
        request = mock.Mock(protocol=object(), read=mock.AsyncMock(return_value=b"abc"))
        self.assertNotIsInstance(request.protocol, HttpConnection)
        self.assertEqual(asyncio.run(read_body(request, 1.0)), b"abc")
