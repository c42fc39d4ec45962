"""A BGP-4 speaker that announces the service addresses while the gateway is ready, else withdraws them.

Owns one TCP connection to the peer and the state of the session on it. If the process dies, the connection
ends and the peer removes the routes. The speaker learns no routes: the peer's UPDATE messages are decoded and
discarded. Imported only by `configuration` (for `BgpSettings`) and `lifecycle`.
"""
