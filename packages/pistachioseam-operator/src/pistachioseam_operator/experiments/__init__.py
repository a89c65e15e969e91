"""Experiments that run the core's placement against simulated engines."""
