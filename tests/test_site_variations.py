"""Variations of sites: drawn by the seed alone, other names everywhere, errors that name the file and key."""

from __future__ import annotations

import random
import tomllib
from pathlib import Path

import pytest

from benchmarks import site_variations as sites

BASE = """
name = "base"
classes = [
  { name = "note", service = "model", stream = { chain = [{ tokens = { mean = 100.0, max = 200.0 } }] } },
  { name = "review", service = "model", stream = { chain = [{ tokens = { mean = 9000.0, max = 2e4 } }] } },
]
traffic = [
  { zone = "a", per_s = 10.0, mix = { note = 3.0, review = 1.0 } },
  { zone = "b", per_s = 30.0, mix = { note = 3.0, review = 1.0 } },
]
troubles = [{ kind = "burst", class = "note", x = 2.0 }]

[[services]]
name = "model"
slots = 12
queue = 36
conn_cap = 160
servers = [{ zone = "a", count = 5 }]
llm = { batch = 12, kv_tokens = 1000, prefill_tokens_per_ms = 100.0, step_ms = 2.0 }
"""


def test_a_seed_draws_the_same_again_and_another_seed_something_else() -> None:
    drawn = [sites.variation(BASE, "x", random.Random(seed)) for seed in (1, 1, 2)]
    assert drawn[0] == drawn[1] != drawn[2]
    assert all(len(changes) == sites.CHANGES_EACH for _, changes in drawn)


def test_no_old_name_of_a_service_or_class_is_left() -> None:
    text, _ = sites.variation(BASE, "x", random.Random(3))
    site = tomllib.loads(text)
    names = {one["name"] for one in site["classes"]}
    assert not names & {"note", "review"} and "note" not in text and "review" not in text
    assert site["troubles"][0]["class"] in names
    assert set(site["traffic"][0]["mix"]) == names
    assert {one["service"] for one in site["classes"]} == {site["services"][0]["name"]}


def test_each_change_changes_what_it_says() -> None:
    def changed(change: sites.Change) -> dict[str, object]:
        site = tomllib.loads(BASE)
        change(site, random.Random(1))
        return site

    wide = changed(sites.wider_workers)["services"][0]  # type: ignore[index]
    assert (wide["servers"][0]["count"], wide["slots"], wide["llm"]["batch"]) == (2, 24, 24)
    zones = changed(sites.unequal_zones)["traffic"]
    assert sum(zone["per_s"] for zone in zones) == 40.0  # type: ignore[attr-defined]
    for change in sites.CHANGES:
        assert changed(change) != tomllib.loads(BASE), change.__name__


def test_half_of_the_variations_are_set_aside(tmp_path: Path) -> None:
    base = tmp_path / "site.toml"
    base.write_text(BASE)
    (tmp_path / "wire.json").write_text("{}")
    assert sites.main([str(base), "--count", "4", "--to", str(tmp_path / "out")]) == 0
    laid = tomllib.loads((tmp_path / "out" / "aside-1" / "site.toml").read_text())
    assert laid["name"] == "base-aside-1"
    assert sorted(p.name for p in (tmp_path / "out").iterdir()) == ["aside-0", "aside-1", "open-0", "open-1"]
    assert (tmp_path / "out" / "open-0" / "wire.json").exists()


@pytest.mark.parametrize(
    ("text", "told"),
    [(BASE.replace("traffic", "traffics"), "traffic: missing"), ("a = [", "site.toml: ")],
)
def test_a_base_that_cannot_be_varied_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, told: str
) -> None:
    base = tmp_path / "site.toml"
    base.write_text(text)
    assert sites.main([str(base), "--count", "12", "--to", str(tmp_path / "out")]) == 2
    assert told in capsys.readouterr().err
