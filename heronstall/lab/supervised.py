"""A run's dispatchers under keepers, and a rollout carried through them, all of them processes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from heronstall.fleet import boundary as b
from heronstall.fleet.fleet import Plan
from heronstall.keeper import processes
from heronstall.keeper.release import TOKEN_VARIABLE
from heronstall.lab.clock import RealTime
from heronstall.lab.faults import Faults
from heronstall.lab.nodes import LabError, Node, Nodes, free_net

KEEPER_PORT = 8090
DOORS = (8082, 8083)
ROOT = Path(__file__).resolve().parents[2]
STOP_TIME = 20.0
DETAIL = {"figures": {"detail": True}}
CLI = (sys.executable, "-B", "-m", "heronstall.cli")


class SupervisorProcess:
    """One keeper over its lives."""

    def __init__(self, name: str, host: str, file: Path) -> None:
        self.name, self.file = name, file
        self.direct = f"{host}:{KEEPER_PORT}"
        self.address = self.direct  # a relay's, where a fault is about it
        self.process: asyncio.subprocess.Process | None = None


class SupervisedNodes(Nodes):
    """Dispatchers that keepers run. `keepers` shares them out in turn."""

    def __init__(
        self,
        plan: Plan,
        time: RealTime,
        folder: Path,
        *told: Any,
        keepers: int = 3,
        limits: dict[str, Any] | None = None,
    ) -> None:
        """`told` is what `Nodes` wants beside these."""
        super().__init__(plan, time, folder, *told)
        self.work = folder
        self._limits = {"yes_s": 8, "end_s": 8, "pause_s": 0.2, **(limits or {})}
        self._zones = [zone.name for zone in plan.scenario.zones for _ in range(zone.dispatchers)]
        hosts = free_net(keepers)
        self.keepers = [
            SupervisorProcess(f"k{n}", hosts[n], folder / f"k{n}" / "keeper.cue") for n in range(keepers)
        ]
        self.operator = folder / "operator.json"
        self.operator.write_text(json.dumps(DETAIL), encoding="utf-8")
        self.first_run = self._program[1:]
        self.first = self.release("old", self.first_run)
        self._written = 0

    # ------------------------------------------------------------------ files

    def release(self, name: str, run: tuple[str, ...], tree: Path = ROOT, settings: str = "") -> Path:
        """A release's file."""
        path = self.work / f"{name}.release.cue"
        parts = ["heronstall", "requirements.txt"]
        fields = {
            "name": name,
            "tree": str(tree),
            "python": sys.executable,
            "run": list(run),
            "parts": parts,
            "settings": settings,
            "operator": str(self.operator),
        }
        path.write_text(cue("release", fields), encoding="utf-8")
        return path

    def plan_file(self, name: str, release: Path, **more: Any) -> Path:
        """A rollout's file."""
        fields = {
            "name": name,
            "release": str(release),
            "keepers": {keeper.name: keeper.address for keeper in self.keepers},
            "journal": str(self.work / f"{name}.journal"),
            **more,
        }
        path = self.work / f"{name}.rollout.cue"
        path.write_text(cue("rollout", fields), encoding="utf-8")
        return path

    def of(self, keeper: int) -> list[Node]:
        """The dispatchers that a keeper keeps."""
        return self.all[keeper :: len(self.keepers)]

    async def start(self, node: Node, known: dict[str, Any] | None) -> None:
        """Write what it is told; the last one's brings the keepers up."""
        config = self._told(node, known)
        (self.work / f"n{node.number}.json").write_text(json.dumps(config), encoding="utf-8")
        node.usage.lives += 1
        self.crossings.append(b.NodeUp(self._time.now, node.number))
        self._written += 1
        if self._written == len(self.all):
            for number, keeper in enumerate(self.keepers):
                kept = {
                    f"n{one.number}": {
                        "config": str(self.work / f"n{one.number}.json"),
                        "zone": self._zones[one.number],
                        "tmp": str(self.work / f"tmp-n{one.number}"),
                        "doors": [f"{one.host}:{port}" for port in DOORS],
                    }
                    for one in self.of(number)
                }
                fields: dict[str, Any] = {"name": keeper.name, "address": keeper.direct, "state": "state"}
                fields |= {"release": str(self.first), "dispatchers": kept, **self._limits}
                keeper.file.parent.mkdir(parents=True, exist_ok=True)
                keeper.file.write_text(cue("keeper", fields), encoding="utf-8")
                await self.start_keeper(keeper)

    # ------------------------------------------------------------------ keepers

    async def start_keeper(self, keeper: SupervisorProcess, program: tuple[str, ...] = CLI) -> None:
        """Start it, perhaps again."""
        with (self._folder / f"{keeper.name}.log").open("ab") as log:
            keeper.process = await asyncio.create_subprocess_exec(
                *program,
                "keep",
                str(keeper.file),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    async def _healthy(self, node: Node) -> bool:
        keeper = self.keepers[node.number % len(self.keepers)]
        if keeper.process is None or keeper.process.returncode is not None:
            text = (self._folder / f"{keeper.name}.log").read_text(encoding="utf-8", errors="replace")
            raise LabError(f"keeper {keeper.name} has ended; its log ends:\n{text[-1500:]}")
        return await super()._healthy(node)

    async def ready(self, node: Node) -> None:
        """Wait until its healthz says 200."""
        node.process = None
        deadline = asyncio.get_running_loop().time() + 60.0
        while not await self._healthy(node):
            if asyncio.get_running_loop().time() > deadline:
                raise LabError(f"dispatcher n{node.number} did not become ready")
            await asyncio.sleep(0.05)

    def between(self, faults: Faults) -> None:
        """The controller reaches the keepers through what stands between."""
        for keeper in self.keepers:
            keeper.address = faults.link(f"controller>{keeper.name}", keeper.direct)

    def pids(self, name: str) -> list[int]:
        """The processes of a name: a keeper's, or a dispatcher's that bear a keeper's mark."""
        for keeper in self.keepers:
            if keeper.name == name:
                return [keeper.process.pid] if keeper.process is not None else []
        return [pid for pid, config in self.marked() if config.get("name") == name]

    def marked(self) -> list[tuple[int, dict[str, Any]]]:
        """Every living process that a keeper of this run has started, and its configuration."""
        found = []
        for pid in processes.list_pids():
            told = dict(row.split(b"=", 1) for row in processes.environment_entries(pid) if b"=" in row)
            path = told.get(b"NODE_CONFIG", b"").decode(errors="replace")
            if path.startswith(str(self.work)) and TOKEN_VARIABLE.encode() in told:
                with contextlib.suppress(OSError, ValueError):
                    found.append((pid, json.loads(Path(path).read_text(encoding="utf-8"))))
        return found

    async def end(self) -> None:
        """End the dispatchers by their keepers, orderly, then those."""
        from heronstall.keeper import calls

        for number, keeper in enumerate(self.keepers):
            if keeper.process is None or keeper.process.returncode is not None:
                await self.start_keeper(keeper)
            for node in self.of(number):
                for _ in range(100):
                    with contextlib.suppress(calls.CallError):
                        await calls.call(keeper.direct, f"STOP n{node.number}", 2.0)
                        break
                    await asyncio.sleep(0.05)
        deadline = asyncio.get_running_loop().time() + STOP_TIME
        while self.marked() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.05)
        for keeper in self.keepers:
            if keeper.process is not None and keeper.process.returncode is None:
                keeper.process.send_signal(signal.SIGTERM)
                await asyncio.wait_for(keeper.process.wait(), STOP_TIME)

    def kill_all(self) -> None:
        """Whatever happened, leave no process behind."""
        for keeper in self.keepers:
            if keeper.process is not None and keeper.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    keeper.process.kill()
        for pid, _ in self.marked():
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGCONT)
                os.kill(pid, signal.SIGKILL)
        self._private.cleanup()


class Rollout:
    """The controller's process of a run, perhaps over several lives."""

    def __init__(self, nodes: SupervisedNodes, file: Path) -> None:
        self._nodes, self.file = nodes, file
        self.process: asyncio.subprocess.Process | None = None
        self.journal = Path(json.loads(_field(file, "journal")))

    async def start(self, program: tuple[str, ...] = CLI) -> None:
        """Start the controller."""
        with (self._nodes.work / "controller.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *program, "rollout", "start", str(self.file), "--json",
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT,
            )  # fmt: skip

    async def end(self, longest: float) -> int:
        """Its exit code."""
        assert self.process is not None
        try:
            return await asyncio.wait_for(self.process.wait(), longest)
        except TimeoutError:
            log = (self._nodes.work / "controller.log").read_text(encoding="utf-8", errors="replace")
            raise LabError(
                f"the rollout did not end in {longest:g} s; its log ends:\n{log[-3000:]}"
            ) from None

    def records(self) -> list[dict[str, Any]]:
        """What its journal holds."""
        from heronstall.keeper.log import read_records

        try:
            return read_records(self.journal)
        except FileNotFoundError:
            return []

    @property
    def digest(self) -> str:
        """Of the release that it carries, as its first record says."""
        return str(self.records()[0]["release"]).partition("@")[2]

    def kinds(self) -> list[str]:
        """Of its records, in order."""
        return [record["kind"] for record in self.records()]

    async def until(self, kind: str, nth: int = 1, longest: float = 60.0) -> None:
        """Wait for the nth record of a kind."""
        deadline = asyncio.get_running_loop().time() + longest
        while self.kinds().count(kind) < nth:
            ended = self.process is not None and self.process.returncode is not None
            if ended or asyncio.get_running_loop().time() > deadline:
                log = (self._nodes.work / "controller.log").read_text(encoding="utf-8", errors="replace")
                raise LabError(f"no {kind} record came; there are {' '.join(self.kinds())}\n{log[-1000:]}")
            await asyncio.sleep(0.01)


def _field(path: Path, name: str) -> str:
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith(f"{name}: "):
            return line.split(": ", 1)[1]
    raise LabError(f"{path}: no {name}")


def cue(package: str, fields: dict[str, Any]) -> str:
    """A record as a file of ours: JSON values are of that form."""
    return f"package {package}\n" + "".join(f"{key}: {json.dumps(value)}\n" for key, value in fields.items())
