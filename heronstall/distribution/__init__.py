"""Distribution of the control state by version vectors. Performs no I/O."""
