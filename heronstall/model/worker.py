"""A process that plays runs of one choice: JSON lines in, JSON lines out.

It may run on an older revision's host (`choices.overlay`): it imports only what `compat` bridges.
"""

from __future__ import annotations

import json
import logging
import sys
from typing import Any

from heronstall import decide
from heronstall.fleet.spec import scenario
from heronstall.model.run import Run


def override(constants: dict[str, float]) -> None:
    """Set constants of the decision module, for an experiment. Raises ValueError for one that is none."""
    for name, value in constants.items():
        old = getattr(decide, name, None)
        if not name.isupper() or isinstance(old, bool) or not isinstance(old, (int, float)):
            known = ", ".join(
                n for n, v in vars(decide).items() if n.isupper() and isinstance(v, (int, float))
            )
            raise ValueError(f"decide.{name}: no such constant; known: {known}")
        setattr(decide, name, type(old)(value))


def figures(record: dict[str, Any]) -> dict[str, float]:
    """What a run is compared by."""
    asked = max(1, record["requests"])
    row = {
        "service": record["service"],
        "score": record["score"],
        "worst_class": record["worst_class"],
        "worst_window": record["worst_window"],
        "waste": record["waste"],
        "crossings": record["crossings"],
        "probes": record["probes"],
        "refused": record["refused"] / asked,
        "failed": record["failed"] / asked,
        "attempts": record["attempts"] / asked,
    }
    for name, told in record["latency"].items():
        row[f"p50_ms {name}"], row[f"p99_ms {name}"] = told["p50_ms"], told["p99_ms"]
    return row


def play(order: dict[str, Any]) -> dict[str, Any]:
    """One run, as ordered."""
    record = Run(scenario(order["scenario"]), order["seed"]).run()
    return {
        "figures": figures(record),
        "rules_broken": [row["rule"] for row in record["rules_broken"]],
        "seconds": [row["served"] / row["asked"] if row["asked"] else 1.0 for row in record["timeline"]],
        "wall_s": record["timing"]["wall_s"],
    }


def main() -> int:
    """Play what is ordered until the input ends."""
    logging.disable(logging.CRITICAL)
    for line in sys.stdin:
        order = json.loads(line)
        try:
            if "constants" in order:
                override(order["constants"])
                answer: dict[str, Any] = {"ready": True}
            else:
                answer = play(order)
        except Exception as error:  # told to whoever ordered it, who names the choice
            answer = {"error": f"{type(error).__name__}: {error}"}
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
