"""Non-blocking sockets on one epoll loop: coroutines, timers, connections, listeners and the log.

Decides when a coroutine runs and when a socket is read, written or closed; knows no protocol. Owns the epoll
descriptor and every socket that is watched. Imported by the wires, the lifecycle and the composition root,
never by `model`, `policy` or `forwarder`.

Modules import in one direction: `stream` (the dial, the close with its reason), `buffered_socket` (reading
and writing), `dial`, `arrivals` and `outbox`; `stream`, `buffered_socket` and `listener` use `loop`.
"""
