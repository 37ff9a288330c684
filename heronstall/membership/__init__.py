"""Membership of a fleet's dispatchers, where an installation lets them communicate. Nothing does I/O.

`messages` defines the datagrams, `swim` decides which members are alive, and `relays` decides which members
pass the server list on to others. `heronstall.net.peers.service` is the transport.
"""
