"""The interface between `heronstall.decide.Balancer` and its host: settings, events and actions.

All times and durations are whole microseconds; `None` means unknown.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Literal, NamedTuple, Union

Effect = Literal["safe", "keyed", "unsafe"]
Group = Literal["all", "zone", "cell"]
Status = Literal["ok", "error", "rejected", "timeout", "no_connection", "reset", "cancelled", "not_sent"]
# Outcomes after which the attempt certainly had no effect.
PROVES_NOT_RUN = frozenset({"rejected", "no_connection", "not_sent"})


@dataclass(frozen=True)
class RequestClass:
    """A class of requests."""

    aim: int  # response time that is aimed at, without `stretch`
    deadline: int  # response time after which the client gives up
    effect: Effect = "safe"
    group: Group = "all"
    repeat_window: int = 0  # since the first attempt, in which a keyed request may be sent again
    stretch: float = 0.0  # times the request's own work, added to `aim`
    worth: float = 1.0  # of an answer within the aim
    late_worth: float = 0.0  # of an answer after it
    priority: int = 0
    kind: int = -1  # kind of worker that the class needs; -1 for any
    streamed: bool = False


@dataclass(frozen=True)
class Tenant:
    """A tenant."""

    quota_per_s: float  # requests per second, over all nodes, that are within its share


@dataclass(frozen=True)
class Settings:
    """The settings of a node. Raises ValueError for a value out of range."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    nodes: int = 1
    me: int = -1  # index of this node among them; -1 if unknown
    zone: int = 0
    tick: int = 1000  # resolution of the host's clock
    discovery_on_request: bool = False  # the worker list changes are sent only after `Subscribe`
    ask_within: int = 10_000_000  # time in which a lost subscription must be renewed
    reports: Literal["answers", "probe", "none"] = "none"  # what carries the workers' load reports
    probes: bool = False  # `Probe` is allowed
    cancelling: bool = False  # `Cancel` is allowed
    second_copies: bool = False  # a request may have several attempts in flight
    max_attempts: int = 3  # per request
    marks_retry: bool = False  # clients mark their retries
    max_retry_after: int = 0
    answer_grace: int = 0  # time after a client's deadline in which an answer is still accepted
    cold: int = 0  # time after its start in which a worker has less than its full capacity
    cold_from: float = 1.0  # share of its capacity that a worker has at its start
    fall: int = 1_000_000  # window in which the work sent to a cold worker is limited
    fall_multiple: float = 1.0  # of a cold worker's capacity: the work that it may be sent in that window
    tells_start: bool = False  # workers signal the start of a job
    progress: int = 0  # interval between the progress notes of a running job; 0 for none
    probe_price: float = 0.0  # score points that one probe per request costs

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("at least one request class is required")
        for number, c in enumerate(self.classes):
            if c.aim < 0 or c.deadline <= 0 or c.repeat_window < 0:
                raise ValueError(f"class {number}: aim, deadline or repeat_window is out of range")
            if c.effect not in ("safe", "keyed", "unsafe") or c.group not in ("all", "zone", "cell"):
                raise ValueError(f"class {number}: unknown effect {c.effect!r} or group {c.group!r}")
            if not all(math.isfinite(x) and x >= 0 for x in (c.stretch, c.worth, c.late_worth)):
                raise ValueError(
                    f"class {number}: stretch, worth, late_worth must be finite and not negative"
                )
        if self.nodes < 1 or self.tick <= 0 or self.max_attempts < 1:
            raise ValueError("nodes, tick and max_attempts must be at least 1")
        if min(self.answer_grace, self.cold, self.ask_within, self.max_retry_after) < 0:
            raise ValueError("answer_grace, cold, ask_within and max_retry_after must not be negative")
        if not (math.isfinite(self.probe_price) and self.probe_price >= 0):
            raise ValueError("probe_price must be finite and not negative")
        if self.fall <= 0 or not self.fall_multiple > 0 or not 0 <= self.cold_from <= 1:
            raise ValueError("fall and fall_multiple must be above 0, cold_from between 0 and 1")
        if any(not math.isfinite(t.quota_per_s) or t.quota_per_s < 0 for t in self.tenants):
            raise ValueError("a tenant's quota_per_s must be finite and not negative")


class Report(NamedTuple):
    """A worker's load report; a value that the deployment does not report is None."""

    util: float | None = None
    inflight: float | None = None
    queued: float | None = None
    free_slots: float | None = None
    free_memory: float | None = None


class WorkerEntry(NamedTuple):
    """A worker's entry in the worker list."""

    worker: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: Literal["active", "leaving", "left"] = "active"
    weight: float = 1.0
    started_at: int | None = None
    mark: int = 0  # identical at every node, different for each worker


class WorkerList(NamedTuple):
    """A change of the worker list, the complete list, the persisted one of the last run, or a failed call."""

    scope: Literal["changes", "complete", "persisted", "error"]
    entries: tuple[WorkerEntry, ...] = ()


class Arrival(NamedTuple):
    """A new request."""

    request: int
    cls: int  # index of its class in the settings
    time_left: int  # until its client gives up
    tenant: int = 0
    key: str | None = None
    work: int | None = None  # a hint: running time on a standard core
    slots: float = 1.0
    memory: float = 0.0
    retry: bool = False


class StreamStarted(NamedTuple):
    """A streamed answer has begun; from now on it has no deadline."""

    request: int
    worker: int
    attempt: int


class JobNote(NamedTuple):
    """A note from a running attempt: its start, or its progress."""

    request: int
    worker: int
    attempt: int
    share: float | None = None  # of the work that is done; None at the start


class Outcome(NamedTuple):
    """The end of an attempt."""

    request: int
    worker: int
    attempt: int
    ended: bool  # the request ended with this attempt or before it
    status: Status
    latency: int = 0
    report: Report | None = None


class ClientGone(NamedTuple):
    """The client disconnected; its request needs no answer any more."""

    request: int


class Timer(NamedTuple):
    """A wake-up that was requested with `WakeAt`."""

    mark: str = "wake"


class ProbeResult(NamedTuple):
    """The result of a `Probe`."""

    worker: int
    ok: bool
    latency: int = 0
    report: Report | None = None


class Hearsay(NamedTuple):
    """An observation of a worker by other nodes.

    It can defer or order sends that the worker list allows, but it proves nothing.
    """

    worker: int
    age: int  # of the report
    report: Report | None = None
    shun: int = 0  # time for which the worker is best avoided


class PeerMessage(NamedTuple):
    """A message from another node."""

    sender: int
    data: bytes


Event = Union[
    WorkerList,
    Arrival,
    StreamStarted,
    JobNote,
    Outcome,
    ClientGone,
    Timer,
    ProbeResult,
    Hearsay,
    PeerMessage,
]


class Send(NamedTuple):
    """Starts an attempt."""

    request: int
    worker: int
    timeout: int = 0  # 0 waits until the client gives up


class Cancel(NamedTuple):
    """Stops waiting for an attempt."""

    request: int
    attempt: int


class Refuse(NamedTuple):
    """Answers that the request was not executed and that a retry is harmless."""

    request: int
    retry_after: int = 0  # advice to the client


class Fail(NamedTuple):
    """Answers that the request failed, without any claim about its effects."""

    request: int


class WakeAt(NamedTuple):
    """Requests a `Timer` event at or after a time."""

    at: int
    mark: str = "wake"


class Probe(NamedTuple):
    """Asks a worker for a load report."""

    worker: int


class Subscribe(NamedTuple):
    """Subscribes to changes of the worker list."""


class Log(NamedTuple):
    """Writes a log line for the operator."""

    text: str


Action = Union[Send, Cancel, Refuse, Fail, WakeAt, Probe, Subscribe, Log]
