"""Operators' files: typed records after CUE, unified with a schema; errors with their place."""

from heronstall.records.read import RecordsError, load, loads, plain
from heronstall.records.values import Problem

__all__ = ["Problem", "RecordsError", "load", "loads", "plain"]
