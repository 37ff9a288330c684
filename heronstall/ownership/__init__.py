"""Assignment of roles to nodes, by key. Performs no I/O."""
