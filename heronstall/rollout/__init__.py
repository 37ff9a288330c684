"""A change carried through a fleet in stages: its plan, its journal, its steps and its judge. Free of I/O."""

import os

# The judge's matrices are small: threads that wait for each other cost many times what they do.
os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")
