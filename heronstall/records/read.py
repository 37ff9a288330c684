"""Files to plain values: evaluation, unification with a schema, defaults, and every problem found."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

from lark import Token, Tree

from heronstall.records.syntax import Place, SyntaxProblem, parse
from heronstall.records.values import (
    KINDS,
    Any_,
    Atom,
    Choice,
    Field,
    ListOf,
    Problem,
    Scalar,
    Struct,
    Unifier,
    Value,
    describe,
)

SCHEMAS = Path(__file__).with_name("schemas")
DEEPEST = 60  # nested references; guards against a definition that contains itself
LARGEST = 1 << 20  # bytes of one file
KNOWN = ("scenario", "operator", "keeper", "release", "rollout")


class RecordsError(ValueError):
    """A file that cannot be used; `problems` holds every fault found, the message one a line."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(p) for p in problems))
        self.problems = problems


class _Evaluator:
    """One file's tree to values. Names are looked up in the file first, then in the schema's definitions."""

    def __init__(self, file: str, unifier: Unifier, outer: dict[str, Value]) -> None:
        self._file, self._unifier, self._outer = file, unifier, outer
        self._top: dict[str, list[Any]] = {}
        self._depth = 0
        self.definitions: dict[str, Value] = {}

    def _place(self, node: Any) -> Place:
        if isinstance(node, Token):
            return Place(self._file, node.line or 1, node.column or 1)
        meta = node.meta
        return Place(self._file, getattr(meta, "line", 1), getattr(meta, "column", 1))

    def _problem(self, node: Any, text: str, path: str = "") -> Value:
        self._unifier.problems.append(Problem(path, self._place(node), text))
        return Any_(self._place(node))

    def file(self, tree: Tree[Any]) -> tuple[str | None, Struct]:
        """The package's name and the file's own struct; definitions are kept apart."""
        package, decls = None, []
        for child in tree.children:
            if isinstance(child, Tree) and child.data == "package":
                package = str(child.children[0])
            elif isinstance(child, Tree):
                decls.append(child)
        for decl in decls:
            if decl.data == "field":
                label = decl.children[0]
                if label.data == "label":
                    self._top.setdefault(str(label.children[0]), []).append(decl.children[-1])
        for name, exprs in self._top.items():
            if name.startswith("#"):
                self.definitions[name] = self._close(self._all(exprs, name))
        body = [d for d in decls if not (d.data == "field" and self._is_definition(d))]
        return package, self._struct(body, tree, "")

    def _is_definition(self, decl: Tree[Any]) -> bool:
        label = decl.children[0]
        return label.data == "label" and str(label.children[0]).startswith("#")

    def _all(self, exprs: list[Any], path: str) -> Value:
        value = self._expr(exprs[0], path)
        for expr in exprs[1:]:
            value = self._unifier.unify(value, self._expr(expr, path), path)
        return value

    def _close(self, value: Value) -> Value:
        """A definition admits no names but its own, all the way down."""
        if isinstance(value, Struct):
            fields = {n: replace(f, value=self._close(f.value)) for n, f in value.fields.items()}
            return replace(value, fields=fields, closed=value.rest is None)
        if isinstance(value, ListOf):
            rest = self._close(value.rest) if value.rest is not None else None
            return replace(value, items=tuple(self._close(v) for v in value.items), rest=rest)
        if isinstance(value, Choice):
            return replace(value, options=tuple((self._close(v), d) for v, d in value.options))
        return value

    def _struct(self, decls: list[Any], node: Any, path: str) -> Struct:
        fields: dict[str, Field] = {}
        rest: Value | None = None
        for decl in decls:
            if decl.data == "rest":
                rest = Any_(self._place(decl))
                continue
            label, expr = decl.children[0], decl.children[-1]
            optional = any(isinstance(c, Token) and c.type == "OPTIONAL" for c in decl.children)
            if label.data == "pattern_label":
                rest = self._expr(expr, f"{path}[...]")
                continue
            name = str(label.children[0])
            if label.data == "string_label":
                name = str(json.loads(name))
            at = f"{path}.{name}" if path else name
            value = self._expr(expr, at)
            if isinstance(value, Atom):  # an error about a key is looked for where the key stands
                value = replace(value, place=self._place(label))
            old = fields.get(name)
            if old is not None:
                value = self._unifier.unify(old.value, value, at)
                optional = optional and old.optional
            fields[name] = Field(value, optional)
        if rest is not None:
            for name, have in fields.items():
                at = f"{path}.{name}" if path else name
                fields[name] = replace(have, value=self._unifier.unify(rest, have.value, at))
        return Struct(fields, self._place(node), False, rest)

    def _expr(self, node: Any, path: str) -> Value:
        place = self._place(node)
        kind, children = node.data, node.children
        if kind == "field":  # `a: b: 3`
            return self._struct([node], node, path)
        if kind in ("number", "negative"):
            text = str(children[-1]).replace("_", "")
            figure: int | float = int(text) if text.isdecimal() else float(text)
            return Atom(-figure if kind == "negative" else figure, place)
        if kind == "string":
            try:
                return Atom(str(json.loads(str(children[0]))), place)
            except ValueError:
                return self._problem(node, f"{children[0]} has an escape that is none", path)
        if kind in ("true", "false", "null"):
            return Atom(None if kind == "null" else kind == "true", place)
        if kind == "struct":
            return self._struct(children, node, path)
        if kind == "list":
            items: list[Value] = []
            rest: Value | None = None
            for child in children:
                if child.data == "list_rest":
                    rest = self._expr(child.children[0], path) if child.children else Any_(place)
                else:
                    items.append(self._expr(child, f"{path}[{len(items)}]"))
            return ListOf(tuple(items), rest, place)
        if kind == "conj":
            value: Value = Any_(place)
            for child in children:
                value = self._unifier.unify(value, self._expr(child, path), path)
            return value
        if kind == "bound":
            limit = self._expr(children[1], path)
            if not isinstance(limit, Atom) or limit.value is None:
                return self._problem(node, f"{children[0]} wants a figure or a text", path)
            return Scalar(None, ((str(children[0]), limit.value),), place)
        if kind == "alternatives":
            options = []
            for child in children:
                default = isinstance(child.children[0], Token)
                options.append((self._expr(child.children[-1], path), default))
            return Choice(tuple(options), place)
        if kind == "only_default":
            return self._expr(children[-1], path)
        return self._reference(node, path)

    def _reference(self, node: Tree[Any], path: str) -> Value:
        names = [str(c) for c in node.children]
        first = names[0]
        if len(names) == 1 and first in KINDS:
            return Scalar(first, (), self._place(node))
        if len(names) == 1 and first == "_":
            return Any_(self._place(node))
        self._depth += 1
        try:
            if self._depth > DEEPEST:
                return self._problem(node, f"{'.'.join(names)} refers to itself", path)
            if first in self._top:
                value = self._all(self._top[first], first)
                value = self._close(value) if first.startswith("#") else value
            elif first in self._outer:
                value = self._outer[first]
            else:
                return self._problem(node, f"nothing is called {first}", path)
        finally:
            self._depth -= 1
        for name in names[1:]:
            if not isinstance(value, Struct) or name not in value.fields:
                return self._problem(node, f"{'.'.join(names)}: there is no {name}", path)
            value = value.fields[name].value
        return value


def plain(value: Value, unifier: Unifier, path: str = "") -> Any:
    """The plain value with defaults taken; notes a problem for whatever is not settled."""
    if isinstance(value, Atom):
        return value.value
    if isinstance(value, Struct):
        return {
            name: plain(f.value, unifier, f"{path}.{name}" if path else name)
            for name, f in value.fields.items()
            if not f.optional
        }
    if isinstance(value, ListOf):
        return [plain(v, unifier, f"{path}[{n}]") for n, v in enumerate(value.items)]
    if isinstance(value, Choice):
        defaults = [v for v, default in value.options if default]
        if defaults:
            return plain(defaults[0], unifier, path)
    if isinstance(value, Any_):
        return None
    unifier.problems.append(Problem(path, value.place, f"missing: {describe(value)} is wanted"))
    return None


def _schema(name: str) -> tuple[dict[str, Value], Value]:
    path = SCHEMAS / f"{name}.cue"
    unifier = Unifier()
    evaluator = _Evaluator(f"schema {name}", unifier, {})
    evaluator.file(parse(path.read_text(encoding="utf-8"), f"schema {name}"))
    if unifier.problems:  # a fault of ours
        raise RecordsError(unifier.problems)
    return evaluator.definitions, evaluator.definitions["#File"]


def loads(text: str, file: str, kinds: tuple[str, ...] = KNOWN) -> tuple[str, dict[str, Any]]:
    """Check `text` against the schema that its `package` names; the schema's name and the plain record.

    Raises RecordsError with every problem found; each has file, line, column and path.
    """
    try:
        tree = parse(text, file)
    except SyntaxProblem as wrong:
        raise RecordsError([Problem("", wrong.place, wrong.text)]) from None
    packages = [c for c in tree.children if isinstance(c, Tree) and c.data == "package"]
    package = str(packages[0].children[0]) if packages else None
    if package not in kinds:
        told = f"package {package}" if package else "no package"
        wanted = " or ".join(f"package {k}" for k in kinds)
        raise RecordsError([Problem("", Place(file, 1, 1), f"{told} where {wanted} is wanted")])
    unifier = Unifier()
    definitions, top = _schema(package)
    _, given = _Evaluator(file, unifier, definitions).file(tree)
    whole = unifier.unify(top, given)
    if unifier.problems:
        raise RecordsError(_once(unifier.problems))
    record = plain(whole, unifier)
    if unifier.problems:
        # What is missing has no place of its own in the file: the first line stands for it.
        at = Place(file, 1, 1)
        raise RecordsError([replace(p, place=at, other=p.place) for p in _once(unifier.problems)])
    assert isinstance(record, dict)
    return package, record


def load(path: Path, kinds: tuple[str, ...] = KNOWN) -> tuple[str, dict[str, Any]]:
    """`loads` of a file. Raises RecordsError, also for a file that cannot be read."""
    at = Place(str(path), 1, 1)
    try:
        raw = path.read_bytes()
        if len(raw) > LARGEST:
            raise RecordsError([Problem("", at, f"{len(raw)} bytes where at most {LARGEST} are taken")])
        text = raw.decode("utf-8")
    except OSError as error:
        raise RecordsError([Problem("", at, f"cannot be read: {error.strerror}")]) from None
    except UnicodeDecodeError as error:
        raise RecordsError([Problem("", at, f"not UTF-8 from byte {error.start} on")]) from None
    return loads(text, str(path), kinds)


def _once(problems: list[Problem]) -> list[Problem]:
    return list(dict.fromkeys(problems))
