"""A machine's dispatchers as processes, and the controller that carries a change through all machines."""
