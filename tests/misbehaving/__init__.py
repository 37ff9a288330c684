"""Tests with clients, workers and operators that do not behave, on real processes; run one at a time."""
