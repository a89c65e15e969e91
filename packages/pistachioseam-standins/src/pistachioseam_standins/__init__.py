"""Small stand-ins of the platform and the targets, for tests and try-outs."""
