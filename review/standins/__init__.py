"""Stand-ins of the platform, its servers and its clients, on loopback."""
