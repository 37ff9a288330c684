"""The node processes of a local tier: started, killed, their disks lost."""

from __future__ import annotations

import asyncio
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from heronstall.controlplane.hosting import GroupHost
from heronstall.lab.tier.client import until
from heronstall.lab.tier.plan import INTERNAL, Plan
from heronstall.replication.protocol import Timing
from heronstall.transport.links import Links

ROOT = Path(__file__).resolve().parents[3]
LOOK = 0.02  # seconds between looks whether a process has ended
END_WITHIN = 12.0  # seconds that a node has after SIGTERM
LOG_LIMIT = 1 << 20  # bytes, of a copy that is only read


class _Stateless:
    """A state machine for looking at a group's log alone."""

    def apply(self, index: int, data: bytes) -> None:
        """Take nothing."""

    def dump(self) -> bytes:
        """Keep nothing."""
        return b""

    def restore(self, state: bytes) -> None:
        """Hold nothing."""


class Processes:
    """The nodes of a plan as processes of this machine."""

    def __init__(self, plan: Plan, bounds: dict[str, float]) -> None:
        self._plan, self._bounds = plan, bounds
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._ending: dict[str, subprocess.Popen[bytes]] = {}  # told to, and awaited

    def run(self, ip: str, bootstrap: bool = False) -> None:
        """Start a node's process; what it logs goes to its log file."""
        path = self._plan.write_settings(ip, bootstrap, self._bounds)
        program = "dataplane" if ip in self._plan.edges else "controlplane"
        command = [sys.executable, "-m", f"heronstall.{program}", "--settings", str(path)]
        with self._plan.log(ip).open("ab") as log:
            self._running[ip] = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True
            )

    def ended(self) -> dict[str, int]:
        """Nodes whose process has ended by itself, with its exit status."""
        looked = {ip: process.poll() for ip, process in self._running.items()}
        return {ip: status for ip, status in looked.items() if status is not None}

    def kill(self, ip: str) -> None:
        """End a process at once."""
        process = self._running.pop(ip)
        process.send_signal(signal.SIGKILL)
        process.wait()

    async def end(self, ip: str) -> int:
        """Have a process end in order; its exit status, that of SIGKILL where it takes too long."""
        process = self._ending[ip] = self._running.pop(ip)
        process.terminate()
        until = time.monotonic() + END_WITHIN
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(LOOK)
        process.kill()
        del self._ending[ip]
        return process.wait()

    def minds_signals(self, ip: str) -> bool:
        """Whether SIGHUP and SIGTERM have lost their default actions, as in Python's own start."""
        status = Path(f"/proc/{self._running[ip].pid}/status").read_text(encoding="ascii")
        masks = dict(line.split(":\t", 1) for line in status.splitlines() if line.startswith("Sig"))
        handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
        return all(handled >> (number - 1) & 1 for number in (signal.SIGHUP, signal.SIGTERM))

    def has_loaded(self, ip: str, library: str) -> bool:
        """Whether a file whose path holds this name is mapped into a process."""
        return library in Path(f"/proc/{self._running[ip].pid}/maps").read_text(encoding="utf-8")

    def pid(self, ip: str) -> int:
        """Process id of a running node."""
        return self._running[ip].pid

    def memory(self) -> int:
        """Resident bytes of all running processes together."""
        return sum(_resident(process.pid) for process in self._running.values())

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Send a signal to a process, also to one that is ending: to stand still, to go on."""
        process = self._running.get(ip) or self._ending[ip]
        process.send_signal(number)

    def restart(self, ips: list[str], wiped: bool = False) -> None:
        """End some processes at once, all before the first starts again; `wiped`: without their disks."""
        for ip in ips:
            self.kill(ip)
        for ip in ips:
            if wiped:
                self.wipe(ip)
            self.run(ip)

    def kill_all(self) -> None:
        """End all processes at once."""
        for ip in list(self._running):
            self.kill(ip)
        for process in self._ending.values():
            process.kill()
            process.wait()

    def end_all(self) -> None:
        """End all processes in order; those that take too long at once."""
        for process in self._running.values():
            process.terminate()
        for process in self._running.values():
            try:
                process.wait(END_WITHIN)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._running.clear()

    def wipe(self, ip: str) -> None:
        """Lose a node's disk."""
        shutil.rmtree(self._plan.disk(ip))

    async def rejoined(self, ip: str, shard: str) -> None:
        """Return when a node that lost its disk has its new membership of this shard's group on it.

        Not before may the next loss come: as a learner the node has no vote. Raises TimeoutError.
        """

        async def look() -> bool:
            return self._is_voter(ip, shard)

        await until(look)

    def _is_voter(self, ip: str, shard: str) -> bool:
        """Whether a node is a voter of a shard's group by its own disk, of which a copy is read."""
        with tempfile.TemporaryDirectory(dir=self._plan.folder) as copied:
            folder = Path(copied) / "disk"
            shutil.copytree(self._plan.disk(ip), folder)
            host = GroupHost(f"{ip}:{INTERNAL}", folder, Links(), Timing(), False, LOG_LIMIT)
            return host.replica_id in host.add(shard, _Stateless()).log.members


def _resident(pid: int) -> int:
    """Resident bytes of a process; none of one that is gone."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    except (OSError, IndexError):
        return 0
    return pages * resource.getpagesize()
