"""Stand-ins of the platform and the targets, for tests and local runs."""
