"""What the shards of the control state hold: events appended to a log, views folded from it."""
