"""Daily operation: figures, bans, and what passes from a process to the one that replaces it."""
