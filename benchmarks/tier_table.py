"""A table of the tier's days by revision, from the journal.

    python -m benchmarks.tier_table

One row a scored site or a hunt: program, site, days, rules broken, score, and each standard day's own.
"""

from __future__ import annotations

from typing import Any

from benchmarks.paired_days import journal

HEADER = ("program", "site", "run", "rules broken", "score", "days")


def row(entry: dict[str, Any]) -> tuple[str, ...]:
    """The row of one entry."""
    broken = [f"{rule} on {day['name']}" for day in entry["days"] for rule in day["rules"]]
    broken += [f"fault on {day['name']}" for day in entry["days"] if day["fault"]]
    scores = [f"{day['name']} {day['score']:.2f}" for day in entry["days"]]
    low = min(day["score"] for day in entry["days"])
    hunt = entry["cmd"] == "hunt"
    return (
        entry["head"][:7],
        entry["site"],
        f"{entry['cmd']}, {len(entry['days'])} days",
        "; ".join(broken[:3]) or "none",
        "-" if entry["score"] is None else f"{entry['score']:.3f}",
        f"least {low:.2f}" if hunt else ", ".join(scores),
    )


def rows() -> list[tuple[str, ...]]:
    """Rows of all whole scores and hunts of the tier, in order of time."""
    found = []
    for entry in journal():
        of_the_tier = (
            entry.get("cmd") in ("score", "hunt") and entry.get("days") and "rules" in entry["days"][0]
        )
        if of_the_tier and "parts" in entry["days"][0]:
            found.append(row(entry))
    return found


def main() -> None:
    """Print the table."""
    for cells in (HEADER, tuple("---" for _ in HEADER), *rows()):
        print("| " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
