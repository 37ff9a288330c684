"""Client behaviour: which dispatcher a client reaches, when it retries, and how it treats Retry-After."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from heronstall.fleet.spec import SECOND, Scenario
from heronstall.fleet.streams import Streams, Table, uniforms
from heronstall.fleet.traffic import Request

TryResult = Literal["served", "refused", "failed", "unreachable", "broke", "late"]
MIN_TRY_TIME_US = 50_000  # microseconds; a try with less time left is not made


def try_id(number: int, nth: int) -> str:
    """Returns the request id of a first try (`nth` = 0) or a retry; unique within a run."""
    return f"{number:010x}{nth:02x}"


def result_of(request: str, server: str) -> str:
    """Returns the result of a request at a server; it identifies both."""
    return f"{request}@{server}"


@dataclass(slots=True)
class Try:
    """One try of a request."""

    request: Request
    nth: int
    id: str
    at: int
    time_left: int
    resent: bool = False  # resent because the dispatcher closed the connection while it was being sent


class ClientBalancer:
    """Distributes clients over the dispatchers of their zone.

    It learns with a delay that a dispatcher has stopped or is back.
    """

    def __init__(self, scenario: Scenario, streams: Streams) -> None:
        self.zone_of_dispatcher: list[int] = []
        self.weights: list[float] = []
        for z, zone in enumerate(scenario.zones):
            for n in range(zone.dispatchers):
                self.zone_of_dispatcher.append(z)
                part = float(streams.of("front", zone.name, n).standard_normal())
                self.weights.append(2.718281828459045 ** (scenario.skew * part))
        self.known_up = [True] * len(self.weights)
        self._dispatchers_of_zone = [
            [n for n, at in enumerate(self.zone_of_dispatcher) if at == z] for z in range(len(scenario.zones))
        ]

    def pick(self, zone: int, draw: float) -> int | None:
        """Returns the dispatcher for a draw between 0 and 1, or None if none is known to be up.

        Dispatchers of other zones are used only if none of the given zone is known to be up.
        """
        up = [n for n in self._dispatchers_of_zone[zone] if self.known_up[n]]
        up = up or [n for n, ok in enumerate(self.known_up) if ok]
        if not up:
            return None
        remaining = draw * sum(self.weights[n] for n in up)
        for n in up:
            remaining -= self.weights[n]
            if remaining < 0.0:
                return n
        return up[-1]


class ClientRetries:
    """Decides on clients' retries. Draws depend only on request and try, not on other clients."""

    def __init__(self, scenario: Scenario, streams: Streams) -> None:
        self._scenario = scenario
        self._waits: Table = uniforms(streams, "clients", "wait")

    def first(self, request: Request) -> Try:
        """Returns the first try of a request."""
        left = total_deadline(self._scenario, request)
        return Try(request, 0, try_id(request.number, 0), request.at, left)

    def next_try(self, last: Try, outcome: TryResult, now: int, retry_after: int) -> Try | None:
        """Returns the try after `last`, to be started at its `at`, or None if the client does not retry.

        A request that may have run is retried only if its class is safe, or keyed with repeats dropped by all
        servers. A refusal is safe to retry because the dispatcher guarantees that nothing ran; a refused
        connection proves it.
        """
        s, c = self._scenario, self._scenario.classes[last.request.cls]
        if outcome in ("served", "late") or last.nth >= s.retries:
            return None
        harmless = outcome in ("refused", "unreachable") or c.effect == "safe"
        if not harmless and not (c.effect == "keyed" and c.group == "all"):
            return None
        low, high = s.wait
        wait = (low + (high - low) * self._waits[2 * last.request.number + last.nth]) * 2.0**last.nth
        if outcome == "refused" and s.honours:
            wait = max(wait, float(min(retry_after, s.retry_after)))
        at = now + int(wait)
        left = last.request.deadline - at
        if left < MIN_TRY_TIME_US:
            return None
        nth = last.nth + 1
        return Try(last.request, nth, try_id(last.request.number, nth), at, left)


def total_deadline(scenario: Scenario, request: Request) -> int:
    """Returns how long a client waits in total, over all its tries, in microseconds."""
    return scenario.classes[request.cls].deadline


def seconds(us: int) -> str:
    """Formats microseconds as the seconds of a header."""
    return f"{us / SECOND:.6f}"
