"""Tests of the checkers of histories."""
