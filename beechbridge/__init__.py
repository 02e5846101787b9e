"""Query tier over many shards: whole, truthful and timely answers."""

__version__ = '0.1.0'
