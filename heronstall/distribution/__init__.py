"""What is told to whom, by version vectors, free of I/O."""
