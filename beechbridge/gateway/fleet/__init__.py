"""The VMs: gossip, store followers, placement of callers, graceful stop. Start at `gossip`."""
