"""Query processing: admission, fan-out, hedging and merging. The entry point is `filters`."""
