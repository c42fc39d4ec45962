"""Non-blocking sockets on one epoll loop: coroutines, timers, connections, listeners and the log.

Decides when a coroutine runs and when a socket is read, written or closed; independent of any protocol. Owns
the epoll descriptor and every watched socket. Imported by the protocol packages, the planner's IPC,
`lifecycle` and the composition root, never by `model`, `policy` or `forwarder`.

Modules import in one direction: `stream` (connect, and close with a reason code) imports `buffered_socket`
(reading and writing), which imports `dial`, `arrivals` and `outbox`. `stream`, `buffered_socket` and
`listener` use `loop`.
"""
