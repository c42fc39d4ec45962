"""Classifies SQL statements: read or write, class, key, estimated cost and concurrency limit of the shape.

The shape of a statement is its normalized form, see `normalizer`; a fingerprint identifies it. The package
owns the cached shapes, the learned state of each and the limits on shapes that spilled to disk, needed far
too much work or failed on several engines. It performs no I/O: callers pass the time, and
`query_gateway.parsing` runs the full parses. The gateway imports it only if the operator's file has the table
`statements`.
"""
