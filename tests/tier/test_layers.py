"""The imports that are allowed between the packages of the tier."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2] / "heronstall"
DECISIONS = ("replication", "sessions", "distribution", "ownership", "batch", "placement", "policy")
PROGRAMS = ("dataplane", "controlplane")
SOCKETS = ("socket", "asyncio", "aiohttp", "os", "pathlib", "threading", "select")
TIER_LIBRARIES = ("aiohttp", "structlog", "betterproto", "serde", "result", "click")


def imports(package: str) -> set[tuple[str, str]]:
    """Returns the pairs of file name and imported module in a package."""
    found = set()
    for path in (ROOT / package).rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                found.add((path.name, node.module))
            elif isinstance(node, ast.Import):
                found |= {(path.name, alias.name) for alias in node.names}
    return found


class Layers(unittest.TestCase):
    def test_decision_packages_use_no_io_and_no_program(self) -> None:
        allowed = {"transport.messages", *DECISIONS}
        for package in DECISIONS:
            for name, module in imports(package):
                with self.subTest(package=package, file=name, module=module):
                    self.assertNotIn(module.partition(".")[0], SOCKETS)
                    if module.startswith("heronstall."):
                        own = module.removeprefix("heronstall.")
                        self.assertTrue(own in allowed or own.partition(".")[0] in allowed)

    def test_programs_do_not_import_each_other(self) -> None:
        for package in PROGRAMS:
            other = PROGRAMS[1 - PROGRAMS.index(package)]
            for name, module in imports(package):
                with self.subTest(package=package, file=name, module=module):
                    self.assertFalse(module.startswith(f"heronstall.{other}"))
                    self.assertFalse(module.startswith("heronstall.net"))

    def test_single_node_dispatcher_imports_none_of_the_tier_libraries(self) -> None:
        for package in ("net", "policy"):
            for name, module in imports(package):
                with self.subTest(file=name, module=module):
                    self.assertNotIn(module.partition(".")[0], TIER_LIBRARIES)


if __name__ == "__main__":
    unittest.main()
