"""The admin server: readiness, draining and figures for operators, with one command per connection.

It listens on the admin address (`ops`). The package formats the responses and owns the admin connections and
their listener; the forwarder's `Readiness` decides about readiness and draining. Figures count from the start
of the process and are not kept beyond its end. The package is imported by the composition root and by
`lifecycle`.
"""
