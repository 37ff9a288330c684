"""Merges the observations of several processes and derives what a new process is told.

Only the latest message of each process counts. Of two messages of one process a merge keeps the later, so it
is commutative, associative and idempotent (a map of last-writer-wins registers with one writer each: Shapiro,
Preguiça, Baquero, Zawirski, "Conflict-free Replicated Data Types", 2011). Where messages disagree, the result
is the more cautious one: the lower median of the load reports, and only failures that more than one process
has met.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from heronstall import interface as i
from heronstall.knowledge.observations import MAX_OBSERVATION_AGE_US, Message, Observation

SHUN_TIME_US = 1_000_000  # a server that others cannot use is avoided for so long, or until an own attempt
SHUN_LOST_ATTEMPTS = 2  # in a row at another process, from which on its message speaks against a server
MAX_SHUNNED_SHARE = 0.4  # of the servers; above it none is avoided, since all have trouble or a message lies


class ReceivedMessage(NamedTuple):
    """A message and the local time from which the ages in it count.

    This is the time of the request, so the travel time counts twice rather than not at all.
    """

    message: Message
    requested_at: int


class ObservationStore:
    """The latest message of each process."""

    def __init__(self) -> None:
        self.messages: dict[str, ReceivedMessage] = {}

    def merge(self, message: Message, requested_at: int) -> None:
        """Adds a message, which may be new, outdated or a duplicate."""
        latest = self.messages.get(message.node)
        if latest is None or message.stamp > latest.message.stamp:
            self.messages[message.node] = ReceivedMessage(message, requested_at)

    def hearsay(self, now: int, find_number: Callable[[str, int], int | None]) -> list[i.Hearsay]:
        """Returns the events for the decisions, one for each server.

        `find_number(uid, boot_ms)` returns the number of a server's process. It returns None for a process
        that is not known here, which gets no event.
        """
        by_server: dict[int, list[Observation]] = {}
        for received in self.messages.values():
            for observation in received.message.observations:
                number = find_number(observation.uid, observation.boot_ms)
                age = now - received.requested_at + observation.age
                if number is not None and 0 <= age <= MAX_OBSERVATION_AGE_US:
                    by_server.setdefault(number, []).append(observation._replace(age=age))
        shunned = {worker for worker, observations in by_server.items() if self._is_shunned(observations)}
        if len(shunned) > MAX_SHUNNED_SHARE * len(by_server):
            shunned.clear()
        return [
            _combine(worker, observations, worker in shunned)
            for worker, observations in sorted(by_server.items())
        ]

    def _is_shunned(self, observations: list[Observation]) -> bool:
        """Returns whether most observations, and at least two, speak against a server.

        A single one is enough where only one process has sent a message.
        """
        against = sum(observation.lost_attempts >= SHUN_LOST_ATTEMPTS for observation in observations)
        return against >= min(2, len(self.messages)) and 2 * against > len(observations)


def _combine(worker: int, observations: list[Observation], shunned: bool) -> i.Hearsay:
    reports = sorted((o.free_slots, o.age, o) for o in observations if o.free_slots is not None)
    if not reports:
        return i.Hearsay(worker, min(o.age for o in observations), None, SHUN_TIME_US if shunned else 0)
    _, age, observation = reports[(len(reports) - 1) // 2]
    report = i.Report(util=observation.util, inflight=observation.inflight, free_slots=observation.free_slots)
    return i.Hearsay(worker, age, report, SHUN_TIME_US if shunned else 0)
