"""Ablations: every edit fits the sources, and the table pairs the right days."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from benchmarks import ablation

ROOT = Path(__file__).resolve().parent.parent


def entry(name: str, score: float | None, seed: int = 1, head: str = "a1", **more: Any) -> dict[str, Any]:
    """An entry of the journal."""
    day = {
        "name": "scale-1",
        "seed": seed,
        "score": score,
        "rules": [],
        "fault": None,
        "parts": [],
        "prices": [],
    }
    why = f"{ablation.REASON} {name}: scale-1 seed {seed}"
    return {"cmd": "run", "id": "e", "head": head, "site": "here", "why": why, "days": [day], **more}


@pytest.mark.parametrize("mechanism", ablation.mechanisms(), ids=lambda m: m.name)
def test_each_edit_fits_the_sources_once_and_leaves_a_module(
    tmp_path: Path, mechanism: ablation.Mechanism
) -> None:
    for file in {edit.file for edit in mechanism.edits}:
        copy = tmp_path / file
        copy.parent.mkdir(parents=True, exist_ok=True)
        copy.write_text((ROOT / file).read_text(encoding="utf-8"), encoding="utf-8")
    for edit in mechanism.edits:
        edit.apply(tmp_path)
        source = (tmp_path / edit.file).read_text(encoding="utf-8")
        compile(source, edit.file, "exec")
        assert source != (ROOT / edit.file).read_text(encoding="utf-8")


def test_an_edit_that_does_not_fit_says_where(tmp_path: Path) -> None:
    (tmp_path / "a.py").write_text("x = 1\nx = 1\n")
    with pytest.raises(ablation.AblationError, match=r"a\.py: 'x = 1' stands there 2 times"):
        ablation.Edit("a.py", "x = 1", "x = 2").apply(tmp_path)


def test_a_name_that_is_no_mechanism_says_which_there_are() -> None:
    with pytest.raises(ablation.AblationError, match="no mechanism 'subsets'; there are nothing, "):
        ablation.chosen(["subsets"])
    assert [m.name for m in ablation.chosen(["subset", "nothing"])] == ["nothing", "subset"]


def test_days_are_paired_with_the_same_day_seed_and_revision() -> None:
    found = ablation.ablated(
        [
            entry("nothing", 0.8),
            entry("nothing", 0.6, seed=2),
            entry("pace", 0.7),
            entry("pace", 0.65, seed=2),
            entry("pace", 0.1, seed=3),  # its day with everything on was not played
            entry("pace", 0.1, head="b2"),
            entry("pace", None),
            entry("pace", 0.1, error="did not finish"),
            entry("pace", 0.1, why="something else"),
        ]
    )
    ((key, values),) = ablation.differences(found).items()
    assert key == ("pace", "here")
    assert values == pytest.approx([-0.1, 0.05])


def test_a_broken_rule_is_counted_in_the_table() -> None:
    bad = entry("pace", 0.7)
    bad["days"][0]["rules"] = ["DENIED"]
    table = list(ablation.rows(list(ablation.ablated([entry("nothing", 0.8), bad]))))
    assert table[-1] == "| pace | -0.100 (-0.100 to -0.100, 1) | 1 |"
