"""Placement of large prompts: decisions without I/O, clocks or randomness."""
