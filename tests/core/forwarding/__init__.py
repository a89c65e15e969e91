"""Tests of forwarded calls."""
