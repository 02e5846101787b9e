"""Query processing: admission, fan-out, hedging, coverage and merging. Start at `filters`."""
