"""A BGP-4 speaker that announces the service addresses while the gateway is ready, and else withdraws them.

Owns its one TCP connection to the peer and the state of that session. It learns no routes: what the peer
announces is read and dropped. Only `configuration` (for `BgpSettings`) and `lifecycle` import it.
"""
