"""Bare SQL: whether it writes, its class, its key, its cost and how many of its shape may run at once.

Owns the shapes seen, what was learned of each and the limits on those that did harm. Knows no socket, clock
or process: time is handed in, and a full parse is asked for and answered by whoever holds it
(`query_gateway.parsing`). Imported by the fronts only where an operator's file has the table `statements`.
"""
