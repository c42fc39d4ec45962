"""Full parses away from the loop: parser processes that may be slow, die or be killed, and the service
before them.

Decides when a parse has taken too long and what is turned down meanwhile. Owns the parser processes.
Imported by the gateway only where an operator's file has the table `statements`, and by the command line.
"""
