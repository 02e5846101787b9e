"""Stand-ins for the upstreams and the platform, and a demonstration that uses them."""
