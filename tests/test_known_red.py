"""The list of tests that are known to fail: read strictly, honoured and printed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, check_collected, parse

ROOT = Path(__file__).resolve().parent.parent
ENTRY = """test: tests/test_a.py::test_b
command: python -m pytest tests/test_a.py
seed: 3
seen: a cause
issue: 27
"""
FINDING = """command: python -m benchmarks.tier_audit --kills 9
seed: 4
seen: a job of 60 items was
 listed twice
issue: 28
"""


def entry(test: str) -> KnownRed:
    return KnownRed(test, "python -m pytest", None, "a cause", 27)


def test_an_entry_names_test_command_seed_what_was_seen_and_issue() -> None:
    known = KnownRed("tests/test_a.py::test_b", "python -m pytest tests/test_a.py", 3, "a cause", 27)
    assert parse(f"# how it works:\nseed: of a comment\n\n{ENTRY}\n\n") == [known]
    assert str(known) == "tests/test_a.py::test_b (seed 3; a cause; issue 27)"
    assert parse(ENTRY.replace("seed: 3", "seed: none"))[0].seed is None
    assert parse("") == []


def test_a_finding_of_a_hunt_or_model_has_a_place_beside_tests() -> None:
    first, second = parse(f"{ENTRY}\n{FINDING}")
    assert first.test and not second.test
    assert second.seen == "a job of 60 items was listed twice"
    assert str(second).startswith("python -m benchmarks.tier_audit --kills 9 (seed 4; a job")
    another = FINDING.replace("seed: 4", "seed: 5")
    assert len(parse(f"{FINDING}\n{another}")) == 2


def test_no_count_is_given() -> None:
    many = "\n".join(ENTRY.replace("test_b", f"test_{n}") for n in range(20))
    assert len(parse(many)) == 20


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("tests/test_a.py::test_b | a cause | 27", "line 1: `key: value`"),
        (f"{ENTRY}\n{ENTRY}", "line 7: tests/test_a.py::test_b is named twice"),
        (f"{ENTRY}\n{ENTRY.replace('seed: 3', 'seed: 4')}", "line 7: tests/test_a.py::test_b is named twice"),
        (f"{FINDING}\n{FINDING}", "line 7: .* is named twice"),
        (f"\n{ENTRY.replace('::test_b', '')}", "line 2: test: a pytest id"),
        (ENTRY.replace("seen: a cause", "seen: "), "line 4: `key: value`"),
        (ENTRY.replace("issue: 27", "issue: soon"), "line 5: issue: a whole number"),
        (ENTRY.replace("seed: 3", "seed: x"), "line 3: seed: a whole number"),
        (ENTRY.replace("issue: 27\n", ""), "line 1: issue: missing"),
        (FINDING.replace("seed: 4\n", ""), "line 1: seed: missing"),
        (FINDING.replace("seed: 4", "seed: none"), "line 2: seed: a finding without a test"),
        (f"{ENTRY}seed: 4\n", "line 1: a key stands twice"),
        (f"{ENTRY}cause: x\n", "line 6: `key: value`"),
        (ENTRY.replace("a cause", "a" * 201), "line 4: seen: at most 200"),
        (f" {ENTRY}", "line 1: `key: value`"),
    ],
)
def test_what_cannot_be_read_is_refused(text: str, named: str) -> None:
    with pytest.raises(KnownRedError, match=named):
        parse(text)


def test_a_test_that_does_not_exist_is_refused(tmp_path: Path) -> None:
    (tmp_path / "test_a.py").write_text("")
    known = [entry("test_a.py::test_b"), *parse(FINDING)]
    check_collected(known, tmp_path, ["test_a.py::test_b"])
    check_collected(known, tmp_path, ["test_other.py::test_b"])  # a run of other files alone
    with pytest.raises(KnownRedError, match="no such test"):
        check_collected(known, tmp_path, ["test_a.py::test_c"])
    with pytest.raises(KnownRedError, match="no such test"):
        check_collected([entry("gone.py::test_b")], tmp_path, [])


def run(root: Path, *options: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options, "tests"],
        cwd=root,
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.mark.parametrize("options", [(), ("-n", "2", "--dist", "loadfile")])
def test_pytest_passes_over_just_these_and_prints_them(tmp_path: Path, options: tuple[str, ...]) -> None:
    tests = tmp_path / "tests"
    tests.mkdir()
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tests / "__init__.py").write_text("")
    for name in ("conftest.py", "known_red.py"):
        (tests / name).write_text((ROOT / "tests" / name).read_text())
    (tests / "test_a.py").write_text("def test_b() -> None:\n    assert False\n")
    assert run(tmp_path, *options).returncode == 1
    (tmp_path / "KNOWN-RED.txt").write_text(f"{ENTRY}\n{FINDING}")
    ran = run(tmp_path, *options)
    assert ran.returncode == 0
    assert "known to fail: tests/test_a.py::test_b (seed 3; a cause; issue 27)" in ran.stdout
    assert "known to fail: python -m benchmarks.tier_audit --kills 9 (seed 4; a job of" in ran.stdout
    (tests / "test_a.py").write_text(
        "def test_b() -> None:\n    assert True\n\n\ndef test_c() -> None:\n    assert False\n"
    )
    ran = run(tmp_path, *options)
    assert ran.returncode == 1 and "PASSES, to be removed: tests/test_a.py::test_b" in ran.stdout
    (tmp_path / "KNOWN-RED.txt").write_text(ENTRY.replace("test_b", "test_d"))
    ran = run(tmp_path, *options)
    assert ran.returncode not in (0, 1) and "no such test" in ran.stdout + ran.stderr


def test_the_projects_own_list_can_be_read() -> None:
    file = ROOT / "KNOWN-RED.txt"
    if file.exists():
        parse(file.read_text(encoding="utf-8"))
