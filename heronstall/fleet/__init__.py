"""Simulates the environment of a dispatcher: backend servers, network, discovery, clients and their failures.

The package has no clock and no sockets and makes no dispatch decisions. A `Timeline` drives it: `model`
supplies one backed by a heap of virtual times, `lab` one backed by a real event loop. The audit of the rules
and the score are here too; they only see what crosses the boundary between dispatchers and their environment.
All times are integer microseconds.
"""
