"""Jobs sent one by one beside a run's traffic: clients whose every answer is kept.

They use requests of the run's plan that its own clients never come to, since a server takes only ids that a
client has sent; what the servers have read of a job is in the run's crossings.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from heronstall.fleet.client import try_id
from heronstall.lab.nodes import PORT
from heronstall.lab.run import Run


@dataclass
class ManualAttempt:
    """One try of a job: what its client got. `status` 0: no whole answer, for the reason in `failure`."""

    number: int
    nth: int
    node: int
    status: int = 0
    failure: str = ""  # how the connection ended, where it brought no whole answer
    body: bytes = b""
    took: float = 0.0
    at: float = 0.0  # when it ended, on the event loop's clock
    sent: asyncio.Event = field(default_factory=asyncio.Event)


class ManualClient:
    """Hands in jobs of one run, one by one."""

    def __init__(self, run: Run, first: int) -> None:
        self._run = run
        self._next = {n: first for n in range(len(run.scenario.classes))}
        self.tries: list[ManualAttempt] = []

    def job(self, cls: str) -> int:
        """A job of a class that nobody has sent."""
        of = next(n for n, c in enumerate(self._run.scenario.classes) if c.name == cls)
        requests = self._run.plan.requests
        number = next(n for n in range(self._next[of], len(requests)) if requests[n].cls == of)
        self._next[of] = number + 1
        return number

    async def attempt(
        self, number: int, node: int, nth: int = 0, left: float = 5.0, body: bytes = b"", key: str = ""
    ) -> ManualAttempt:
        """One try, to its end."""
        made = ManualAttempt(number, nth, node)
        self.tries.append(made)
        loop = asyncio.get_running_loop()
        began = loop.time()
        request = self._run.plan.requests[number]
        name = self._run.scenario.classes[request.cls].name
        head = [
            "POST /api HTTP/1.1",
            "Host: lab",
            f"Req-Id: {try_id(number, nth)}",
            f"Req-Kind: {name}",
            f"Req-Deadline: {left:.3f}",
            f"Content-Length: {len(body)}",
        ]
        if key != "-":
            head.append(f"Idempotency-Key: {key or f'job-{number}'}")
        writer = None
        try:
            reader, writer = await asyncio.open_connection(self._run.nodes.all[node].host, PORT)
            writer.write("\r\n".join([*head, "", ""]).encode() + body)
            made.sent.set()
            async with asyncio.timeout(left + 1.0):
                line = await reader.readline()
                length = 0
                while row := (await reader.readline()).strip():
                    if row.lower().startswith(b"content-length:"):
                        length = int(row.split(b":")[1])
                made.status, made.body = int(line.split()[1]), await reader.readexactly(length)
        except (OSError, TimeoutError, IndexError, ValueError, asyncio.IncompleteReadError) as error:
            made.status, made.failure = 0, repr(error)
        finally:
            made.sent.set()
            made.at = loop.time()
            made.took = made.at - began
            if writer is not None:
                with contextlib.suppress(OSError):
                    writer.close()
        return made

    def begin(self, number: int, node: int, nth: int = 0, **more: object) -> asyncio.Task[ManualAttempt]:
        """The same, in the background."""
        return asyncio.create_task(self.attempt(number, node, nth, **more))  # type: ignore[arg-type]
