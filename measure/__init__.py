"""Measurements of the tier on this machine."""
