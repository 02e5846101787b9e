"""
Sans-I/O core of the request gateway: routing, replicas, gathers, retry budgets and the fleet.

Like `beechbridge.core`, it performs no I/O: `node.Gateway` takes timestamped events and returns
actions. Start reading at `node`, then follow a request through `requests`.
"""
