"""What a dispatcher needs at its start, also when hundreds start at the same time. Free of I/O."""
