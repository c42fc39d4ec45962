"""Data types of the decision module (`policy`): events, actions, settings, state records and estimators.

Nothing here makes a decision: weights, limits and decay times are passed in as arguments. The package depends
only on the standard library. `policy`, the forwarder and the planner exchange its events and actions.
"""
