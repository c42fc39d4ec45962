"""The life of one gateway process: start, configuration reload, graceful shutdown and hot upgrade.

The package decides in which order the other parts are switched on, reconfigured, shared with another process
of the same gateway, and switched off. It owns the configuration in force, the retired request classes, the
state of the shutdown, and the socket at which a successor finds its predecessor. Requests, engines and
policy are not its concern: those parts are handed to it.

`gateway.py` and `composition.py` build these parts and join them; `process.py` is the process entry, which
`__main__` and `cli` call. No other module imports from here.
"""
