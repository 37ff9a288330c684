"""A release: a source tree with its environment, settings and operator's file, identified by a digest."""

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

CHECK_TIMEOUT_S = 30.0  # for a release to read a dispatcher's settings
RELEASE_VARIABLE, TOKEN_VARIABLE = "HERONSTALL_RELEASE", "HERONSTALL_KEPT"
SKIPPED_FOLDERS = ("__pycache__", ".git")
# Run by the release's own interpreter, so that the code that will serve reads the settings.
CHECK_SCRIPT = """
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
    """A release that cannot be used; the message states the reason."""


@dataclass(frozen=True)
class Release:
    """A release as its file describes it, with absolute paths."""

    name: str
    tree: str
    python: str
    run: tuple[str, ...]
    parts: tuple[str, ...]
    settings: str
    operator: str

    @property
    def program(self) -> tuple[str, ...]:
        """The command that is executed in the tree."""
        return (self.python, *self.run)

    def record(self) -> dict[str, Any]:
        """Returns the release in the form it has in a journal."""
        return asdict(self)

    def digest(self) -> str:
        """Returns the digest of everything the release names. Raises ReleaseError for a missing file."""
        checksum = hashlib.sha256()

        def update(*parts: str | bytes) -> None:
            for part in parts:
                data = part.encode() if isinstance(part, str) else part
                checksum.update(b"%d " % len(data) + data)

        tree = Path(self.tree)
        try:
            for part in self.parts:
                root = tree / part
                found = [root] if root.is_file() else _list_files(root)
                if not found:
                    raise ReleaseError(f"{self.name}: {root} is missing or empty")
                for path in found:
                    update(str(path.relative_to(tree)), path.read_bytes())
            update("run", *self.run)
            environment = Path(self.python).parent.parent
            update("python", os.path.realpath(self.python))
            if not Path(self.python).exists():
                raise ReleaseError(f"{self.name}: {self.python} is missing")
            # RECORD lists each installed file with its hash, so the files need not be read.
            for path in sorted(environment.glob("lib/python*/site-packages/*.dist-info/RECORD")):
                update(path.parent.name, path.read_bytes())
            for name in (self.settings, self.operator):
                update(Path(name).read_bytes() if name else "")
        except OSError as error:
            raise ReleaseError(f"{self.name}: {error}") from None
        return checksum.hexdigest()[:16]

    def overlay(self) -> dict[str, Any]:
        """Returns the keys that replace those of a dispatcher's configuration. Raises ReleaseError."""
        if not self.settings:
            return {}
        try:
            settings_overlay = json.loads(Path(self.settings).read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            raise ReleaseError(f"{self.name}: settings: {error}") from None
        if not isinstance(settings_overlay, dict):
            raise ReleaseError(f"{self.name}: settings: an object is wanted")
        return settings_overlay

    def environment(
        self, config: Path, admin_address: str, tmp: str, digest: str, token: str
    ) -> dict[str, str]:
        """Returns the environment variables of a process."""
        variables = {k: v for k, v in os.environ.items() if not k.startswith(("NODE_", "HERONSTALL_"))}
        variables |= {"NODE_CONFIG": str(config), "NODE_OPERATOR": admin_address, "TMPDIR": tmp}
        variables |= {RELEASE_VARIABLE: f"{self.name}@{digest}", TOKEN_VARIABLE: token}
        if self.operator:
            variables["HERONSTALL_SETTINGS"] = self.operator
        return variables

    def check(self, config: Path, admin_address: str, tmp: str) -> None:
        """Has the release's own program read a dispatcher's configuration. Blocks. Raises ReleaseError."""
        environ = self.environment(config, admin_address, tmp, "check", "check")
        try:
            result = subprocess.run(
                [self.python, "-B", "-c", CHECK_SCRIPT],
                cwd=self.tree,
                env=environ,
                capture_output=True,
                text=True,
                timeout=CHECK_TIMEOUT_S,
                check=False,
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            raise ReleaseError(f"{self.name}: cannot be run: {error}") from None
        if result.returncode:
            output = result.stderr.strip().splitlines() or [f"exit code {result.returncode}"]
            raise ReleaseError(f"{self.name}: {output[-1]}")


def _list_files(root: Path) -> list[Path]:
    found = []
    for folder, names, files in os.walk(root):
        names[:] = sorted(
            name for name in names if name not in SKIPPED_FOLDERS and not name.endswith(".egg-info")
        )
        found += [Path(folder) / name for name in sorted(files) if not name.endswith(".pyc")]
    return found


def release_from_record(record: dict[str, Any], base: Path = Path("/")) -> Release:
    """Builds a release from its validated record; relative paths start from `base`."""
    tree = base / record["tree"]

    def absolute(name: str) -> str:
        return str(base / name) if name else ""

    return Release(
        record["name"],
        str(tree),
        str(tree / record["python"]),
        tuple(record["run"]),
        tuple(record["parts"]),
        absolute(record["settings"]),
        absolute(record["operator"]),
    )


def read_release(path: Path) -> Release:
    """Reads a release's file. Raises ReleaseError."""
    try:
        record = load(path, ("release",))[1]
    except RecordsError as error:
        raise ReleaseError(str(error)) from None
    return release_from_record(record, path.resolve().parent)


def compose_config(base: Path, release: Release) -> dict[str, Any]:
    """Returns a dispatcher's configuration for a release, with a new seed. Raises ReleaseError."""
    try:
        config = json.loads(base.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ReleaseError(f"{base}: {error}") from None
    if not isinstance(config, dict):
        raise ReleaseError(f"{base}: an object is wanted")
    return {**config, **release.overlay(), "seed": secrets.token_hex(8)}
