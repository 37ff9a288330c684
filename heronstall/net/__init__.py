"""The real dispatcher on sockets: epoll, coroutines, HTTP at both ends, the decisions in the middle."""
