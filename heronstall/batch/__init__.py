"""Batch jobs: accepted once, stored and run to completion. Performs no I/O."""
