"""
Adapter to the users' platform: its names, formats and headers, and nothing else.

It decodes what the platform says into the types of `beechbridge.gateway.models` and encodes what
the gateway says. It decides nothing, keeps no time and repeats nothing.
"""
