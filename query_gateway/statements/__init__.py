"""Bare SQL: whether it writes, its class, its key, its cost and how many of its shape may run at once.

Owns the shapes seen, what was learned of each and the limits on those that did harm. Free of I/O: callers
pass the time, and `query_gateway.parsing` runs the full parses. Imported by the fronts only where an
operator's file has the table `statements`.
"""
