"""Tests of running processes under failures and invalid input."""
