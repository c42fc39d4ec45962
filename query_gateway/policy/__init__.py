"""The decisions: admission, routing, slow start, ejection, retries, cancellation and the lag ratio.

Each module decides one concern and holds its tuned figures. Planners, the simulator adapter and the transfer
of learned state import `Scheduler`, the entrance. Nothing here knows a wire, a socket or a clock.
"""
