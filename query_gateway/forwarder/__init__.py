"""The forwarder: exchanges between client requests and engines, each with exactly one final answer.

Arbitrates between planner, engine and deadline when they disagree about a client's answer, and checks that an
attempt chosen by a planner may still be sent. Owns the table of open exchanges, readiness and the counters.
Contains no sockets, wire formats or clock: the clock, timers and engine clients are injected.

Start reading at `messages`, continue with the state machines of `exchange` and `attempt`, then `send_guard`.
Events propagate upwards from the attempt to the exchange and the forwarder, commands downwards. There are no
import cycles.

The package imports `query_gateway.model` and the policy rules that it shares with the planner: `repetition`,
`recovery_ramp` and `key_quarantine`. It is imported by the servers, the engine clients, discovery, the
configuration, the lifecycle, the statement classification and the composition root, but not by the model, the
policy or the planner.
"""
