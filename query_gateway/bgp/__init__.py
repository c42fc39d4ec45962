"""A BGP-4 speaker that announces the service addresses while the gateway is ready, else withdraws them.

Owns its one TCP connection to the peer and the state of that session. If the process dies, the connection
ends and the peer drops the routes. It learns no routes: the peer's announcements are decoded and dropped.
Only `configuration` (for `BgpSettings`) and `lifecycle` import it.
"""
