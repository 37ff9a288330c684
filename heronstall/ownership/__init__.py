"""Which node holds which role, by key, free of I/O."""
