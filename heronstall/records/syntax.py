"""Parses text into a syntax tree: inserts implicit commas and reports syntax errors with their position."""

from __future__ import annotations

from collections.abc import Iterator
from functools import lru_cache
from pathlib import Path
from typing import Any, NamedTuple

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken

# Tokens after which the end of a line counts as a comma, as in CUE.
_LINE_END_COMMA_TOKENS = frozenset(
    ("IDENT", "DEFINITION", "STRING", "NUMBER", "TRUE", "FALSE", "NULL", "RBRACE", "RSQB", "RPAR")
)
_TOKEN_DESCRIPTIONS = {
    "IDENT": "a name",
    "DEFINITION": "a definition (#Name)",
    "STRING": "a string in quotes",
    "NUMBER": "a number",
    "COLON": "':'",
    "COMMA": "',' or a new line",
    "RBRACE": "'}'",
    "RSQB": "']'",
    "RPAR": "')'",
    "LBRACE": "'{'",
    "LSQB": "'['",
    "$END": "the end of the file",
}
_MAX_LISTED_TOKENS = 6  # maximum number of expected tokens that an error message names


class Position(NamedTuple):
    """A position in a source file; line and column are counted from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class SyntaxProblem(Exception):
    """The text does not match the grammar."""

    def __init__(self, position: Position, text: str) -> None:
        super().__init__(f"{position}: {text}")
        self.position, self.text = position, text


class _CommaInserter:
    """Replaces line ends by commas or drops them; lark calls `process` between the lexer and the parser."""

    always_accept = ("NEWLINE",)

    def process(self, stream: Iterator[Token]) -> Iterator[Token]:
        """Yields the tokens without line ends and with implicit commas."""
        previous: Token | None = None
        for token in stream:
            if token.type == "NEWLINE":
                if previous is not None and (
                    previous.type in _LINE_END_COMMA_TOKENS or previous.value == "..."
                ):
                    yield Token.new_borrow_pos("COMMA", ",", token)
                previous = None
            else:
                previous = token
                yield token


@lru_cache(maxsize=1)
def _parser() -> Lark:
    grammar = Path(__file__).with_name("grammar.lark").read_text(encoding="utf-8")
    return Lark(
        grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False, postlex=_CommaInserter()
    )


def _describe_expected(names: set[str]) -> str:
    descriptions = sorted({_TOKEN_DESCRIPTIONS[n] for n in names if n in _TOKEN_DESCRIPTIONS})
    return ", ".join(descriptions[:_MAX_LISTED_TOKENS]) or "something else"


def parse(text: str, file: str) -> Tree[Any]:
    """Returns the syntax tree of `text`. Raises SyntaxProblem with the position of the first error."""
    try:
        return _parser().parse(text)
    except UnexpectedToken as error:
        position = Position(file, max(1, error.line), max(1, error.column))
        expected = _describe_expected(set(error.accepts or error.expected))
        found = "the end of the file" if error.token.type == "$END" else repr(str(error.token))
        if error.token.type == "$END":
            position = Position(file, text.count("\n") + 1, len(text) - text.rfind("\n"))
        raise SyntaxProblem(position, f"found {found}, expected {expected}") from None
    except UnexpectedCharacters as error:
        line = text.splitlines()[error.line - 1] if error.line <= len(text.splitlines()) else ""
        found = line[error.column - 1 : error.column]
        description = "unterminated string" if found == '"' else f"unexpected character {found!r}"
        raise SyntaxProblem(Position(file, error.line, error.column), f"{description}") from None
    except UnexpectedEOF:
        position = Position(file, text.count("\n") + 1, 1)
        raise SyntaxProblem(position, "unexpected end of the file") from None
    except UnexpectedInput as error:
        raise SyntaxProblem(Position(file, error.line, error.column), "syntax error") from None
