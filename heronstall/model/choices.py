"""What a comparison compares: this program, a revision of it, a scenario, or an experiment."""

from __future__ import annotations

import hashlib
import json
import shutil
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from heronstall.fleet.spec import ScenarioError, scenario
from heronstall.records import RecordsError, load

ROOT = Path(__file__).resolve().parents[2]
# What an older revision gets of ours, to be played at all; decisions, host and configuration are its own.
LENT = ("fleet", "model", "records", "events.py")
GIT_TIME = 60.0


class ChoiceError(ValueError):
    """A choice that cannot be used; the message names it."""


@dataclass(frozen=True)
class Choice:
    """One side: where its program lies, its scenario's record, and the constants that an experiment sets."""

    name: str
    root: str
    record: dict[str, Any]
    constants: dict[str, float]

    def key(self) -> str:
        """What its runs are known by in a state file: the text of its program, scenario and constants."""
        told = hashlib.sha256(json.dumps([self.record, self.constants], sort_keys=True).encode())
        for path in sorted(Path(self.root, "heronstall").rglob("*.py")):
            if not {"lab", "cli", "report", "trace"} & set(path.parts):
                told.update(path.read_bytes())
        return told.hexdigest()[:16]


def overlay(revision: str, folder: Path) -> Path:
    """A revision's program with our model beside it, in a folder. Raises ChoiceError."""

    def git(*words: str) -> bytes:
        try:
            done = subprocess.run(
                ["git", "-C", str(ROOT), *words], capture_output=True, timeout=GIT_TIME, check=False
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            raise ChoiceError(f"rev:{revision}: git cannot be run: {error}") from None
        if done.returncode:
            told = done.stderr.decode(errors="replace").strip()
            raise ChoiceError(f"rev:{revision}: {told.splitlines()[0] if told else 'unknown'}")
        return done.stdout

    commit = git("rev-parse", "--verify", "--end-of-options", f"{revision}^{{commit}}").decode().strip()
    root = folder / commit[:12]
    if root.exists():
        return root
    archive = git("archive", commit, "heronstall")
    root.mkdir(parents=True)
    subprocess.run(["tar", "-x", "-C", str(root)], input=archive, check=True, timeout=GIT_TIME)
    for name in LENT:
        ours, theirs = ROOT / "heronstall" / name, root / "heronstall" / name
        if ours.is_dir():
            shutil.rmtree(theirs, ignore_errors=True)
            shutil.copytree(ours, theirs, ignore=shutil.ignore_patterns("__pycache__"))
        elif not theirs.exists():
            shutil.copy(ours, theirs)
    return root


def choice(text: str, on: dict[str, Any] | None, folder: Path) -> Choice:
    """`this`, `rev:REVISION`, or a scenario's or experiment's file. Raises ChoiceError."""
    if text == "this":
        return _made(text, str(ROOT), on, {})
    if text.startswith("rev:"):
        return _made(text, str(overlay(text[4:], folder)), on, {})
    try:
        kind, record = load(Path(text), ("scenario", "experiment"))
        if kind == "scenario":
            scenario(record)
    except (RecordsError, ScenarioError) as error:
        raise ChoiceError(str(error)) from None
    if kind == "scenario":
        return Choice(text, str(ROOT), record, {})
    return _made(text, str(ROOT), on, dict(record["decide"]))


def _made(text: str, root: str, on: dict[str, Any] | None, constants: dict[str, float]) -> Choice:
    if on is None:
        raise ChoiceError(f"{text}: it wants a scenario to be played on (--on)")
    return Choice(text, root, on, constants)


class Worker:
    """A process that plays one choice's runs, one at a time."""

    def __init__(self, chosen: Choice) -> None:
        self._choice = chosen
        environ = {"PYTHONPATH": chosen.root, "PYTHONDONTWRITEBYTECODE": "1", "PATH": "/usr/bin:/bin"}
        self._process = subprocess.Popen(
            [sys.executable, "-m", "heronstall.model.worker"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env=environ,
            cwd=chosen.root,
        )
        self._ask({"constants": chosen.constants})

    def _ask(self, order: dict[str, Any]) -> dict[str, Any]:
        process = self._process
        assert process.stdin is not None and process.stdout is not None and process.stderr is not None
        try:
            process.stdin.write(json.dumps(order) + "\n")
            process.stdin.flush()
            line = process.stdout.readline()
        except BrokenPipeError:
            line = ""
        if not line:
            told = process.stderr.read().strip().splitlines()
            raise ChoiceError(f"{self._choice.name} does not start: {told[-1] if told else 'no word of why'}")
        answer: dict[str, Any] = json.loads(line)
        if "error" in answer:
            raise ChoiceError(f"{self._choice.name}: {answer['error']}")
        return answer

    def play(self, seed: int) -> dict[str, Any]:
        """One run. Raises ChoiceError."""
        return self._ask({"scenario": self._choice.record, "seed": seed})

    def close(self) -> None:
        """End it."""
        process = self._process
        process.kill()
        process.wait()
        for pipe in (process.stdin, process.stdout, process.stderr):
            if pipe is not None:
                pipe.close()
