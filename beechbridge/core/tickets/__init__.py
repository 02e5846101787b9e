"""Non-idempotent requests: at most one execution per ticket. Start at `controller`."""
