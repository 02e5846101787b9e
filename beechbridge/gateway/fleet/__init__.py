"""The VMs: heartbeats, followers of the store, placement, the stop. Start at `gossip`."""
