"""Switches the tier's mechanisms off one by one and plays days beside the same days with everything on.

    python -m benchmarks.ablation play --bench BENCH --folder FOLDER [--only NAME] SITE:DAY:SEED ...
    python -m benchmarks.ablation table

`play` makes a worktree of the present revision for each mechanism of `ablations.toml` below FOLDER, applies
its edits there, plays the days and copies the entries that the bench wrote to this journal; their reason
names the mechanism. `table` pairs these entries with the days played with everything on: the mean difference
and its interval by mechanism and site, apart for plays that were charged no processor time (`--no-cpu`).
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tomllib
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from benchmarks.paired_days import (
    ONE_CORE,
    UNCHARGED,
    DayPlay,
    DayToPlay,
    interval,
    journal,
    plays,
    present_revision,
    worktree,
)

MECHANISMS = Path(__file__).with_name("ablations.toml")
REASON = "ablation of"
NOTHING = "nothing"  # the name under which days are played with everything on


class AblationError(Exception):
    """The mechanisms' file does not fit the sources."""


@dataclass(frozen=True)
class Edit:
    """One replacement in a source file."""

    file: str
    old: str
    new: str

    def apply(self, tree: Path) -> None:
        """Make it below a folder. Raises AblationError where the text does not stand there once."""
        path = tree / self.file
        text = path.read_text(encoding="utf-8")
        if text.count(self.old) != 1:
            raise AblationError(
                f"{self.file}: {self.old!r} stands there {text.count(self.old)} times, not once"
            )
        path.write_text(text.replace(self.old, self.new), encoding="utf-8")


@dataclass(frozen=True)
class Mechanism:
    """What is switched off, and how."""

    name: str
    what: str
    edits: tuple[Edit, ...]


@dataclass(frozen=True)
class AblatedDay:
    """One day that was played without a mechanism."""

    mechanism: str
    play: DayPlay


def mechanisms(path: Path = MECHANISMS) -> list[Mechanism]:
    """All that can be switched off."""
    found = tomllib.loads(path.read_text(encoding="utf-8"))["mechanism"]
    return [Mechanism(m["name"], m["what"], tuple(Edit(**edit) for edit in m["edits"])) for m in found]


def chosen(names: Sequence[str]) -> list[Mechanism]:
    """Those of the names, or all. Raises AblationError for a name that is none."""
    known = {m.name: m for m in [Mechanism(NOTHING, "everything is on", ()), *mechanisms()]}
    for name in names:
        if name not in known:
            raise AblationError(f"no mechanism {name!r}; there are {', '.join(known)}")
    return [m for m in known.values() if not names or m.name in names]


def tree_without(folder: Path, revision: str, mechanism: Mechanism) -> Path:
    """A worktree without the mechanism."""
    tree = folder / f"without-{mechanism.name}"
    if not tree.exists():
        worktree(tree, revision)
        for edit in mechanism.edits:
            edit.apply(tree)
    return tree


def reason(name: str, day: DayToPlay) -> str:
    """What the journal says of a day that is played without a mechanism."""
    return f"{REASON} {name}: {day.day} seed {day.seed}"


def play(
    bench: Path,
    folder: Path,
    names: Sequence[str],
    days: Sequence[DayToPlay],
    at_once: int,
    charged: bool = True,
) -> None:
    """Play each day with everything on and without each mechanism, some at a time."""
    options = ONE_CORE if charged else (*ONE_CORE, UNCHARGED)
    revision = present_revision()
    trees = {m.name: tree_without(folder, revision, m) for m in chosen(names)}
    for tree in trees.values():
        subprocess.run([str(bench), "build"], cwd=tree, check=True, stdout=subprocess.DEVNULL)
    with ThreadPoolExecutor(at_once) as pool:
        runs = [
            pool.submit(day.run, bench, tree, reason(name, day), *options, quiet=True)
            for day in days
            for name, tree in trees.items()
        ]
    for run in runs:
        run.result()


def ablated(entries: Iterable[dict[str, Any]]) -> Iterator[AblatedDay]:
    """The days that `play` had played, from entries of the journal."""
    for found in plays(entries):
        if found.why.startswith(f"{REASON} "):
            yield AblatedDay(found.why.removeprefix(f"{REASON} ").partition(":")[0], found)


def differences(found: Iterable[AblatedDay]) -> dict[tuple[str, str], list[float]]:
    """By mechanism and site: scores without it less those of the same days with everything on."""
    days = list(found)
    whole = {(d.play.revision, d.play.conditions): d.play.score for d in days if d.mechanism == NOTHING}
    result: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
    for d in days:
        base = whole.get((d.play.revision, d.play.conditions))
        if d.mechanism != NOTHING and base is not None:
            site = d.play.site if d.play.charged else f"{d.play.site}, uncharged"
            result[d.mechanism, site].append(d.play.score - base)
    return dict(result)


def rows(found: Sequence[AblatedDay]) -> Iterator[str]:
    """The table as Markdown: what the score does when a mechanism is switched off."""
    by_pair = differences(found)
    sites = sorted({site for _, site in by_pair})
    yield f"| without | {' | '.join(sites)} | rules broken |"
    yield f"| --- |{' --- |' * (len(sites) + 1)}"
    for name in dict.fromkeys(name for name, _ in by_pair):
        cells = [_cell(by_pair.get((name, site), [])) for site in sites]
        broken = sum(d.play.broken for d in found if d.mechanism == name)
        yield f"| {name} | {' | '.join(cells)} | {broken} |"


def _cell(values: Sequence[float]) -> str:
    if not values:
        return "not played"
    low, high = interval(values)
    return f"{float(np.mean(values)):+.3f} ({low:+.3f} to {high:+.3f}, {len(values)})"


def main(arguments: Sequence[str] | None = None) -> int:
    """Play days without mechanisms, or print the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    verbs = parser.add_subparsers(dest="verb", required=True)
    playing = verbs.add_parser("play")
    playing.add_argument("--bench", type=Path, required=True)
    playing.add_argument("--folder", type=Path, required=True)
    playing.add_argument("--only", action="append", default=[], metavar="NAME")
    playing.add_argument("--at-once", type=int, default=6, metavar="N")
    playing.add_argument(UNCHARGED, dest="uncharged", action="store_true", help="charge no processor time")
    playing.add_argument("days", nargs="+", type=DayToPlay.parse, metavar="SITE:DAY:SEED")
    verbs.add_parser("table")
    options = parser.parse_args(arguments)
    try:
        if options.verb == "play":
            charged = not options.uncharged
            play(options.bench, options.folder, options.only, options.days, options.at_once, charged)
    except AblationError as error:
        print(error, file=sys.stderr)
        return 2
    for row in rows(list(ablated(journal()))):
        print(row)
    return 0


if __name__ == "__main__":
    sys.exit(main())
