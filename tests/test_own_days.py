"""The project's own days: what is left to be played, pairs of them, the table."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

from benchmarks import own_days
from benchmarks.own_days import DayError, OwnDay, draw, fits, main, of_own_days, rows, wanted, write_drawn

DAY = """[[day]]
name = "{name}"
slot = "trouble"
seed = 100
plan = [{{ at = 2.0, kind = "config_change", how = "idle" }}]
faults = [{{ at = {at}, kind = "{kind}", count = 1 }}]
"""


def written(folder: Path, name: str, kind: str, at: float = 3.0, more: str = "") -> OwnDay:
    file = folder / f"{name}.toml"
    file.write_text(DAY.format(name=name, kind=kind, at=at) + more)
    return OwnDay.read(file)


def entry(day: str, seed: int, site: str = "here", **more: Any) -> dict[str, Any]:
    played = {
        "name": day,
        "seed": seed,
        "score": 0.8,
        "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.25, 0.41]],
        "prices": [],
        "rules": {},
        "fault": None,
    }
    told = {"cmd": "run", "id": "e1", "head": "abcdef1234", "site": site, "error": None, "days": [played]}
    return {**told, **more}


def test_the_first_seed_of_every_day_comes_first_and_what_was_played_is_left_out(tmp_path: Path) -> None:
    days = [written(tmp_path, "cuts", "core_cut"), written(tmp_path, "wipes", "after_ack_wipe")]
    site = tmp_path / "here.toml"
    site.write_text("zones = []")
    left = wanted(days, [site], 2, {("here", "cuts", 100), ("here", "wipes", 101)})
    assert [(Path(day.day).stem, day.seed) for day in left] == [("wipes", "100"), ("cuts", "101")]


def test_a_day_with_traffic_of_one_site_is_played_there_alone(tmp_path: Path) -> None:
    day = written(tmp_path, "loaded", "burst", more='traffic = [{ zone = "a-1", per_s = 3.0 }]\n')
    here, there = tmp_path / "here.toml", tmp_path / "there.toml"
    here.write_text('zones = [{ name = "a-1" }]')
    there.write_text('zones = [{ name = "b-1" }]')
    assert fits(day, here) and not fits(day, there)
    assert [d.site for d in wanted([day], [here, there], 1, set())] == [str(here)]


def test_pairs_have_the_troubles_of_both_and_repeat_by_their_seed(tmp_path: Path) -> None:
    days = [
        written(tmp_path, "cuts", "core_cut", 9.0),
        written(tmp_path, "wipes", "after_ack_wipe", 4.0, 'closing = { kind = "kill_all", down_s = 1.0 }\n'),
        written(tmp_path, "loaded", "burst", more='traffic = [{ zone = "a-1", per_s = 3.0 }]\n'),
    ]
    drawn = list(draw(days, 6, seed=3))
    assert drawn == list(draw(days, 6, seed=3)) and drawn != list(draw(days, 6, seed=4))
    for day in drawn:
        assert sorted(day["name"].split("+")) == ["cuts", "wipes"]
        assert [fault["kind"] for fault in day["faults"]] == ["after_ack_wipe", "core_cut"]
        assert len(day["plan"]) == 1, "the same planned work of both is done once"
        assert day["closing"]["kind"] == "kill_all"
    files = write_drawn(tmp_path / "drawn", drawn)
    assert len(set(files)) == len({day["seed"] for day in drawn}) == 6
    assert tomllib.loads(files[0].read_text())["day"][0]["faults"] == drawn[0]["faults"]
    assert OwnDay.read(files[0]).seed == drawn[0]["seed"]


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("day = 3", "day: exactly one"),
        ("[[day]]\nseed = 1", "day.name: missing"),
        ('[[day]]\nname = "a"\nseed = "b"', "day.seed: missing, or no int"),
        ("[[day", "Expected"),
    ],
)
def test_a_file_that_holds_no_day_is_named_with_its_key(tmp_path: Path, text: str, named: str) -> None:
    file = tmp_path / "bad.toml"
    file.write_text(text)
    with pytest.raises(DayError, match=named) as refused:
        OwnDay.read(file)
    assert str(file) in str(refused.value)


def test_the_table_has_rules_score_and_worst_windows(tmp_path: Path) -> None:
    bad = entry("cuts", 100)
    bad["days"][0]["rules"] = {"CONFIG": 1}
    entries = [bad, entry("wipes", 100), entry("other", 100), entry("wipes", 101, head="fff")]
    found = list(of_own_days(entries, {"cuts", "wipes"}, "abcdef"))
    table = list(rows(found))
    assert "| abcdef1 | cuts | here | 100 | yes | 0.80 | 0.41 | e1 |" in table
    assert "| abcdef1 | wipes | here | 100 | none | 0.80 | 0.41 | e1 |" in table
    assert table[-1] == "2 plays, 1 with a rule broken."


def test_the_projects_own_days_can_all_be_read() -> None:
    days = own_days.own_days()
    assert len({day.name for day in days}) == len(days) > 50


def test_a_bad_file_ends_the_command_with_2(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "bad.toml").write_text("day = 3")
    monkeypatch.setattr(own_days, "DAYS", tmp_path)
    monkeypatch.setattr(own_days.own_days, "__defaults__", (tmp_path,))
    assert main(["draw", "--folder", str(tmp_path / "out")]) == 2
    assert "bad.toml: day" in capsys.readouterr().err
