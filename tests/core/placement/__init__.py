"""Holds no tests; placement is tested by `tests.operator.experiments`."""
