"""Replicas: what the store says of them, choice, connections. Start at `knowledge`."""
