"""The admin endpoint: one command line per connection, answered with one reply.

This is the only module that knows the text protocol.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from heronstall import events
from heronstall.config import Address
from heronstall.events import log_event
from heronstall.net.connection import ConnectionEnded, Ending, Stream, listen
from heronstall.net.loop import READ, Coroutine, Loop, Task, sleep
from heronstall.net.operations import Operations, Reply

MAX_CONNECTIONS = 16  # when exceeded, the oldest connection without a complete line is closed
BACKLOG = 256  # leaves room for an operator's connection when many clients connect at once
MAX_LINE_BYTES = 256
COMMAND_TIMEOUT_US = 6_000_000  # for a complete command line to arrive
REPLY_TIMEOUT_US = 2_000_000  # for the client to read its reply
ACCEPT_PAUSE_US = 20_000  # after a failed accept
END = "END\n"
FIGURE_COMMANDS = ("INFO", "DETAIL", "TAKEOVER")
UNLOGGED = (b"PING", b"INFO", b"DETAIL", b"TAKEOVER")  # monitoring sends these every second
log = logging.getLogger("heronstall.door")


class AdminEndpoint:
    """Listens for operators' commands and passes them to `Operations`."""

    def __init__(self, loop: Loop, address: Address, operations: Operations) -> None:
        self._loop, self._operations = loop, operations
        self._commands: dict[str, Callable[[], Reply]] = {
            "PING": operations.ping,
            "LAMEDUCK": operations.lameduck,
            "REJOIN": operations.rejoin,
        }
        self._server_commands: dict[str, Callable[[str], Reply]] = {
            "DETACH": operations.detach,
            "ATTACH": operations.attach,
        }
        self._connections: dict[Stream, Task] = {}  # oldest first
        self._listener = listen(address, BACKLOG)
        host, port = self._listener.getsockname()[:2]
        log_event(log, events.ADMIN_ENDPOINT_OPEN, host=host, port=port)
        self._accept_task = loop.spawn(self._accept(), "the admin endpoint")

    def _accept(self) -> Coroutine[None]:
        while True:
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                yield self._listener.fileno(), READ, None
            except ConnectionAbortedError:
                continue
            except OSError as error:
                log_event(log, events.ACCEPT_FAILED, reason=str(error))
                self._close_oldest()
                yield from sleep(self._loop.now + ACCEPT_PAUSE_US)
            else:
                if len(self._connections) >= MAX_CONNECTIONS:
                    self._close_oldest()
                sock.setblocking(False)
                stream = Stream(self._loop, sock)
                self._connections[stream] = self._loop.spawn(self._serve(stream), "an admin connection")

    def _close_oldest(self) -> None:
        """Closes the oldest connection, so that idle connections cannot keep commands out."""
        for stream, task in list(self._connections.items())[:1]:
            task.kill()
            self._release(stream)  # a coroutine that has not started yet ends without its `finally`

    def _release(self, stream: Stream) -> None:
        self._connections.pop(stream, None)
        stream.close()

    def _serve(self, stream: Stream) -> Coroutine[None]:
        try:
            line = yield from self._read_line(stream)
            if line is None:
                return
            reply = self.reply(line)
            if line.strip() not in UNLOGGED:
                command = line.decode("ascii", "backslashreplace").strip()
                log_event(log, events.ADMIN_COMMAND, call=command[:MAX_LINE_BYTES], reply=reply.strip())
            yield from stream.write(reply.encode(), self._loop.now + REPLY_TIMEOUT_US)
        except ConnectionEnded:
            pass  # the client has disconnected
        finally:
            self._release(stream)

    def _read_line(self, stream: Stream) -> Coroutine[bytes | None]:
        """Returns the command line, or the part that arrived in time; None if the client sent nothing."""
        deadline = self._loop.now + COMMAND_TIMEOUT_US
        while len(stream.buffer) <= MAX_LINE_BYTES:
            try:
                received = stream.buffer.fill(stream.sock)
            except BlockingIOError:
                if not (yield stream.sock.fileno(), READ, deadline):
                    return stream.buffer.take_all()
            except OSError as error:
                raise ConnectionEnded(Ending.BROKEN, str(error)) from None
            else:
                line = stream.buffer.take_line()
                if line is not None:
                    return line
                if not received:  # some tools close their sending side instead of ending the line
                    return stream.buffer.take_all() or None
        return stream.buffer.take_all()[:MAX_LINE_BYTES]

    def reply(self, line: bytes) -> str:
        """Executes a command line and returns the reply."""
        try:
            words = line.decode("ascii").split()
        except UnicodeDecodeError:
            return "NO not text\n"
        match words:
            case ["INFO"]:
                rows = "".join(f"svc.{name}={figure}\n" for name, figure in self._operations.figures())
                return rows + END
            case ["DETAIL"]:
                return _format_rows(self._operations.detail_figures, "figures.detail")
            case ["TAKEOVER"]:
                return _format_rows(self._operations.takeover_figures, "takeover")
            case [command] if command in self._commands:
                return _format_reply(self._commands[command]())
            case [command, uid] if command in self._server_commands:
                return _format_reply(self._server_commands[command](uid))
            case [command, *_] if (
                command in FIGURE_COMMANDS or command in self._commands or command in self._server_commands
            ):
                return (
                    f"NO {command} wants {'one id' if command in self._server_commands else 'nothing else'}\n"
                )
        return "NO such call\n"


def _format_rows(figures: Callable[[], Iterable[tuple[str, str]]] | None, key: str) -> str:
    """Formats optional figures; `key` is the operator setting that enables them."""
    if figures is None:
        return f"NO {key} is off in the operator's file\n"
    return "".join(f"svc.{name}={figure}\n" for name, figure in figures()) + END


def _format_reply(reply: Reply) -> str:
    return f"{'YES' if reply.ok else 'NO'} {reply.text}\n"
