"""Tests of the operator's command line."""
