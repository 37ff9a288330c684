"""Settings files: what is accepted, what is rejected, and whether messages name position, key and problem."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from heronstall.cli import main
from heronstall.fleet.spec import ScenarioError, scenario
from heronstall.records import RecordsError, loads
from heronstall.records.syntax import Position
from heronstall.records.values import (
    Atom,
    Disjunction,
    Field,
    ListValue,
    ScalarConstraint,
    Struct,
    Unconstrained,
    Unifier,
    Value,
)
from tests.scenarios import BASE, RATE

VALID = BASE + RATE
ROOT = Path(__file__).resolve().parent.parent

# A change to a valid file, the line of the error, its key, and a text that the message contains.
INVALID_CHANGES: dict[str, tuple[str, str, int, str, str]] = {
    "unknown key": ('name: "test"', 'name: "test"\ncolour: 3', 3, "colour", "unknown key; known keys"),
    "wrong type": ("seconds: 8", 'seconds: "8"', 3, "seconds", "a number"),
    "too small": ("seconds: 8", "seconds: 0", 3, "seconds", ">0"),
    "too large": ("seconds: 8", "seconds: 1e9", 3, "seconds", "<=3600"),
    "not an integer": (
        "dispatchers: 1, servers: 2}, b",
        "dispatchers: 1.5, servers: 2}, b",
        4,
        "zones.a.dispatchers",
        "an integer",
    ),
    "negative": (
        "dispatchers: 1, servers: 2}, b",
        "dispatchers: -1, servers: 2}, b",
        4,
        "zones.a.dispatchers",
        ">=0",
    ),
    "unknown literal": ('effect: "keyed"', 'effect: "kayed"', 8, "classes.keyed.effect", '"safe" or "keyed"'),
    "pattern": ('name: "test"', 'name: "Test Day"', 2, "name", "=~"),
    "twice and different": ("seconds: 8", "seconds: 8\nseconds: 9", 4, "seconds", "9, expected 8"),
    "no colon": ("seconds: 8", "seconds 8", 3, "", "':'"),
    "open bracket": ("x: share: 0.7, y: share: 0.3}", "x: share: 0.7, y: share: 0.3", 15, "", "'}'"),
    "open string": ('name: "test"', 'name: "test', 2, "", "unterminated string"),
    "odd character": ("seconds: 8", "seconds: §8", 3, "", "unexpected character"),
    "unknown name": ("seconds: 8", "seconds: minutes", 3, "seconds", "undefined name minutes"),
    "wrong package": ("package scenario", "package scenery", 1, "", "package scenario"),
    "unknown kind": (
        "arrivals:",
        'troubles: [{kind: "flood", at_s: 1}]\narrivals:',
        14,
        "troubles[0].kind",
        '"silent"',
    ),
    "key of another kind": (
        "arrivals:",
        'troubles: [{kind: "silent", at_s: 1, for_s: 2, times: 3}]\narrivals:',
        14,
        "troubles[0].times",
        "unknown key; known keys",
    ),
    "list too long": ("speed: 1}", "speed: [1, 2, 3]}", 5, "kinds.m.speed", "expected"),
    "string for a list": ("arrivals:", 'troubles: "none"\narrivals:', 14, "troubles", "a list"),
    "a struct for a number": (
        "discovery: delay_s: 0.1",
        "discovery: delay_s: {a: 1}",
        6,
        "discovery.delay_s",
        "a struct",
    ),
    "bound on a type": ("seconds: 8", "seconds: > int", 3, "seconds", "requires a number"),
    "refers to itself": ("seconds: 8", "seconds: warm_s\nwarm_s: seconds", 3, "seconds", "refers to itself"),
    "missing": (
        "arrivals: rate_per_s: 40",
        "",
        1,
        "arrivals.rate_per_s",
        "missing value, expected a number >0",
    ),
}


def problems(text: str) -> list[Any]:
    with pytest.raises(RecordsError) as caught:
        loads(text, "file.cue", ("scenario",))
    return caught.value.problems


@pytest.mark.parametrize("name", INVALID_CHANGES)
def test_error_message_names_line_key_and_expected_value(name: str) -> None:
    old, new, line, key, expected_text = INVALID_CHANGES[name]
    assert old in VALID
    found = problems(VALID.replace(old, new, 1))
    assert any(p.position.line == line and p.path == key and expected_text in p.text for p in found), [
        str(p) for p in found
    ]
    assert all(str(p).startswith("file.cue:") for p in found)


def test_all_errors_are_reported_with_both_positions() -> None:
    found = problems(VALID.replace("seconds: 8", "seconds: -1").replace("share: 0.3", "share: 3"))
    assert {p.path for p in found} == {"seconds", "tenants.y.share"}
    assert all(p.declared_at is not None and p.declared_at.file == "schema scenario" for p in found)


def test_constraints_beyond_the_schema_are_checked() -> None:
    for old, new, key in (
        ("slots: 5", "slots: 3", "kinds.m.slots"),
        ("y: share: 0.3", "y: share: 0.4", "tenants"),
        ("arrivals:", "goal: whole: 0.9\narrivals:", "goal"),
        (
            "arrivals:",
            'troubles: [{kind: "zone-cut", at_s: 1, for_s: 1, zone: "z"}]\narrivals:',
            "troubles[0].zone",
        ),
        ("b: {dispatchers: 1", "b: {dispatchers: 0", "zones.b.traffic"),
        ("speed: 1}", "speed: [2, 1]}", "kinds.m.speed"),
    ):
        with pytest.raises(ScenarioError) as caught:
            scenario(loads(VALID.replace(old, new, 1), "f", ("scenario",))[1])
        assert str(caught.value).startswith(f"{key}:"), str(caught.value)


def test_references_nesting_and_unification_follow_cue() -> None:
    text = (
        VALID
        + """
		#short: 0.5
		discovery: blind_s: #short   // a comment
		links: {within_ms: 1, jitter: 0}, links: between_ms: [3, 4]
	"""
    )
    record = loads(text, "f", ("scenario",))[1]
    assert record["discovery"]["blind_s"] == 0.5
    assert (record["links"]["between_ms"], record["links"]["jitter"]) == ([3, 4], 0)


def test_settings_check_reports_all_errors_and_exits_with_2(tmp_path: Path) -> None:
    runner = CliRunner()
    invalid = tmp_path / "bad.cue"
    invalid.write_text(VALID.replace("seconds: 8", "seconds: -8"))
    done = runner.invoke(main, ["settings", "check", str(invalid), str(ROOT / "scenarios/calm.cue")])
    assert done.exit_code == 2 and f"{invalid}:3:1: seconds: -8, expected" in done.output
    assert "calm.cue: fine" in done.output
    done = runner.invoke(main, ["settings", "check", str(tmp_path / "none.cue")])
    assert done.exit_code == 2 and "cannot be read" in done.output
    done = runner.invoke(main, ["settings", "check", "--json", str(invalid)])
    rows = json.loads(done.output[: done.output.rindex("]") + 1])
    assert (rows[0]["line"], rows[0]["key"]) == (3, "seconds")
    for path in sorted((ROOT / "scenarios").glob("*.cue")):
        assert runner.invoke(main, ["settings", "check", str(path)]).exit_code == 0


POSITION = Position("t", 1, 1)
ATOMS = st.one_of(st.integers(-5, 5), st.booleans(), st.sampled_from(["a", "b"]), st.floats(-3, 3, width=16))


def _values() -> st.SearchStrategy[Value]:
    atom = ATOMS.map(lambda v: Atom(v, POSITION))
    bound = st.tuples(st.sampled_from([">=", "<=", "!=", ">", "<"]), st.integers(-4, 4))
    scalar = st.builds(
        lambda kind, bounds: ScalarConstraint(kind, tuple(bounds), POSITION),
        st.sampled_from(["int", "number", "string", "bool"]),
        st.lists(bound, max_size=2),
    )
    leaf = st.one_of(atom, scalar, st.just(Unconstrained(POSITION)))

    def nested(inner: st.SearchStrategy[Value]) -> st.SearchStrategy[Value]:
        fields = st.dictionaries(st.sampled_from("abc"), st.builds(Field, inner, st.booleans()), max_size=3)
        struct = st.builds(lambda f, c: Struct(f, POSITION, c), fields, st.booleans())
        lists = st.builds(lambda i: ListValue(tuple(i), None, POSITION), st.lists(inner, max_size=2))
        choice = st.builds(
            lambda o: Disjunction(tuple((v, False) for v in o), POSITION),
            st.lists(leaf, min_size=2, max_size=3),
        )
        return st.one_of(struct, lists, choice)

    return st.recursive(leaf, nested, max_leaves=6)


def accepts(value: Value, atom: Any) -> bool:
    trial = Unifier()
    trial.unify(value, Atom(atom, POSITION))
    return not trial.problems


@settings(max_examples=150, deadline=None, derandomize=True)
@given(_values(), _values(), ATOMS)
def test_unification_accepts_what_both_sides_accept_in_either_order(a: Value, b: Value, atom: Any) -> None:
    first, second = Unifier(), Unifier()
    first_second, second_first = first.unify(a, b), second.unify(b, a)
    assert bool(first.problems) == bool(second.problems)
    if not first.problems:
        assert (
            accepts(first_second, atom)
            == accepts(second_first, atom)
            == (accepts(a, atom) and accepts(b, atom))
        )
    repeated = Unifier()
    repeated.unify(a, a)
    assert not repeated.problems or isinstance(a, (Struct, ListValue, Disjunction))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.text(alphabet=st.sampled_from('ab1.:,{}[]"#*|&<>=?\n/ -'), max_size=60))
def test_any_text_is_accepted_or_rejected_with_a_position(text: str) -> None:
    try:
        loads("package scenario\n" + text, "f", ("scenario",))
    except RecordsError as error:
        assert all(p.position.line >= 1 and p.position.column >= 1 for p in error.problems)
