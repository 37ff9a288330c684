"""Plays days of deployments on two revisions, pair by pair, and tells the difference with its uncertainty.

    python -m benchmarks.paired_days play --bench BENCH --a REV --b REV --folder FOLDER SITE:DAY:SEED ...
    python -m benchmarks.paired_days table --a REV --b REV [--b REV ...]

`play` makes a clean worktree for each revision below FOLDER, plays each day on the one and then on the other,
each play on one core, and copies the entries that the bench wrote to this journal. With `--no-cpu` the bench
charges no processor time: a play then mostly repeats, so that a difference is the sources' own; the verdict
is that of plays that are charged. `table` pairs the journal's plays by site, day, seed and charge: one row a
pair, with the parts of the score, then the mean difference and its interval by site and charge.
"""

from __future__ import annotations

import argparse
import json
import shutil
import subprocess
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

JOURNAL = Path("journal")
UNFINISHED = "the run did not finish"  # what an entry says until its run has ended
ONE_CORE = ("--jobs", "1")
UNCHARGED = "--no-cpu"  # the bench's option for plays that are charged no processor time
RESAMPLES = 10_000
LEVEL = 0.95


class DayToPlay(NamedTuple):
    """A day of a site, as the command line names it."""

    site: str
    day: str
    seed: str

    @classmethod
    def parse(cls, text: str) -> DayToPlay:
        """Read SITE:DAY:SEED. Raises ArgumentTypeError."""
        parts = text.rsplit(":", 2)
        if len(parts) < 3 or not parts[2].isdigit():
            raise argparse.ArgumentTypeError("SITE:DAY:SEED is wanted, SEED a whole number")
        return cls(*parts)

    def run(self, bench: Path, tree: Path, why: str, *options: str, quiet: bool = False) -> None:
        """Play it in a worktree, and take the entry that the bench writes."""
        output = subprocess.DEVNULL if quiet else None
        call = [str(bench), "run", str(Path(self.site).resolve()), self.day, "--seed", self.seed, *options]
        subprocess.run([*call, "--why", why], cwd=tree, check=False, stdout=output)
        take_entries(tree)


@dataclass(frozen=True)
class DayPlay:
    """One day as it was played."""

    revision: str
    site: str
    day: str
    seed: int
    score: float
    parts: dict[str, float]
    prices: float
    broken: bool
    entry: str
    why: str  # the reason that was given for the play
    charged: bool = True  # for its processor time

    @property
    def key(self) -> tuple[str, str, int]:
        """A day of a site: what was played."""
        return self.site, self.day, self.seed

    @property
    def conditions(self) -> tuple[str, str, int, bool]:
        """What two plays of a pair share."""
        return *self.key, self.charged


@dataclass(frozen=True)
class Pair:
    """The same day on two revisions."""

    a: DayPlay
    b: DayPlay

    @property
    def difference(self) -> float:
        """By how much B's score is higher."""
        return self.b.score - self.a.score


def plays(entries: Iterable[dict[str, Any]]) -> Iterator[DayPlay]:
    """The days that were played by `run`, from entries of the journal."""
    for entry in entries:
        if entry.get("cmd") != "run" or entry.get("error") or not entry.get("days"):
            continue
        for day in entry["days"]:
            if day.get("score") is None or "parts" not in day:
                continue
            yield DayPlay(
                revision=entry["head"],
                site=entry["site"],
                day=day["name"],
                seed=day["seed"],
                score=day["score"],
                parts={name: value for name, _, value in day["parts"]},
                prices=sum(price[-1] for price in day["prices"]),
                broken=bool(day["rules"] or day["fault"]),
                entry=entry["id"],
                why=entry.get("why") or "",
                charged=UNCHARGED not in (entry.get("argv") or ()),
            )


def paired(found: Iterable[DayPlay], a: str, b: Sequence[str]) -> list[Pair]:
    """Pairs of plays on revision A and on one of B, each play used once, in the order of the journal."""
    of_a: defaultdict[tuple[str, str, int, bool], list[DayPlay]] = defaultdict(list)
    of_b: defaultdict[tuple[str, str, int, bool], list[DayPlay]] = defaultdict(list)
    for play in found:
        if play.revision.startswith(a):
            of_a[play.conditions].append(play)
        elif play.revision.startswith(tuple(b)):
            of_b[play.conditions].append(play)
    return [
        Pair(one, other) for key in sorted(of_a) for one, other in zip(of_a[key], of_b[key], strict=False)
    ]


def interval(differences: Sequence[float], seed: int = 1) -> tuple[float, float]:
    """A bootstrap interval of the mean of some differences."""
    values = np.asarray(differences, dtype=float)
    rng = np.random.default_rng(seed)
    means = rng.choice(values, (RESAMPLES, len(values))).mean(axis=1)
    low, high = np.quantile(means, [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return float(low), float(high)


def rows(pairs: Sequence[Pair]) -> Iterator[str]:
    """The table as Markdown: the pairs, then the means by site."""
    yield "| site | day | seed | A | B | difference | parts A | parts B | entries |"
    yield "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    for pair in pairs:
        a, b = pair.a, pair.b
        yield (
            f"| {a.site} | {_day(a)} | {a.seed} | {_score(a)} | {_score(b)} | {pair.difference:+.3f} "
            f"| {_parts(a)} | {_parts(b)} | {a.entry}, {b.entry} |"
        )
    yield ""
    for site, charged in sorted({(pair.a.site, pair.a.charged) for pair in pairs}):
        found = [pair.difference for pair in pairs if (pair.a.site, pair.a.charged) == (site, charged)]
        low, high = interval(found)
        mean = float(np.mean(found))
        named = site if charged else f"{site}, no processor time charged"
        yield f"{named}: {len(found)} pairs, mean {mean:+.3f}, {LEVEL:.0%} from {low:+.3f} to {high:+.3f}"


def _day(play: DayPlay) -> str:
    return play.day if play.charged else f"{play.day}, uncharged"


def _score(play: DayPlay) -> str:
    return f"{play.score:.3f}{' BROKEN' if play.broken else ''}"


def _parts(play: DayPlay) -> str:
    return ", ".join(f"{value:.3f}" for value in play.parts.values()) + f"; {play.prices:.3f}"


def journal() -> Iterator[dict[str, Any]]:
    """The journal's entries, in order of time; one that was never finished is passed over."""
    for path in sorted(JOURNAL.glob("2*.json")):
        text = path.read_text()
        if text:
            yield json.loads(text)


def play(
    bench: Path,
    revisions: Sequence[str],
    folder: Path,
    days: Sequence[DayToPlay],
    why: str,
    charged: bool = True,
) -> None:
    """Play each day on each revision in turn."""
    options = ONE_CORE if charged else (*ONE_CORE, UNCHARGED)
    trees = [worktree(folder / f"pair-{revision}", revision) for revision in revisions]
    for day in days:
        for tree, revision in zip(trees, revisions, strict=True):
            day.run(bench, tree, f"{why}: {Path(day.day).stem} seed {day.seed} on {revision}"[:119], *options)


def take_entries(tree: Path) -> None:
    """Copy the entries that the bench wrote in a worktree to this journal."""
    for entry in (tree / "journal").glob("*.*"):
        target = JOURNAL / entry.name
        text = entry.read_text(encoding="utf-8", errors="replace")
        unfinished = not text or (entry.suffix == ".json" and UNFINISHED in text)
        if not unfinished and not target.exists():
            whole = target.with_suffix(".copying")  # nobody reads half an entry
            shutil.copy2(entry, whole)
            whole.rename(target)


def present_revision() -> str:
    """The revision that is checked out."""
    command = ["git", "rev-parse", "HEAD"]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout.strip()


def worktree(tree: Path, revision: str) -> Path:
    """A worktree of a revision; one that is there already is kept as it is."""
    if not tree.exists():
        subprocess.run(["git", "worktree", "add", "-q", "--detach", str(tree), revision], check=True)
    return tree


def main(arguments: Sequence[str] | None = None) -> int:
    """Play pairs, or print their table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    verbs = parser.add_subparsers(dest="verb", required=True)
    playing = verbs.add_parser("play")
    playing.add_argument("--bench", type=Path, required=True)
    playing.add_argument("--folder", type=Path, required=True)
    playing.add_argument("--why", default="pair")
    playing.add_argument(UNCHARGED, dest="uncharged", action="store_true", help="charge no processor time")
    playing.add_argument("days", nargs="+", type=DayToPlay.parse, metavar="SITE:DAY:SEED")
    table = verbs.add_parser("table")
    for verb in (playing, table):
        verb.add_argument("--a", required=True, metavar="REV")
        verb.add_argument("--b", required=True, action="append", metavar="REV")
    options = parser.parse_args(arguments)
    if options.verb == "play":
        revisions = [options.a, *options.b]
        play(options.bench, revisions, options.folder, options.days, options.why, not options.uncharged)
    pairs = paired(plays(journal()), options.a, options.b)
    if not pairs:
        print("no pair of these revisions stands in the journal", file=sys.stderr)
        return 1
    for row in rows(pairs):
        print(row)
    return 0


if __name__ == "__main__":
    sys.exit(main())
