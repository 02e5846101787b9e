"""
The core of routed requests: routes, replicas, gathers, budgets, the fleet.

Like `beechbridge.core` it decides and does nothing else: `node.Gateway` takes events with the time
and returns actions. Start reading at `node`, then `requests` for the way of one request.
"""
