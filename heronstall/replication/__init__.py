"""A replica group: an agreed log of commands kept by a quorum, free of I/O. It knows nothing of what it carries."""
