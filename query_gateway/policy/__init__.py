"""Scheduling decisions: admission, routing, slow start, ejection, retries, cancellation and the lag ratio.

Each module implements one decision; `docs/decisions.md` lists them in the order in which a request passes
through them. `Scheduler` is the entry point for planners, the simulator adapter and the transfer of learned
state. The forwarder imports only the shared rules: `key_quarantine`, `recovery_ramp` and `repetition`. No
module here opens a socket, reads a clock or parses a protocol.
"""
