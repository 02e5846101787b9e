"""The daemon: carries events into the core and actions out of it."""
