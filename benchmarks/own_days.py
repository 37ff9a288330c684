"""Plays the project's own days (`tests/days/`) on deployments, goes on where it was ended, and tables them.

    python -m benchmarks.own_days play --bench BENCH --folder FOLDER [--seeds 2] [--drawn N] SITE ...
    python -m benchmarks.own_days draw --folder FOLDER [--days 40] [--seed 1]
    python -m benchmarks.own_days table [--head REV]

`play` makes worktrees of the present revision below FOLDER, plays there each file of `tests/days/` with its
own seed and those that follow it on each site, some at a time, and copies the entries that the bench wrote to
this journal. What the journal holds for this revision already is not played again. With `--drawn` it plays so
many drawn days instead: `draw` writes them, each with the troubles of two files, from a seed. `table` prints
a row a play.
"""

from __future__ import annotations

import argparse
import queue
import random
import subprocess
import sys
import tomllib
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import tomlkit

from benchmarks.paired_days import (
    ONE_CORE,
    DayPlay,
    DayToPlay,
    journal,
    plays,
    present_revision,
    worktree,
)

DAYS = Path("tests/days")
REASON = "own day"
WINDOWS = "worst windows"  # the part of the score that the bench names so
DRAWN_LENGTH_S = 40.0  # seconds of traffic; the files' troubles end before
DRAWN_SEED = 20261300  # of the first drawn day; the others follow
PLANNED = "plan"
TROUBLES = "faults"


class DayError(Exception):
    """A file that holds no day that can be played; the message names the file and the key."""


@dataclass(frozen=True)
class OwnDay:
    """One day of a file."""

    file: Path
    name: str
    seed: int
    content: dict[str, Any]

    @classmethod
    def read(cls, file: Path) -> OwnDay:
        """Read a file. Raises DayError."""
        try:
            days = tomllib.loads(file.read_text(encoding="utf-8")).get("day")
        except (OSError, tomllib.TOMLDecodeError) as error:
            raise DayError(f"{file}: {error}") from None
        if not isinstance(days, list) or len(days) != 1:
            raise DayError(f"{file}: day: exactly one is wanted")
        for key, kind in (("name", str), ("seed", int)):
            if not isinstance(days[0].get(key), kind):
                raise DayError(f"{file}: day.{key}: missing, or no {kind.__name__}")
        return cls(file, days[0]["name"], days[0]["seed"], days[0])

    @property
    def zones(self) -> tuple[str, ...]:
        """The zones whose traffic it tells: it fits a site that has them, and no other."""
        return tuple(part["zone"] for part in self.content.get("traffic", []))


def own_days(folder: Path = DAYS) -> list[OwnDay]:
    """All of them, in the order of their paths."""
    return [OwnDay.read(file) for file in sorted(folder.rglob("*.toml"))]


def fits(day: OwnDay, site: Path) -> bool:
    """Whether a site has the zones whose traffic a day tells."""
    text = site.read_text(encoding="utf-8")
    return all(zone in text for zone in day.zones)


def pair_of(one: OwnDay, other: OwnDay, seed: int) -> dict[str, Any]:
    """A day with the troubles and the planned work of two; its end is the first one's that has one."""
    day: dict[str, Any] = {
        "name": f"{one.name}+{other.name}",
        "slot": "trouble",
        "seed": seed,
        "length_s": DRAWN_LENGTH_S,
    }
    for key in (PLANNED, TROUBLES):
        entries = [*one.content.get(key, []), *other.content.get(key, [])]
        unique = {str(sorted(entry.items())): entry for entry in entries}
        day[key] = sorted(unique.values(), key=lambda entry: float(entry["at"]))
    closing = one.content.get("closing") or other.content.get("closing")
    if closing:
        day["closing"] = closing
    return day


def draw(days: Sequence[OwnDay], count: int, seed: int) -> Iterator[dict[str, Any]]:
    """Days with the troubles of two files each; those that bring traffic of one site are left out."""
    able = [day for day in days if not day.zones]
    rng = random.Random(seed)
    for number in range(count):
        one, other = rng.sample(able, 2)
        yield pair_of(one, other, DRAWN_SEED + number)


def write_drawn(folder: Path, days: Iterable[dict[str, Any]]) -> list[Path]:
    """Write each day to a file of its own; their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    files = []
    for day in days:
        file = folder / f"{day['name']}-{day['seed']}.toml"
        file.write_text(tomlkit.dumps({"day": [day]}), encoding="utf-8")
        files.append(file)
    return files


def wanted(
    days: Sequence[OwnDay], sites: Sequence[Path], seeds: int, done: set[tuple[str, str, int]]
) -> list[DayToPlay]:
    """What is left to be played, the first seed of every day before the second of any."""
    return [
        DayToPlay(str(site), str(day.file.resolve()), str(day.seed + more))
        for more in range(seeds)
        for day in days
        for site in sites
        if (site.stem, day.name, day.seed + more) not in done and fits(day, site)
    ]


def of_own_days(entries: Iterable[dict[str, Any]], names: set[str], revision: str = "") -> Iterator[DayPlay]:
    """The plays of the journal whose day bears one of the names, on one revision or on any."""
    for play in plays(entries):
        if play.day in names and play.revision.startswith(revision):
            yield play


def play(bench: Path, folder: Path, days: Sequence[OwnDay], told: argparse.Namespace) -> None:
    """Play what is left, some at a time, each in a worktree that no other play uses meanwhile."""
    revision = present_revision()
    trees: queue.SimpleQueue[Path] = queue.SimpleQueue()
    for number in range(told.at_once):
        tree = worktree((folder / f"own-{revision[:7]}-{number}").resolve(), revision)
        subprocess.run([str(bench), "build"], cwd=tree, check=True, stdout=subprocess.DEVNULL)
        trees.put(tree)
    names = {day.name for day in days}
    done = {found.key for found in of_own_days(journal(), names, revision)}
    left = wanted(days, told.sites, told.seeds, done)
    print(f"{len(left)} days to play, {len(done)} played on {revision[:7]}", file=sys.stderr)
    with ThreadPoolExecutor(told.at_once) as pool:
        runs = [pool.submit(play_in, trees, bench, day) for day in left]
    for run in runs:
        run.result()


def play_in(trees: queue.SimpleQueue[Path], bench: Path, day: DayToPlay) -> None:
    """Play a day in a worktree that is free."""
    tree = trees.get()
    try:
        day.run(bench, tree, reason(day), *ONE_CORE, quiet=True)
    finally:
        trees.put(tree)


def reason(day: DayToPlay) -> str:
    """What the journal says of a play."""
    return f"{REASON} {Path(day.day).stem} on {Path(day.site).stem}, seed {day.seed}"[:119]


def rows(found: Sequence[DayPlay]) -> Iterator[str]:
    """The table as Markdown: a row a play, then how many broke a rule."""
    yield "| program | day | site | seed | rules broken | score | worst windows | entry |"
    yield "| --- | --- | --- | --- | --- | --- | --- | --- |"
    for one in sorted(found, key=lambda play: (play.day, play.site, play.seed)):
        windows = one.parts.get(WINDOWS)
        yield (
            f"| {one.revision[:7]} | {one.day} | {one.site} | {one.seed} | {'yes' if one.broken else 'none'} "
            f"| {one.score:.2f} | {'-' if windows is None else f'{windows:.2f}'} | {one.entry} |"
        )
    yield ""
    yield f"{len(found)} plays, {sum(one.broken for one in found)} with a rule broken."


def main(arguments: Sequence[str] | None = None) -> int:
    """Play own days, draw pairs of them, or print the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    verbs = parser.add_subparsers(dest="verb", required=True)
    playing = verbs.add_parser("play")
    playing.add_argument("--bench", type=Path, required=True)
    playing.add_argument("--seeds", type=int, default=2, metavar="N", help="seeds a day and site")
    playing.add_argument("--at-once", type=int, default=6, metavar="N", help="plays beside each other")
    playing.add_argument("--only", default="", metavar="PART", help="days whose name holds this alone")
    playing.add_argument("--drawn", type=int, default=0, metavar="N", help="pairs of days besides")
    playing.add_argument("sites", nargs="+", type=Path, metavar="SITE")
    drawing = verbs.add_parser("draw")
    drawing.add_argument("--days", type=int, default=40, metavar="N")
    for verb in (playing, drawing):
        verb.add_argument("--folder", type=Path, required=True)
        verb.add_argument("--seed", type=int, default=1, help="of the drawn days")
    tabling = verbs.add_parser("table")
    tabling.add_argument("--head", default="", metavar="REV", help="this revision alone")
    told = parser.parse_args(arguments)
    try:
        return run(told)
    except DayError as error:
        print(error, file=sys.stderr)
        return 2


def run(told: argparse.Namespace) -> int:
    """Do what the command line says. Raises DayError."""
    days = own_days()
    if told.verb == "table":
        names = {day.name for day in days} | {day["name"] for day in draw(days, 1000, 1)}
        for row in rows(list(of_own_days(journal(), names, told.head))):
            print(row)
        return 0
    count = told.days if told.verb == "draw" else told.drawn
    drawn = write_drawn(told.folder / "drawn-days", draw(days, count, told.seed))
    if told.verb == "draw":
        print("\n".join(map(str, drawn)))
        return 0
    if drawn:
        days = [OwnDay.read(file) for file in drawn]
    play(told.bench.resolve(), told.folder, [day for day in days if told.only in day.name], told)
    return 0


if __name__ == "__main__":
    sys.exit(main())
