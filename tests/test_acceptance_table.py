"""The table of acceptance runs says what the journal says."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from benchmarks.acceptance_table import JournalError, main, read, table


def entry(**changes: Any) -> dict[str, Any]:
    base = {
        "cmd": "real-score",
        "dirty": False,
        "ok": True,
        "at": ["2026-01-02T00:00:00Z", ""],
        "head": "abcdef0123",
        "site": "here",
        "argv": ["site.toml", "--panel", "brink", "--seed", "3"],
        "figures": {"real_score": 0.5},
        "days": [
            {"name": "calm-1", "gate": None, "score": 0.9},
            {"name": "zone-2", "gate": "duplicate", "score": 0.0},
        ],
    }
    return {**base, **changes}


def test_a_run_is_a_row_and_what_does_not_count_is_left_out(tmp_path: Path) -> None:
    entries = [
        entry(),
        entry(dirty=True),
        entry(cmd="real"),
        entry(head="0000000"),
        entry(at=["2025-01-01T00:00:00Z", ""]),
        entry(argv=["site.toml", "--day", "5"]),
        entry(days=[{"name": "hand", "score": 0.9}]),
        entry(argv=["site.toml", "--quick"], days=[{"name": "calm-1", "gate": None, "score": 0.4}]),
    ]
    for number, one in enumerate(entries):
        (tmp_path / f"{number}.json").write_text(json.dumps(one))
    runs = list(read(tmp_path, "2026", ["abcdef0"]))
    assert table(runs).splitlines()[2:] == [
        "| abcdef0 | here | brink, 2 | 3 | failed | duplicate, zone-2 | 0.500 | 0.00 to 0.90 |",
        "| abcdef0 | here | quick, 1 | - | passed | none | 0.500 | 0.40 to 0.40 |",
    ]


def test_an_entry_that_cannot_be_read_is_named(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "bad.json").write_text("{}")
    with pytest.raises(JournalError, match=r"bad\.json"):
        list(read(tmp_path, "", ["abcdef0"]))
    assert main(["--journal", str(tmp_path), "--head", "abcdef0"]) == 2
    assert "bad.json" in capsys.readouterr().err
