"""Calls in the form of the operators' door: a line for the call, lines for the reply; asyncio, no decisions.

A reply is one line that begins with `YES` or `NO`, or rows `name=value` up to a line `END`. What is cut,
garbled, late or neither is a `CallError`: the caller knows nothing of what was done, and calls again.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from heronstall import config
from heronstall.config import ConfigError

LINE = 4096  # bytes of a call at the most
REPLY = 16 * 1024 * 1024
CALL_TIME = 6.0  # seconds for a call to come whole
CALLERS = 64
END = "END"


class CallError(OSError):
    """No whole reply came."""


class Reply(NamedTuple):
    """`good` for YES and for rows."""

    good: bool
    text: str
    rows: dict[str, str]


def yes(text: str) -> str:
    """A reply."""
    return f"YES {text}\n"


def no(text: str) -> str:
    """A reply; one line whatever the text."""
    return f"NO {' '.join(text.split())}\n"


def rows(table: dict[str, str]) -> str:
    """A reply."""
    return "".join(f"{name}={value}\n" for name, value in table.items()) + END + "\n"


def address(text: str) -> tuple[str, int]:
    """Host and port. Raises CallError."""
    try:
        return config.parse_address(text, "address")
    except ConfigError:
        raise CallError(f"{text!r} is not host:port") from None


async def call(to: str, line: str, longest: float) -> Reply:
    """Make a call. Raises CallError."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(longest):
            reader, writer = await asyncio.open_connection(*address(to), limit=REPLY)
            writer.write(line.encode() + b"\n")
            data = await reader.read(-1)
    except TimeoutError:
        raise CallError(f"{to} said nothing in {longest:g} s") from None
    except CallError:
        raise
    except OSError as error:
        raise CallError(f"{to}: {error}") from None
    finally:
        if writer is not None:
            writer.transport.abort()
    return parse(data, to)


def parse(data: bytes, who: str = "") -> Reply:
    """A whole reply. Raises CallError."""
    try:
        text = data.decode("ascii")
    except UnicodeDecodeError:
        raise CallError(f"{who}: a reply that is no text") from None
    if text.endswith("\n"):
        lines = text[:-1].split("\n")
        if len(lines) == 1 and lines[0].split(" ")[0] in ("YES", "NO"):
            word, _, rest = lines[0].partition(" ")
            return Reply(word == "YES", rest, {})
        if lines[-1] == END and all("=" in row for row in lines[:-1]):
            return Reply(True, "", dict(row.split("=", 1) for row in lines[:-1]))
    raise CallError(f"{who}: a reply that is cut or garbled: {text[-80:]!r}")


Answer = Callable[[list[str]], Awaitable[str]]


class Desk:
    """Listens and answers. Call `answer` with the words of each call; its text goes back as it is."""

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._callers = 0

    async def open(self, at: str) -> str:
        """Listen; the address, with the port that the system gave for 0. Raises OSError."""
        host, port = address(at)
        self._server = await asyncio.start_server(self._serve, host, port, limit=LINE, reuse_address=True)
        name = self._server.sockets[0].getsockname()
        return f"{name[0]}:{name[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._callers += 1
        try:
            if self._callers > CALLERS:
                return
            async with asyncio.timeout(CALL_TIME):
                line = await reader.readline()
            if line:
                writer.write((await self._reply(line)).encode("ascii", "backslashreplace"))
                await writer.drain()
        except (TimeoutError, OSError, ValueError):
            pass  # a caller that left, or that never said a whole line
        finally:
            self._callers -= 1
            with contextlib.suppress(OSError):
                writer.close()

    async def _reply(self, line: bytes) -> str:
        try:
            words = line.decode("ascii").split()
        except UnicodeDecodeError:
            return no("not text")
        return await self._answer(words) if words else no("such call")

    async def close(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()
            self._server = None
