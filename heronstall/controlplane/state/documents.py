"""JSON objects that the operator and the workers send, and why they are refused."""

from __future__ import annotations

import json
from collections import Counter
from enum import IntEnum
from typing import Any

import ujson
from result import Err, Ok, Result


class ConfigFault(IntEnum):
    """Why a configuration is refused. docs/result-codes.md explains each."""

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
    """A code, and what is at fault."""

    __slots__ = ()


def fault(code: ConfigFault, text: str) -> Err[Fault]:
    """An error result."""
    return Err(Fault((code, text)))


Document = dict[str, Any]


class _Duplicate(ValueError):
    pass


def read_object(body: bytes) -> Result[Document, Fault]:
    """Parse a JSON object; a key that stands twice makes it invalid."""

    def unique(pairs: list[tuple[str, Any]]) -> Document:
        names = Counter(name for name, _ in pairs)
        twice = [name for name, count in names.items() if count > 1]
        if twice:
            raise _Duplicate(twice[0])
        return dict(pairs)

    try:
        value = json.loads(body, object_pairs_hook=unique)
    except _Duplicate as error:
        return fault(ConfigFault.DUPLICATE, f"key {error} stands twice")
    except ValueError as error:
        return fault(ConfigFault.UNREADABLE, str(error))
    if not isinstance(value, dict):
        return fault(ConfigFault.UNREADABLE, "an object is wanted")
    return Ok(value)


def canonical(document: Document) -> bytes:
    """The same bytes for documents of the same content."""
    return ujson.dumps(document, sort_keys=True, escape_forward_slashes=False).encode()
