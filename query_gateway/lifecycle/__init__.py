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

`gateway.py` and `composition.py` build these parts and join them; `process.py` is the process entry, which
`__main__` and `cli` call. No other module imports from here.
"""
