"""Faulty versions of the dispatcher, each worse in one way, for a rollout to detect.

`python -m tests.versions NAME [ARG]` runs the real program with that fault. Faults are triggered by counts of
jobs or calls, never by a clock.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any

from heronstall import interface as i
from heronstall.decide import Balancer

CRASH_AFTER_JOBS = 25
CPU_PER_JOB_S = 0.02
LEAK = 1 << 19  # bytes at each measurement of the loop lag, ten times per second


class FaultyDecisions:
    """The real decisions with a hook at each arrival."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.real = Balancer(settings, seed)
        self.settings, self.jobs = settings, 0

    def ejected_workers(self, now: int) -> list[int]:
        """See `Balancer.ejected_workers`."""
        return self.real.ejected_workers(now)

    def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
        """See `Balancer.handle`."""
        refused: list[i.Action] = []
        passed: list[i.Event] = []
        for event in events:
            if isinstance(event, i.Arrival):
                self.jobs += 1
                if self.refuses(event):
                    refused.append(i.Refuse(event.request, 0))
                    continue
                self.arrived(event)
            passed.append(event)
        return refused + self.real.handle(now, passed)

    def refuses(self, arrival: i.Arrival) -> bool:
        """Returns whether this request is refused."""
        return False

    def arrived(self, arrival: i.Arrival) -> None:
        """Called for each request that is not refused."""


class Crashes(FaultyDecisions):
    """Crashes after some jobs."""

    def arrived(self, arrival: i.Arrival) -> None:
        if self.jobs > CRASH_AFTER_JOBS:
            sys.stderr.flush()
            os._exit(3)


class Refuses(FaultyDecisions):
    """Refuses two in five requests of the class with the highest worth."""

    def refuses(self, arrival: i.Arrival) -> bool:
        worths = [c.worth for c in self.settings.classes]
        return worths[arrival.cls] == max(worths) and self.jobs % 5 < 2


class BurnsCpu(FaultyDecisions):
    """Burns CPU for each job."""

    def arrived(self, arrival: i.Arrival) -> None:
        until = time.process_time() + CPU_PER_JOB_S
        while time.process_time() < until:
            pass


class RefusesInZone(Refuses):
    """Refuses requests in the first zone only."""

    def refuses(self, arrival: i.Arrival) -> bool:
        return self.settings.zone == 0 and self.jobs % 2 == 0


class Resends(FaultyDecisions):
    """Cancels each keyed job's first attempt at the next event and repeats it, so that servers work twice."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.first: dict[int, i.Send] = {}  # attempts sent once
        self.cancelled: dict[int, i.Send] = {}  # first attempts that were cancelled
        self.shifted: set[int] = set()  # requests with one more attempt than the decisions know
        self.keyed: set[int] = set()

    def arrived(self, arrival: i.Arrival) -> None:
        if self.settings.classes[arrival.cls].effect == "keyed":
            self.keyed.add(arrival.request)

    def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
        """See `Balancer.handle`; hides the first attempts from it."""
        actions: list[i.Action] = []
        passed: list[i.Event] = []
        cancelling, self.first = self.first, {}
        for event in events:
            request = getattr(event, "request", -1)
            if isinstance(event, i.Outcome) and request in self.cancelled and not event.ended:
                self.shifted.add(request)
                actions.append(self.cancelled.pop(request))
                continue
            if isinstance(event, (i.Outcome, i.ClientGone)) and (
                isinstance(event, i.ClientGone) or event.ended
            ):
                cancelling.pop(request, None)
                self.cancelled.pop(request, None)
                self.keyed.discard(request)
            if isinstance(event, (i.Outcome, i.JobNote)) and request in self.shifted:
                event = event._replace(attempt=event.attempt - 1)
            passed.append(event)
        for request, send in cancelling.items():
            self.cancelled[request] = send
            actions.append(i.Cancel(request, 0))
        for action in super().handle(now, passed):
            if isinstance(action, i.Cancel) and action.request in self.shifted:
                action = action._replace(attempt=action.attempt + 1)
            if isinstance(action, i.Send) and action.request in self.keyed:
                self.keyed.discard(action.request)
                self.first[action.request] = action
            actions.append(action)
        return actions


DECISIONS: dict[str, type[FaultyDecisions]] = {
    "good": FaultyDecisions,
    "crashes": Crashes,
    "refuses": Refuses,
    "heavy": BurnsCpu,
    "resends": Resends,
    "zone": RefusesInZone,
}


def _exits(program: Any) -> None:
    sys.exit(7)


def _reads_nothing(program: Any) -> None:
    """Reports ready and accepts clients' connections, but reads nothing from them."""
    from heronstall.net.frontend import Frontend

    def serve(self: Any, *told: Any) -> Any:
        while True:
            yield -1, 0, None

    Frontend._serve = serve  # type: ignore[method-assign,assignment]


def _is_never_ready(program: Any) -> None:
    from heronstall.net.operations import Operations, Reply

    Operations.ping = lambda self: Reply(False, "not yet")  # type: ignore[method-assign]


def _leaks_memory(program: Any) -> None:
    from heronstall.ops.detail import DetailedMetrics

    leaked: list[bytes] = []
    original = DetailedMetrics.record_loop_delay

    def record_loop_delay(self: DetailedMetrics, delay: int) -> None:
        leaked.append(os.urandom(1024) * (LEAK // 1024))
        original(self, delay)

    DetailedMetrics.record_loop_delay = record_loop_delay  # type: ignore[method-assign]


def _reuses_no_connection(program: Any) -> None:
    """Opens a new connection for each attempt."""
    from heronstall.net.backend import ConnectionPool

    ConnectionPool._reuse = lambda self, server: None  # type: ignore[method-assign]


def _writes_later_files(program: Any) -> None:
    """Leaves files of a later version that the old version does not know."""
    from heronstall.ops import state_files

    state_files.VERSION = 2


def _adds_unknown_fields(program: Any) -> None:
    """Adds unknown fields to each datagram, to its rows and to the list."""
    import ujson

    from heronstall.membership.messages import MAX_DATAGRAM_BYTES, Message
    from heronstall.membership.messages import pack as original_pack
    from heronstall.net.peers import service

    original_line = service.PeerService.list_line

    def pack(cluster: str, message: Message) -> bytes:
        fields = ujson.loads(original_pack(cluster, message))
        fields = [*fields, [], {"later": 1}] if len(fields) == 11 else [*fields, {"later": 1}]
        fields[5].append("later")
        for row in fields[9]:
            row.append("later")
        encoded = ujson.dumps(fields, escape_forward_slashes=False).encode()
        return bytes(encoded) if len(encoded) <= MAX_DATAGRAM_BYTES else original_pack(cluster, message)

    def line_with_unknown_field(self: service.PeerService, whole: bool) -> bytes:
        original = original_line(self, whole)
        if original == b"\n":
            return original
        return bytes(ujson.dumps({**ujson.loads(original), "later": [1]}).encode()) + b"\n"

    vars(service)["pack"] = pack
    service.PeerService.list_line = line_with_unknown_field  # type: ignore[method-assign]


def _sends_other_version(program: Any) -> None:
    """Sends messages of a version that the other dispatchers do not know."""
    from heronstall.membership import messages

    vars(messages)["VERSION"] = messages.VERSION + 1


PATCHES: dict[str, Callable[[Any], None]] = {
    "dies": _exits,
    "deaf": _reads_nothing,
    "no-yes": _is_never_ready,
    "leaks": _leaks_memory,
    "wastes": _reuses_no_connection,
    "writes": _writes_later_files,
    "later-words": _adds_unknown_fields,
    "other-words": _sends_other_version,
}


def main(name: str) -> int:
    """Runs the real program with a fault."""
    from heronstall import __main__ as program
    from heronstall.net import dispatcher

    if name in DECISIONS:
        vars(dispatcher)["Balancer"] = DECISIONS[name]
    else:
        PATCHES[name](program)
    return program.main()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
