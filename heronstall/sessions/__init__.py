"""Sessions of nodes with control nodes, which define the live membership. Performs no I/O."""
