"""Staged rollouts: the plan, the journal, the state machine and the statistical judge. Free of I/O."""

import os

# The judge's matrices are small: synchronizing threads costs many times the computation.
os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")
