"""Tests of the placement policies on simulated engines."""
