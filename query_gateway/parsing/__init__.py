"""Full parses in separate processes, and the service that classifies statements for the fronts.

A parse may be slow or crash its process, so none runs on the loop. The package decides when a parse has timed
out, and for how long a statement is rejected after its parser process was lost. It owns the parser processes
and the snapshot file of cost estimates. The gateway imports it only if the operator's file has the table
`statements`; the command `query-gateway statements classify` also uses it.
"""
