"""The command line: forms that others script, exit codes, quiet in a pipe; settings and logs."""

from __future__ import annotations

import json
import logging
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from heronstall import events, operator
from heronstall.cli import main
from heronstall.cli.main import COMMANDS
from heronstall.logs import create_formatter
from tests.scenarios import BASE, RATE, SILENT
from tests.test_net import raw_config

ROOT = Path(__file__).resolve().parent.parent


def run(*words: str) -> tuple[int, str, str]:
    done = CliRunner().invoke(main, list(words))
    assert done.exception is None or isinstance(done.exception, SystemExit), done.exception
    return done.exit_code, done.stdout, done.stderr


def test_a_supervisor_starts_without_the_imports_of_other_commands() -> None:
    code = "import sys; from heronstall.cli import main; main(['keep', '-h'], standalone_mode=False); "
    code += "print(sorted({'scipy', 'numpy', 'heronstall.cli.rollout'} & set(sys.modules)))"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.endswith("\n[]\n"), done.stdout


def test_every_command_is_found_and_no_other() -> None:
    for name in COMMANDS:
        assert run(name, "--help")[0] == 0, name
        assert f"\n  {name} " in run("--help")[1]
    code, _, err = run("rolout")
    assert code == 2 and "No such command 'rolout'" in err


def test_model_run_prints_one_json_record_and_nothing_else(tmp_path: Path) -> None:
    code, out, err = run("model", "run", "scenarios/calm.cue", "--seed", "3", "--seconds", "3", "--json", "-")
    record = json.loads(out)
    assert code == 0 and err == ""
    for key in ("score", "service", "rules_broken", "classes", "latency", "crossings", "waste"):
        assert key in record
    assert record["rules_broken"] == [] and {"simulated_s", "wall_s"} <= set(record["timing"])
    code, out, _ = run(
        "model", "run", "scenarios/calm.cue", "--seconds", "3", "--report", str(tmp_path / "r")
    )
    page = (tmp_path / "r" / "report.html").read_text()
    assert code == 0 and "every rule kept" in out
    assert page.count("<svg") == 2 and "every rule kept" in page
    assert not re.search(r'(src|href)="(?!#)', page.replace("xlink:href", "href"))  # nothing from outside


def test_exit_codes_tell_a_missed_bound_from_bad_input(tmp_path: Path) -> None:
    short = ("--seconds", "2")
    assert run("model", "run", "scenarios/calm.cue", *short, "--least", "0.5")[0] == 0
    code, _, err = run("model", "run", "scenarios/calm.cue", *short, "--least", "1.1")
    assert code == 1 and "under 1.1" in err
    bad = tmp_path / "bad.cue"
    bad.write_text((BASE + RATE).replace("slots: 5", "slots: 1"))
    code, _, err = run("model", "run", str(bad))
    assert code == 2 and "kinds.m.slots" in err
    assert run("model", "run", str(tmp_path / "none.cue"))[0] == 2
    assert run("model", "run")[0] == 2
    assert run("model", "run", "scenarios/calm.cue", *short, "--json", str(tmp_path / "no" / "x"))[0] == 2
    for to, words in (
        ("10.0.0.1:80", "not on loopback"),
        ("x", "not host:port"),
        ("127.0.0.1:1", "1 addresses"),
    ):
        code, _, err = run("lab", "load", "scenarios/calm.cue", "--to", to)
        assert code == 2 and words in err


def test_a_broken_rule_is_shown_with_its_evidence(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    from heronstall.model.run import Node

    path = tmp_path / "silent.cue"
    path.write_text(BASE + RATE + SILENT)
    monkeypatch.setattr(Node, "_too_late", lambda self, tried: None)
    monkeypatch.setattr(Node, "_reply", lambda self, tried, answer: None)
    code, out, err = run("model", "run", str(path), "--seconds", "2", "--report", str(tmp_path))
    assert code == 1 and "never answered" in out and "Taken" in out and "rules broken" in err
    assert "Rules broken" in (tmp_path / "report.html").read_text()


def test_settings_show_has_every_default() -> None:
    code, out, _ = run("settings", "show", "deploy/operator.cue")
    assert code == 0 and 'log.format: "plain"' in out
    code, out, _ = run("settings", "show", "--json", "scenarios/silent.cue")
    assert code == 0 and json.loads(out)["troubles"][0]["stands"] is True


# ------------------------------------------------------------------ the live program's settings and logs


def read(path: Path) -> operator.OperatorSettings:
    return operator.read({"HERONSTALL_SETTINGS": str(path)})


def test_the_operators_file_is_read_as_cue_or_json_and_told_where_it_is_wrong(tmp_path: Path) -> None:
    assert operator.read({}) == operator.OperatorSettings("plain", "info")
    cue, made = tmp_path / "o.cue", tmp_path / "o.json"
    cue.write_text('package operator\nlog: format: "json"\n')
    assert read(cue) == operator.OperatorSettings("json", "info")
    made.write_text(run("settings", "show", "--json", str(cue))[1])
    assert read(made) == read(cue)
    for path, text, told in (
        (cue, 'package operator\nlog: format: "xml"\n', f"{cue}:2:6: log.format"),
        (cue, "package operator\nlog: {\n", f"{cue}:3:1"),
        (made, '{"log": {"format": "xml"}}', "log.format: 'xml'"),
        (made, '{"log": 3}', "log: expected a record"),
        (made, "no", "neither"),
    ):
        path.write_text(text)
        with pytest.raises(operator.OperatorError) as caught:
            read(path)
        assert told in str(caught.value)
    with pytest.raises(operator.OperatorError):
        read(tmp_path / "none.json")


def lines(name: str, settings: Path) -> list[str]:
    """The log of a real process that is started, drained and ended."""
    config = settings.with_name("config.json")
    config.write_text(json.dumps(raw_config(name=name, known={"rev": 1, "all": True, "targets": []})))
    environ = {**os.environ, "NODE_CONFIG": str(config), "HERONSTALL_SETTINGS": str(settings)}
    process = subprocess.Popen(
        [sys.executable, "-m", "heronstall"], stderr=subprocess.PIPE, text=True, env=environ, cwd=ROOT
    )
    assert process.stderr is not None
    first = process.stderr.readline()
    process.send_signal(signal.SIGTERM)
    rest = process.communicate(timeout=60)[1]
    assert process.returncode == 0, rest
    return [first, *rest.splitlines()]


def test_the_program_logs_in_the_form_that_the_operator_asks_for(tmp_path: Path) -> None:
    settings = tmp_path / "o.json"
    settings.write_text('{"log": {"format": "json"}}')
    rows: list[dict[str, Any]] = [json.loads(line) for line in lines("n1", settings)]
    told = {row["event"]: row for row in rows}
    assert told["started"]["node"] == "n1" and told["started"]["part"] == "heronstall"
    assert told["draining"]["signal"] == "SIGTERM" and told["ended"]["level"] == "info"
    settings.write_text('{"log": {"format": "logfmt", "level": "warning"}}')
    text = lines("n2", settings)
    assert "event=watch.ended" in text[0] and "level=warning" in text[0]
    assert not any("event=started" in line for line in text)


def test_a_wrong_operators_file_ends_the_program_with_2(tmp_path: Path) -> None:
    settings = tmp_path / "o.json"
    settings.write_text('{"log": {"level": "loud"}}')
    environ = {**os.environ, "HERONSTALL_SETTINGS": str(settings), "NODE_CONFIG": "/nowhere"}
    done = subprocess.run(
        [sys.executable, "-m", "heronstall"],
        capture_output=True,
        text=True,
        env=environ,
        cwd=ROOT,
        check=False,
    )
    assert done.returncode == 2 and "settings: " in done.stderr and "log.level" in done.stderr


def test_a_traceback_goes_with_an_unexpected_error_in_every_form() -> None:
    log = logging.getLogger("heronstall.test")
    for name in ("logfmt", "json"):
        rows: list[str] = []
        handler = logging.Handler()
        handler.emit = lambda record, name=name, rows=rows: rows.append(create_formatter(name).format(record))  # type: ignore[method-assign, misc]
        log.addHandler(handler)
        try:
            raise KeyError("lost")
        except KeyError:
            events.log_event(log, events.UNEXPECTED, where="a test")
        log.warning("no event %d", 3)
        log.removeHandler(handler)
        assert "KeyError" in rows[0] and "a test" in rows[0] and "\n" not in rows[0]
        assert "no event 3" in rows[1]


def test_every_event_stands_on_the_on_call_page_and_nothing_else_does() -> None:
    page = (ROOT / "docs/oncall.md").read_text().partition("## The counts")[0]
    named = set(re.findall(r"^\| `([a-z_.]+)` \|", page, re.MULTILINE))
    assert {event.name for event in events.ALL_EVENTS} == named
    source = "".join(path.read_text() for path in (ROOT / "heronstall").rglob("*.py"))
    for name, value in vars(events).items():
        if isinstance(value, events.Event):
            assert f"events.{name}" in source, name


def test_a_trace_is_recorded_where_the_operator_asks_for_it_and_a_bad_folder_harms_nothing(
    tmp_path: Path,
) -> None:
    from heronstall.trace.reader import TraceReader

    settings, traces = tmp_path / "o.json", tmp_path / "traces"
    settings.write_text(json.dumps({"trace": {"dir": str(traces)}}))
    text = "\n".join(lines("n3", settings))
    assert "trace.begun" not in text and "begun" in text and "0 records dropped" in text
    (path,) = traces.iterdir()
    with TraceReader(path) as reader:
        assert reader.about.node == "n3" and "services" in reader.about.settings
        assert list(reader.items()) and not reader.diagnostics.truncated
    settings.write_text(json.dumps({"trace": {"dir": str(settings)}}))  # a file where a folder is wanted
    assert "serving continues without it" in "\n".join(lines("n3", settings))


def test_the_load_tool_counts_dispatchers_that_nobody_reaches(tmp_path: Path) -> None:
    path = tmp_path / "s.cue"
    path.write_text(
        BASE.replace("seconds: 8", "seconds: 1") + "arrivals: rate_per_s: 20\nclients: retries: 0\n"
    )
    words = ["lab", "load", str(path), "--to", "127.0.0.1:1,127.0.0.1:1", "--json", "-"]
    done = subprocess.run(
        [sys.executable, "-m", "heronstall.cli", *words],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    record = json.loads(done.stdout)
    assert record["ends"] == {"unreachable": record["requests"]} and record["unfinished"] == 0
    assert done.returncode == (0 if record["verdict"] == "measured" else 1)
