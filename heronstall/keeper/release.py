"""A release: a checked-out tree with its own environment, settings and operator's file; one digest of all."""

from __future__ import annotations

import hashlib
import json
import os
import secrets
import subprocess
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from heronstall.records import RecordsError, load

CHECK_TIME = 30.0  # seconds for a release to read a dispatcher's settings
RELEASE, KEPT = "HERONSTALL_RELEASE", "HERONSTALL_KEPT"
SKIPPED = ("__pycache__", ".git")
# Run by the release's own program: what reads the settings is what will serve with them.
CHECK = """
import os, sys
from heronstall.config import ConfigError, load
from heronstall.operator import OperatorError, read
import heronstall.__main__
try:
    load(os.environ)
    operator = read(os.environ)
    if operator.log_format != "plain":
        import heronstall.logs
    if operator.trace_dir:
        import heronstall.trace.recorder
    if getattr(operator, "detail", False):
        import heronstall.ops.detail
except (ConfigError, OperatorError, ImportError) as error:
    sys.exit(str(error))
"""


class ReleaseError(ValueError):
    """A release that cannot be used; the message says why."""


@dataclass(frozen=True)
class Release:
    """As its file says; paths are whole."""

    name: str
    tree: str
    python: str
    run: tuple[str, ...]
    parts: tuple[str, ...]
    settings: str
    operator: str

    @property
    def program(self) -> tuple[str, ...]:
        """What is executed, from the tree."""
        return (self.python, *self.run)

    def record(self) -> dict[str, Any]:
        """For a journal."""
        return asdict(self)

    def digest(self) -> str:
        """Of all that is named. Raises ReleaseError where something is missing."""
        total = hashlib.sha256()

        def put(*parts: str | bytes) -> None:
            for part in parts:
                data = part.encode() if isinstance(part, str) else part
                total.update(b"%d " % len(data) + data)

        tree = Path(self.tree)
        try:
            for part in self.parts:
                root = tree / part
                found = [root] if root.is_file() else _files(root)
                if not found:
                    raise ReleaseError(f"{self.name}: {root} is missing or empty")
                for path in found:
                    put(str(path.relative_to(tree)), path.read_bytes())
            put("run", *self.run)
            environment = Path(self.python).parent.parent
            put("python", os.path.realpath(self.python))
            if not Path(self.python).exists():
                raise ReleaseError(f"{self.name}: {self.python} is missing")
            # An installer's own lists name each file and its hash: enough, and far less to read.
            for path in sorted(environment.glob("lib/python*/site-packages/*.dist-info/RECORD")):
                put(path.parent.name, path.read_bytes())
            for name in (self.settings, self.operator):
                put(Path(name).read_bytes() if name else "")
        except OSError as error:
            raise ReleaseError(f"{self.name}: {error}") from None
        return total.hexdigest()[:16]

    def overlay(self) -> dict[str, Any]:
        """The keys that replace those of a dispatcher's configuration. Raises ReleaseError."""
        if not self.settings:
            return {}
        try:
            told = json.loads(Path(self.settings).read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            raise ReleaseError(f"{self.name}: settings: {error}") from None
        if not isinstance(told, dict):
            raise ReleaseError(f"{self.name}: settings: an object is wanted")
        return told

    def environment(self, config: Path, door: str, tmp: str, digest: str, token: str) -> dict[str, str]:
        """A process's environment."""
        told = {k: v for k, v in os.environ.items() if not k.startswith(("NODE_", "HERONSTALL_"))}
        told |= {"NODE_CONFIG": str(config), "NODE_OPERATOR": door, "TMPDIR": tmp}
        told |= {RELEASE: f"{self.name}@{digest}", KEPT: token}
        if self.operator:
            told["HERONSTALL_SETTINGS"] = self.operator
        return told

    def check(self, config: Path, door: str, tmp: str) -> None:
        """Have this release's own program read a dispatcher's configuration. Blocks. Raises ReleaseError."""
        environ = self.environment(config, door, tmp, "check", "check")
        try:
            done = subprocess.run(
                [self.python, "-B", "-c", CHECK],
                cwd=self.tree,
                env=environ,
                capture_output=True,
                text=True,
                timeout=CHECK_TIME,
                check=False,
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            raise ReleaseError(f"{self.name}: cannot be run: {error}") from None
        if done.returncode:
            told = done.stderr.strip().splitlines() or [f"exit code {done.returncode}"]
            raise ReleaseError(f"{self.name}: {told[-1]}")


def _files(root: Path) -> list[Path]:
    found = []
    for folder, names, files in os.walk(root):
        names[:] = sorted(name for name in names if name not in SKIPPED and not name.endswith(".egg-info"))
        found += [Path(folder) / name for name in sorted(files) if not name.endswith(".pyc")]
    return found


def of_record(record: dict[str, Any], beside: Path = Path("/")) -> Release:
    """A release from its checked record; paths in it start from `beside`."""
    tree = beside / record["tree"]

    def whole(name: str) -> str:
        return str(beside / name) if name else ""

    return Release(
        record["name"],
        str(tree),
        str(tree / record["python"]),
        tuple(record["run"]),
        tuple(record["parts"]),
        whole(record["settings"]),
        whole(record["operator"]),
    )


def read_release(path: Path) -> Release:
    """A release's file. Raises ReleaseError."""
    try:
        record = load(path, ("release",))[1]
    except RecordsError as error:
        raise ReleaseError(str(error)) from None
    return of_record(record, path.resolve().parent)


def compose(base: Path, release: Release) -> dict[str, Any]:
    """A dispatcher's configuration under a release, with a seed of its own. Raises ReleaseError."""
    try:
        told = json.loads(base.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ReleaseError(f"{base}: {error}") from None
    if not isinstance(told, dict):
        raise ReleaseError(f"{base}: an object is wanted")
    return {**told, **release.overlay(), "seed": secrets.token_hex(8)}
