"""Stand-ins for the systems around the tier, and the demonstration that runs on them."""
