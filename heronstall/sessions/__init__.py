"""Membership by sessions of nodes with control nodes, free of I/O."""
