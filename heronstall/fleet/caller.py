"""What clients do: which dispatcher they reach, when they try again, and what they owe to Retry-After."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from heronstall.fleet.spec import SECOND, Scenario
from heronstall.fleet.streams import Streams, Table, uniforms
from heronstall.fleet.traffic import Request

Came = Literal["served", "refused", "failed", "unreachable", "broke", "late"]
SHORTEST = 50_000  # a try with less time left than this is not made


def try_id(number: int, nth: int) -> str:
    """The request id of a first try (0) or a retry; unique in a run."""
    return f"{number:010x}{nth:02x}"


def result_of(request: str, server: str) -> str:
    """The result that a server gives for a request: whoever has it can tell whose it is."""
    return f"{request}@{server}"


@dataclass(slots=True)
class Try:
    """One try of a request."""

    request: Request
    nth: int
    id: str
    at: int
    time_left: int
    again: bool = False  # sent once more because a close crossed it


class Front:
    """Shares clients out among the dispatchers of their zone; notices late that one has died or is back."""

    def __init__(self, scenario: Scenario, streams: Streams) -> None:
        self.zone_of: list[int] = []
        self.parts: list[float] = []
        for z, zone in enumerate(scenario.zones):
            for n in range(zone.dispatchers):
                self.zone_of.append(z)
                part = float(streams.of("front", zone.name, n).standard_normal())
                self.parts.append(2.718281828459045 ** (scenario.skew * part))
        self.known_up = [True] * len(self.parts)
        self._of = [[n for n, at in enumerate(self.zone_of) if at == z] for z in range(len(scenario.zones))]

    def pick(self, zone: int, draw: float) -> int | None:
        """The dispatcher for a draw from 0 to 1: of the zone, else of any; None where none is known up."""
        up = [n for n in self._of[zone] if self.known_up[n]]
        up = up or [n for n, ok in enumerate(self.known_up) if ok]
        if not up:
            return None
        mark = draw * sum(self.parts[n] for n in up)
        for n in up:
            mark -= self.parts[n]
            if mark < 0.0:
                return n
        return up[-1]


class Callers:
    """Clients' retries. Deterministic by request and try, so that one choice moves no other client's draw."""

    def __init__(self, scenario: Scenario, streams: Streams) -> None:
        self._s = scenario
        self._waits: Table = uniforms(streams, "clients", "wait")

    def first(self, request: Request) -> Try:
        """A request's first try."""
        left = scenario_deadline(self._s, request)
        return Try(request, 0, try_id(request.number, 0), request.at, left)

    def again(self, last: Try, came: Came, now: int, retry_after: int) -> Try | None:
        """The next try after this end of the last one, or None; it starts at its `at`.

        What may have run is tried again only by clients of a safe class, or of a keyed one whose repeats all
        servers drop: it is the dispatcher's claim that makes a refusal harmless, and a refused connection
        proves itself that nothing ran.
        """
        s, c = self._s, self._s.classes[last.request.cls]
        if came in ("served", "late") or last.nth >= s.retries:
            return None
        harmless = came in ("refused", "unreachable") or c.effect == "safe"
        if not harmless and not (c.effect == "keyed" and c.group == "all"):
            return None
        low, high = s.wait
        wait = (low + (high - low) * self._waits[2 * last.request.number + last.nth]) * 2.0**last.nth
        if came == "refused" and s.honours:
            wait = max(wait, float(min(retry_after, s.retry_after)))
        at = now + int(wait)
        left = last.request.deadline - at
        if left < SHORTEST:
            return None
        nth = last.nth + 1
        return Try(last.request, nth, try_id(last.request.number, nth), at, left)


def scenario_deadline(scenario: Scenario, request: Request) -> int:
    """How long a client waits in all, over all its tries."""
    return scenario.classes[request.cls].deadline


def seconds(us: int) -> str:
    """Microseconds as the seconds of a header."""
    return f"{us / SECOND:.6f}"
