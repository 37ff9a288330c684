"""The fleet and any number of dispatchers in virtual time: the live `Dispatcher`, no sockets."""
