"""The VMs and their configuration: membership, gossip, the stop. Start at `membership`."""
