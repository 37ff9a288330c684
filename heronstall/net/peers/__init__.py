"""Communication between dispatchers, imported only where the operator's file configures a port for it.

The messages and decisions are in `heronstall.membership` and `heronstall.knowledge`; this package has the
sockets. `service` is one process's part, `followers` serves other processes' requests, and
`knowledge_exchange` asks others at the start. docs/peers.md documents it.
"""
