"""
The decisions: typed events with the time go in, typed actions come out.

Nothing in this package reads a clock, opens a socket, starts a thread or draws on global
randomness.
"""
