"""Calls in the form of the admin protocol: one line for the call, lines for the reply.

A reply is one line that begins with `YES` or `NO`, or rows `name=value` up to a line `END`. Anything
truncated, malformed or late is a `CallError`: the caller does not know whether the call was carried out
and repeats it.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from heronstall import config
from heronstall.config import ConfigError

MAX_CALL_BYTES = 4096  # including the newline
MAX_REPLY_BYTES = 16 * 1024 * 1024
READ_TIMEOUT_S = 6.0  # for a complete call to arrive
MAX_CONNECTIONS = 64
END = "END"


class CallError(OSError):
    """No complete reply arrived."""


class Reply(NamedTuple):
    """A parsed reply; `good` is true for YES and for rows."""

    good: bool
    text: str
    rows: dict[str, str]


def yes_reply(text: str) -> str:
    """Returns the text of a positive reply."""
    return f"YES {text}\n"


def no_reply(text: str) -> str:
    """Returns the text of a refusal, on one line."""
    return f"NO {' '.join(text.split())}\n"


def rows_reply(table: dict[str, str]) -> str:
    """Returns the text of a reply with rows."""
    return "".join(f"{name}={value}\n" for name, value in table.items()) + END + "\n"


def parse_address(text: str) -> tuple[str, int]:
    """Returns the host and port. Raises CallError."""
    try:
        return config.parse_address(text, "address")
    except ConfigError:
        raise CallError(f"{text!r} is not host:port") from None


async def call(peer: str, line: str, timeout_s: float) -> Reply:
    """Makes a call and returns its reply. Raises CallError."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*parse_address(peer), limit=MAX_REPLY_BYTES)
            writer.write(line.encode() + b"\n")
            data = await reader.read(-1)
    except TimeoutError:
        raise CallError(f"{peer} did not reply within {timeout_s:g} s") from None
    except CallError:
        raise
    except OSError as error:
        raise CallError(f"{peer}: {error}") from None
    finally:
        if writer is not None:
            writer.transport.abort()
    return parse_reply(data, peer)


def parse_reply(data: bytes, peer: str = "") -> Reply:
    """Parses a complete reply. Raises CallError."""
    try:
        text = data.decode("ascii")
    except UnicodeDecodeError:
        raise CallError(f"{peer}: the reply is not ASCII text") from None
    if text.endswith("\n"):
        lines = text[:-1].split("\n")
        if len(lines) == 1 and lines[0].split(" ")[0] in ("YES", "NO"):
            word, _, rest = lines[0].partition(" ")
            return Reply(word == "YES", rest, {})
        if lines[-1] == END and all("=" in row for row in lines[:-1]):
            return Reply(True, "", dict(row.split("=", 1) for row in lines[:-1]))
    raise CallError(f"{peer}: the reply is truncated or malformed: {text[-80:]!r}")


CallHandler = Callable[[list[str]], Awaitable[str]]


class CallServer:
    """Accepts calls and passes the words of each to `handler`, whose text is sent as it is."""

    def __init__(self, handler: CallHandler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections = 0

    async def open(self, address: str) -> str:
        """Starts to listen and returns the address, with the assigned port. Raises OSError."""
        host, port = parse_address(address)
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_CALL_BYTES, reuse_address=True
        )
        name = self._server.sockets[0].getsockname()
        return f"{name[0]}:{name[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        try:
            if self._connections > MAX_CONNECTIONS:
                return
            async with asyncio.timeout(READ_TIMEOUT_S):
                line = await reader.readline()
            if line:
                writer.write((await self._reply(line)).encode("ascii", "backslashreplace"))
                await writer.drain()
        except (TimeoutError, OSError, ValueError):
            pass  # the caller disconnected or sent no complete line
        finally:
            self._connections -= 1
            with contextlib.suppress(OSError):
                writer.close()

    async def _reply(self, line: bytes) -> str:
        try:
            words = line.decode("ascii").split()
        except UnicodeDecodeError:
            return no_reply("not text")
        return await self._handler(words) if words else no_reply("such call")

    async def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()
            self._server = None
