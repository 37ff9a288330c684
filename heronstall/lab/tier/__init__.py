"""A small serving tier of real processes on this machine's loopback addresses, each address a machine.

`plan` says which nodes there are and writes their settings, `processes` starts and ends them, `worker` is a
model worker's stand-in, `client` speaks to the tier as clients and operators do, `tier` puts them together,
and `demo` plays a short day and audits it.
"""
