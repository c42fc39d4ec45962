"""The exchange between one client request and its one final answer.

Decides which answer a client gets when planner, engine and deadline disagree, and whether an attempt that a
planner decided on may still be sent. Owns the table of open exchanges, readiness and the counters. It knows
no socket, no wire and no clock: the time, timers and engine clients are handed in.

Read `messages` first, then `exchange` and `attempt` with their states, then `send_guard`. Events go up from
the attempt to the exchange and the forwarder, commands go down; no two modules import each other.

It imports `query_gateway.model` and, of the policy, the shared rules that it enforces: `repetition`,
`recovery_ramp` and `key_quarantine`. The servers, the engine clients, discovery, the configuration and the
composition root import it; the model, the policy and the planner do not.
"""
