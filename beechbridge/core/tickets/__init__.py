"""Non-idempotent requests: at most one execution per ticket. The entry point is `controller`."""
