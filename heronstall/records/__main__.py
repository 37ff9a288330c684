"""`python -m heronstall.records FILE`: checks an operator's file, prints it as JSON; status 2 if invalid."""

from __future__ import annotations

import json
import sys
from pathlib import Path

from heronstall.records.read import RecordsError, load


def main() -> int:
    """Checks the file that the first argument names."""
    try:
        print(json.dumps(load(Path(sys.argv[1]), ("operator",))[1]))
    except RecordsError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
