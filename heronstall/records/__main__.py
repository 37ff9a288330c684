"""`python -m heronstall.records FILE`: check an operator's file, print its JSON; 2 if wrong."""

from __future__ import annotations

import json
import sys
from pathlib import Path

from heronstall.records.read import RecordsError, load


def main() -> int:
    """Check the one file named."""
    try:
        print(json.dumps(load(Path(sys.argv[1]), ("operator",))[1]))
    except RecordsError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
