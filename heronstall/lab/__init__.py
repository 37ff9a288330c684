"""The fleet on loopback sockets in real time, against real dispatcher processes.

`world` hosts backend servers and discovery, `load` the clients, `run` starts both and the dispatchers and
puts their records together. All read one monotonic clock, so that a step of the wall clock moves nothing.
"""
