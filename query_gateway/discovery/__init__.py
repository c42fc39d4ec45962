"""The endpoint list: decoding, sequence checks, tombstones, and the client of the discovery service.

Decides what an answer of the discovery service changes in the list, and when the whole list is needed again.
Owns the connection to that service and the record of endpoints that drained or were removed; the list itself
is the forwarder's. Imported by `configuration` (which holds the list at the start), the composition root and
`lifecycle`.
"""
