"""Lay out whole sites for the bench from the changed values in `deploy/sites/`.

    python -m benchmarks.sites ../given [--to deploy/sites/laid]

Each `deploy/sites/NAME.toml` names its base, a path below the given folder, the values that it sets, the
keys that it adds and those that it drops, each by its dotted path (`class.1.window_ms`; numbers count the
rows of an array). The whole site lands in a folder of its own with the other files that stand beside the
base, or those that `beside` names. Nothing of it is committed.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import tomlkit
from tomlkit.exceptions import ParseError

VARIANTS = Path("deploy/sites")
BESIDE = ("real.json", "wire.json", "unlock.txt")


class SiteError(Exception):
    """A variant that cannot be laid out; the message names the file and the key."""


def _step(container: Any, part: str) -> Any:
    """The value below a container by one part of a dotted path. Raises LookupError."""
    return container[int(part)] if isinstance(container, list) else container[part]


def _parent(site: Any, path: str) -> tuple[Any, str]:
    """What holds the value at a dotted path, and its key there. Raises SiteError."""
    *parts, last = path.split(".")
    holder = site
    for part in parts:
        try:
            holder = _step(holder, part)
        except (LookupError, ValueError, TypeError):
            raise SiteError(f"{path}: the base has no {part!r}") from None
    if not isinstance(holder, Mapping):
        raise SiteError(f"{path}: no key of the base")
    return holder, last


def changed(base: str, variant: Mapping[str, Any]) -> str:
    """The base site's text with a variant's values. Raises SiteError for a key that the base lacks or has."""
    site = tomlkit.parse(base)
    for path, value in variant.get("set", {}).items():
        holder, key = _parent(site, path)
        if key not in holder:
            raise SiteError(f"{path}: the base has no {key!r}")
        holder[key] = value
    for path, value in variant.get("add", {}).items():
        holder, key = _parent(site, path)
        if key in holder:
            raise SiteError(f"{path}: the base has it already")
        holder[key] = value
    for path in variant.get("drop", {}).get("keys", []):
        holder, key = _parent(site, path)
        if key not in holder:
            raise SiteError(f"{path}: the base has no {key!r}")
        del holder[key]
    return tomlkit.dumps(site)


def lay(variant: Path, given: Path, target: Path) -> Path:
    """Write a variant's whole site below `target`; its path. Raises SiteError."""
    try:
        told = tomllib.loads(variant.read_text(encoding="utf-8"))
        base = given / str(told["base"])
        text = changed(base.read_text(encoding="utf-8"), told)
        folder = target / variant.stem
        folder.mkdir(parents=True, exist_ok=True)
        for name in told.get("beside", BESIDE):
            shutil.copyfile(base.parent / name, folder / name)
    except SiteError as error:
        raise SiteError(f"{variant}: {error}") from None
    except KeyError as error:
        raise SiteError(f"{variant}: {error.args[0]}: missing") from None
    except (tomllib.TOMLDecodeError, ParseError, OSError) as error:
        raise SiteError(f"{variant}: {error}") from None
    site = folder / variant.name
    site.write_text(text, encoding="utf-8")
    return site


def main(arguments: list[str] | None = None) -> int:
    """Lay out every variant; 2 with the reason for one that cannot be."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("given", type=Path, help="the folder that the bases stand in")
    parser.add_argument("--to", type=Path, default=VARIANTS / "laid")
    told = parser.parse_args(arguments)
    try:
        for variant in sorted(VARIANTS.glob("*.toml")):
            print(lay(variant, told.given, told.to))
    except SiteError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
