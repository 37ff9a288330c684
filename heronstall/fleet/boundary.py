"""Events at the boundary between dispatchers and their environment: the only input of the audit.

Events are recorded as the environment observes them, with times of the run's clock in microseconds. On
sockets, a write is recorded when the receiving kernel has it, before any emulated network latency.
"""

from __future__ import annotations

from typing import Literal, NamedTuple, Union

HowEnded = Literal["done", "failed", "returned", "rejected", "lost", "closed", "broken", "unwritten"]


class NodeUp(NamedTuple):
    """A dispatcher was started."""

    at: int
    node: int


class NodeDown(NamedTuple):
    """A dispatcher ended. `asked_at`: the time of its SIGTERM; None: it was killed or crashed.

    `crashed`: it ended by itself without having been asked to. `reaped_at`: when the process of a killed
    dispatcher was gone; until then its machine may still accept requests for it. None: at once.
    """

    at: int
    node: int
    asked_at: int | None = None
    crashed: bool = False
    reaped_at: int | None = None

    @property
    def gone_at(self) -> int:
        """The time from which its machine accepts nothing for it, in microseconds."""
        return self.at if self.reaped_at is None else self.reaped_at


class Taken(NamedTuple):
    """A client's request has arrived completely on the dispatcher's machine."""

    at: int
    node: int
    id: str
    cls: int
    time_left: int


class Answered(NamedTuple):
    """A client has received a complete answer.

    `own`: a 200 carries a result that a server made for this request.
    """

    at: int
    node: int
    id: str
    status: int
    own: bool = False


class Unanswered(NamedTuple):
    """The dispatcher closed the connection without a complete answer."""

    at: int
    node: int
    id: str


class Recalled(NamedTuple):
    """The connection closed during a request; the client assumes it was not read and resends it."""

    at: int
    node: int
    id: str


class Left(NamedTuple):
    """The client closed its connection before an answer."""

    at: int
    node: int
    id: str


class Written(NamedTuple):
    """The dispatcher sent the first byte of an attempt."""

    at: int
    node: int
    server: int
    id: str
    attempt: int


class Arrived(NamedTuple):
    """The last byte of an attempt arrived at the server; it may run from now on."""

    at: int
    node: int
    server: int
    id: str
    attempt: int


class Over(NamedTuple):
    """An attempt ended, as observed on the dispatcher's machine."""

    at: int
    node: int
    server: int
    id: str
    attempt: int
    how: HowEnded


class ToldOf(NamedTuple):
    """Discovery reported a server's state to a dispatcher."""

    at: int
    node: int
    server: int
    state: str
    boot_ms: int = 0  # start time that identifies the server's process; 0: not reported


class Fell(NamedTuple):
    """A cold server failed from overload. `pushed`: the work of each dispatcher in the last window."""

    at: int
    server: int
    started_at: int
    pushed: dict[int, float]


class Probed(NamedTuple):
    """A dispatcher probed a server."""

    at: int
    node: int
    server: int


Crossing = Union[
    NodeUp,
    NodeDown,
    Taken,
    Answered,
    Unanswered,
    Recalled,
    Left,
    Written,
    Arrived,
    Over,
    ToldOf,
    Fell,
    Probed,
]
