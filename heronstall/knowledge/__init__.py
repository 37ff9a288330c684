"""Observations of the servers that a dispatcher gives to one that starts. Nothing does I/O or reads a clock.

`observations` records what one process has observed itself and defines the message with it. `store` merges
the messages of several processes. Only first-hand observations are passed on. docs/peers.md describes the
exchange.
"""
