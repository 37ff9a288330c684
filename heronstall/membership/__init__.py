"""Who is there: a fleet's dispatchers among themselves, where an installation lets them talk. Free of I/O.

`messages` is the form of what they say, `swim` decides who lives, `relays` who tells whom the server list.
`heronstall.net.peers.service` carries it.
"""
