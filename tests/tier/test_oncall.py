"""Every log event of the tier's programs is documented in the on-call guide."""

from __future__ import annotations

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2]
PACKAGES = ("controlplane", "dataplane", "transport", "storage", "sessions", "replication", "distribution")
SOURCES = (*(f"{package}/**/*.py" for package in PACKAGES), "background_tasks.py")
LEVELS = frozenset({"debug", "info", "warning", "error", "exception", "critical"})
HEADING = "## The serving tier"


def events(source: str) -> Iterator[tuple[str, tuple[str, ...]]]:
    """Yields the events that a module logs, with their fields."""
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        owner = node.func.value
        if isinstance(owner, ast.Name) and owner.id == "log" and node.func.attr in LEVELS:
            text = node.args[0]
            assert isinstance(text, ast.Constant), ast.dump(text)
            yield str(text.value), tuple(str(keyword.arg) for keyword in node.keywords)


class LogEvents(unittest.TestCase):
    def test_each_event_and_its_fields_are_documented(self) -> None:
        table = (ROOT / "docs" / "oncall.md").read_text().partition(HEADING)[2]
        rows = {
            row.split("|")[1].strip(): row.split("|")[3]
            for row in table.splitlines()
            if row.startswith("| `")
        }
        logged: set[str] = set()
        for path in sorted(p for source in SOURCES for p in (ROOT / "heronstall").glob(source)):
            for event, fields in events(path.read_text()):
                logged.add(f"`{event}`")
                with self.subTest(event=event, file=path.name):
                    self.assertIn(f"`{event}`", rows)
                    for name in fields:
                        self.assertIn(f"`{name}`", rows[f"`{event}`"])
        self.assertEqual(set(rows) - logged, set(), "documented but never logged")


if __name__ == "__main__":
    unittest.main()
