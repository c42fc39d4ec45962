"""The decisions: admission, routing, slow start, ejection, retries, cancellation and the lag ratio.

Each module decides one concern; `docs/decisions.md` lists them in the order of a request's way.
Planners, the simulator adapter and the transfer of learned state import `Scheduler`, the entrance. The
forwarder imports the shared rules alone: `key_quarantine`, `recovery_ramp` and `repetition`. Nothing here
knows a wire, a socket or a clock.
"""
