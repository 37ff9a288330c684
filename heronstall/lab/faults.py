"""Faults between the processes of a run and to them: what a scenario asks for, done and accounted for."""

from __future__ import annotations

import asyncio
import contextlib
import fnmatch
import os
import resource
import signal
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from heronstall.fleet.spec import SECOND, Fault, MessageCondition
from heronstall.lab.relay import Carried, Direction, Relay, Way

SLICE = 0.02  # seconds of a turn in which a slowed process runs its share
At = Callable[[int, Callable[[], None]], Any]
TO_PROCESSES = ("kill", "stop", "slow", "full-tmp")


class Took(NamedTuple):
    """A fault that was planned and what it did; 0: it did not happen."""

    fault: Fault
    times: int

    def text(self) -> str:
        """For people."""
        target = self.fault.link or self.fault.process
        return f"{self.fault.do} on {target}: " + (
            f"took effect {self.times} times" if self.times else "none"
        )


class Faults:
    """The faults of one process of the run: its relays, and whose pids it knows."""

    def __init__(self, faults: Iterable[Fault], seed: int, at: At) -> None:
        self._faults, self._seed, self._at = list(faults), seed, at
        self.relays: dict[str, Carried] = {}
        self._pids: Callable[[str], list[int]] = lambda name: []
        self._times: dict[int, int] = {}
        self._ways: dict[int, list[tuple[Way, str]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def concerns(self, link: str) -> bool:
        """Whether some fault is about a link, so that a relay must stand in it."""
        named = [f.link for f in self._faults if f.link] + [f.when.link for f in self._faults if f.when]
        return any(fnmatch.fnmatchcase(link, pattern) for pattern in named)

    def link(self, name: str, target: str) -> str:
        """The address to use in the place of `target`: a relay's where a fault is about this link."""
        if not self.concerns(name):
            return target
        relay = self.relays.get(name)
        if not isinstance(relay, Relay):
            host, _, port = target.rpartition(":")
            relay = self.relays[name] = Relay((host, int(port)), self._seed + len(self.relays))
        return relay.address

    def begin(self, pids: Callable[[str], list[int]]) -> None:
        """All relays stand: plan the moments and lay the traps. `pids` finds the processes of a name."""
        self._pids = pids
        for n, fault in enumerate(self._faults):
            if fault.when is None:
                self._at(fault.at, lambda n=n, f=fault: self._strike(n, f))  # type: ignore[misc]
            else:
                self._lay(n, fault, fault.when)

    def _lay(self, n: int, fault: Fault, when: MessageCondition) -> None:
        for relay in self._matching(when.link):
            way = relay.way("there" if when.way == "there" else "back")
            way.trap(when.says.encode(), when.unit, when.nth, lambda: self._strike(n, fault))

    def _matching(self, pattern: str) -> list[Carried]:
        return [relay for name, relay in self.relays.items() if fnmatch.fnmatchcase(name, pattern)]

    # ------------------------------------------------------------------ striking

    def _did(self, n: int, times: int) -> None:
        self._times[n] = self._times.get(n, 0) + times

    def _strike(self, n: int, fault: Fault) -> None:
        if fault.do in TO_PROCESSES:
            self._process(n, fault)
            return
        for relay in self._matching(fault.link):
            ways = [relay.way(d) for d in _directions(fault)]
            if fault.do == "reset":
                self._did(n, relay.reset())
            elif fault.do == "half-close":
                self._did(n, sum(relay.half_close(d) for d in _directions(fault)))
            elif fault.do == "refuse":
                relay.door("refuse")
                self._did(n, 1)
            else:
                self._set(fault, ways, True)
                self._ways.setdefault(n, []).extend(
                    (way, "silence" if fault.do == "cut" else fault.do) for way in ways
                )
                if fault.do == "cut":  # nor does a new connection come up, whichever way is cut
                    relay.door("mute")
                    self._did(n, 1)
        if fault.length:
            asyncio.get_running_loop().call_later(fault.length / SECOND, self._lift, fault)

    @staticmethod
    def _set(fault: Fault, ways: Iterable[Way], on: bool) -> None:
        size, jitter = (fault.size, fault.jitter) if on else (0.0, 0.0)
        for way in ways:
            if fault.do == "delay":
                way.delay, way.jitter = size / 1000, jitter / 1000
            elif fault.do == "rate":
                way.rate = size
            elif fault.do in ("garble", "loss", "reorder"):
                setattr(way, fault.do, size)
            elif fault.do in ("silence", "cut"):
                way.silence(on)

    def _lift(self, fault: Fault) -> None:
        for relay in self._matching(fault.link):
            if fault.do in ("refuse", "cut"):
                relay.door("open")
            self._set(fault, (relay.way(d) for d in _directions(fault)), False)

    # ------------------------------------------------------------------ processes

    def _process(self, n: int, fault: Fault) -> None:
        pids = self._pids(fault.process)
        self._did(n, len(pids))
        for pid in pids:
            if fault.do == "kill":
                os.kill(pid, signal.SIGKILL)
            elif fault.do == "stop":
                os.kill(pid, signal.SIGSTOP)
                if fault.length:
                    asyncio.get_running_loop().call_later(fault.length / SECOND, _continue, pid)
            elif fault.do == "full-tmp":
                full(pid)
            else:
                task = asyncio.get_running_loop().create_task(slowed(pid, fault.size, fault.length / SECOND))
                self._tasks.add(task)

    # ------------------------------------------------------------------ account

    def took(self) -> list[Took]:
        """Each planned fault and what it did."""
        made = []
        for n, fault in enumerate(self._faults):
            times = self._times.get(n, 0)
            times += sum(way.took.get(what, 0) for way, what in self._ways.get(n, []))
            made.append(Took(fault, times))
        return made

    def close(self) -> None:
        """End every relay, and let everybody run who was stopped."""
        for task in self._tasks:
            task.cancel()
        for relay in self.relays.values():
            relay.close()


def mine(faults: Iterable[Fault], world: bool = False) -> list[Fault]:
    """The faults that the world's process brings about, which hosts servers and discovery; or the run's."""

    def theirs(link: str) -> bool:
        far = link.partition(">")[2]
        return far.startswith("s") or far == "discovery"

    return [f for f in faults if theirs(f.link or (f.when.link if f.when else "")) == world]


def _directions(fault: Fault) -> tuple[Direction, ...]:
    return ("there", "back") if fault.way == "both" else ("there",) if fault.way == "there" else ("back",)


def _continue(pid: int) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, signal.SIGCONT)


def full(pid: int) -> None:
    """Let no file of a process grow from now on, as on a disk that is full. Sockets and pipes go on."""
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))


async def slowed(pid: int, share: float, length: float) -> None:
    """Let a process run for its share of each slice alone."""
    loop = asyncio.get_running_loop()
    until = loop.time() + length if length else float("inf")
    try:
        while loop.time() < until:
            os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(SLICE * (1 - share))
            os.kill(pid, signal.SIGCONT)
            await asyncio.sleep(SLICE * share)
    except ProcessLookupError:
        pass
    finally:
        _continue(pid)
