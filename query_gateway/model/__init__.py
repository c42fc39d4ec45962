"""Types of the decision module: events, actions, settings, and the records and estimators that it works on.

Nothing is decided here: weights, limits and decay times come in as arguments. This package imports the
standard library alone. `policy`, the forwarder and the planner use its messages.
"""
