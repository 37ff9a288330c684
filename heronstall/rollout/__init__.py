"""A change carried through a fleet in stages: its plan, its journal, its steps and its judge. Free of I/O."""
