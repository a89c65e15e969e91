"""Randomized soak test of running hosts under external faults."""
