"""Queries: the filter chain, plans, fan-out, hedges, coverage, the end. Start at `filters`."""
