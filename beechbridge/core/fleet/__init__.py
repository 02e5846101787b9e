"""Fleet membership, gossip, configuration distribution and graceful stop."""
