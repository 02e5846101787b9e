"""Membership, gossip, configuration distribution and graceful stop. Start at `membership`."""
