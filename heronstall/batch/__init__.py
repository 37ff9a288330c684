"""Batch jobs: accepted once, kept, run to the end; free of I/O."""
