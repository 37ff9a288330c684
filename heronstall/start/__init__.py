"""How a dispatcher begins among hundreds that begin with it. Free of I/O."""
