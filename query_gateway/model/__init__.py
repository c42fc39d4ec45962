"""Data types of the decision module: events, actions, settings, state records and estimators.

Makes no decisions: weights, limits and decay times are passed in as arguments. Depends only on the standard
library. `policy`, the forwarder and the planner exchange its events and actions.
"""
