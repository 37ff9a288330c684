"""Chooses a job's witnesses and its successor, and orders the jobs that are to be taken over.

Both choices use rendezvous hashing (Thaler, Ravishankar, 1998) on the job's identity. Witnesses are chosen
within each group from the operator's file alone, whatever members are alive: two dispatchers that see
different members must still ask witnesses that overlap.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b

from heronstall.takeover.witness import Register


def _score(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


class Roster:
    """The witnesses of an installation, in groups of names. One of each group stores a job's register."""

    def __init__(self, groups: Sequence[Sequence[str]]) -> None:
        self.groups = [tuple(group) for group in groups]
        self._positions = {name: n + 1 for n, name in enumerate(sorted({n for g in groups for n in g}))}

    def witnesses(self, key: str) -> tuple[str, ...]:
        """Returns a job's witnesses: one of each group."""
        return tuple(min(group, key=lambda name: _score(key, name)) for group in self.groups)

    def position(self, name: str) -> int:
        """Returns a witness's own number, from 1 on, or 0 for a name that is not a witness."""
        return self._positions.get(name, 0)

    def successor(self, key: str, me: str, is_alive: Callable[[str], bool]) -> str:
        """Returns the process that is to take a job over: the first live one of its witnesses, with `me`.

        Where two processes disagree on who is alive, both try, and one of them is refused because the
        other's epoch was promised.
        """
        alive = [name for name in self.witnesses(key) if name == me or is_alive(name)]
        return min(alive, key=lambda name: _score(f"successor of {key}", name))


def takeover_order(
    registers: Iterable[tuple[str, Register]], now: int, worths: Sequence[float]
) -> list[tuple[str, Register]]:
    """Sorts registers by the order in which their jobs are to be taken over.

    Jobs of the highest worth come first, and among equals the one with the least time left. Registers
    without a job come last, since they are only to be ended.
    """

    def rank(item: tuple[str, Register]) -> tuple[float, int]:
        job = item[1].job
        if job is None:
            return 1.0, 0
        return -worths[job.cls], job.time_left - (now - item[1].received_at)

    return sorted(registers, key=rank)
