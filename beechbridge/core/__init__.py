"""
Decision logic of one VM: takes timestamped events and returns actions.

Nothing in this package reads a clock, opens a socket, starts a thread or uses the global random
number generator.
"""
