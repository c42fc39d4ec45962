"""gRPC over HTTP/2 for whoever speaks it: connections and calls with flow control from end to end.

Decides when a connection takes no more calls and which one has been silent for too long; owns their buffers.
Imported by the Flight SQL front and engine client; knows no message of theirs.
"""
