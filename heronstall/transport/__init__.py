"""Messages between the nodes of the tier, and the connections that carry them."""
