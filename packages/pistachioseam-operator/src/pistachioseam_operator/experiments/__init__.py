"""Experiments: the core's placement over small fake engines."""
