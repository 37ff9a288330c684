"""Parsing of the JSON objects that operators and workers send, and the codes for rejecting them."""

from __future__ import annotations

import json
from collections import Counter
from enum import IntEnum
from typing import Any, NoReturn

import ujson
from result import Err, Ok, Result


class ConfigFault(IntEnum):
    """The reason for rejecting a configuration. docs/result-codes.md explains each code."""

    UNREADABLE = 1001
    WRONG_TYPE = 1002
    DUPLICATE = 1003
    UNKNOWN_SERVICE = 1004
    SAME_PLACE = 1005
    NO_WEIGHT = 1006
    NO_TIMEOUT = 1007
    OLD_REVISION = 1008
    WRONG_BASE = 1009
    BAD_PREFIX = 1010


class Fault(tuple[ConfigFault, str]):
    """A fault code and a message."""

    __slots__ = ()


def fault_result(code: ConfigFault, text: str) -> Err[Fault]:
    """Returns an error result."""
    return Err(Fault((code, text)))


Document = dict[str, Any]
MAX_NUMBER = 2**53  # the largest whole number up to which all JSON readers agree
MAX_NUMBER_DIGITS = len(str(MAX_NUMBER)) + 1  # with a sign


class _DuplicateKeyError(ValueError):
    pass


def _parse_int(text: str) -> int:
    if len(text) > MAX_NUMBER_DIGITS or abs(int(text)) > MAX_NUMBER:
        raise ValueError(f"{text[:30]} is beyond {MAX_NUMBER}")
    return int(text)


def _parse_float(text: str) -> float:
    value = float(text)
    if abs(value) > MAX_NUMBER:
        raise ValueError(f"{text[:30]} is beyond {MAX_NUMBER}")
    return value


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is not JSON")


def parse_object(body: bytes) -> Result[Document, Fault]:
    """Parses a JSON object. Rejects duplicate keys, and numbers that messages between nodes cannot hold."""

    def reject_duplicates(pairs: list[tuple[str, Any]]) -> Document:
        names = Counter(name for name, _ in pairs)
        duplicates = [name for name, count in names.items() if count > 1]
        if duplicates:
            raise _DuplicateKeyError(duplicates[0])
        return dict(pairs)

    try:
        value = json.loads(
            body,
            object_pairs_hook=reject_duplicates,
            parse_int=_parse_int,
            parse_float=_parse_float,
            parse_constant=_reject_constant,
        )
    except _DuplicateKeyError as error:
        return fault_result(ConfigFault.DUPLICATE, f"key {error} stands twice")
    except ValueError as error:
        return fault_result(ConfigFault.UNREADABLE, str(error))
    if not isinstance(value, dict):
        return fault_result(ConfigFault.UNREADABLE, "an object is wanted")
    return Ok(value)


def canonical_json(document: Document) -> bytes:
    """Returns an encoding that is equal for documents with the same content."""
    return ujson.dumps(document, sort_keys=True, escape_forward_slashes=False).encode()
