"""Replica selection, queues, concurrency windows, connection pools and health checks."""
