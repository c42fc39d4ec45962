"""Full parses away from the loop: parser processes that may be slow, die or be killed, and the service that
uses them.

Decides when a parse has taken too long and what is rejected meanwhile. Owns the parser processes and the
snapshot file of what was learned. Imported by the gateway only where an operator's file has the table
`statements`, and by the command line.
"""
