"""Draws variations of the bench's sites, so that decisions can be played on deployments nobody has fitted.

    python -m benchmarks.site_variations SITE ... [--seed N] [--count N] [--to FOLDER]

Each variation changes three things of its base, drawn by the seed: how many workers there are and how wide,
which classes have large shared parts, room for connections and cached tokens, how traffic lies over the
zones, how much of it there is, how fast engines read; and the names of services and classes. Half of the
variations are named `aside-N`: they are played at the end alone, and decide nothing. Nothing of it is
committed, as the bases are not.
"""

from __future__ import annotations

import argparse
import random
import shutil
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import tomlkit
from tomlkit.exceptions import ParseError

from benchmarks.sites import BESIDE

CHANGES_EACH = 3
Change = Callable[[Any, random.Random], None]


class VariationError(Exception):
    """A base that cannot be varied; the message names the file and the key."""


def wider_workers(site: Any, rng: random.Random) -> None:
    """Half as many workers, each with twice the places, memory and speed."""
    for service in site["services"]:
        for place in service["servers"]:
            place["count"] = max(1, place["count"] // 2)
        for key in ("slots", "queue", "conn_cap"):
            service[key] = service[key] * 2
        engine = service["llm"]
        for key in ("batch", "kv_tokens", "prefill_tokens_per_ms"):
            engine[key] = engine[key] * 2


def other_shared_parts(site: Any, rng: random.Random) -> None:
    """The largest shared parts shrink, the others grow."""
    parts = [part for kind in site["classes"] for part in kind["stream"].get("chain", [])]
    largest = max(parts, key=lambda part: part["tokens"]["mean"])
    for part in parts:
        factor = 0.5 if part is largest else rng.choice((2.0, 4.0))
        part["tokens"]["mean"] = part["tokens"]["mean"] * factor
        part["tokens"]["max"] = part["tokens"]["max"] * factor


def scarce_connections(site: Any, rng: random.Random) -> None:
    """Workers hold two thirds of the connections."""
    for service in site["services"]:
        service["conn_cap"] = int(service["conn_cap"] * 0.67)


def scarce_cache(site: Any, rng: random.Random) -> None:
    """Engines have room for two thirds of the tokens."""
    for service in site["services"]:
        service["llm"]["kv_tokens"] = int(service["llm"]["kv_tokens"] * 0.67)


def unequal_zones(site: Any, rng: random.Random) -> None:
    """One zone has half of its traffic, another what that one lost besides its own."""
    if len(site["traffic"]) < 2:
        return
    less, more = rng.sample(range(len(site["traffic"])), 2)
    moved = site["traffic"][less]["per_s"] * 0.5
    site["traffic"][less]["per_s"] = moved
    site["traffic"][more]["per_s"] = site["traffic"][more]["per_s"] + moved


def other_rate(site: Any, rng: random.Random) -> None:
    """A fifth less traffic, or a tenth more."""
    factor = rng.choice((0.8, 1.1))
    for zone in site["traffic"]:
        zone["per_s"] = round(zone["per_s"] * factor, 3)


def other_speed(site: Any, rng: random.Random) -> None:
    """Engines read faster and step slower, or the other way round."""
    factor = rng.choice((0.85, 1.2))
    for service in site["services"]:
        engine = service["llm"]
        engine["prefill_tokens_per_ms"] = engine["prefill_tokens_per_ms"] * factor
        engine["step_ms"] = round(engine["step_ms"] * factor, 4)


CHANGES: tuple[Change, ...] = (
    wider_workers,
    other_shared_parts,
    scarce_connections,
    scarce_cache,
    unequal_zones,
    other_rate,
    other_speed,
)


def renamed(site: Any, rng: random.Random) -> dict[str, str]:
    """New names for the services and classes, by their old ones."""
    names = [one["name"] for one in [*site["services"], *site["classes"]]]
    return {name: f"{name[0]}{rng.getrandbits(32):08x}" for name in names}


def with_names(value: Any, names: dict[str, str]) -> Any:
    """A site's values with other names, wherever a name stands alone or is a key."""
    if isinstance(value, dict):
        return {names.get(key, key): with_names(inner, names) for key, inner in value.items()}
    if isinstance(value, list):
        return [with_names(inner, names) for inner in value]
    return names.get(value, value) if isinstance(value, str) else value


def variation(base: str, name: str, rng: random.Random) -> tuple[str, list[str]]:
    """A varied site's text, whose name ends with the one given, and what was changed."""
    site = tomlkit.parse(base).unwrap()
    drawn = rng.sample(CHANGES, CHANGES_EACH)
    for change in drawn:
        change(site, rng)
    site["name"] = f"{site['name']}-{name}"
    return tomlkit.dumps(with_names(site, renamed(site, rng))), [change.__name__ for change in drawn]


def write(base: Path, folder: Path, rng: random.Random) -> Path:
    """Write a variation of a site with what stands beside it. Raises VariationError."""
    try:
        text, drawn = variation(base.read_text(encoding="utf-8"), folder.name, rng)
    except KeyError as error:
        raise VariationError(f"{base}: {error.args[0]}: missing") from None
    except (OSError, ParseError, TypeError, IndexError, ValueError) as error:
        raise VariationError(f"{base}: {error}") from None
    folder.mkdir(parents=True, exist_ok=True)
    for name in BESIDE:
        if (base.parent / name).exists():
            shutil.copyfile(base.parent / name, folder / name)
    site = folder / base.name
    site.write_text(f"# Varied: {', '.join(drawn)}.\n{text}", encoding="utf-8")
    return site


def main(arguments: list[str] | None = None) -> int:
    """Write variations; 2 with the reason for a base that cannot be varied."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("bases", type=Path, nargs="+", metavar="SITE")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=6, help="variations in all, the bases in turn")
    parser.add_argument("--to", type=Path, default=Path("deploy/sites/laid"))
    told = parser.parse_args(arguments)
    rng = random.Random(told.seed)
    try:
        for number in range(told.count):
            name = "aside" if number % 2 else "open"
            base = told.bases[number // 2 % len(told.bases)]
            print(write(base, told.to / f"{name}-{number // 2}", rng))
    except VariationError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
