"""Replica groups: an agreed log of commands kept by a quorum, free of I/O, whatever the commands are."""
