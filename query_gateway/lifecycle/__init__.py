"""The life cycle of one gateway process: start, configuration reload, graceful shutdown and hot upgrade.

The package decides in which order the other parts are started, reconfigured, shared with another process of
the same gateway, and stopped. It owns the configuration in force, the retired request classes, the state of
the shutdown, and the socket at which a successor finds its predecessor. Requests, engines and policy are not
its concern: those parts are handed to it.

Where to look first:

    startup             when this process begins to accept clients
    reload              SIGHUP: the new files are checked, then applied in one step
    shutdown            SIGTERM: which requests are still accepted, and when open ones are aborted
    hot_upgrade         two processes of one gateway: who accepts, who answers, what happens if either dies
    overlap             what each message of a hot upgrade changes in this process

Which state is lost when a process dies, and what becomes of its open requests:

    process          lost with it                                   its open requests
    gateway in one   all of its state; a successor keeps what it    nobody answers: their clients see a reset
    process          was offered                                    connection
    forwarder        client connections, open requests, its         the same; its planners end them
                     position in the endpoint list
    planner          queues, its view of the engines, what it       its forwarders answer at once, see
                     learned                                        `planner_links`
    supervisor       nothing of a request; its workers stop         the forwarders answer, as at SIGTERM

`gateway.py` and `composition.py` build these parts and join them; `process.py` is the process entry, which
`__main__` and `cli` call. No other module imports from here.
"""
