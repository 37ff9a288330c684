"""Lets jobs survive the loss of their dispatcher. Nothing here does I/O or reads a clock.

`messages` defines the messages and their encoding, `witness` stores registers for other processes, and
`ownership` has the protocol of a job's owner and of its successor. `succession` chooses witnesses and
successors. docs/takeover.md describes the behaviour, docs/design/takeover.md the reasons.
"""
