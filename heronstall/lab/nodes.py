"""The dispatchers of a run: real processes, their configuration, their ends."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from heronstall.fleet import boundary as b
from heronstall.fleet.fleet import Plan, settings_of
from heronstall.lab.clock import RealTime
from heronstall.lab.faults import Faults

PORT = 8081
READY_TIME, READY_PAUSE = 30.0, 0.02  # seconds
END_TIME = 20.0  # seconds that a dispatcher gets to finish after SIGTERM, before it is killed
TRIES = 50
DEFAULT = (sys.executable, "-B", "-m", "heronstall")


class LabError(RuntimeError):
    """The lab cannot run this here; the message says why."""


def free_net(count: int) -> list[str]:
    """An address on loopback for each dispatcher, all of them free at the moment."""
    draw = random.Random(os.urandom(8))  # not of the run's seed: two runs at a time must not meet
    for _ in range(TRIES):
        a, c = draw.randrange(64, 128), draw.randrange(0, 250)
        hosts = [f"127.{a}.{c + n // 250}.{1 + n % 250}" for n in range(count)]
        held: list[socket.socket] = []
        try:
            for host in hosts:
                held.append(socket.create_server((host, PORT)))
            return hosts
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
    raise LabError("no free loopback addresses for the dispatchers")


@dataclass
class Usage:
    """What a dispatcher's processes used over its lives."""

    cpu_s: float = 0.0
    peak_mb: float = 0.0
    lives: int = 0


@dataclass
class Node:
    """One dispatcher over its lives."""

    number: int
    host: str
    discovery: str
    process: asyncio.subprocess.Process | None = None
    asked_at: int | None = None
    killed_at: int | None = None
    log_start: int = 0  # byte of the log at which that of the present process begins
    usage: Usage = field(default_factory=Usage)


class Nodes:
    """All dispatchers. `crossings` tells of their starts and ends."""

    share = False  # whether they tell each other of the servers

    def __init__(
        self,
        plan: Plan,
        time: RealTime,
        folder: Path,
        discovery: list[str],
        program: tuple[str, ...] = DEFAULT,
        settings: Path | None = None,
    ) -> None:
        self._settings = settings
        self._plan, self._time, self._folder, self._program = plan, time, folder, program
        # Guards against two runs that keep their logs in one folder: each has its own configurations.
        self._private = tempfile.TemporaryDirectory(prefix="heronstall-lab-")
        hosts = free_net(plan.scenario.dispatchers)
        self.all = [Node(n, host, discovery[n]) for n, host in enumerate(hosts)]
        self.crossings: list[b.Crossing] = []
        self._waits: set[asyncio.Task[None]] = set()

    def between(self, faults: Faults) -> None:
        """Faults may stand between what is here."""

    def pids(self, name: str) -> list[int]:
        """The processes of a name."""
        return [n.process.pid for n in self.all if n.process is not None and f"n{n.number}" == name]

    def addresses(self) -> list[tuple[str, int]]:
        """Where clients connect."""
        return [(node.host, PORT) for node in self.all]

    def _told(self, node: Node, known: dict[str, Any] | None) -> dict[str, Any]:
        """Its configuration for its next life."""
        s = self._plan.scenario
        seed = int(self._plan.streams.of("dispatcher", node.number, node.usage.lives).integers(2**63))
        return {
            "name": f"n{node.number}",
            "listen": f"{node.host}:{PORT}",
            "discovery": node.discovery,
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": s.memory_mb, "sockets": s.sockets},
            "known": known,
            "settings": settings_of(self._plan, node.number),
        }

    def settings(self, node: Node) -> Path | None:
        """A dispatcher's operator's file."""
        return self._settings

    def program(self, node: Node) -> tuple[str, ...]:
        """What is started as this dispatcher."""
        return self._program

    async def start(self, node: Node, known: dict[str, Any] | None) -> None:
        """Start a process; it is not ready yet."""
        config = self._told(node, known)
        path = Path(self._private.name) / f"n{node.number}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        environ = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
        environ["NODE_CONFIG"] = str(path)
        settings = self.settings(node)
        if settings is not None:
            environ["HERONSTALL_SETTINGS"] = str(settings)
        with (self._folder / f"n{node.number}.log").open("ab") as log:
            node.log_start = log.tell()
            node.process = await asyncio.create_subprocess_exec(
                *self.program(node), stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, env=environ
            )
        node.asked_at, node.killed_at = None, None
        node.usage.lives += 1
        self.crossings.append(b.NodeUp(self._time.now, node.number))
        task = asyncio.get_running_loop().create_task(self._wait(node, node.process))
        self._waits.add(task)
        task.add_done_callback(self._waits.discard)

    async def _wait(self, node: Node, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        now = self._time.now
        if node.killed_at is None:
            crashed = node.asked_at is None or code != 0
            down = b.NodeDown(now, node.number, node.asked_at, crashed)
        else:
            down = b.NodeDown(node.killed_at, node.number, node.asked_at, reaped_at=now)
        self.crossings.append(down)
        if node.process is process:
            node.process = None

    async def ready(self, node: Node) -> None:
        """Wait until its healthz says 200. Raises LabError where it never does."""
        deadline = asyncio.get_running_loop().time() + READY_TIME
        while asyncio.get_running_loop().time() < deadline:
            if node.process is None:
                break
            if await self._healthy(node):
                return
            await asyncio.sleep(READY_PAUSE)
        log = (self._folder / f"n{node.number}.log").read_text(encoding="utf-8", errors="replace")
        raise LabError(f"dispatcher n{node.number} did not become ready; its log ends:\n{log[-1500:]}")

    async def _healthy(self, node: Node) -> bool:
        try:
            reader, writer = await asyncio.open_connection(node.host, PORT)
        except OSError:
            return False
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readline(), 1.0)
            return b" 200 " in head
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()

    def _measure(self, node: Node) -> None:
        if node.process is None:
            return
        try:
            told = Path(f"/proc/{node.process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
            status = Path(f"/proc/{node.process.pid}/status").read_text()
        except OSError:
            return
        node.usage.cpu_s += (int(told[11]) + int(told[12])) / os.sysconf("SC_CLK_TCK")
        peak = next((line for line in status.splitlines() if line.startswith("VmHWM")), "VmHWM: 0 kB")
        node.usage.peak_mb = max(node.usage.peak_mb, int(peak.split()[1]) / 1024)

    def kill(self, node: Node) -> None:
        """Kill it outright."""
        if node.process is not None and node.killed_at is None:
            self._measure(node)
            node.killed_at = self._time.now
            node.process.kill()

    def ask(self, node: Node) -> None:
        """SIGTERM: it is to finish and end."""
        if node.process is not None and node.asked_at is None:
            self._measure(node)
            node.asked_at = self._time.now
            node.process.send_signal(signal.SIGTERM)

    async def gone(self, node: Node, longest: float = END_TIME) -> None:
        """Wait for its end; kill it where that takes too long."""
        process = node.process
        if process is None:
            return
        try:
            await asyncio.wait_for(process.wait(), longest)
        except TimeoutError:
            self.kill(node)
            await process.wait()
        await asyncio.sleep(0)

    async def end(self) -> None:
        """End all of them, orderly."""
        for node in self.all:
            self.ask(node)
        await asyncio.gather(*(self.gone(node) for node in self.all))
        if self._waits:
            await asyncio.wait(self._waits, timeout=1.0)

    def kill_all(self) -> None:
        """Whatever happened, leave no process behind."""
        for node in self.all:
            if node.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.kill()
        self._private.cleanup()
