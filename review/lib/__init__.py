"""Stand-ins for clients, replicas and the platform, shared by the cases of the review."""
