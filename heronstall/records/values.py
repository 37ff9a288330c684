"""The value lattice: values, constraints and their unification.

Everything from "any" down to a single atom is a `Value`. `unify` returns the greatest value that both sides
allow, or reports problems that name the path and both positions. This module reads no files.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field, replace
from typing import Union

from heronstall.records.syntax import Position

PlainValue = Union[None, bool, int, float, str]
KINDS = ("null", "bool", "int", "number", "string")


@dataclass(frozen=True)
class Problem:
    """A conflict between two values, or a missing field."""

    path: str
    position: Position
    text: str
    declared_at: Position | None = None
    found: str = ""  # of a conflict: descriptions of the given value and of the constraint
    expected: str = ""

    def __str__(self) -> str:
        declared = f" (declared at {self.declared_at})" if self.declared_at is not None else ""
        return f"{self.position}: {self.path or 'file'}: {self.text}{declared}"


@dataclass(frozen=True)
class Unconstrained:
    """A value without any constraint."""

    position: Position


@dataclass(frozen=True)
class Atom:
    """A single concrete value."""

    value: PlainValue
    position: Position


@dataclass(frozen=True)
class ScalarConstraint:
    """A kind of plain value with bounds (an operator with a number or a string)."""

    kind: str | None
    bounds: tuple[tuple[str, PlainValue], ...]
    position: Position


@dataclass(frozen=True)
class Field:
    """A field of a struct; an `optional` field constrains a value only where one is given."""

    value: Value
    optional: bool = False


@dataclass(frozen=True)
class Struct:
    """Named fields. `rest` constrains further fields; a closed struct without `rest` allows none."""

    fields: dict[str, Field] = field(default_factory=dict)
    position: Position = Position("", 0, 0)
    closed: bool = False
    rest: Value | None = None


@dataclass(frozen=True)
class ListValue:
    """A list: its first items and the constraint on further items (None: no further items)."""

    items: tuple[Value, ...]
    rest: Value | None
    position: Position


@dataclass(frozen=True)
class Disjunction:
    """Alternatives; the flag of each says whether it is a default."""

    options: tuple[tuple[Value, bool], ...]
    position: Position


Value = Union[Unconstrained, Atom, ScalarConstraint, Struct, ListValue, Disjunction]


def kind_of(value: PlainValue) -> str:
    """Returns the kind of a plain value; integers are `int`."""
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "bool"
    if isinstance(value, int):
        return "int"
    return "number" if isinstance(value, float) else "string"


def describe(value: Value) -> str:
    """Returns a short description of a value or constraint for messages."""
    if isinstance(value, Atom):
        return (
            "null"
            if value.value is None
            else (
                str(value.value).lower()
                if isinstance(value.value, bool)
                else repr(value.value).replace("'", '"')
            )
        )
    if isinstance(value, ScalarConstraint):
        kind_names = {
            "int": "an integer",
            "number": "a number",
            "string": "a string",
            "bool": "true or false",
        }
        parts = [kind_names.get(value.kind or "", value.kind or "")] if value.kind else []
        parts += [f"{op}{figure!r}".replace("'", '"') for op, figure in value.bounds]
        return " ".join(parts)
    if isinstance(value, Disjunction):
        return " or ".join(dict.fromkeys(describe(option) for option, _ in value.options))
    if isinstance(value, Struct):
        return "a struct {...}"
    if isinstance(value, ListValue):
        return (
            f"a list of {describe(value.rest)}" if value.rest is not None else f"a list of {len(value.items)}"
        )
    return "anything"


def _satisfies_bound(value: PlainValue, op: str, limit: PlainValue) -> bool:
    if op == "!=":
        return value != limit
    if op == "=~":
        return isinstance(value, str) and isinstance(limit, str) and re.search(limit, value) is not None
    if isinstance(value, (bool, type(None))) or isinstance(limit, (bool, type(None))):
        return False
    if isinstance(value, str) != isinstance(limit, str):
        return False
    a, b = (value, limit) if isinstance(value, str) else (float(value), float(limit))
    if op == ">=":
        return a >= b  # type: ignore[operator]  # both are strings or both are numbers here
    if op == "<=":
        return a <= b  # type: ignore[operator]
    return a > b if op == ">" else a < b  # type: ignore[operator]


def _same_type(a: PlainValue, b: PlainValue) -> bool:
    """Returns whether two equal values are the same in CUE, where true and 1 differ."""
    return isinstance(a, bool) == isinstance(b, bool)


def _satisfies(atom: PlainValue, scalar: ScalarConstraint) -> bool:
    kind = kind_of(atom)
    if scalar.kind is not None and kind != scalar.kind and not (scalar.kind == "number" and kind == "int"):
        return False
    return all(_satisfies_bound(atom, op, limit) for op, limit in scalar.bounds)


class Unifier:
    """Unifies values and collects all problems instead of stopping at the first."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def unify(self, a: Value, b: Value, path: str = "") -> Value:
        """Returns the value that both sides allow. If there is none, records a problem and returns `b`."""
        if isinstance(a, Unconstrained):
            return b
        if isinstance(b, Unconstrained):
            return a
        if isinstance(a, Disjunction) or isinstance(b, Disjunction):
            return self._unify_disjunctions(a, b, path)
        if isinstance(a, Struct) and isinstance(b, Struct):
            return self._unify_structs(a, b, path)
        if isinstance(a, ListValue) and isinstance(b, ListValue):
            return self._unify_lists(a, b, path)
        if isinstance(a, ScalarConstraint) and isinstance(b, ScalarConstraint):
            kind = a.kind if b.kind is None or b.kind == "number" else b.kind
            if a.kind is None or a.kind == b.kind or {a.kind, b.kind} == {"int", "number"} or b.kind is None:
                return ScalarConstraint(kind or b.kind, (*a.bounds, *b.bounds), b.position)
        if isinstance(a, ScalarConstraint) and isinstance(b, Atom) and _satisfies(b.value, a):
            # An integer also satisfies `number`; it stays as given, since 3 and 3.0 denote the same number.
            return b
        if isinstance(a, Atom) and isinstance(b, ScalarConstraint) and _satisfies(a.value, b):
            return a
        if (
            isinstance(a, Atom)
            and isinstance(b, Atom)
            and a.value == b.value
            and _same_type(a.value, b.value)
        ):
            return b
        return self._report_conflict(a, b, path)

    def _report_conflict(self, a: Value, b: Value, path: str) -> Value:
        self.problems.append(_mismatch(path, b.position, describe(b), describe(a), a.position))
        return b

    def _unify_disjunctions(self, a: Value, b: Value, path: str) -> Value:
        left = a.options if isinstance(a, Disjunction) else ((a, False),)
        right = b.options if isinstance(b, Disjunction) else ((b, False),)
        matches: list[tuple[Value, bool]] = []
        failures: list[list[Problem]] = []
        for x, x_default in left:
            for y, y_default in right:
                trial = Unifier()
                unified = trial.unify(x, y, path)
                if not trial.problems:
                    chosen = (x_default or not isinstance(a, Disjunction)) and (
                        y_default or not isinstance(b, Disjunction)
                    )
                    matches.append((unified, chosen and (x_default or y_default)))
                else:
                    failures.append(trial.problems)
        if len(matches) == 1:
            return matches[0][0]
        if matches:
            return Disjunction(tuple(matches), b.position)
        # For structs and lists, the problems inside are more useful to the reader than the message that
        # none of the alternatives matches.
        if isinstance(b, (Struct, ListValue)):
            inside = [found for found in failures if all(p.path != path for p in found)]
            if inside:
                self.problems += _most_likely_problems(inside)
                return b
        return self._report_conflict(a, b, path)

    def _unify_structs(self, a: Struct, b: Struct, path: str) -> Value:
        fields: dict[str, Field] = {}
        for name in [*a.fields, *(n for n in b.fields if n not in a.fields)]:
            at = f"{path}.{name}" if path else name
            x, y = a.fields.get(name), b.fields.get(name)
            if x is not None and y is not None:
                optional = x.optional and y.optional
                fields[name] = Field(self.unify(x.value, y.value, at), optional)
                continue
            present, other = (x, b) if x is not None else (y, a)
            assert present is not None
            if other.rest is not None:
                sides = (present.value, other.rest) if x is not None else (other.rest, present.value)
                present = replace(present, value=self.unify(*sides, at))
            elif other.closed and not present.optional:
                known_keys = ", ".join(sorted(other.fields)) or "none"
                text = f"unknown key; known keys: {known_keys}"
                self.problems.append(Problem(at, present.value.position, text, other.position))
            fields[name] = present
        rest = a.rest if b.rest is None else b.rest if a.rest is None else self.unify(a.rest, b.rest, path)
        return Struct(fields, b.position, a.closed or b.closed, rest)

    def _unify_lists(self, a: ListValue, b: ListValue, path: str) -> Value:
        items: list[Value] = []
        for n in range(max(len(a.items), len(b.items))):
            x = a.items[n] if n < len(a.items) else a.rest
            y = b.items[n] if n < len(b.items) else b.rest
            if x is None or y is None:
                longer, shorter = (a, b) if x is not None else (b, a)
                text = f"{len(longer.items)} items, expected {len(shorter.items)}"
                self.problems.append(Problem(path, b.position, text, a.position))
                return b
            items.append(self.unify(x, y, f"{path}[{n}]"))
        rest = None
        if a.rest is not None and b.rest is not None:
            rest = self.unify(a.rest, b.rest, f"{path}[...]")
        return ListValue(tuple(items), rest, b.position)


def _mismatch(
    path: str, position: Position, found: str, expected: str, declared_at: Position | None
) -> Problem:
    return Problem(path, position, f"{found}, expected {expected}", declared_at, found, expected)


def _most_likely_problems(failures: list[list[Problem]]) -> list[Problem]:
    """Returns the problems of the alternative that the author of the file most likely intended.

    An alternative whose string literal (such as `kind: "silent"`) conflicts was not intended. If all of them
    conflict at the same key, that key is wrong, and the message lists the literals of all alternatives.
    """

    def literal_conflicts(problems: list[Problem]) -> list[Problem]:
        return [p for p in problems if p.expected.startswith('"') and p.found.startswith('"')]

    contradicted = [literal_conflicts(problems) for problems in failures]
    first = contradicted[0][0] if contradicted[0] else None
    if first is not None and all(
        any(p.path == first.path for p in problems_at_literals) for problems_at_literals in contradicted
    ):
        expected = [
            p.expected
            for problems_at_literals in contradicted
            for p in problems_at_literals
            if p.path == first.path
        ]
        alternatives = " or ".join(dict.fromkeys(expected))
        return [_mismatch(first.path, first.position, first.found, alternatives, first.declared_at)]
    return min(failures, key=lambda problems: (len(literal_conflicts(problems)), len(problems)))
