"""Where large prompts are read: decisions free of I/O, of clocks and of randomness."""
