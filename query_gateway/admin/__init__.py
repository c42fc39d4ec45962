"""The admin server at the second address: readiness, draining and figures for operators, one line a call.

Decides nothing but the text of its answers; owns its connections and listener. The figures are counted since
the start of the process and lost with it. Imported by the composition root and by `lifecycle`.
"""
