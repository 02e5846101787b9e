"""Query tier over many shards: complete or explicitly partial answers within deadlines."""

__version__ = '0.1.0'
