"""Days of the journal that are paired by revision."""

from __future__ import annotations

from typing import Any

import pytest

from benchmarks.paired_days import interval, main, paired, plays, rows


def entry(head: str, score: float, day: str = "scale-1", seed: int = 7, **more: Any) -> dict[str, Any]:
    played = {
        "name": day,
        "seed": seed,
        "score": score,
        "parts": [["whole day", 0.6, 0.9]],
        "prices": [["machine-seconds", 5000.0, 0.02], ["probes", 1.0, 0.01]],
        "rules": {},
        "fault": None,
    }
    return {
        "cmd": "run",
        "id": f"{head}-{score}",
        "head": head,
        "site": "n",
        "error": None,
        "days": [played],
        **more,
    }


def test_plays_are_paired_by_site_day_and_seed_each_used_once() -> None:
    entries = [
        entry("aaa1", 0.70),
        entry("bbb1", 0.80),
        entry("aaa1", 0.72),
        entry("bbb1", 0.75),
        entry("bbb1", 0.99),  # one more than of the other
        entry("aaa1", 0.60, seed=8),  # alone
        entry("ccc1", 0.10),  # another revision
        entry("aaa1", 0.10, cmd="score"),
        entry("bbb1", 0.10, error="cut off"),
    ]
    pairs = paired(plays(entries), "aaa", ["bbb"])
    assert [(pair.a.score, pair.b.score) for pair in pairs] == [(0.70, 0.80), (0.72, 0.75)]
    assert pairs[0].a.prices == pytest.approx(0.03)
    table = list(rows(pairs))
    assert "| n | scale-1 | 7 | 0.700 | 0.800 | +0.100 |" in table[2]
    assert table[-1].startswith("n: 2 pairs, mean +0.065")


def test_a_play_that_was_charged_no_processor_time_is_paired_with_another_such_alone() -> None:
    free = ["site.toml", "scale-1", "--no-cpu"]
    entries = [
        entry("aaa1", 0.70),
        entry("bbb1", 0.95, argv=free),
        entry("aaa1", 0.90, argv=free),
        entry("bbb1", 0.72, argv=["site.toml", "scale-1"]),
    ]
    pairs = paired(plays(entries), "aaa", ["bbb"])
    assert [(pair.a.score, pair.b.score) for pair in pairs] == [(0.90, 0.95), (0.70, 0.72)]
    table = list(rows(pairs))
    assert "| n | scale-1, uncharged | 7 | 0.900 | 0.950 |" in table[2]
    assert table[-2].startswith("n, no processor time charged: 1 pairs, mean +0.050")
    assert table[-1].startswith("n: 1 pairs, mean +0.020")


def test_a_broken_rule_is_shown() -> None:
    broken = entry("bbb1", 0.0)
    broken["days"][0]["rules"] = {"LOST": 1}
    (pair,) = paired(plays([entry("aaa1", 0.7), broken]), "aaa", ["bbb"])
    assert "0.000 BROKEN" in list(rows([pair]))[2]


def test_the_interval_holds_the_mean_and_shrinks_with_the_spread() -> None:
    low, high = interval([0.01, 0.03, 0.02, 0.04])
    assert 0.01 <= low < 0.025 < high <= 0.04
    assert interval([0.02] * 5) == pytest.approx((0.02, 0.02))


def test_what_cannot_be_played_is_refused(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["play", "--bench", "b", "--folder", "f", "--a", "x", "--b", "y", "site:day:seed"])
    assert ended.value.code == 2
    assert "SITE:DAY:SEED" in capsys.readouterr().err
