"""Daemon process: passes events to the core and performs the actions that the core returns."""
