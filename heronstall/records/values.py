"""The lattice: values, constraints and their unification.

Everything from "any" down to a single atom is a `Value`; `unify` gives the greatest value that both sides
allow, or problems that name the path and both places. No file is read here.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field, replace
from typing import Union

from heronstall.records.syntax import Place

Plain = Union[None, bool, int, float, str]
KINDS = ("null", "bool", "int", "number", "string")


@dataclass(frozen=True)
class Problem:
    """Two sides that do not go together, or a field that is missing."""

    path: str
    place: Place
    text: str
    other: Place | None = None
    found: str = ""  # of two sides that do not go together: what was given, and what would have done
    wanted: str = ""

    def __str__(self) -> str:
        beside = f" (declared at {self.other})" if self.other is not None else ""
        return f"{self.place}: {self.path or 'file'}: {self.text}{beside}"


@dataclass(frozen=True)
class Any_:
    """No constraint at all."""

    place: Place


@dataclass(frozen=True)
class Atom:
    """One plain value."""

    value: Plain
    place: Place


@dataclass(frozen=True)
class Scalar:
    """A kind of plain value with bounds (operator, figure or text)."""

    kind: str | None
    bounds: tuple[tuple[str, Plain], ...]
    place: Place


@dataclass(frozen=True)
class Field:
    """A struct's field; `optional` fields constrain a value only where it is given."""

    value: Value
    optional: bool = False


@dataclass(frozen=True)
class Struct:
    """Named fields. `rest` constrains further names (None: none may come if `closed`)."""

    fields: dict[str, Field] = field(default_factory=dict)
    place: Place = Place("", 0, 0)
    closed: bool = False
    rest: Value | None = None


@dataclass(frozen=True)
class ListOf:
    """A list: its first items, and what further ones must be (None: there are none)."""

    items: tuple[Value, ...]
    rest: Value | None
    place: Place


@dataclass(frozen=True)
class Choice:
    """Alternatives, each with whether it is a default."""

    options: tuple[tuple[Value, bool], ...]
    place: Place


Value = Union[Any_, Atom, Scalar, Struct, ListOf, Choice]


def kind_of(value: Plain) -> str:
    """The kind of a plain value; whole numbers are `int`."""
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "bool"
    if isinstance(value, int):
        return "int"
    return "number" if isinstance(value, float) else "string"


def describe(value: Value) -> str:
    """What a value or constraint asks for, in a few words."""
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
    if isinstance(value, Scalar):
        words = {"int": "a whole number", "number": "a number", "string": "a text", "bool": "true or false"}
        said = [words.get(value.kind or "", value.kind or "")] if value.kind else []
        said += [f"{op}{figure!r}".replace("'", '"') for op, figure in value.bounds]
        return " ".join(said)
    if isinstance(value, Choice):
        return " or ".join(dict.fromkeys(describe(option) for option, _ in value.options))
    if isinstance(value, Struct):
        return "a record {...}"
    if isinstance(value, ListOf):
        return (
            f"a list of {describe(value.rest)}" if value.rest is not None else f"a list of {len(value.items)}"
        )
    return "anything"


def _holds(value: Plain, op: str, limit: Plain) -> bool:
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
        return a >= b  # type: ignore[operator]  # both are texts or both are figures here
    if op == "<=":
        return a <= b  # type: ignore[operator]
    return a > b if op == ">" else a < b  # type: ignore[operator]


def _alike(a: Plain, b: Plain) -> bool:
    """Whether equal values are the same: true and 1 are not."""
    return isinstance(a, bool) == isinstance(b, bool)


def _fits(atom: Plain, scalar: Scalar) -> bool:
    kind = kind_of(atom)
    if scalar.kind is not None and kind != scalar.kind and not (scalar.kind == "number" and kind == "int"):
        return False
    return all(_holds(atom, op, limit) for op, limit in scalar.bounds)


class Unifier:
    """Unifies, and gathers every problem met instead of stopping at the first."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def unify(self, a: Value, b: Value, path: str = "") -> Value:
        """What both allow. Where there is nothing, a problem is noted and `b` returned."""
        if isinstance(a, Any_):
            return b
        if isinstance(b, Any_):
            return a
        if isinstance(a, Choice) or isinstance(b, Choice):
            return self._choices(a, b, path)
        if isinstance(a, Struct) and isinstance(b, Struct):
            return self._structs(a, b, path)
        if isinstance(a, ListOf) and isinstance(b, ListOf):
            return self._lists(a, b, path)
        if isinstance(a, Scalar) and isinstance(b, Scalar):
            kind = a.kind if b.kind is None or b.kind == "number" else b.kind
            if a.kind is None or a.kind == b.kind or {a.kind, b.kind} == {"int", "number"} or b.kind is None:
                return Scalar(kind or b.kind, (*a.bounds, *b.bounds), b.place)
        if isinstance(a, Scalar) and isinstance(b, Atom) and _fits(b.value, a):
            # A whole number where any number will do is the same figure: 3 and 3.0 must not differ.
            return b
        if isinstance(a, Atom) and isinstance(b, Scalar) and _fits(a.value, b):
            return a
        if isinstance(a, Atom) and isinstance(b, Atom) and a.value == b.value and _alike(a.value, b.value):
            return b
        return self._conflict(a, b, path)

    def _conflict(self, a: Value, b: Value, path: str) -> Value:
        self.problems.append(_mismatch(path, b.place, describe(b), describe(a), a.place))
        return b

    def _choices(self, a: Value, b: Value, path: str) -> Value:
        left = a.options if isinstance(a, Choice) else ((a, False),)
        right = b.options if isinstance(b, Choice) else ((b, False),)
        kept: list[tuple[Value, bool]] = []
        trials: list[list[Problem]] = []
        for x, x_default in left:
            for y, y_default in right:
                trial = Unifier()
                both = trial.unify(x, y, path)
                if not trial.problems:
                    chosen = (x_default or not isinstance(a, Choice)) and (
                        y_default or not isinstance(b, Choice)
                    )
                    kept.append((both, chosen and (x_default or y_default)))
                else:
                    trials.append(trial.problems)
        if len(kept) == 1:
            return kept[0][0]
        if kept:
            return Choice(tuple(kept), b.place)
        # Guards readers of the message: for records and lists, what is wrong inside says more than that
        # none of the alternatives fits.
        if isinstance(b, (Struct, ListOf)):
            inside = [found for found in trials if all(p.path != path for p in found)]
            if inside:
                self.problems += _likeliest(inside)
                return b
        return self._conflict(a, b, path)

    def _structs(self, a: Struct, b: Struct, path: str) -> Value:
        fields: dict[str, Field] = {}
        for name in [*a.fields, *(n for n in b.fields if n not in a.fields)]:
            at = f"{path}.{name}" if path else name
            x, y = a.fields.get(name), b.fields.get(name)
            if x is not None and y is not None:
                optional = x.optional and y.optional
                fields[name] = Field(self.unify(x.value, y.value, at), optional)
                continue
            have, other = (x, b) if x is not None else (y, a)
            assert have is not None
            if other.rest is not None:
                sides = (have.value, other.rest) if x is not None else (other.rest, have.value)
                have = replace(have, value=self.unify(*sides, at))
            elif other.closed and not have.optional:
                near = ", ".join(sorted(other.fields)) or "none"
                text = f"no such key here; known: {near}"
                self.problems.append(Problem(at, have.value.place, text, other.place))
            fields[name] = have
        rest = a.rest if b.rest is None else b.rest if a.rest is None else self.unify(a.rest, b.rest, path)
        return Struct(fields, b.place, a.closed or b.closed, rest)

    def _lists(self, a: ListOf, b: ListOf, path: str) -> Value:
        items: list[Value] = []
        for n in range(max(len(a.items), len(b.items))):
            x = a.items[n] if n < len(a.items) else a.rest
            y = b.items[n] if n < len(b.items) else b.rest
            if x is None or y is None:
                longer, shorter = (a, b) if x is not None else (b, a)
                text = f"{len(longer.items)} items where {len(shorter.items)} are wanted"
                self.problems.append(Problem(path, b.place, text, a.place))
                return b
            items.append(self.unify(x, y, f"{path}[{n}]"))
        rest = None
        if a.rest is not None and b.rest is not None:
            rest = self.unify(a.rest, b.rest, f"{path}[...]")
        return ListOf(tuple(items), rest, b.place)


def _mismatch(path: str, place: Place, found: str, wanted: str, other: Place | None) -> Problem:
    return Problem(path, place, f"{found} where {wanted} is wanted", other, found, wanted)


def _likeliest(trials: list[list[Problem]]) -> list[Problem]:
    """The problems of the alternative that was most likely meant.

    An alternative whose own name (a literal, such as `kind: "silent"`) is contradicted was not meant. Where
    all of them are contradicted at one key, that key is at fault and any of their names would do.
    """

    def named(problems: list[Problem]) -> list[Problem]:
        return [p for p in problems if p.wanted.startswith('"') and p.found.startswith('"')]

    contradicted = [named(problems) for problems in trials]
    first = contradicted[0][0] if contradicted[0] else None
    if first is not None and all(any(p.path == first.path for p in some) for some in contradicted):
        wanted = [p.wanted for some in contradicted for p in some if p.path == first.path]
        anyone = " or ".join(dict.fromkeys(wanted))
        return [_mismatch(first.path, first.place, first.found, anyone, first.other)]
    return min(trials, key=lambda problems: (len(named(problems)), len(problems)))
