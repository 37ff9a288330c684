"""Versions of the dispatcher that each do worse in one way, for a rollout to find.

`python -m tests.versions NAME [ARG]` is the real program with that fault. Faults come by what is counted (a
job, a call), never by a clock.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any

from heronstall import interface as i
from heronstall.decide import Balancer

CRASH_AFTER = 25  # jobs
HEAVY = 0.02  # seconds of CPU a job
LEAK = 1 << 19  # bytes, at each look of the loop, ten times a second


class Watched:
    """The real decisions, with something done at each arrival."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.real = Balancer(settings, seed)
        self.settings, self.jobs = settings, 0

    def avoided(self, now: int) -> list[int]:
        """As the module's own."""
        return self.real.avoided(now)

    def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
        """As the module's own."""
        refused: list[i.Action] = []
        kept: list[i.Event] = []
        for event in events:
            if isinstance(event, i.Arrival):
                self.jobs += 1
                if self.refuses(event):
                    refused.append(i.Refuse(event.request, 0))
                    continue
                self.arrived(event)
            kept.append(event)
        return refused + self.real.handle(now, kept)

    def refuses(self, arrival: i.Arrival) -> bool:
        """Whether this one is turned away."""
        return False

    def arrived(self, arrival: i.Arrival) -> None:
        """A job is here."""


class Crashes(Watched):
    """Serves well for a while, then ends."""

    def arrived(self, arrival: i.Arrival) -> None:
        if self.jobs > CRASH_AFTER:
            sys.stderr.flush()
            os._exit(3)


class Refuses(Watched):
    """Turns away two in five of the dearest class, and of no other."""

    def refuses(self, arrival: i.Arrival) -> bool:
        worths = [c.worth for c in self.settings.classes]
        return worths[arrival.cls] == max(worths) and self.jobs % 5 < 2


class Heavy(Watched):
    """Burns CPU for each job."""

    def arrived(self, arrival: i.Arrival) -> None:
        until = time.process_time() + HEAVY
        while time.process_time() < until:
            pass


class Zone(Refuses):
    """Does worse in one zone alone, the first."""

    def refuses(self, arrival: i.Arrival) -> bool:
        return self.settings.zone == 0 and self.jobs % 2 == 0


class Resends(Watched):
    """Breaks off each keyed job's first attempt once something else happens, and makes it again: the server
    works for both."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.first: dict[int, i.Send] = {}  # sent once
        self.broken: dict[int, i.Send] = {}  # and broken off
        self.shift: set[int] = set()  # whose attempts are one more than the module knows
        self.keyed: set[int] = set()

    def arrived(self, arrival: i.Arrival) -> None:
        if self.settings.classes[arrival.cls].effect == "keyed":
            self.keyed.add(arrival.request)

    def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
        """As the module's own, with the first attempts kept from it."""
        said: list[i.Action] = []
        told: list[i.Event] = []
        breaking, self.first = self.first, {}
        for event in events:
            request = getattr(event, "request", -1)
            if isinstance(event, i.Outcome) and request in self.broken and not event.ended:
                self.shift.add(request)
                said.append(self.broken.pop(request))
                continue
            if isinstance(event, (i.Outcome, i.ClientGone)) and (
                isinstance(event, i.ClientGone) or event.ended
            ):
                breaking.pop(request, None)
                self.broken.pop(request, None)
                self.keyed.discard(request)
            if isinstance(event, (i.Outcome, i.JobNote)) and request in self.shift:
                event = event._replace(attempt=event.attempt - 1)
            told.append(event)
        for request, send in breaking.items():
            self.broken[request] = send
            said.append(i.Cancel(request, 0))
        for action in super().handle(now, told):
            if isinstance(action, i.Cancel) and action.request in self.shift:
                action = action._replace(attempt=action.attempt + 1)
            if isinstance(action, i.Send) and action.request in self.keyed:
                self.keyed.discard(action.request)
                self.first[action.request] = action
            said.append(action)
        return said


DECISIONS: dict[str, type[Watched]] = {
    "good": Watched,
    "crashes": Crashes,
    "refuses": Refuses,
    "heavy": Heavy,
    "resends": Resends,
    "zone": Zone,
}


def _dies(program: Any) -> None:
    sys.exit(7)


def _deaf(program: Any) -> None:
    """Says yes at its door, takes clients' connections, and reads nothing from them."""
    from heronstall.net.frontend import Frontend

    def serve(self: Any, *told: Any) -> Any:
        while True:
            yield -1, 0, None

    Frontend._serve = serve  # type: ignore[method-assign,assignment]


def _no_yes(program: Any) -> None:
    from heronstall.net.operations import Operations, Reply

    Operations.ping = lambda self: Reply(False, "not yet")  # type: ignore[method-assign]


def _leaks(program: Any) -> None:
    from heronstall.ops.detail import Detail

    held: list[bytes] = []
    before = Detail.delayed

    def delayed(self: Detail, by: int) -> None:
        held.append(os.urandom(1024) * (LEAK // 1024))
        before(self, by)

    Detail.delayed = delayed  # type: ignore[method-assign]


def _wastes(program: Any) -> None:
    """Opens a connection for each attempt."""
    from heronstall.net.backend import ConnectionPool

    ConnectionPool._reuse = lambda self, server: None  # type: ignore[method-assign]


def _writes(program: Any) -> None:
    """Leaves files of a later version behind, which the old one does not know."""
    from heronstall.ops import handover

    handover.VERSION = 2


def _later_words(program: Any) -> None:
    """Says more than is known: a field at the end of each datagram and its rows, and in the list."""
    import ujson

    from heronstall.membership.messages import LARGEST, Message
    from heronstall.membership.messages import pack as real
    from heronstall.net.peers import hub

    line = hub.Peers.line

    def pack(cluster: str, message: Message) -> bytes:
        told = ujson.loads(real(cluster, message))
        told = [*told, [], {"later": 1}] if len(told) == 11 else [*told, {"later": 1}]
        told[5].append("later")
        for row in told[9]:
            row.append("later")
        made = ujson.dumps(told, escape_forward_slashes=False).encode()
        return bytes(made) if len(made) <= LARGEST else real(cluster, message)

    def more(self: hub.Peers, whole: bool) -> bytes:
        told = line(self, whole)
        if told == b"\n":
            return told
        return bytes(ujson.dumps({**ujson.loads(told), "later": [1]}).encode()) + b"\n"

    vars(hub)["pack"] = pack
    hub.Peers.line = more  # type: ignore[method-assign]


def _other_words(program: Any) -> None:
    """Speaks another form, which those of this one do not know."""
    from heronstall.membership import messages

    vars(messages)["VERSION"] = messages.VERSION + 1


PATCHES: dict[str, Callable[[Any], None]] = {
    "dies": _dies,
    "deaf": _deaf,
    "no-yes": _no_yes,
    "leaks": _leaks,
    "wastes": _wastes,
    "writes": _writes,
    "later-words": _later_words,
    "other-words": _other_words,
}


def main(name: str) -> int:
    """The real program with a fault."""
    from heronstall import __main__ as program
    from heronstall.net import dispatcher

    if name in DECISIONS:
        vars(dispatcher)["Balancer"] = DECISIONS[name]
    else:
        PATCHES[name](program)
    return program.main()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
