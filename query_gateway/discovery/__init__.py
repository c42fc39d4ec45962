"""The endpoint list: decoding, sequence checks, tombstones, and the client of the discovery service.

Determines the changes in each answer of the discovery service, and when a new snapshot is needed. Owns
the connection to that service, the position in its events, and the tombstones of draining and removed
endpoints; the forwarder owns the list itself. This state is not persistent: a new process starts with the
list in its configuration and polls for the events after it.

Data flow of an answer: `poll_connection` (HTTP) -> `watch_client` (polls, backoff) -> `endpoint_feed` ->
`endpoint_list` (decoding) -> `reconciliation` (sequence check) -> `start_times`, `tombstones` ->
`Forwarder.update_endpoints`.

Imported by `configuration` (which decodes the list at startup), the composition root and `lifecycle`.
"""
