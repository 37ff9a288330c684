"""Which parts of the tier may import which."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2] / "heronstall"
DECISIONS = ("replication", "sessions", "distribution", "ownership", "batch", "placement", "policy")
PROGRAMS = ("dataplane", "controlplane")
SOCKETS = ("socket", "asyncio", "aiohttp", "os", "pathlib", "threading", "select")
NEW_LIBRARIES = ("aiohttp", "structlog", "betterproto", "serde", "result", "click")


def imports(package: str) -> set[tuple[str, str]]:
    """Module file and imported name, over a package."""
    found = set()
    for path in (ROOT / package).rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                found.add((path.name, node.module))
            elif isinstance(node, ast.Import):
                found |= {(path.name, alias.name) for alias in node.names}
    return found


class Layers(unittest.TestCase):
    def test_decisions_touch_no_sockets_no_disks_and_no_program(self) -> None:
        allowed = {"transport.messages", *DECISIONS}
        for package in DECISIONS:
            for name, module in imports(package):
                with self.subTest(package=package, file=name, module=module):
                    self.assertNotIn(module.partition(".")[0], SOCKETS)
                    if module.startswith("heronstall."):
                        own = module.removeprefix("heronstall.")
                        self.assertTrue(own in allowed or own.partition(".")[0] in allowed)

    def test_the_programs_know_each_other_by_messages_alone(self) -> None:
        for package in PROGRAMS:
            other = PROGRAMS[1 - PROGRAMS.index(package)]
            for name, module in imports(package):
                with self.subTest(package=package, file=name, module=module):
                    self.assertFalse(module.startswith(f"heronstall.{other}"))
                    self.assertFalse(module.startswith("heronstall.net"))

    def test_the_dispatcher_in_service_imports_none_of_the_new_libraries(self) -> None:
        for package in ("net", "policy"):
            for name, module in imports(package):
                with self.subTest(file=name, module=module):
                    self.assertNotIn(module.partition(".")[0], NEW_LIBRARIES)


if __name__ == "__main__":
    unittest.main()
