"""Replicas: selection, queues, windows, connections and health checks. Start at `controller`."""
