"""Handling of requests, from admission to the final answer. Start reading at `admission`."""
