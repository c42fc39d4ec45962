"""Classifies SQL statements: read or write, class, key, estimated cost and concurrency limit of the shape.

Owns the cached shapes, the learned state of each and the limits on shapes that spilled, needed far too much
work or failed on several engines. Performs no I/O: callers pass the time, and `query_gateway.parsing` runs
the full parses. The fronts import it only if the operator's file has the table `statements`.
"""
