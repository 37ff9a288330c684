"""Operators' files: what is read, what is refused, and whether the message says where, which key and what."""

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
from heronstall.records.syntax import Place
from heronstall.records.values import Any_, Atom, Choice, Field, ListOf, Scalar, Struct, Unifier, Value
from tests.scenarios import BASE, RATE

GOOD = BASE + RATE
ROOT = Path(__file__).resolve().parent.parent

# A change to a good file; the line of the fault, its key, and words that the message holds.
WRONG: dict[str, tuple[str, str, int, str, str]] = {
    "unknown key": ('name: "test"', 'name: "test"\ncolour: 3', 3, "colour", "no such key"),
    "wrong type": ("seconds: 8", 'seconds: "8"', 3, "seconds", "a number"),
    "too small": ("seconds: 8", "seconds: 0", 3, "seconds", ">0"),
    "too large": ("seconds: 8", "seconds: 1e9", 3, "seconds", "<=3600"),
    "not whole": (
        "dispatchers: 1, servers: 2}, b",
        "dispatchers: 1.5, servers: 2}, b",
        4,
        "zones.a.dispatchers",
        "a whole",
    ),
    "negative": (
        "dispatchers: 1, servers: 2}, b",
        "dispatchers: -1, servers: 2}, b",
        4,
        "zones.a.dispatchers",
        ">=0",
    ),
    "unknown word": ('effect: "keyed"', 'effect: "kayed"', 8, "classes.keyed.effect", '"safe" or "keyed"'),
    "pattern": ('name: "test"', 'name: "Test Day"', 2, "name", "=~"),
    "twice and different": ("seconds: 8", "seconds: 8\nseconds: 9", 4, "seconds", "9 where 8"),
    "no colon": ("seconds: 8", "seconds 8", 3, "", "':'"),
    "open bracket": ("x: share: 0.7, y: share: 0.3}", "x: share: 0.7, y: share: 0.3", 15, "", "'}'"),
    "open text": ('name: "test"', 'name: "test', 2, "", "does not close"),
    "odd character": ("seconds: 8", "seconds: §8", 3, "", "cannot stand here"),
    "unknown name": ("seconds: 8", "seconds: minutes", 3, "seconds", "nothing is called minutes"),
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
        "no such key",
    ),
    "list too long": ("speed: 1}", "speed: [1, 2, 3]}", 5, "kinds.m.speed", "where"),
    "text for a list": ("arrivals:", 'troubles: "none"\narrivals:', 14, "troubles", "a list"),
    "a record for a figure": (
        "discovery: delay_s: 0.1",
        "discovery: delay_s: {a: 1}",
        6,
        "discovery.delay_s",
        "a record",
    ),
    "bound on a word": ("seconds: 8", "seconds: > int", 3, "seconds", "wants a figure"),
    "refers to itself": ("seconds: 8", "seconds: warm_s\nwarm_s: seconds", 3, "seconds", "refers to itself"),
    "missing": ("arrivals: rate_per_s: 40", "", 1, "arrivals.rate_per_s", "missing: a number >0"),
}


def problems(text: str) -> list[Any]:
    with pytest.raises(RecordsError) as caught:
        loads(text, "file.cue", ("scenario",))
    return caught.value.problems


@pytest.mark.parametrize("name", WRONG)
def test_a_wrong_file_is_told_by_line_key_and_what_is_wanted(name: str) -> None:
    old, new, line, key, words = WRONG[name]
    assert old in GOOD
    found = problems(GOOD.replace(old, new, 1))
    assert any(p.place.line == line and p.path == key and words in p.text for p in found), [
        str(p) for p in found
    ]
    assert all(str(p).startswith("file.cue:") for p in found)


def test_every_fault_is_told_at_once_with_both_sides() -> None:
    found = problems(GOOD.replace("seconds: 8", "seconds: -1").replace("share: 0.3", "share: 3"))
    assert {p.path for p in found} == {"seconds", "tenants.y.share"}
    assert all(p.other is not None and p.other.file == "schema scenario" for p in found)


def test_what_the_schema_cannot_say_is_checked_too() -> None:
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
            scenario(loads(GOOD.replace(old, new, 1), "f", ("scenario",))[1])
        assert str(caught.value).startswith(f"{key}:"), str(caught.value)


def test_references_nesting_and_unification_read_as_in_cue() -> None:
    text = (
        GOOD
        + """
		#short: 0.5
		discovery: blind_s: #short   // a comment
		links: {within_ms: 1, jitter: 0}, links: between_ms: [3, 4]
	"""
    )
    record = loads(text, "f", ("scenario",))[1]
    assert record["discovery"]["blind_s"] == 0.5
    assert (record["links"]["between_ms"], record["links"]["jitter"]) == ([3, 4], 0)


def test_settings_check_says_it_all_and_ends_with_2(tmp_path: Path) -> None:
    runner = CliRunner()
    bad = tmp_path / "bad.cue"
    bad.write_text(GOOD.replace("seconds: 8", "seconds: -8"))
    done = runner.invoke(main, ["settings", "check", str(bad), str(ROOT / "scenarios/calm.cue")])
    assert done.exit_code == 2 and f"{bad}:3:1: seconds: -8 where" in done.output
    assert "calm.cue: fine" in done.output
    done = runner.invoke(main, ["settings", "check", str(tmp_path / "none.cue")])
    assert done.exit_code == 2 and "cannot be read" in done.output
    done = runner.invoke(main, ["settings", "check", "--json", str(bad)])
    rows = json.loads(done.output[: done.output.rindex("]") + 1])
    assert (rows[0]["line"], rows[0]["key"]) == (3, "seconds")
    for path in sorted((ROOT / "scenarios").glob("*.cue")):
        assert runner.invoke(main, ["settings", "check", str(path)]).exit_code == 0


HERE = Place("t", 1, 1)
ATOMS = st.one_of(st.integers(-5, 5), st.booleans(), st.sampled_from(["a", "b"]), st.floats(-3, 3, width=16))


def _values() -> st.SearchStrategy[Value]:
    atom = ATOMS.map(lambda v: Atom(v, HERE))
    bound = st.tuples(st.sampled_from([">=", "<=", "!=", ">", "<"]), st.integers(-4, 4))
    scalar = st.builds(
        lambda kind, bounds: Scalar(kind, tuple(bounds), HERE),
        st.sampled_from(["int", "number", "string", "bool"]),
        st.lists(bound, max_size=2),
    )
    leaf = st.one_of(atom, scalar, st.just(Any_(HERE)))

    def deeper(inner: st.SearchStrategy[Value]) -> st.SearchStrategy[Value]:
        fields = st.dictionaries(st.sampled_from("abc"), st.builds(Field, inner, st.booleans()), max_size=3)
        struct = st.builds(lambda f, c: Struct(f, HERE, c), fields, st.booleans())
        lists = st.builds(lambda i: ListOf(tuple(i), None, HERE), st.lists(inner, max_size=2))
        choice = st.builds(
            lambda o: Choice(tuple((v, False) for v in o), HERE), st.lists(leaf, min_size=2, max_size=3)
        )
        return st.one_of(struct, lists, choice)

    return st.recursive(leaf, deeper, max_leaves=6)


def admits(value: Value, atom: Any) -> bool:
    trial = Unifier()
    trial.unify(value, Atom(atom, HERE))
    return not trial.problems


@settings(max_examples=150, deadline=None, derandomize=True)
@given(_values(), _values(), ATOMS)
def test_what_both_sides_allow_is_allowed_in_either_order(a: Value, b: Value, atom: Any) -> None:
    one, other = Unifier(), Unifier()
    ab, ba = one.unify(a, b), other.unify(b, a)
    assert bool(one.problems) == bool(other.problems)
    if not one.problems:
        assert admits(ab, atom) == admits(ba, atom) == (admits(a, atom) and admits(b, atom))
    again = Unifier()
    again.unify(a, a)
    assert not again.problems or isinstance(a, (Struct, ListOf, Choice))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.text(alphabet=st.sampled_from('ab1.:,{}[]"#*|&<>=?\n/ -'), max_size=60))
def test_no_text_does_worse_than_be_refused_with_its_place(text: str) -> None:
    try:
        loads("package scenario\n" + text, "f", ("scenario",))
    except RecordsError as error:
        assert all(p.place.line >= 1 and p.place.column >= 1 for p in error.problems)
