"""The operators' door: a line for a call, a line for the reply. The only file that knows its words."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from heronstall import events
from heronstall.config import Address
from heronstall.events import say
from heronstall.net.connection import ConnectionEnded, Ending, Stream, listen
from heronstall.net.loop import READ, Coroutine, Loop, Task, sleep
from heronstall.net.operations import Operations, Reply

CALLERS = 16  # at a time; the one longest without a whole line makes room for a new one
BACKLOG = 256  # a crowd that connects at once must not keep a call from coming up
LINE = 256  # bytes of a call at the most
CALL_TIME = 6_000_000  # for a call to come whole
REPLY_TIME = 2_000_000  # for a caller to read its reply
ACCEPT_PAUSE = 20_000
END = "END\n"
FIGURES = ("INFO", "DETAIL", "TAKEOVER")
QUIET = (b"PING", b"INFO", b"DETAIL", b"TAKEOVER")  # machines ask these every second: not worth a log line
log = logging.getLogger("heronstall.door")


class Door:
    """Listens for operators and carries their calls to `Operations`."""

    def __init__(self, loop: Loop, address: Address, operations: Operations) -> None:
        self._loop, self._operations = loop, operations
        self._calls: dict[str, Callable[[], Reply]] = {
            "PING": operations.ping,
            "LAMEDUCK": operations.lameduck,
            "REJOIN": operations.rejoin,
        }
        self._calls_on: dict[str, Callable[[str], Reply]] = {
            "DETACH": operations.detach,
            "ATTACH": operations.attach,
        }
        self._callers: dict[Stream, Task] = {}  # in the order in which they came
        self._listener = listen(address, BACKLOG)
        host, port = self._listener.getsockname()[:2]
        say(log, events.DOOR_OPEN, host=host, port=port)
        self._accepting = loop.spawn(self._accept(), "the door")

    def _accept(self) -> Coroutine[None]:
        while True:
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                yield self._listener.fileno(), READ, None
            except ConnectionAbortedError:
                continue
            except OSError as error:
                say(log, events.ACCEPT_FAILED, reason=str(error))
                self._make_room()
                yield from sleep(self._loop.now + ACCEPT_PAUSE)
            else:
                if len(self._callers) >= CALLERS:
                    self._make_room()
                sock.setblocking(False)
                caller = Stream(self._loop, sock)
                self._callers[caller] = self._loop.spawn(self._serve(caller), "a call at the door")

    def _make_room(self) -> None:
        """Guards those who call against those who only hold a connection."""
        for caller, task in list(self._callers.items())[:1]:
            task.kill()
            self._ended(caller)  # a coroutine that has yet to begin ends without its `finally`

    def _ended(self, caller: Stream) -> None:
        self._callers.pop(caller, None)
        caller.close()

    def _serve(self, caller: Stream) -> Coroutine[None]:
        try:
            line = yield from self._line(caller)
            if line is None:
                return
            reply = self.reply(line)
            if line.strip() not in QUIET:
                call = line.decode("ascii", "backslashreplace").strip()
                say(log, events.CALL, call=call[:LINE], reply=reply.strip())
            yield from caller.write(reply.encode(), self._loop.now + REPLY_TIME)
        except ConnectionEnded:
            pass  # nobody is left to tell
        finally:
            self._ended(caller)

    def _line(self, caller: Stream) -> Coroutine[bytes | None]:
        """The call's line, or as much as came of it in time; None from a caller that left without a word."""
        until = self._loop.now + CALL_TIME
        while len(caller.buffer) <= LINE:
            try:
                got = caller.buffer.fill(caller.sock)
            except BlockingIOError:
                if not (yield caller.sock.fileno(), READ, until):
                    return caller.buffer.take_all()
            except OSError as error:
                raise ConnectionEnded(Ending.BROKEN, str(error)) from None
            else:
                line = caller.buffer.take_line()
                if line is not None:
                    return line
                if not got:  # some tools end their sending in place of the line
                    return caller.buffer.take_all() or None
        return caller.buffer.take_all()[:LINE]

    def reply(self, line: bytes) -> str:
        """What is said to a call."""
        try:
            words = line.decode("ascii").split()
        except UnicodeDecodeError:
            return "NO not text\n"
        match words:
            case ["INFO"]:
                rows = "".join(f"svc.{name}={figure}\n" for name, figure in self._operations.figures())
                return rows + END
            case ["DETAIL"]:
                return _rows(self._operations.detail, "figures.detail")
            case ["TAKEOVER"]:
                return _rows(self._operations.takeover, "takeover")
            case [word] if word in self._calls:
                return _said(self._calls[word]())
            case [word, uid] if word in self._calls_on:
                return _said(self._calls_on[word](uid))
            case [word, *_] if word in FIGURES or word in self._calls or word in self._calls_on:
                return f"NO {word} wants {'one id' if word in self._calls_on else 'nothing else'}\n"
        return "NO such call\n"


def _rows(figures: Callable[[], Iterable[tuple[str, str]]] | None, key: str) -> str:
    """Further figures; `key`: what asks for them in the operator's file."""
    if figures is None:
        return f"NO {key} is off in the operator's file\n"
    return "".join(f"svc.{name}={figure}\n" for name, figure in figures()) + END


def _said(reply: Reply) -> str:
    return f"{'YES' if reply.good else 'NO'} {reply.text}\n"
