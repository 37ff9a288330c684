"""The dispatcher on sockets: an epoll event loop with coroutines, HTTP to clients and backend servers."""
