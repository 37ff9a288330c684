"""Recordings of a dispatcher's decisions on disk (docs/trace-format.md): frame, records, writer and reader.

The dispatcher imports this package only if traces are configured: protobuf and zstandard belong to the extra
`trace`.
"""
