"""State machines of the control state's shards, built by applying the commands of a replicated log."""
