"""The second address: readiness, draining and figures for operators, one line a call.

Decides nothing but the text of its answers; owns its connections and listener. Imported by the composition
root and by `lifecycle`.
"""
