"""Tests of the codec, and of the deployed command with a transcript."""

from __future__ import annotations

import json
import subprocess
import tomllib
from pathlib import Path
from typing import Any

import pytest

from heronstall.interface import Cancel, Fail, Log, Probe, Refuse, Send, Subscribe, WakeAt
from heronstall.wire import Codec, WireError, encode

ROOT = Path(__file__).resolve().parent.parent
CONFIG: dict[str, Any] = {
    "areas": ["north", "south"],
    "balancers": 2,
    "discovery": "pushed",
    "familyInfo": {
        "classPriority": [0, 1],
        "classStretch": [2.0, 2.0],
        "reportX0": "free slots",
        "reportX1": "free memory",
        "tellsStart": True,
        "progress": 0,
    },
    "goal": {"whole": 0.7, "worstClass": 0.3},
    "loadReport": {"fields": ["x0", "svc_ms", "cpu_share", "x1"], "via": "pull"},
    "policyLimits": {"cancelling": True, "probes": True, "maxAttempts": 3, "mayTell": False},
    "rules": {"graceToAnswer": 16000, "cold": 8000000, "coldFrom": 0.3, "fall": 1000000, "fallMultiple": 3.0},
    "services": [
        {"aim": 150000, "deadline": 5000000, "effect": "safe", "group": "all", "worth": 1.0, "later": 1},
        {"aim": 1000000, "deadline": 15000000, "effect": "unsafe", "group": "all", "worth": 5.0},
    ],
    "tick": 4000,
    "unheardOf": {"x": 1},
}
LAUNCH = f"LAUNCH 3 77 {json.dumps(CONFIG)}\nTOPOLOGY 3 Persisted 1 2\n"
ENTRIES = "ENTRY 11 0 0 0 active 1 -\nENTRY 12 1 0 0 active 1.5 -\n"
FIRST = f"TICK 1000000\n{LAUNCH}{ENTRIES}EOB\n"


def run(text: str) -> subprocess.CompletedProcess[str]:
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
    return subprocess.run(
        ["/bin/sh", "-c", command], cwd=ROOT, input=text, capture_output=True, text=True, timeout=60
    )


def test_a_short_transcript() -> None:
    text = FIRST
    text += "TICK 1004000\nREQ 3 42 0 - - 5000000 100000 1 0 0 0 0\nEOB\n"
    text += "TICK 1104000\nHEARTBEAT 3 42 0 11 1 -\nEOB\n"
    result = run(text)
    assert result.returncode == 0, result.stderr
    replies = result.stdout.split("FINISHED\n")
    assert len(replies) == 4 and replies[3] == ""
    assert "HEALTH_CHECK 3 11" in replies[0] and "REMIND 3 " in replies[0]
    sent = [line for line in replies[1].splitlines() if line.startswith("ASSIGN 3 42 ")]
    assert len(sent) == 1 and sent[0].split()[3] in ("11", "12")
    assert "ASSIGN" not in replies[2]


def test_an_instance_is_killed_and_launched_again_in_one_batch() -> None:
    text = FIRST + f"TICK 1004000\nREQ 3 42 0 - - 5000000 100000 1 0 0 0 0\nKILL 3\n{LAUNCH}{ENTRIES}EOB\n"
    result = run(text)
    assert result.returncode == 0 and " 42 " not in result.stdout


def test_empty_batches_are_answered_and_the_input_may_end_between_batches() -> None:
    result = run("TICK 5\nEOB\n")
    assert (result.returncode, result.stdout, result.stderr) == (0, "FINISHED\n", "")


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("HELLO\n", "TICK"),
        ("TICK x\nEOB\n", "'x'"),
        ("TICK 5\nWHAT 3\nEOB\n", "WHAT"),
        ("TICK 5\n", "ended inside"),
        ("TICK 5\nREQ 3 1 0 - - 5 - 1 0 0 0 0\nEOB\n", "instance 3"),
        (FIRST + "TICK 9\nREQ 3 1 0\nEOB\n", "REQ"),
        (FIRST + "TICK 9\nREQ 3 1 0 - - soon - 1 0 0 0 0\nEOB\n", "'soon'"),
        (FIRST + "TICK 9\nSETTLED 3 1 11 1 1 NICE - 0 -\nEOB\n", "NICE"),
        (FIRST + "TICK 9\nTOPOLOGY 3 Complete 1 1\nEOB\n", "ENTRY"),
        ("TICK 9\nLAUNCH 1 2 {oops\nEOB\n", "JSON"),
        ("TICK 9\nLAUNCH 1 2 {}\nEOB\n", "services"),
    ],
)
def test_malformed_input_ends_the_process_with_one_line(text: str, expected: str) -> None:
    result = run(text)
    assert result.returncode != 0
    assert (
        expected in result.stderr
        and len(result.stderr.splitlines()) == 1
        and "Traceback" not in result.stderr
    )


def test_an_exception_in_the_decisions_is_reported_as_a_bug_line(monkeypatch: pytest.MonkeyPatch) -> None:
    import io

    from heronstall import simhost

    def broken(*_: object) -> None:
        raise IndexError("out of\nrange")

    monkeypatch.setattr("heronstall.decide.Balancer.handle", broken)
    sink = io.StringIO()
    simhost.Host(io.StringIO(FIRST), sink).run()
    assert sink.getvalue() == "BUG 3 IndexError: out of range\nFINISHED\n"


def test_report_fields_are_read_by_name_in_any_order() -> None:
    codec = Codec(CONFIG)
    report = codec.decode_report("3,12.5,0.4,1.25")
    assert report is not None
    assert (report.free_slots, report.util, report.free_memory, report.queued) == (3.0, 0.4, 1.25, None)
    assert codec.decode_report("-") is None
    for implausible in ("-1,1,0.4,1", "nan,1,0.4,1", "3,1,inf,1"):
        assert codec.decode_report(implausible) is None
    with pytest.raises(WireError):
        codec.decode_report("3,1,much,1")


def test_settings_are_read_and_invalid_ones_raise() -> None:
    s = Codec(CONFIG).settings
    assert s.classes[1].effect == "unsafe" and s.classes[1].stretch == 2.0 and s.nodes == 2
    assert s.answer_grace == 16000 and s.reports == "probe" and s.tells_start
    with pytest.raises(WireError, match="out of range"):
        Codec({**CONFIG, "tick": 0})


def test_each_action_is_encoded_as_a_line() -> None:
    lines = [encode(3, a) for a in (Send(1, 2, 5), WakeAt(9), Probe(2), Cancel(1, 0), Refuse(1, 7), Fail(1))]
    assert lines == [
        "ASSIGN 3 1 2 5",
        "REMIND 3 9 wake",
        "HEALTH_CHECK 3 2",
        "ABANDON 3 1 0",
        "DECLINE 3 1 7",
        "SURRENDER 3 1",
    ]
    assert encode(3, Subscribe()) == "SUBSCRIBE 3 1" and encode(3, Log("a b")) == "JOURNAL_LINE 3 a b"


def test_the_readme_example_prints_its_result(capsys: pytest.CaptureFixture[str]) -> None:
    code = (ROOT / "README.md").read_text().split("```python\n")[1].split("```")[0]
    exec(compile(code, "README", "exec"), {})
    assert capsys.readouterr().out == "[7]\n"
