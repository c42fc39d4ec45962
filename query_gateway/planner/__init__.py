"""A planner: one instance of the decision module, beside its forwarder or in a process of its own.

Decides nothing itself: it passes events to `query_gateway.policy` and returns its actions. Owns the IPC
between forwarders and planner processes with its codec, the planner process, and the supervisor of all
processes.

What happens to the requests of a planner that dies: `lifecycle/planner_links.py`. What happens to the
requests of a forwarder that dies: `process.py`, `PlannerProcess.on_session_ended`.

`planner`, `learned_state`, `ipc_codec` and `process_part` know no socket and no clock; `ipc`, `process` and
`supervisor` use `query_gateway.net`. The composition root and `lifecycle` import it; it imports no forwarder.
"""
