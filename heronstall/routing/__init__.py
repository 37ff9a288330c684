"""The operator's configuration: the routes in it, and how it is read from its JSON document."""
