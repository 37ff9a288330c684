"""Reads settings files in a subset of CUE and checks them against schemas; errors have a position."""

from heronstall.records.read import RecordsError, load, loads, to_plain
from heronstall.records.values import Problem

__all__ = ["Problem", "RecordsError", "load", "loads", "to_plain"]
