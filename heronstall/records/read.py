"""Evaluates files, unifies them with their schema, applies defaults and collects all problems."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

from lark import Token, Tree

from heronstall.records.syntax import Position, SyntaxProblem, parse
from heronstall.records.values import (
    KINDS,
    Atom,
    Disjunction,
    Field,
    ListValue,
    Problem,
    ScalarConstraint,
    Struct,
    Unconstrained,
    Unifier,
    Value,
    describe,
)

SCHEMAS = Path(__file__).with_name("schemas")
MAX_REFERENCE_DEPTH = (
    60  # depth of nested references; stops the evaluation of a definition that contains itself
)
MAX_FILE_BYTES = 1 << 20  # size limit of one file
KNOWN_PACKAGES = ("scenario", "operator", "keeper", "release", "rollout")


class RecordsError(ValueError):
    """An invalid file; `problems` holds all problems, and the message has one line for each."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(p) for p in problems))
        self.problems = problems


class _Evaluator:
    """Evaluates one file's syntax tree. Names are resolved in the file first, then in the schema."""

    def __init__(self, file: str, unifier: Unifier, schema_definitions: dict[str, Value]) -> None:
        self._file_name, self._unifier, self._schema_definitions = file, unifier, schema_definitions
        self._top_level: dict[str, list[Any]] = {}
        self._depth = 0
        self.definitions: dict[str, Value] = {}

    def _position(self, node: Any) -> Position:
        if isinstance(node, Token):
            return Position(self._file_name, node.line or 1, node.column or 1)
        meta = node.meta
        return Position(self._file_name, getattr(meta, "line", 1), getattr(meta, "column", 1))

    def _add_problem(self, node: Any, text: str, path: str = "") -> Value:
        self._unifier.problems.append(Problem(path, self._position(node), text))
        return Unconstrained(self._position(node))

    def evaluate_file(self, tree: Tree[Any]) -> tuple[str | None, Struct]:
        """Returns the package's name and the struct of the fields; stores definitions in `definitions`."""
        package, declarations = None, []
        for child in tree.children:
            if isinstance(child, Tree) and child.data == "package":
                package = str(child.children[0])
            elif isinstance(child, Tree):
                declarations.append(child)
        for declaration in declarations:
            if declaration.data == "field":
                label = declaration.children[0]
                if label.data == "label":
                    self._top_level.setdefault(str(label.children[0]), []).append(declaration.children[-1])
        for name, expressions in self._top_level.items():
            if name.startswith("#"):
                self.definitions[name] = self._close(self._unify_all(expressions, name))
        body = [d for d in declarations if not (d.data == "field" and self._is_definition(d))]
        return package, self._evaluate_struct(body, tree, "")

    def _is_definition(self, declaration: Tree[Any]) -> bool:
        label = declaration.children[0]
        return label.data == "label" and str(label.children[0]).startswith("#")

    def _unify_all(self, expressions: list[Any], path: str) -> Value:
        value = self._evaluate(expressions[0], path)
        for expression in expressions[1:]:
            value = self._unifier.unify(value, self._evaluate(expression, path), path)
        return value

    def _close(self, value: Value) -> Value:
        """Returns the value with all its structs closed: a definition allows only the fields it declares."""
        if isinstance(value, Struct):
            fields = {n: replace(f, value=self._close(f.value)) for n, f in value.fields.items()}
            return replace(value, fields=fields, closed=value.rest is None)
        if isinstance(value, ListValue):
            rest = self._close(value.rest) if value.rest is not None else None
            return replace(value, items=tuple(self._close(v) for v in value.items), rest=rest)
        if isinstance(value, Disjunction):
            return replace(value, options=tuple((self._close(v), d) for v, d in value.options))
        return value

    def _evaluate_struct(self, declarations: list[Any], node: Any, path: str) -> Struct:
        fields: dict[str, Field] = {}
        rest: Value | None = None
        for declaration in declarations:
            if declaration.data == "rest":
                rest = Unconstrained(self._position(declaration))
                continue
            label, expression = declaration.children[0], declaration.children[-1]
            optional = any(isinstance(c, Token) and c.type == "OPTIONAL" for c in declaration.children)
            if label.data == "pattern_label":
                rest = self._evaluate(expression, f"{path}[...]")
                continue
            name = str(label.children[0])
            if label.data == "string_label":
                name = str(json.loads(name))
            field_path = f"{path}.{name}" if path else name
            value = self._evaluate(expression, field_path)
            if isinstance(value, Atom):  # problems with the value are reported at the position of its key
                value = replace(value, position=self._position(label))
            previous = fields.get(name)
            if previous is not None:
                value = self._unifier.unify(previous.value, value, field_path)
                optional = optional and previous.optional
            fields[name] = Field(value, optional)
        if rest is not None:
            for name, present in fields.items():
                field_path = f"{path}.{name}" if path else name
                fields[name] = replace(present, value=self._unifier.unify(rest, present.value, field_path))
        return Struct(fields, self._position(node), False, rest)

    def _evaluate(self, node: Any, path: str) -> Value:
        position = self._position(node)
        kind, children = node.data, node.children
        if kind == "field":  # `a: b: 3`
            return self._evaluate_struct([node], node, path)
        if kind in ("number", "negative"):
            text = str(children[-1]).replace("_", "")
            number: int | float = int(text) if text.isdecimal() else float(text)
            return Atom(-number if kind == "negative" else number, position)
        if kind == "string":
            try:
                return Atom(str(json.loads(str(children[0]))), position)
            except ValueError:
                return self._add_problem(node, f"{children[0]} contains an invalid escape sequence", path)
        if kind in ("true", "false", "null"):
            return Atom(None if kind == "null" else kind == "true", position)
        if kind == "struct":
            return self._evaluate_struct(children, node, path)
        if kind == "list":
            items: list[Value] = []
            rest: Value | None = None
            for child in children:
                if child.data == "list_rest":
                    rest = (
                        self._evaluate(child.children[0], path) if child.children else Unconstrained(position)
                    )
                else:
                    items.append(self._evaluate(child, f"{path}[{len(items)}]"))
            return ListValue(tuple(items), rest, position)
        if kind == "conj":
            value: Value = Unconstrained(position)
            for child in children:
                value = self._unifier.unify(value, self._evaluate(child, path), path)
            return value
        if kind == "bound":
            limit = self._evaluate(children[1], path)
            if not isinstance(limit, Atom) or limit.value is None:
                return self._add_problem(node, f"{children[0]} requires a number or a string", path)
            return ScalarConstraint(None, ((str(children[0]), limit.value),), position)
        if kind == "alternatives":
            options = []
            for child in children:
                default = isinstance(child.children[0], Token)
                options.append((self._evaluate(child.children[-1], path), default))
            return Disjunction(tuple(options), position)
        if kind == "only_default":
            return self._evaluate(children[-1], path)
        return self._resolve_reference(node, path)

    def _resolve_reference(self, node: Tree[Any], path: str) -> Value:
        names = [str(c) for c in node.children]
        first = names[0]
        if len(names) == 1 and first in KINDS:
            return ScalarConstraint(first, (), self._position(node))
        if len(names) == 1 and first == "_":
            return Unconstrained(self._position(node))
        self._depth += 1
        try:
            if self._depth > MAX_REFERENCE_DEPTH:
                return self._add_problem(node, f"{'.'.join(names)} refers to itself", path)
            if first in self._top_level:
                value = self._unify_all(self._top_level[first], first)
                value = self._close(value) if first.startswith("#") else value
            elif first in self._schema_definitions:
                value = self._schema_definitions[first]
            else:
                return self._add_problem(node, f"undefined name {first}", path)
        finally:
            self._depth -= 1
        for name in names[1:]:
            if not isinstance(value, Struct) or name not in value.fields:
                return self._add_problem(node, f"{'.'.join(names)}: no field {name}", path)
            value = value.fields[name].value
        return value


def to_plain(value: Value, unifier: Unifier, path: str = "") -> Any:
    """Returns the plain value with defaults applied; records a problem for each value not concrete."""
    if isinstance(value, Atom):
        return value.value
    if isinstance(value, Struct):
        return {
            name: to_plain(f.value, unifier, f"{path}.{name}" if path else name)
            for name, f in value.fields.items()
            if not f.optional
        }
    if isinstance(value, ListValue):
        return [to_plain(v, unifier, f"{path}[{n}]") for n, v in enumerate(value.items)]
    if isinstance(value, Disjunction):
        defaults = [v for v, default in value.options if default]
        if defaults:
            return to_plain(defaults[0], unifier, path)
    if isinstance(value, Unconstrained):
        return None
    unifier.problems.append(Problem(path, value.position, f"missing value, expected {describe(value)}"))
    return None


def _load_schema(name: str) -> tuple[dict[str, Value], Value]:
    path = SCHEMAS / f"{name}.cue"
    unifier = Unifier()
    evaluator = _Evaluator(f"schema {name}", unifier, {})
    evaluator.evaluate_file(parse(path.read_text(encoding="utf-8"), f"schema {name}"))
    if unifier.problems:  # an error in the schema itself
        raise RecordsError(unifier.problems)
    return evaluator.definitions, evaluator.definitions["#File"]


def loads(text: str, file: str, packages: tuple[str, ...] = KNOWN_PACKAGES) -> tuple[str, dict[str, Any]]:
    """Checks `text` against the schema that its `package` names; returns its name and the plain record.

    Raises RecordsError with all problems; each has a file, line, column and path.
    """
    try:
        tree = parse(text, file)
    except SyntaxProblem as error:
        raise RecordsError([Problem("", error.position, error.text)]) from None
    package_nodes = [c for c in tree.children if isinstance(c, Tree) and c.data == "package"]
    package = str(package_nodes[0].children[0]) if package_nodes else None
    if package not in packages:
        found_package = f"package {package}" if package else "no package"
        expected = " or ".join(f"package {k}" for k in packages)
        raise RecordsError([Problem("", Position(file, 1, 1), f"{found_package}, expected {expected}")])
    unifier = Unifier()
    definitions, top = _load_schema(package)
    _, document = _Evaluator(file, unifier, definitions).evaluate_file(tree)
    unified = unifier.unify(top, document)
    if unifier.problems:
        raise RecordsError(_without_duplicates(unifier.problems))
    record = to_plain(unified, unifier)
    if unifier.problems:
        # A missing value has no position in the file, so the problem is reported at its first line.
        position = Position(file, 1, 1)
        raise RecordsError(
            [
                replace(p, position=position, declared_at=p.position)
                for p in _without_duplicates(unifier.problems)
            ]
        )
    assert isinstance(record, dict)
    return package, record


def load(path: Path, packages: tuple[str, ...] = KNOWN_PACKAGES) -> tuple[str, dict[str, Any]]:
    """Reads and checks a file like `loads`. Raises RecordsError also if the file cannot be read."""
    position = Position(str(path), 1, 1)
    try:
        data = path.read_bytes()
        if len(data) > MAX_FILE_BYTES:
            raise RecordsError(
                [Problem("", position, f"{len(data)} bytes, at most {MAX_FILE_BYTES} are allowed")]
            )
        text = data.decode("utf-8")
    except OSError as error:
        raise RecordsError([Problem("", position, f"cannot be read: {error.strerror}")]) from None
    except UnicodeDecodeError as error:
        raise RecordsError([Problem("", position, f"invalid UTF-8 at byte {error.start}")]) from None
    return loads(text, str(path), packages)


def _without_duplicates(problems: list[Problem]) -> list[Problem]:
    return list(dict.fromkeys(problems))
