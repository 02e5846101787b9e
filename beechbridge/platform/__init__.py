"""
Adapter to the users' platform: its names, data formats and headers.

Decodes the platform's data into the types of `beechbridge.gateway.models` and encodes the
gateway's output. It makes no routing decisions, has no timers and does not retry.
"""
