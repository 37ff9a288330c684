"""Findings that are known to fail for a real fault: `KNOWN-RED.txt` at the root, honoured by pytest.

One entry each, a paragraph of `key: value` lines; a line that begins with a space goes on with the last one:

    test: tests/tier/test_drain.py::test_a_drain
    command: python -m pytest tests/tier/test_drain.py
    seed: 7
    seen: one answer of forty was cut
    issue: 60

`test` is a pytest id, which CI passes over and prints; an entry without one is the finding of a hunt or of a
model, repeated by its command and seed, and printed alone. `seed` is a whole number, or `none` for a test
that draws nothing. A paragraph that begins with `#` is a comment. What cannot be read, names no test that
exists, or stands twice fails the whole run.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

REQUIRED = ("command", "seed", "seen", "issue")
KEYS = ("test", *REQUIRED)
SEEN_MOST = 200  # characters: an entry is short, the issue tells the rest
NO_SEED = "none"


class KnownRedError(Exception):
    """The file cannot be honoured; the message names the line."""


class KnownRed(NamedTuple):
    """One finding that is known to fail."""

    test: str  # empty for the finding of a hunt or of a model
    command: str
    seed: int | None
    seen: str
    issue: int

    @property
    def name(self) -> str:
        """What it is called where it is printed."""
        return self.test or self.command

    def __str__(self) -> str:
        seed = "" if self.seed is None else f"seed {self.seed}; "
        return f"{self.name} ({seed}{self.seen}; issue {self.issue})"


class Field(NamedTuple):
    """One `key: value` of the file."""

    line: int
    key: str
    value: str


def parse(text: str) -> list[KnownRed]:
    """The entries of the file. Raises KnownRedError."""
    found: list[KnownRed] = []
    for fields in _paragraphs(text):
        entry = _entry(fields)
        known = (entry.test, entry.command, entry.seed)
        if any(known == (one.test, one.command, one.seed) for one in found):
            raise KnownRedError(f"line {fields[0].line}: {entry.name} is named twice")
        if entry.test and any(entry.test == one.test for one in found):
            raise KnownRedError(f"line {fields[0].line}: {entry.test} is named twice")
        found.append(entry)
    return found


def _paragraphs(text: str) -> Iterator[list[Field]]:
    """The fields of each paragraph, without comments."""
    fields: list[Field] = []
    comment = False
    for number, line in enumerate([*text.splitlines(), ""], 1):
        if not line.strip():
            if fields:
                yield fields
            fields, comment = [], False
        elif comment or (not fields and line.startswith("#")):
            comment = True
        elif line[0].isspace() and fields:
            last = fields.pop()
            fields.append(last._replace(value=f"{last.value} {line.strip()}"))
        else:
            fields.append(_field(number, line))


def _field(number: int, line: str) -> Field:
    key, colon, value = line.partition(":")
    if not colon or key not in KEYS or not value.strip():
        raise KnownRedError(
            f"line {number}: `key: value` with a key of {', '.join(KEYS)} is wanted, not {line!r}"
        )
    return Field(number, key, value.strip())


def _entry(fields: list[Field]) -> KnownRed:
    told = {field.key: field for field in fields}
    if len(told) < len(fields):
        raise KnownRedError(f"line {fields[0].line}: a key stands twice in one entry")
    missing = [key for key in REQUIRED if key not in told]
    if missing:
        raise KnownRedError(f"line {fields[0].line}: {', '.join(missing)}: missing")
    test = told["test"].value if "test" in told else ""
    if "test" in told and "::" not in test:
        raise KnownRedError(
            f"line {told['test'].line}: test: a pytest id `file::test` is wanted, not {test!r}"
        )
    if not test and told["seed"].value == NO_SEED:
        raise KnownRedError(
            f"line {told['seed'].line}: seed: a finding without a test is repeated by its seed"
        )
    if len(told["seen"].value) > SEEN_MOST:
        raise KnownRedError(f"line {told['seen'].line}: seen: at most {SEEN_MOST} characters")
    return KnownRed(
        test,
        told["command"].value,
        None if told["seed"].value == NO_SEED else _whole(told["seed"]),
        told["seen"].value,
        _whole(told["issue"]),
    )


def _whole(field: Field) -> int:
    if not field.value.isdecimal():
        raise KnownRedError(f"line {field.line}: {field.key}: a whole number is wanted, not {field.value!r}")
    return int(field.value)


def check_collected(known: Iterable[KnownRed], root: Path, collected: Iterable[str]) -> None:
    """Raise KnownRedError for a test that does not exist.

    A file of which nothing is collected was left out of this run, and says nothing unless it is missing.
    """
    tests = set(collected)
    files = {test.partition("::")[0] for test in tests}
    for one in known:
        file = one.test.partition("::")[0]
        if one.test and (not (root / file).is_file() or (file in files and one.test not in tests)):
            raise KnownRedError(f"{one.test}: no such test")
