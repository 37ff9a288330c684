"""The command line: verbs and nouns, thin. It parses, calls and prints; exit codes as in `common`."""

from heronstall.cli.main import main

__all__ = ["main"]
