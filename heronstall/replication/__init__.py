"""Replica groups: a replicated log of opaque commands, agreed on by a quorum. Performs no I/O."""
