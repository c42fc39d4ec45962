"""Full parses in processes of their own, and the service that classifies statements for the fronts.

A parse may be slow or end its process, so none runs on the loop. Decides when a parse has taken too long and
what is rejected meanwhile. Owns the parser processes and the snapshot file of cost estimates. Imported by the
gateway only where an operator's file has the table `statements`, and by the command line.
"""
