"""The life cycle of one gateway process: start, configuration reload, graceful shutdown and hot upgrade.

The package determines the order in which the other parts are started, reconfigured, shared with another
process of the same gateway, and stopped. It owns the active configuration, the retired request classes, the
shutdown state, and the socket at which a successor finds its predecessor. Requests, engines and policy are
handled by other packages, whose objects are passed in.

Main modules:

    startup             when this process starts to accept clients
    reload              SIGHUP: new files are validated, then applied in one step
    shutdown            SIGTERM: which requests are still accepted, and when open ones are aborted
    hot_upgrade         two processes of one gateway: which one accepts and answers, and what happens if
                        either dies
    overlap             the effect of each hot upgrade message on this process

State that is lost when a process dies, and the result for its open requests:

    process          state lost                                     open requests
    gateway in one   all of its state, except what a successor      not answered: the clients' connections
    process          has received: the listening sockets, the       are reset
                     learned state and idle client connections
                     (`hot_upgrade`)
    forwarder        client connections, open requests, its         not answered: the clients' connections
                     position in the events of the discovery        are reset; its planners treat the requests
                     service                                        as abandoned, their attempts as cancelled
    planner          queues, its view of the engines, its learned   answered at once by its forwarders, see
                     state                                          `planner_links`
    supervisor       no request state; its worker processes stop    answered by the forwarders, as at SIGTERM

`gateway.py` and `composition.py` build and connect these parts. `process.py` is the process entry point,
which `__main__` and `cli` call. No other module imports from this package.
"""
