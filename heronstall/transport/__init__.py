"""Messages between the nodes of the tier, the connections that carry them, and the HTTP server."""
