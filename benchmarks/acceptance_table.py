"""A table of acceptance runs from the journal: program, site, panel and seed, gate, rules broken, scores.

    python -m benchmarks.acceptance_table --since 2026-12-02T05:58 --head 853246a --head 0602240

One row a run that counts (`score`, on an unchanged tree), with each rule that broke and its day.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

JOURNAL = Path("journal")
HEADER = ("program", "site", "days", "seed", "gate", "broken, on the day", "score", "least and most of a day")


class Run(NamedTuple):
    """One row."""

    program: str
    site: str
    days: str
    seed: str
    gate: str
    broken: str
    score: str
    spread: str


class JournalError(Exception):
    """An entry that cannot be read; the message names its file."""


def _option(arguments: list[str], name: str, default: str) -> str:
    return arguments[arguments.index(name) + 1] if name in arguments else default


def row(entry: dict[str, Any]) -> Run:
    """The row of one entry."""
    arguments = entry["argv"]
    days = entry["days"]
    broken = "; ".join(f"{day['gate']}, {day['name']}" for day in days if day["gate"])
    scores = [day["score"] for day in days]
    panel = "quick" if "--quick" in arguments else _option(arguments, "--panel", "full")
    return Run(
        program=entry["head"][:7],
        site=entry["site"],
        days=f"{panel}, {len(days)}",
        seed=_option(arguments, "--seed", "-"),
        gate="failed" if broken else "passed",
        broken=broken or "none",
        score=f"{entry['figures']['real_score']:.3f}",
        spread=f"{min(scores):.2f} to {max(scores):.2f}",
    )


def read(journal: Path, since: str, heads: list[str]) -> Iterator[Run]:
    """The rows of the runs that count, in the order of the journal. Raises JournalError."""
    for file in sorted(journal.glob("*.json")):
        try:
            entry = json.loads(file.read_text(encoding="utf-8"))
            counts = entry["cmd"] == "real-score" and not entry["dirty"] and entry["ok"]
            one_day = "--day" in entry["argv"]
            gated = all("gate" in day for day in entry["days"])  # other panels have none
            if counts and gated and not one_day and entry["at"][0] >= since and entry["head"][:7] in heads:
                yield row(entry)
        except (ValueError, KeyError, TypeError) as error:
            raise JournalError(f"{file}: {error!r}") from None


def table(rows: list[Run]) -> str:
    """Markdown."""
    lines = [" | ".join(cells) for cells in (HEADER, ["---"] * len(HEADER), *rows)]
    return "\n".join(f"| {line} |" for line in lines)


def main(arguments: list[str] | None = None) -> int:
    """Print the table; 2 for a journal that cannot be read."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--journal", type=Path, default=JOURNAL)
    parser.add_argument("--since", default="", help="the first moment, as the journal writes it")
    parser.add_argument("--head", action="append", required=True, help="a revision's first seven figures")
    told = parser.parse_args(arguments)
    try:
        print(table(sorted(read(told.journal, told.since, told.head), key=lambda run: (run.site, run.days))))
    except JournalError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
