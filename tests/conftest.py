"""Makes pytest honour `KNOWN-RED.txt`."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tests.known_red import KnownRed, KnownRedError, check_collected, parse

FILE = "KNOWN-RED.txt"
KNOWN: pytest.StashKey[list[KnownRed]] = pytest.StashKey()


def _read(root: Path) -> list[KnownRed]:
    try:
        return parse((root / FILE).read_text(encoding="utf-8"))
    except FileNotFoundError:
        return []


def pytest_configure(config: pytest.Config) -> None:
    """Read the file here: where tests run in several processes, the one that prints collects nothing."""
    try:
        config.stash[KNOWN] = _read(config.rootpath)
    except KnownRedError as error:
        raise pytest.UsageError(f"{FILE}: {error}") from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests that are known to fail."""
    by_test = {one.test: one for one in config.stash[KNOWN] if one.test}
    if not hasattr(config, "workerinput"):  # a worker process cannot say why it ends
        _check(config, [item.nodeid for item in items])
    for item in items:
        if item.nodeid in by_test:
            item.add_marker(pytest.mark.xfail(reason=by_test[item.nodeid].seen, strict=False))


def _check(config: pytest.Config, collected: list[str]) -> None:
    """End the run where a test of the file does not exist."""
    # A test named by its node id may have been deselected: then this run says nothing of it.
    named = [str(arg) for arg in config.args if "::" in str(arg)]
    if named or config.option.keyword:
        return
    known: list[KnownRed] = config.stash[KNOWN]
    try:
        check_collected(known, config.rootpath, collected)
    except KnownRedError as error:
        raise pytest.UsageError(f"{FILE}: {error}") from None


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node: Any, ids: list[str]) -> None:
    """Check the file against what a worker process has collected."""
    _check(node.config, ids)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print each finding that is known to fail, and whether a test of it still does."""
    known: list[KnownRed] = config.stash.get(KNOWN, [])
    failed = {report.nodeid for report in terminalreporter.stats.get("xfailed", [])}  # subtests of it too
    passed = {report.nodeid for report in terminalreporter.stats.get("xpassed", [])} - failed
    for one in known:
        word = "PASSES, to be removed" if one.test in passed else "known to fail"
        terminalreporter.write_line(f"{FILE}: {word}: {one}")
