"""Requests: the filter chain, sending, progress and the end. Start at `admission`."""
