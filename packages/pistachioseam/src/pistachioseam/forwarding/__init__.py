"""Forwarding of calls to targets that register themselves in a store."""
