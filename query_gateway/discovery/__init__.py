"""The endpoint list: decoding, sequence checks, tombstones, and the client of the discovery service.

Decides what an answer of the discovery service changes in the list, and when a snapshot is needed again. Owns
the connection to that service, the position in its events, and the tombstones of endpoints that drained or
were removed; the list itself is the forwarder's. All of it is lost with the process: the next one begins with
the list in its configuration and polls for the events behind it.

The way of an answer: `poll_connection` (HTTP) -> `watch_client` (polls, backoff) -> `endpoint_feed` ->
`endpoint_list` (decoding) -> `reconciliation` (sequence check) -> `start_times`, `tombstones` ->
`Forwarder.update_endpoints`.

Imported by `configuration` (which decodes the list at the start), the composition root and `lifecycle`.
"""
