"""The physics of what heronstall serves: backend servers, ways, discovery, clients and their troubles.

No clock, no sockets, no decisions: everything is driven through a `Timeline`, which `model` gives a heap of
virtual times and `lab` a real loop. The audit of the rules and the score are here too; they see nothing but
what crosses the boundary between dispatchers and the rest. All times are whole microseconds.
"""
