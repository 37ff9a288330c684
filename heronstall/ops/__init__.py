"""Daily operation: counters, detailed metrics, bans, and the state files that processes share."""
