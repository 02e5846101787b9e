"""Replicas: choice, queues, windows, connections, health. Start at `upstreams`."""
