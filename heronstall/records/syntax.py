"""Text to a syntax tree: the lexer's unseen commas, and errors that say what was wanted where."""

from __future__ import annotations

from collections.abc import Iterator
from functools import lru_cache
from pathlib import Path
from typing import Any, NamedTuple

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken

# Tokens after which a line's end counts as a comma, as in CUE.
_ENDS = frozenset(
    ("IDENT", "DEFINITION", "STRING", "NUMBER", "TRUE", "FALSE", "NULL", "RBRACE", "RSQB", "RPAR")
)
_SAID = {
    "IDENT": "a name",
    "DEFINITION": "a definition (#Name)",
    "STRING": "a text in quotes",
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
_LISTED = 6  # expected tokens named in a message, at the most


class Place(NamedTuple):
    """Where something stands: file name, line and column, both from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class SyntaxProblem(Exception):
    """The text is not of the grammar."""

    def __init__(self, place: Place, text: str) -> None:
        super().__init__(f"{place}: {text}")
        self.place, self.text = place, text


class _Commas:
    """Turns line ends into commas or drops them; lark calls `process` between lexer and parser."""

    always_accept = ("NEWLINE",)

    def process(self, stream: Iterator[Token]) -> Iterator[Token]:
        """The tokens, less line ends, plus unseen commas."""
        last: Token | None = None
        for token in stream:
            if token.type == "NEWLINE":
                if last is not None and (last.type in _ENDS or last.value == "..."):
                    yield Token.new_borrow_pos("COMMA", ",", token)
                last = None
            else:
                last = token
                yield token


@lru_cache(maxsize=1)
def _parser() -> Lark:
    grammar = Path(__file__).with_name("grammar.lark").read_text(encoding="utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False, postlex=_Commas())


def _wanted(names: set[str]) -> str:
    said = sorted({_SAID[n] for n in names if n in _SAID})
    return ", ".join(said[:_LISTED]) or "something else"


def parse(text: str, file: str) -> Tree[Any]:
    """The syntax tree of `text`. Raises SyntaxProblem with the place of the first fault."""
    try:
        return _parser().parse(text)
    except UnexpectedToken as error:
        place = Place(file, max(1, error.line), max(1, error.column))
        wanted = _wanted(set(error.accepts or error.expected))
        found = "the end of the file" if error.token.type == "$END" else repr(str(error.token))
        if error.token.type == "$END":
            place = Place(file, text.count("\n") + 1, len(text) - text.rfind("\n"))
        raise SyntaxProblem(place, f"found {found} where {wanted} is wanted") from None
    except UnexpectedCharacters as error:
        line = text.splitlines()[error.line - 1] if error.line <= len(text.splitlines()) else ""
        found = line[error.column - 1 : error.column]
        told = "a text that its line does not close" if found == '"' else f"the character {found!r}"
        raise SyntaxProblem(Place(file, error.line, error.column), f"{told} cannot stand here") from None
    except UnexpectedEOF:
        place = Place(file, text.count("\n") + 1, 1)
        raise SyntaxProblem(place, "the text ends in the middle of something") from None
    except UnexpectedInput as error:
        raise SyntaxProblem(Place(file, error.line, error.column), "cannot be read here") from None
