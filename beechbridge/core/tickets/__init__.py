"""Non-idempotent requests: at most one execution for each ticket. Start at `tickets`."""
