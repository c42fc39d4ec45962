"""A planner: one instance of the decision module, beside its forwarder or in a process of its own.

Decides nothing itself: it hands events to `query_gateway.policy` and its actions back. Owns the IPC between
forwarders and planner processes with its codec, the planner process, and the supervisor of all processes.

`planner`, `learned_state` and `ipc_codec` know no socket and no clock; `ipc`, `process` and `supervisor` use
`query_gateway.net`. The composition root and `lifecycle` import it; it imports no forwarder.
"""
