"""The planner: runs an instance of the decision module, in the forwarder's process or in a separate one.

Makes no decisions itself: it passes events to `query_gateway.policy` and returns the resulting actions. This
package contains the planner process, the IPC between forwarders and planner processes with its codec, and the
supervisor of all worker processes.

`lifecycle/planner_links.py` handles the open requests of a planner that dies, and
`PlannerProcess.on_session_ended` in `process.py` those of a forwarder that dies.

`planner`, `learned_state`, `ipc_codec` and `process_part` use no sockets, and no clock but one passed in;
`ipc`, `process` and `supervisor` use `query_gateway.net`. The package is imported by the composition root
and by `lifecycle`, and imports no forwarder modules.
"""
