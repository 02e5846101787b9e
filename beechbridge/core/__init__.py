"""
Decision logic of one VM: takes typed events with timestamps and returns typed actions.

Nothing in this package reads a clock, opens a socket, starts a thread or uses the global random
number generator.
"""
