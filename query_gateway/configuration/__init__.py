"""The platform's JSON, the settings in it, and the operator's file: read, checked and decoded.

Decides what is a fault and what its one line says; names the words of both files where it decodes them.
Owns nothing that lasts: it hands out frozen values. Imported by the composition root, `lifecycle`, the
command line and the simulator's adapter. `schema` loads pydantic, so it is imported only where an operator's
file is named or a file is checked.
"""
